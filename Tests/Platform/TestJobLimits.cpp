#include <string>

#include <LibNode/JobRows.h>
#include <LibNode/StoreLimits.h>

#include "../../platform/ClientCalls.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr const char* kId = "0123456789abcdef";

/// A step with a value in most fields and a long text in each text field.
const std::string kLongStep =
  R"({"count":20,"cpu":1000000000,"mem_mb":1000000000,"gpu":1000000000,)"
  R"("estimate_ms":1000000000,"checkpoints":true,"speculative":true,)"
  R"("anti_affinity":10000,"requires":")" +
  std::string(60, 'l') + R"(","data_rack":")" + std::string(60, 'r') +
  R"(","image":")" + std::string(60, 'i') + R"("})";

/// @return the body of a request with this payload, in JSON, and the same step
///         several times
std::string
BodyOf(const std::string& aPayload, const std::string& aStep, int aSteps)
{
  std::string steps;
  for (int i = 0; i < aSteps; ++i) {
    steps += (i == 0 ? "" : ",") + aStep;
  }
  return R"({"spec":")" + aPayload + R"(","steps":[)" + steps + "]}";
}

/// @return the payload of 4,000 bytes that takes most space in JSON
std::string
LongestPayload()
{
  std::string payload;
  for (int i = 0; i < 4000; ++i) {
    payload += "\\u0001";
  }
  return payload;
}

/// @return the error, or an empty text if the job is accepted
std::string
ErrorFor(const std::string& aBody)
{
  const auto job = platform::ParseJob(kId, "q", aBody);
  return Succeeded(job) ? std::string() : ErrorOf(job).mMessage;
}

} // namespace

TEST_GROUP(JobLimits){};

// Guards against a job whose row the store never takes: the client was told to
// come back later, again and again.
TEST(JobLimits, RefusesAJobWhoseRowIsTooLarge)
{
  STRCMP_EQUAL("", ErrorFor(BodyOf("x", kLongStep, 100)).c_str());
  STRCMP_CONTAINS("bytes in the row accepted/0123456789abcdef of the "
                  "store; allowed are 65536",
                  ErrorFor(BodyOf("x", kLongStep, 1000)).c_str());
  STRCMP_CONTAINS(
    "allowed are 65536",
    ErrorFor(
      BodyOf(
        "x", R"({"count":1,"image":")" + std::string(70000, 'i') + R"("})", 1))
      .c_str());
}

// Guards against accepting a job whose progress the store does not take once
// enough of its tasks have failed.
TEST(JobLimits, RefusesAJobWithTooManyTasks)
{
  STRCMP_EQUAL("", ErrorFor(BodyOf("x", R"({"count":6500})", 1)).c_str());
  STRCMP_CONTAINS("in the row job/0123456789abcdef of the store; allowed are",
                  ErrorFor(BodyOf("x", R"({"count":6600})", 1)).c_str());
  STRCMP_EQUAL("", ErrorFor(BodyOf("x", R"({"count":1})", 1000)).c_str());
}

// Guards against refusing a payload that the platform allows only because it
// takes more space in the store.
TEST(JobLimits, AcceptsTheLongestPayload)
{
  STRCMP_EQUAL("", ErrorFor(BodyOf(LongestPayload(), kLongStep, 50)).c_str());
}

// Guards against an accepted job whose row the store does not take, at the
// largest size that is accepted.
TEST(JobLimits, TheRowOfEachAcceptedJobFits)
{
  for (const std::string& payload : { std::string("x"), LongestPayload() }) {
    int steps = 1;
    std::size_t largest = 0;
    for (;; ++steps) {
      const auto job =
        platform::ParseJob(kId, "q", BodyOf(payload, kLongStep, steps));
      if (!Succeeded(job)) {
        break;
      }
      largest = FormatAcceptedJob({ ValueOf(job), 1700000000000 }).size();
      CHECK_TRUE(largest <= StoreLimits{}.mRowBytes);
    }
    CHECK_TRUE(largest > 60000);
  }
}
