#include <algorithm>
#include <string>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

TEST_GROUP(Takeover){};

// Guards against failures that are counted only for the highest run when a new
// owner reads the ends of several runners in any order: the task was then
// started more often than its queue allows.
TEST(Takeover, CountsFailedRunsListedInAnyOrder)
{
  DispatchWorld world;
  world.ListRunners(8);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  for (int failure = 0; failure < 3; ++failure) {
    world.End("job.0.0.0", EndKind::Failed);
    world.Report();
    world.Tick();
  }
  // The fourth run fails, and nothing was stored before the owner is lost.
  world.End("job.0.0.0", EndKind::Failed);
  world.TakeOver(2);
  std::reverse(world.mCore.mRunners.begin(), world.mCore.mRunners.end());
  for (RunnerIndex i = 0; i < world.mCore.mRunners.size(); ++i) {
    world.mCore.mRunnerById[world.mCore.mRunners[i].mSpec.mId] = i;
  }
  world.AdvanceTime(Millis(500));
  LONGS_EQUAL(4, world.mStarts);
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Failed);
}

// Guards against counting a failure twice when its end was stored but not yet
// acknowledged, which would show a job as failed without cause.
TEST(Takeover, CountsAStoredFailureOnce)
{
  DispatchWorld world;
  world.ListRunners(8);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  for (int failure = 0; failure < 3; ++failure) {
    world.End("job.0.0.0", EndKind::Failed);
    world.Report();
    world.Tick();
  }
  world.Commit();
  world.TakeOver(2);
  world.AdvanceTime(Millis(500));
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  CHECK_TRUE(world.mEndedJobs.empty());
}

// Guards against running a task again after its end was listed as done to an
// owner that was lost before it stored that.
TEST(Takeover, KeepsADoneTaskWhoseEndIsListedAgain)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(2, 1000) }));
  world.End("job.0.0.0", EndKind::Done);
  world.Report();
  world.TakeOver(2);
  world.AdvanceTime(Millis(500));
  LONGS_EQUAL(2, world.mStarts);
  world.End("job.0.0.1", EndKind::Done);
  world.AdvanceTime(Millis(200));
  LONGS_EQUAL(2, world.mStarts);
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Completed);
}

// Guards against starting a second copy while a runner that the new owner can't
// reach may still run the first.
TEST(Takeover, WaitsForARunnerThatDoesNotAnswer)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.mRunners[world.RunnerOf("job.0.0.0")].mAnswers = false;
  world.TakeOver(2);
  world.AdvanceTime(Seconds(17));
  LONGS_EQUAL(1, world.mStarts);
  world.AdvanceTime(Seconds(2));
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against a shard that starts nothing for 16 s because one runner was
// silent before the takeover: its record names all that it may run.
TEST(Takeover, WaitsOnlyForTheRecordedRunsOfASilentRunner)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("held", { FiniteStep(1, 1000) }));
  const std::string silent = world.RunnerOf("held.0.0.0");
  world.mRunners[silent].mAnswers = false;
  world.AdvanceTime(Millis(500));
  const RunnerIndex index = world.mCore.mRunnerById.at(silent);
  CHECK_TRUE(ShouldStoreRecord(world.mCore, index, world.mNow));
  world.mRecords[silent] = PossibleRuns(world.mCore, index);
  world.mAccepted.emplace("other", MakeJob("other", { FiniteStep(1, 1000) }));
  world.TakeOver(2);
  world.AdvanceTime(Millis(500));
  CHECK_TRUE(world.IsRunning("other.0.0.0"));
  LONGS_EQUAL(2, world.mStarts);
  // One lease later it can't run there any more; the former owner's right to
  // act does not matter (thenpetti mix 839105945619 broke LOST by waiting).
  world.AdvanceTime(Millis(5400));
  LONGS_EQUAL(2, world.mStarts);
  world.AdvanceTime(Millis(800));
  LONGS_EQUAL(3, world.mStarts);
}

// Guards against a stale record: the task that it names has run elsewhere since
// and is done, but its end was ignored, and the task ran again.
TEST(Takeover, PrefersALaterRunToAStaleRecord)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(2, 1000) }));
  const std::string silent = world.RunnerOf("job.0.0.0");
  world.mRunners[silent].mAnswers = false;
  world.AdvanceTime(Millis(500));
  world.mRecords[silent] =
    PossibleRuns(world.mCore, world.mCore.mRunnerById.at(silent));
  LONGS_EQUAL(2, world.mRecords[silent].size());
  // The runner's lease ends, and its tasks run elsewhere; one is done.
  world.mRunners[silent].mRunning.clear();
  world.AdvanceTime(Seconds(7));
  LONGS_EQUAL(4, world.mStarts);
  world.End("job.0.0.0", EndKind::Done);
  world.TakeOver(2);
  world.AdvanceTime(Seconds(22));
  LONGS_EQUAL(4, world.mStarts);
  LONGS_EQUAL(1, world.RunningTasks());
}

// Guards against giving up what a runner lists because this owner has granted
// it no lease yet: the former owner's leases go on (thenpetti-grown trouble-1,
// where the first renewal came a quarter of a second after the first report).
TEST(Takeover, FormerLeasesCountAfterTheFirstReport)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  world.TakeOver(2);
  world.Report();
  world.mStarts = 0;
  for (int i = 0; i < 10; ++i) {
    world.mNow += Millis(100);
    world.Tick();
  }
  LONGS_EQUAL(0, world.mStarts);
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
}
