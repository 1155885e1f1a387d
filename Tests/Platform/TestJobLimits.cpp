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

/// @return the body of a request for one task, with a further member
std::string
BodyWith(const std::string& aMember)
{
  return R"({"spec":"x","steps":[{"count":1}],)" + aMember + "}";
}

/// @return the body of a request for one step with these members
std::string
BodyOfStep(const std::string& aMembers)
{
  return R"({"spec":"x","steps":[{)" + aMembers + "}]}";
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

// Guards against accepting a repeated job and running it less often: its
// clients were told that it was completed.
TEST(JobLimits, KeepsTheNumberOfOccurrences)
{
  for (const std::uint32_t count : { 1U, 10000U, 10001U, UINT32_MAX }) {
    const auto job = platform::ParseJob(
      kId, "q", BodyWith("\"repeat_count\":" + std::to_string(count)));
    CHECK_TRUE(Succeeded(job));
    CHECK_TRUE(ValueOf(job).mOccurrences == count);
    const auto stored =
      ParseAcceptedJob(FormatAcceptedJob({ ValueOf(job), 1700000000000 }));
    CHECK_TRUE(stored && stored->mSpec.mOccurrences == count);
  }
}

// Guards against carrying out something else than the client has sent, in a
// field of the schedule: it was cut down, or taken for 0.
TEST(JobLimits, RefusesAScheduleThatCanNotBeCarriedOut)
{
  STRCMP_EQUAL("repeat_count: allowed is a whole number from 0 to 4294967295",
               ErrorFor(BodyWith(R"("repeat_count":4294967296)")).c_str());
  for (const char* value : { "-1",
                             "2.5",
                             "\"3\"",
                             "null",
                             "true",
                             "[1]",
                             "18446744073709551616" }) {
    for (const char* name :
         { "repeat_count", "initial_delay_ms", "interval_ms" }) {
      const std::string error = ErrorFor(
        BodyWith("\"" + std::string(name) + "\":" + std::string(value)));
      STRCMP_CONTAINS((std::string(name) + ": allowed is a whole").c_str(),
                      error.c_str());
    }
  }
  const std::string start = R"("repeat_count":1001,"interval_ms":)";
  STRCMP_EQUAL("", ErrorFor(BodyWith(start + "9007199254740")).c_str());
  STRCMP_CONTAINS("interval_ms: allowed is an interval with which",
                  ErrorFor(BodyWith(start + "9007199254741")).c_str());
}

// Guards against accepting a value that a field of a step can't have, and
// running the step as if it had been left out.
TEST(JobLimits, RefusesInvalidFieldsOfSteps)
{
  for (const char* name : { "cpu",
                            "mem_mb",
                            "gpu",
                            "estimate_ms",
                            "anti_affinity",
                            "may_miss",
                            "target_ms" }) {
    for (const char* value :
         { "-1", "0.5", "\"3\"", "null", "false", "1000000001" }) {
      STRCMP_EQUAL(("steps[0]." + std::string(name) +
                    ": allowed is a whole number from 0 to 1000000000")
                     .c_str(),
                   ErrorFor(BodyOfStep(R"("count":1,")" + std::string(name) +
                                       "\":" + value))
                     .c_str());
    }
  }
  for (const char* name : { "long_running",
                            "fills",
                            "checkpoints",
                            "gang",
                            "same_rack",
                            "speculative" }) {
    for (const char* value : { "1", "\"true\"", "null" }) {
      STRCMP_EQUAL(
        ("steps[0]." + std::string(name) + ": allowed is true or false")
          .c_str(),
        ErrorFor(
          BodyOfStep(R"("count":1,")" + std::string(name) + "\":" + value))
          .c_str());
    }
  }
  for (const char* name : { "requires", "data_rack", "image" }) {
    STRCMP_EQUAL(
      ("steps[0]." + std::string(name) + ": allowed is a text").c_str(),
      ErrorFor(BodyOfStep(R"("count":1,")" + std::string(name) + "\":7"))
        .c_str());
  }
  for (const char* count : { "0", "-1", "1.5", "\"1\"", "10001" }) {
    STRCMP_EQUAL(
      "steps[0].count: allowed is a whole number from 1 to 10000",
      ErrorFor(BodyOfStep("\"count\":" + std::string(count))).c_str());
  }
  STRCMP_EQUAL("", ErrorFor(BodyOfStep(R"("count":1.0,"cpu":500.0)")).c_str());
}

// Guards against choosing one of two values that a client has sent.
TEST(JobLimits, RefusesRepeatedMembers)
{
  STRCMP_EQUAL(
    "repeat_count: allowed is one member of this name",
    ErrorFor(BodyWith(R"("repeat_count":1,"repeat_count":2)")).c_str());
  STRCMP_EQUAL("steps[0].cpu: allowed is one member of this name",
               ErrorFor(BodyOfStep(R"("count":1,"cpu":1,"cpu":2)")).c_str());
}
