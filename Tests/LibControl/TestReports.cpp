#include <LibControl/AuditCommand.h>
#include <LibControl/ControlFixture.h>
#include <LibControl/DataCentreCommands.h>
#include <LibControl/ExplainCommand.h>
#include <LibControl/JobCommands.h>
#include <LibControl/StatusCommand.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

// Addresses of two schedulers.
const Endpoint kFirst{ "127.0.0.1", 24101 };
const Endpoint kSecond{ "127.0.0.1", 24102 };

constexpr const char* kJobText = R"({"job": "j-1", "team": "t",
  "size": {"cores": 1, "memoryMb": 1}, "expectedSeconds": 1})";

/// @return the record of a served request that waited 20 ms
DecisionRecord
Record(int aSecond, const char* aSubject, const char* aClientAccount)
{
  DecisionRecord record;
  record.mTime = std::chrono::system_clock::time_point(Seconds(aSecond));
  record.mMember = "gateway-1";
  record.mSubject = aSubject;
  record.mService = "desk";
  record.mClientAccount = aClientAccount;
  record.mRule = rule::kFreeSlot;
  record.mFigures[figure::kWaitedMs] = 20;
  return record;
}

} // namespace

TEST_GROUP(Reports)
{
  ControlFixture mFixture;
  Author mAuthor{ "ana", "no longer needed" };

  /// Stores a batch of records of gateway-1.
  void Store(std::uint64_t aSequence,
             const std::vector<DecisionRecord>& aRecords)
  {
    mFixture.mObjects.Store(RecordObjectName("gateway-1", aSequence),
                            EncodeRecords(aRecords));
  }
};

// Guards against an explanation that leaves out the reason of a refusal, the
// change that would have avoided it, or the comparison with the other request.
TEST(Reports, ExplainsARefusalAndComparesItWithAnother)
{
  DecisionRecord refused = Record(10, "r-1", "Ana");
  refused.mDecision = Decision::Refused;
  refused.mRule = rule::kDeadlineTooShort;
  refused.mFigures = { { figure::kDeadlineMs, 500 },
                       { figure::kExpectedMs, 1250 } };
  refused.mCounterfactual = "a deadline of at least 1.3 s";
  Store(1, { refused });
  Store(2, { Record(12, "r-2", "Bea") });
  const ControlResult result =
    ExplainSubject(mFixture.Ports(), {}, "r-1", "r-2");
  LONGS_EQUAL(0, result.mExit);
  STRCMP_EQUAL(
    "1970-01-01T00:00:10.000Z gateway-1: Request r-1 of Ana to desk was "
    "refused and did not run, because it could not have been answered in "
    "time: waiting and service were expected to take 1.3 s, and it allowed "
    "500 ms. What would have changed it: a deadline of at least 1.3 s.\n"
    "1970-01-01T00:00:12.000Z gateway-1: Request r-2 of Bea to desk was "
    "served, because a slot became free after 20 ms.\n"
    "Request r-2 of Bea to desk was decided on 2 s later than Request r-1 of "
    "Ana to desk. For the one, it could not have been answered in time: "
    "waiting and service were expected to take 1.3 s, and it allowed 500 ms; "
    "for the other, a slot became free after 20 ms. The rules do not look at "
    "who the customer is.\n",
    result.mText.c_str());
}

// Guards against an error for an id without records that does not say that
// older batches were not read.
TEST(Reports, MissingSubjectReportsHowManyBatchesWereRead)
{
  Store(1, { Record(10, "r-1", "Ana") });
  Store(2, { Record(20, "r-2", "Ana") });
  RecordWindow window;
  window.mMaxBatches = 1;
  const ControlResult result =
    ExplainSubject(mFixture.Ports(), window, "r-1", "");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_CONTAINS("looked through 1 batches", result.mText.c_str());
  STRCMP_CONTAINS("raise --batches", result.mText.c_str());
}

// Guards against a report that hides which client account was refused or waited
// longer, and against a request that counts twice because two hosts decided on
// it.
TEST(Reports, FairnessShowsEachClientAccountOnce)
{
  DecisionRecord refused = Record(3, "r-3", "Bea");
  refused.mDecision = Decision::Refused;
  refused.mRule = rule::kQueueFull;
  DecisionRecord forwarded = Record(1, "r-1", "Ana");
  forwarded.mRule = rule::kForwardedToPeer;
  DecisionRecord delayed = Record(2, "r-2", "Bea");
  delayed.mDecision = Decision::Delayed;
  Store(1, { forwarded, delayed, refused });
  Store(2, { Record(3, "r-1", "Ana"), Record(3, "r-2", "Bea") });
  const ControlResult result = ShowFairness(mFixture.Ports(), {}, "desk");
  STRCMP_EQUAL(
    "desk since 1970-01-01T00:00:00.000Z, 5 decisions:\n"
    "  Ana: 1 served; waited 20 ms in the median, 20 ms at the "
    "99th percentile\n"
    "  Bea: 1 served, 1 delayed, 1 refused; refused by queue-full: 1; waited "
    "20 ms in the median, 20 ms at the 99th percentile\n",
    result.mText.c_str());
}

// Guards against a job that can't be submitted because one scheduler is down.
TEST(Reports, SubmitAsksTheNextSchedulerIfOneIsDown)
{
  mFixture.AddScheduler("scheduler-1", kFirst);
  mFixture.AddScheduler("scheduler-2", kSecond);
  Json::Value answer;
  answer["state"] = "queued";
  mFixture.mAnswers.insert_or_assign(kSecond, answer);
  const ControlResult result =
    SubmitJob(mFixture.Ports(), "j.jsonc", kJobText, "");
  STRCMP_EQUAL("accepted: job j-1 (queued)\n", result.mText.c_str());
  LONGS_EQUAL(2, mFixture.mCalls.size());
}

// Guards against an unknown outcome that is reported as a refusal, or a refusal
// by a scheduler that is reported as unknown or as invalid input.
TEST(Reports, RefusalAndUnknownOutcomeHaveDifferentExitCodes)
{
  mFixture.AddScheduler("scheduler-1", kFirst);
  mFixture.mAnswers.insert_or_assign(
    kFirst, Error{ ErrorKind::InvalidInput, "no worker has 99 cores" });
  const ControlResult refused =
    SubmitJob(mFixture.Ports(), "j.jsonc", kJobText, "");
  LONGS_EQUAL(ExitCode::Refused, refused.mExit);
  STRCMP_EQUAL("no worker has 99 cores\n", refused.mText.c_str());
  mFixture.mAnswers.insert_or_assign(kFirst,
                                     Error{ ErrorKind::Unknown, "time-out" });
  const ControlResult unknown = CancelJob(mFixture.Ports(), mAuthor, "j-1");
  LONGS_EQUAL(ExitCode::Unknown, unknown.mExit);
}

// Guards against a status that shows a process as live although it no longer
// renews its session.
TEST(Reports, StatusMarksSessionsThatAreNotRenewed)
{
  mFixture.AddScheduler("scheduler-1", kFirst);
  mFixture.AddScheduler("scheduler-2", kSecond);
  Json::Value answer;
  answer["shards"][0]["queued"] = 3;
  answer["shards"][1]["queued"] = 4;
  mFixture.mAnswers.insert_or_assign(kFirst, answer);
  ControlPorts ports = mFixture.Ports();
  ports.mSleep = [this](Millis aTime) {
    mFixture.mSlept += aTime;
    mFixture.AddScheduler("scheduler-1", kFirst, 2);
  };
  const ControlResult result = ShowStatus(ports);
  STRCMP_EQUAL("revision 0\n"
               "documents:\n"
               "data centres:\n"
               "members:\n"
               "  scheduler-1 (scheduler) in dc-1 at 127.0.0.1:24101: live, "
               "successor none\n"
               "  scheduler-2 (scheduler) in dc-1 at 127.0.0.1:24102: NOT "
               "RENEWED, successor none\n"
               "shards:\n"
               "jobs:\n"
               "  scheduler-2 does not answer: connection refused\n"
               "  queued: 7\n",
               result.mText.c_str());
}

// Guards against an audit that leaves out changes after the requested revision
// or time.
TEST(Reports, AuditShowsChangesSinceARevisionOrTime)
{
  mFixture.mTable.Put(
    "dc/dc-1", R"({"region": "r", "state": "in", "who": "", "why": ""})");
  for (int i = 0; i < 60; ++i) {
    ReturnDataCentre(mFixture.Ports(), mAuthor, "dc-1");
    DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
    ReturnDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  }
  const auto count = [&](const char* aSince) {
    return ShowAudit(mFixture.Ports(), aSince).mJson["entries"].size();
  };
  LONGS_EQUAL(120, count("1"));
  LONGS_EQUAL(3, count("118"));
  LONGS_EQUAL(50, count(""));
  LONGS_EQUAL(120, count("1970-01-01T01:00"));
  LONGS_EQUAL(0, count("1970-01-02"));
  LONGS_EQUAL(ExitCode::BadInput,
              ShowAudit(mFixture.Ports(), "yesterday").mExit);
}
