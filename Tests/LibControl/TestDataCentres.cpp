#include <LibControl/ControlFixture.h>
#include <LibControl/DataCentreCommands.h>
#include <LibControl/ReleaseCommand.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const Endpoint kFirst{ "127.0.0.1", 24101 };
const Endpoint kSecond{ "127.0.0.1", 24102 };

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
  ControlFixture mWorld;
  Author mAna{ "ana", "power work" };

  void setup() override
  {
    mWorld.mTable.Put(
      "dc/dc-1", R"({"region": "r", "state": "in", "who": "", "why": ""})");
    mWorld.mTable.Put("config/revision", "5");
    mWorld.AddScheduler("scheduler-1", kFirst);
    mWorld.AddScheduler("scheduler-2", kSecond);
  }
};

// Guards against a drain that returns while a scheduler may still start tasks.
TEST(DataCentres, DrainWaitsUntilEverySchedulerConfirms)
{
  mWorld.mAnswers.insert_or_assign(kFirst, AtRevision(6));
  mWorld.mAnswers.insert_or_assign(kSecond, AtRevision(7));
  const ControlResult result = DrainDataCentre(mWorld.Ports(), mAna, "dc-1");
  LONGS_EQUAL(0, result.mExit);
  STRCMP_EQUAL("accepted: out of service: dc-1 (revision 6)\n"
               "confirmed by all 2 schedulers; no task starts there any more\n",
               result.mText.c_str());
  LONGS_EQUAL(0, mWorld.mSlept.count());
  STRCMP_CONTAINS("\"state\":\"out\"", mWorld.mTable.Value("dc/dc-1").c_str());
  LONGS_EQUAL(1, mWorld.mTable.Rows("audit/").size());
}

// Guards against a drain that returns early because one scheduler is cut off,
// is behind, or never answers.
TEST(DataCentres, DrainWaitsOutTheProofsOfOthers)
{
  mWorld.mAnswers.insert_or_assign(kFirst, AtRevision(5));
  const ControlResult result = DrainDataCentre(mWorld.Ports(), mAna, "dc-1");
  LONGS_EQUAL(0, result.mExit);
  LONGS_EQUAL(kProofAge.count(), mWorld.mSlept.count());
  STRCMP_CONTAINS("without an answer: scheduler-1 scheduler-2",
                  result.mText.c_str());
}

// Guards against a drain that waits for one time-out per silent scheduler,
// long after no process can start a task there.
TEST(DataCentres, SilentSchedulersDoNotAddUp)
{
  for (int i = 3; i < 10; ++i) {
    mWorld.AddScheduler("scheduler-" + std::to_string(i), kFirst);
  }
  ControlPorts ports = mWorld.Ports();
  ports.mCall = [this](const Endpoint&,
                       const std::string&,
                       const Json::Value&) -> Outcome<Json::Value> {
    mWorld.mSlept += Millis(1000);
    return Error{ ErrorKind::Unknown, "time-out" };
  };
  const ControlResult result = DrainDataCentre(ports, mAna, "dc-1");
  LONGS_EQUAL(0, result.mExit);
  LONGS_EQUAL(kProofAge.count(), mWorld.mSlept.count());
  LONGS_EQUAL(9, result.mJson["unconfirmed"].size());
}

// Guards against a drain command that is repeated after an interruption and
// returns without waiting.
TEST(DataCentres, RepeatedDrainWaitsAgain)
{
  DrainDataCentre(mWorld.Ports(), mAna, "dc-1");
  mWorld.mSlept = Millis(0);
  const ControlResult again = DrainDataCentre(mWorld.Ports(), mAna, "dc-1");
  STRCMP_CONTAINS("unchanged: out of service: dc-1 (revision 6)",
                  again.mText.c_str());
  LONGS_EQUAL(kProofAge.count(), mWorld.mSlept.count());
  LONGS_EQUAL(1, mWorld.mTable.Rows("audit/").size());
}

// Guards against a return to service that is reported before it is committed.
TEST(DataCentres, ReturnInAnOutageIsRefused)
{
  DrainDataCentre(mWorld.Ports(), mAna, "dc-1");
  mWorld.mTable.mFaults.SetOutage(true);
  const ControlResult result = ReturnDataCentre(mWorld.Ports(), mAna, "dc-1");
  LONGS_EQUAL(ExitCode::Unreachable, result.mExit);
  mWorld.mTable.mFaults.SetOutage(false);
  STRCMP_CONTAINS("\"state\":\"out\"", mWorld.mTable.Value("dc/dc-1").c_str());
  STRCMP_EQUAL("accepted: in service: dc-1 (revision 7)\n",
               ReturnDataCentre(mWorld.Ports(), mAna, "dc-1").mText.c_str());
}

// Guards against a drain that overwrites another change of the same row.
TEST(DataCentres, RacingDrainAndRegionChangeConflict)
{
  mWorld.mTable.BeforeTransact([this] {
    mWorld.mTable.Put(
      "dc/dc-1", R"({"region": "s", "state": "in", "who": "b", "why": ""})");
    mWorld.mTable.Put("config/revision", "6");
  });
  const ControlResult result = DrainDataCentre(mWorld.Ports(), mAna, "dc-1");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_CONTAINS("dc/dc-1 was changed by somebody else", result.mText.c_str());
}

// Guards against a mistyped name that seems to be out of service.
TEST(DataCentres, UnknownNameListsTheKnownOnes)
{
  const ControlResult result = DrainDataCentre(mWorld.Ports(), mAna, "dc-9");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_EQUAL("there is no data centre dc-9; known are: dc-1\n",
               result.mText.c_str());
}

// Guards against the release of a process that is alive, whose shards would
// then have two owners.
TEST(DataCentres, ReleaseRefusesALiveMember)
{
  ControlPorts ports = mWorld.Ports();
  ports.mSleep = [this](Millis aTime) {
    mWorld.mSlept += aTime;
    mWorld.AddScheduler("scheduler-1", kFirst, 2);
  };
  const ControlResult result = ReleaseMember(ports, mAna, "scheduler-1");
  LONGS_EQUAL(ExitCode::Refused, result.mExit);
  STRCMP_CONTAINS("scheduler-1 is alive", result.mText.c_str());
  LONGS_EQUAL(0, mWorld.mTable.Rows("release/").size());
}

// Guards against a release that also applies to a later process of that name.
TEST(DataCentres, ReleaseNamesTheIncarnation)
{
  const ControlResult result =
    ReleaseMember(mWorld.Ports(), mAna, "scheduler-1");
  LONGS_EQUAL(0, result.mExit);
  CHECK_TRUE(mWorld.mSlept > Millis(3000));
  STRCMP_CONTAINS("\"incarnation\":\"i-scheduler-1\"",
                  mWorld.mTable.Value("release/scheduler-1").c_str());
  LONGS_EQUAL(1, mWorld.mTable.Rows("audit/").size());
}
