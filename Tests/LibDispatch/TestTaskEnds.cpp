#include <algorithm>
#include <random>
#include <string>

#include <LibDispatch/JobMoves.h>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// A step of finite tasks of which copies may run, one on a runner.
StepSpec
CopiedStep(std::uint32_t aTasks)
{
  StepSpec step = FiniteStep(aTasks, 16000);
  step.mSpeculationAllowed = true;
  return step;
}

/// A job whose only task runs on a silent runner, and of which the order to
/// start a copy on the other runner is under way.
struct CopyUnderWay
{
  std::string mFirst; ///< Runner of the first run.
  std::string mOther; ///< Runner of the copy.
  std::string mOtherZone;
};

CopyUnderWay
StartCopySlowly(DispatchWorld& aWorld, Millis aRoundTrip, JobSpec aJob)
{
  aWorld.ListRunners(2);
  aWorld.AddJob(std::move(aJob));
  aWorld.AdvanceTime(Seconds(1));
  CopyUnderWay copy;
  copy.mFirst = aWorld.RunnerOf("job.0.0.0");
  copy.mOther = copy.mFirst == "r0" ? "r1" : "r0";
  copy.mOtherZone = copy.mOther == "r0" ? "zone0" : "zone1";
  aWorld.mRunners[copy.mFirst].mAnswers = false;
  aWorld.mRoundTrips[copy.mOtherZone] = aRoundTrip;
  aWorld.AdvanceTime(Millis(800));
  LONGS_EQUAL(2, aWorld.mStarts);
  LONGS_EQUAL(0, aWorld.mRunners[copy.mOther].mRunning.size());
  return copy;
}

/// Lets the first run end, and its runner answer again.
void
EndFirstRun(DispatchWorld& aWorld, const CopyUnderWay& aCopy, EndKind aKind)
{
  CHECK_TRUE(aCopy.mFirst == aWorld.RunnerOf("job.0.0.0"));
  aWorld.End("job.0.0.0", aKind);
  aWorld.mRunners[aCopy.mFirst].mAnswers = true;
}

/// Checks that the job is done, and that nothing of it runs or is started.
void
CheckDoneForGood(DispatchWorld& aWorld)
{
  aWorld.AdvanceTime(Millis(200));
  CHECK_TRUE(aWorld.mEndedJobs.contains("job"));
  CHECK_TRUE(aWorld.mEndedJobs["job"] == JobPhase::Completed);
  aWorld.AdvanceTime(Seconds(30));
  LONGS_EQUAL(2, aWorld.mStarts);
  LONGS_EQUAL(0, aWorld.RunningTasks());
  LONGS_EQUAL(0, aWorld.mStartsAfterNotedEnd);
  CHECK_TRUE(aWorld.mDispatcher.mJobs.empty());
}

} // namespace

TEST_GROUP(TaskEnds){};

// Guards against the end of a first run that is dropped and acknowledged while
// the start order for a copy has no answer yet: the task would run again.
TEST(TaskEnds, TheFirstRunCountsWhileItsCopyStarts)
{
  DispatchWorld world;
  const CopyUnderWay copy =
    StartCopySlowly(world, Millis(800), MakeJob("job", { CopiedStep(1) }));
  EndFirstRun(world, copy, EndKind::Done);
  CheckDoneForGood(world);
}

// Guards against the same once the order has been given up without an answer,
// and is carried out seconds later.
TEST(TaskEnds, TheFirstRunCountsWhileItsCopyIsStopped)
{
  DispatchWorld world;
  const CopyUnderWay copy =
    StartCopySlowly(world, Seconds(3), MakeJob("job", { CopiedStep(1) }));
  world.AdvanceTime(Seconds(1));
  EndFirstRun(world, copy, EndKind::Done);
  CheckDoneForGood(world);
}

// Guards against the same when the account of the job gets a cap after the copy
// was started, with which no copies are started.
TEST(TaskEnds, TheFirstRunCountsAfterItsAccountGotACap)
{
  DispatchWorld world;
  AccountSpec account;
  account.mName = "grower";
  SetAccounts(world.mDispatcher, { &account, 1 });
  JobSpec job = MakeJob("job", { CopiedStep(1) });
  job.mAccount = "grower";
  const CopyUnderWay copy = StartCopySlowly(world, Millis(300), job);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mRunners[copy.mOther].mRunning.size());
  account.mCap.mMilliCores = 64000;
  SetAccounts(world.mDispatcher, { &account, 1 });
  EndFirstRun(world, copy, EndKind::Done);
  CheckDoneForGood(world);
}

// Guards against the same for a later owner, which learns of the copy before it
// hears the end of the first run.
TEST(TaskEnds, TheFirstRunCountsForALaterOwner)
{
  DispatchWorld world;
  const CopyUnderWay copy =
    StartCopySlowly(world, Millis(300), MakeJob("job", { CopiedStep(1) }));
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mRunners[copy.mOther].mRunning.size());
  world.TakeOver(2);
  world.AdvanceTime(Seconds(1));
  EndFirstRun(world, copy, EndKind::Done);
  CheckDoneForGood(world);
}

// Guards against the same for a task that doesn't allow copies: its first run
// counted as ended, since its runner was silent for longer than its leases.
TEST(TaskEnds, ARunThatCountedAsEndedIsDone)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("job", { FiniteStep(1, 16000) }));
  const std::string first = world.RunnerOf("job.0.0.0");
  const std::string other = first == "r0" ? "r1" : "r0";
  world.End("job.0.0.0", EndKind::Done);
  world.mRunners[first].mAnswers = false;
  world.mRoundTrips[other == "r0" ? "zone0" : "zone1"] = Seconds(3);
  for (int i = 0; i < 1000 && world.mStarts == 1; ++i) {
    world.AdvanceTime(Millis(50));
  }
  world.mRunners[first].mAnswers = true;
  CheckDoneForGood(world);
}

// Guards against a cancelled job that is shown as completed, because the first
// run of its last task ends while the copy is being stopped.
TEST(TaskEnds, AFirstRunDoesNotCompleteACancelledJob)
{
  DispatchWorld world;
  const CopyUnderWay copy =
    StartCopySlowly(world, Seconds(3), MakeJob("job", { CopiedStep(1) }));
  CancelJob(world.mDispatcher, "job", world.mNow, world.mActions);
  world.PerformOrders();
  EndFirstRun(world, copy, EndKind::Done);
  world.AdvanceTime(Seconds(20));
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Cancelled);
  LONGS_EQUAL(0, world.RunningTasks());
  CHECK_TRUE(world.mDispatcher.mJobs.empty());
}

// Guards against a runner that gets more than its room: a copy whose task is
// done may be started late, and keeps its place until that is impossible.
TEST(TaskEnds, ACopyOfADoneTaskKeepsItsPlace)
{
  DispatchWorld world;
  const CopyUnderWay copy =
    StartCopySlowly(world, Millis(800), MakeJob("job", { CopiedStep(1) }));
  EndFirstRun(world, copy, EndKind::Done);
  world.AddJob(MakeJob("next", { FiniteStep(2, 16000) }));
  for (int i = 0; i < 100; ++i) {
    world.AdvanceTime(Millis(50));
    CHECK_TRUE(world.mRunners[copy.mOther].mRunning.size() <= 1);
  }
  LONGS_EQUAL(2, world.RunningTasks());
}

// Guards against a task that may fail more often than its queue allows, because
// the failure of its first run is not counted while a copy starts.
TEST(TaskEnds, AFailedFirstRunIsCountedWhileItsCopyStarts)
{
  DispatchWorld world;
  QueueSpec queue = world.mDispatcher.mQueues.at("queue");
  queue.mMaxAttempts = 1;
  SetQueues(world.mDispatcher, { &queue, 1 });
  const CopyUnderWay copy =
    StartCopySlowly(world, Millis(800), MakeJob("job", { CopiedStep(1) }));
  EndFirstRun(world, copy, EndKind::Failed);
  world.AdvanceTime(Seconds(20));
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Failed);
  LONGS_EQUAL(2, world.mStarts);
  LONGS_EQUAL(0, world.RunningTasks());
}

// Guards against a job that is handed over to another shard, which would not
// hear that a run that was given up here is done.
TEST(TaskEnds, AJobStaysWhileARunThatWasGivenUpMayGoOn)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("filler", { FiniteStep(1, 16000) }));
  world.AddJob(MakeJob("job", { CopiedStep(1) }));
  world.AdvanceTime(Seconds(1));
  const std::string runner = world.RunnerOf("job.0.0.0");
  world.mRunners[runner].mAnswers = false;
  world.AdvanceTime(Seconds(2));
  const Job& job = *world.mDispatcher.mJobs.find("job")->second;
  LONGS_EQUAL(0, job.mActiveRuns);
  CHECK_FALSE(MayMove(world.mDispatcher, job));
  // The leases of the silent runner end.
  world.AdvanceTime(Seconds(8));
  CHECK_TRUE(MayMove(world.mDispatcher, job));
}

// Guards against members of a gang that run on beside other tasks in the room
// that they were given, after a former run of the gang is done.
TEST(TaskEnds, AGangWhoseFormerRunIsDoneIsStopped)
{
  DispatchWorld world;
  world.ListRunners(4);
  StepSpec gang = FiniteStep(2, 16000);
  gang.mGang = true;
  world.AddJob(MakeJob("job", { gang }));
  const std::string first = world.RunnerOf("job.0.0.0");
  const std::string second = world.RunnerOf("job.0.0.1");
  world.mRunners[first].mAnswers = false;
  world.mRunners[second].mAnswers = false;
  const DispatchWorld::Run former = world.mRunners[first].mRunning.at(0);
  for (int i = 0; i < 1000 && world.mStarts < 4; ++i) {
    world.AdvanceTime(Millis(50));
  }
  LONGS_EQUAL(4, world.mStarts);
  DispatchWorld::FakeRunner& runner = world.mRunners[first];
  std::erase_if(runner.mEnds,
                [&](const EndEntry& aEnd) { return aEnd.mRun == former.mRun; });
  runner.mEnds.push_back({ runner.mNextEnd++,
                           *ParseTaskName(former.mTask),
                           former.mRun,
                           EndKind::Done,
                           {} });
  runner.mAnswers = true;
  for (RunnerIndex i = 0; i < 4; ++i) {
    if (world.mDispatcher.mRunners[i].mSpec.mId == first) {
      world.Report(i);
    }
  }
  LONGS_EQUAL(0, world.RunningTasks());
  world.AdvanceTime(Seconds(20));
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Completed);
  LONGS_EQUAL(4, world.mStarts);
}

// Guards against an occurrence that is kept for ever, because a copy was still
// being stopped when its last task was done.
TEST(TaskEnds, AnOccurrenceEndsOnceTheCopyHasEnded)
{
  DispatchWorld world;
  JobSpec job = MakeJob("job", { CopiedStep(1) });
  job.mOccurrences = 2;
  job.mFirstDueMs =
    std::chrono::duration_cast<Millis>(world.mNow.time_since_epoch()).count();
  job.mIntervalMs = 600000;
  const CopyUnderWay copy = StartCopySlowly(world, Millis(800), job);
  EndFirstRun(world, copy, EndKind::Done);
  world.AdvanceTime(Millis(50));
  const Job& known = *world.mDispatcher.mJobs.find("job")->second;
  LONGS_EQUAL(1, known.mOccurrencesDone);
  LONGS_EQUAL(1, known.mOccurrences.size());
  world.AdvanceTime(Seconds(10));
  LONGS_EQUAL(0, known.mOccurrences.size());
  LONGS_EQUAL(0, known.mActiveRuns);
}

// Guards against each way in which an end is acknowledged and its task started
// again: runners fall silent, orders are late, caps come and go, and owners
// change, at random times.
TEST(TaskEnds, NoTaskIsStartedAfterItsEndWasNoted)
{
  constexpr std::uint32_t kSchedules = 60;
  constexpr std::size_t kRunners = 6;
  for (std::uint32_t seed = 1; seed <= kSchedules; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&](std::uint32_t aOneIn) {
      return random() % aOneIn == 0;
    };
    DispatchWorld world;
    AccountSpec account;
    account.mName = "grower";
    SetAccounts(world.mDispatcher, { &account, 1 });
    world.ListRunners(kRunners);
    std::int64_t epoch = 1;
    int jobs = 0;
    const auto endSome = [&] {
      for (const auto& [id, runner] : world.mRunners) {
        if (!runner.mRunning.empty() && chance(20)) {
          world.End(runner.mRunning.front().mTask,
                    chance(8) ? EndKind::Failed : EndKind::Done);
        }
      }
    };
    for (int step = 0; step < 600; ++step) {
      if (chance(6)) {
        JobSpec job = MakeJob("job" + std::to_string(jobs++),
                              { CopiedStep(1 + random() % 2) });
        job.mAccount = chance(2) ? "grower" : "";
        world.AddJob(job);
      }
      DispatchWorld::FakeRunner& runner =
        world.mRunners["r" + std::to_string(random() % kRunners)];
      if (chance(5)) {
        runner.mAnswers = !runner.mAnswers;
      }
      const std::string zone = "zone" + std::to_string(random() % 3);
      if (chance(10)) {
        world.mRoundTrips[zone] = Millis(100 + random() % 4000);
      }
      if (chance(10)) {
        world.mRoundTrips.erase(zone);
      }
      if (chance(100)) {
        account.mCap.mMilliCores = chance(2) ? 32000 : 0;
        SetAccounts(world.mDispatcher, { &account, 1 });
      }
      if (chance(200)) {
        world.TakeOver(++epoch);
      }
      endSome();
      world.AdvanceTime(Millis(50));
    }
    for (auto& [id, runner] : world.mRunners) {
      runner.mAnswers = true;
    }
    world.mRoundTrips.clear();
    for (int step = 0; step < 2000 && !world.mAccepted.empty(); ++step) {
      endSome();
      world.AdvanceTime(Millis(50));
    }
    const std::string schedule = "schedule " + std::to_string(seed);
    LONGS_EQUAL_TEXT(0, world.mStartsAfterNotedEnd, schedule.c_str());
    LONGS_EQUAL_TEXT(0, world.mAccepted.size(), schedule.c_str());
  }
}
