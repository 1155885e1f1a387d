#include <LibControl/ControlFixture.h>
#include <LibControl/DataCentreCommands.h>
#include <LibControl/ReleaseCommand.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

// Addresses of two schedulers.
const Endpoint kFirst{ "127.0.0.1", 24101 };
const Endpoint kSecond{ "127.0.0.1", 24102 };

/// @return a scheduler's answer that it uses the configuration of this revision
Json::Value
AtRevision(unsigned aRevision)
{
  Json::Value status;
  status["configRevision"] = aRevision;
  return status;
}

} // namespace

TEST_GROUP(DataCentres)
{
  ControlFixture mFixture;
  Author mAuthor{ "ana", "power work" };

  void setup() override
  {
    mFixture.mTable.Put(
      "dc/dc-1", R"({"region": "r", "state": "in", "who": "", "why": ""})");
    mFixture.mTable.Put("config/revision", "5");
    mFixture.AddScheduler("scheduler-1", kFirst);
    mFixture.AddScheduler("scheduler-2", kSecond);
  }
};

// Guards against a drain that returns before all schedulers have confirmed it,
// and against one that waits on after they have.
TEST(DataCentres, DrainWaitsUntilEverySchedulerConfirms)
{
  mFixture.mAnswers.insert_or_assign(kFirst, AtRevision(6));
  mFixture.mAnswers.insert_or_assign(kSecond, AtRevision(7));
  const ControlResult result =
    DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  LONGS_EQUAL(0, result.mExit);
  STRCMP_EQUAL("accepted: out of service: dc-1 (revision 6)\n"
               "confirmed by all 2 schedulers; no task starts there any more\n",
               result.mText.c_str());
  LONGS_EQUAL(0, mFixture.mSlept.count());
  STRCMP_CONTAINS("\"state\":\"out\"",
                  mFixture.mTable.Value("dc/dc-1").c_str());
  LONGS_EQUAL(1, mFixture.mTable.Rows("audit/").size());
}

// Guards against a drain that returns early although one scheduler still uses
// an older revision and another does not answer: both may start tasks until
// their last read of the table is too old.
TEST(DataCentres, DrainWaitsUntilUnconfirmedSchedulersCanNotStartTasks)
{
  mFixture.mAnswers.insert_or_assign(kFirst, AtRevision(5));
  const ControlResult result =
    DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  LONGS_EQUAL(0, result.mExit);
  LONGS_EQUAL(kMaxInServiceConfirmationAge.count(), mFixture.mSlept.count());
  STRCMP_CONTAINS("without an answer: scheduler-1 scheduler-2",
                  result.mText.c_str());
}

// Guards against a drain that waits for one time-out per scheduler without an
// answer, long after no scheduler can start a task there.
TEST(DataCentres, TimeOutsOfSilentSchedulersDoNotAddUp)
{
  for (int i = 3; i < 10; ++i) {
    mFixture.AddScheduler("scheduler-" + std::to_string(i), kFirst);
  }
  ControlPorts ports = mFixture.Ports();
  ports.mCall = [this](const Endpoint&,
                       const std::string&,
                       const Json::Value&) -> Outcome<Json::Value> {
    mFixture.mSlept += Millis(1000);
    return Error{ ErrorKind::Unknown, "time-out" };
  };
  const ControlResult result = DrainDataCentre(ports, mAuthor, "dc-1");
  LONGS_EQUAL(0, result.mExit);
  LONGS_EQUAL(kMaxInServiceConfirmationAge.count(), mFixture.mSlept.count());
  LONGS_EQUAL(9, result.mJson["unconfirmed"].size());
}

// Guards against a drain that is repeated after an interruption and returns
// without waiting, because the state is already set.
TEST(DataCentres, RepeatedDrainWaitsAgain)
{
  DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  mFixture.mSlept = Millis(0);
  const ControlResult again =
    DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  STRCMP_CONTAINS("unchanged: out of service: dc-1 (revision 6)",
                  again.mText.c_str());
  LONGS_EQUAL(kMaxInServiceConfirmationAge.count(), mFixture.mSlept.count());
  LONGS_EQUAL(1, mFixture.mTable.Rows("audit/").size());
}

// Guards against a return to service that is reported as done although the
// table service was down and nothing was committed.
TEST(DataCentres, ReturnDuringAnOutageIsRefused)
{
  DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  mFixture.mTable.mFaults.SetOutage(true);
  const ControlResult result =
    ReturnDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  LONGS_EQUAL(ExitCode::Unreachable, result.mExit);
  mFixture.mTable.mFaults.SetOutage(false);
  STRCMP_CONTAINS("\"state\":\"out\"",
                  mFixture.mTable.Value("dc/dc-1").c_str());
  STRCMP_EQUAL(
    "accepted: in service: dc-1 (revision 7)\n",
    ReturnDataCentre(mFixture.Ports(), mAuthor, "dc-1").mText.c_str());
}

// Guards against a drain that overwrites a change that another operator made to
// the same row between reading and committing.
TEST(DataCentres, ConcurrentDrainAndRegionChangeConflict)
{
  mFixture.mTable.BeforeTransact([this] {
    mFixture.mTable.Put(
      "dc/dc-1", R"({"region": "s", "state": "in", "who": "b", "why": ""})");
    mFixture.mTable.Put("config/revision", "6");
  });
  const ControlResult result =
    DrainDataCentre(mFixture.Ports(), mAuthor, "dc-1");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_CONTAINS("dc/dc-1 was changed by somebody else", result.mText.c_str());
}

// Guards against a drain of a mistyped name that is reported as done.
TEST(DataCentres, UnknownDataCentreNameListsTheKnownOnes)
{
  const ControlResult result =
    DrainDataCentre(mFixture.Ports(), mAuthor, "dc-9");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_EQUAL("there is no data centre dc-9; known are: dc-1\n",
               result.mText.c_str());
}

// Guards against the release of a process that is alive, whose shards would
// then have two owners.
TEST(DataCentres, ReleaseRefusesALiveMember)
{
  ControlPorts ports = mFixture.Ports();
  ports.mSleep = [this](Millis aTime) {
    mFixture.mSlept += aTime;
    mFixture.AddScheduler("scheduler-1", kFirst, 2);
  };
  const ControlResult result = ReleaseMember(ports, mAuthor, "scheduler-1");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_CONTAINS("scheduler-1 is alive", result.mText.c_str());
  LONGS_EQUAL(0, mFixture.mTable.Rows("release/").size());
}

// Guards against a release that also applies to a later process of the same
// name, and against one that is written before a lease term has passed.
TEST(DataCentres, ReleaseNamesTheIncarnation)
{
  const ControlResult result =
    ReleaseMember(mFixture.Ports(), mAuthor, "scheduler-1");
  LONGS_EQUAL(0, result.mExit);
  CHECK_TRUE(mFixture.mSlept > Millis(3000));
  STRCMP_CONTAINS("\"incarnation\":\"i-scheduler-1\"",
                  mFixture.mTable.Value("release/scheduler-1").c_str());
  LONGS_EQUAL(1, mFixture.mTable.Rows("audit/").size());
}
