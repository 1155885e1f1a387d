#include <string>

#include <LibBase/JsonReader.h>
#include <LibNode/JobRows.h>

#include "../../platform/ClientCalls.h"
#include "../../platform/Directory.h"
#include "../../platform/RunnerClient.h"
#include "../../platform/Settings.h"
#include "../../platform/Wire.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const std::string kSettings = "node_name=front-a-1\n"
                              "zone=a\n"
                              "region=r\n"
                              "listen_addrs.front=127.0.0.1:8161\n"
                              "listen_addrs.ready_addr=127.0.0.1:8167\n"
                              "platform.address=127.0.0.1:8169\n"
                              "limits.cpu_share=0.1\n"
                              "limits.cpu_cores=1\n"
                              "limits.memory_mb=260\n"
                              "bounds.max_hold_ms=6000\n"
                              "bounds.remote_factor=1.5\n"
                              "some.new.field=x\n";

} // namespace

TEST_GROUP(Messages){};

// Guards against settings with the wrong unit, and against a process that does
// not start because a newer platform sends a field that it does not know.
TEST(Messages, ReadsSettingsAndIgnoresNewFields)
{
  const auto settings = platform::ParseSettings(kSettings);
  CHECK_TRUE(Succeeded(settings));
  LONGS_EQUAL(100, ValueOf(settings).mMilliCores);
  CHECK_TRUE(ValueOf(settings).mMemoryBytes == 260UL << 20);
  CHECK_FALSE(ValueOf(settings).mMaxDescriptors.has_value());
  CHECK_TRUE(ValueOf(settings).mDispatch.mMaxLease == Millis(6000));
  DOUBLES_EQUAL(1.5, ValueOf(settings).mDispatch.mRemoteFactor, 0.001);
}

// Guards against a process that starts with incomplete settings, and against an
// error that does not name each missing or malformed field.
TEST(Messages, NamesMissingAndMalformedSettings)
{
  const auto settings =
    platform::ParseSettings("zone=a\nbounds.harm_ms=soon\nno equals sign\n");
  CHECK_FALSE(Succeeded(settings));
  const std::string& message = ErrorOf(settings).mMessage;
  for (const char* expected :
       { "node_name", "platform.address", "bounds.harm_ms", "line 3" }) {
    CHECK_TRUE(message.find(expected) != std::string::npos);
  }
}

// Guards against strict revocation without a bound, or with one that admits no
// key at any time, and against a bound that acts although it is not demanded.
TEST(Messages, ReadsTheRevocationBound)
{
  const auto read = [](const std::string& aLines) {
    return platform::ParseSettings(kSettings + aLines);
  };
  const std::string strict = "\nbounds.strict_revoke=true\n";
  const auto bound = read(strict + "bounds.revoke_ms=5000\n");
  CHECK_TRUE(ValueOf(bound).mRevocationBound == Millis(5000));
  CHECK_FALSE(ValueOf(read("\nbounds.revoke_ms=5000\n")).mRevocationBound);
  for (const char* text : { "", "250", "soon", "-5000", "5000.5", "1e300" }) {
    const auto invalid =
      read(strict + "bounds.revoke_ms=" + std::string(text) + "\n");
    CHECK_FALSE(Succeeded(invalid));
    STRCMP_CONTAINS("bounds.revoke_ms", ErrorOf(invalid).mMessage.c_str());
  }
}

// Guards against fields of a job's steps that are ignored or mixed up.
TEST(Messages, ReadsAJobWithAllItsFields)
{
  const auto job = platform::ParseJob(
    "0123456789abcdef",
    "q",
    R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
    R"("estimate_ms":900,"data_rack":"r1-3","anti_affinity":2},)"
    R"({"count":6,"cpu":3200,"after":[0],"long_running":true,"may_miss":1,)"
    R"("image":"i","target_ms":18},{"count":1,"fills":true,"gang":true}]})");
  CHECK_TRUE(Succeeded(job));
  const auto& steps = ValueOf(job).mSteps;
  LONGS_EQUAL(3, steps.size());
  LONGS_EQUAL(2, steps[0].mMaxTasksPerRunner);
  CHECK_TRUE(steps[1].mKind == dispatch::StepKind::LongRunning);
  CHECK_TRUE(steps[1].mTailLatencyTarget == Millis(18));
  CHECK_TRUE(steps[2].mReservation == dispatch::Reservation::BestEffort);
  CHECK_TRUE(steps[2].mGang);
}

// Guards against accepting jobs that can never run, and against malformed or
// oversized jobs that crash the process.
TEST(Messages, RejectsInvalidJobs)
{
  for (const char* body :
       { "",
         "[]",
         R"({"spec":"x","steps":[]})",
         R"({"spec":1,"steps":[{"count":1}]})",
         R"({"spec":"x","steps":[{"count":0}]})",
         R"({"spec":"x","steps":[{"count":99999999}]})",
         R"({"spec":"x","steps":[{"count":1,"cpu":-5}]})",
         R"({"spec":"x","steps":[{"count":1,"after":[0]}]})",
         R"({"spec":"x","steps":[{"count":1,"after":"all"}]})" }) {
    CHECK_FALSE(Succeeded(platform::ParseJob("0123456789abcdef", "q", body)));
  }
}

// Guards against columns of a runner's report that are mixed up; its rows are
// arrays without member names.
TEST(Messages, ReadsARunnersReport)
{
  const auto report = platform::ParseRunnerReport(
    R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,)"
    R"("00000bb87a21d94b",41,7]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,)"
    R"("done",""]]})");
  CHECK_TRUE(report.has_value());
  LONGS_EQUAL(17, report->mRunning[0].mTask.mIndex);
  LONGS_EQUAL(7, report->mRunning[0].mReportedLoad);
  CHECK_TRUE(report->mEnds[0].mKind == dispatch::EndKind::Done);
}

// Guards against using a report of which only a part can be read: a run that is
// missing from the report would be taken for one that has ended.
TEST(Messages, RejectsDamagedReports)
{
  for (const char* body :
       { "",
         "{}",
         R"({"clock_ms":1,"running":[]})",
         R"({"clock_ms":1,"running":[17],"finished":[]})",
         R"({"clock_ms":1,"running":[["no name",1,"",0]],"finished":[]})" }) {
    CHECK_FALSE(platform::ParseRunnerReport(body).has_value());
  }
}

// Guards against a message that ends the process: a parser that recurses once
// for each array or object overflows the stack. One client could end each node
// with a body of 120,000 bytes.
TEST(Messages, RejectsMessagesThatAreNestedTooDeep)
{
  std::string objects;
  for (int i = 0; i < 48000; ++i) {
    objects += R"({"a":)";
  }
  for (const std::string& nested : { std::string(240000, '['), objects }) {
    const std::string inSteps = R"({"spec":"x","steps":)" + nested;
    CHECK_FALSE(Succeeded(platform::ParseJob("0123456789abcdef", "q", nested)));
    CHECK_FALSE(
      Succeeded(platform::ParseJob("0123456789abcdef", "q", inSteps)));
    CHECK_FALSE(platform::ParseRunnerReport(nested).has_value());
    CHECK_FALSE(platform::ParseRunnerEntry("i-1", nested).has_value());
    CHECK_FALSE(Succeeded(platform::ParseConfiguration(nested)));
    CHECK_FALSE(ParseJsonObject(nested).has_value());
    CHECK_FALSE(ParseStatus(nested).has_value());
  }
  // Unknown members of a moderate depth are ignored.
  CHECK_TRUE(Succeeded(
    platform::ParseJob("0123456789abcdef",
                       "q",
                       R"({"spec":"x","steps":[{"count":1}],"later":)" +
                         std::string(60, '[') + std::string(60, ']') + "}")));
}

// Guards against stored values that come back changed: all lengths of the last
// group, and bytes that are not text.
TEST(Messages, EncodesAndDecodesBase64)
{
  for (const std::string& text : { std::string(),
                                   std::string("a"),
                                   std::string("ab"),
                                   std::string("abc"),
                                   std::string("\0\xff\x10", 3) }) {
    const auto decoded = platform::DecodeBase64(platform::EncodeBase64(text));
    CHECK_TRUE(decoded && *decoded == text);
  }
  STRCMP_EQUAL("bm9kZS0x", platform::EncodeBase64("node-1").c_str());
  CHECK_FALSE(platform::DecodeBase64("b*9k").has_value());
}
