#include <algorithm>
#include <string>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

TEST_GROUP(Takeover){};

// Guards against counting only the failure of the latest run when a new owner
// reads the ends on several runners in any order: the task would be started
// more often than its queue allows.
TEST(Takeover, CountsFailedRunsReportedInAnyOrder)
{
  DispatchWorld world;
  world.ListRunners(8);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  for (int failure = 0; failure < 3; ++failure) {
    world.End("job.0.0.0", EndKind::Failed);
    world.Report();
    world.Tick();
  }
  // The fourth run fails, and the owner is lost before it stores any end.
  world.End("job.0.0.0", EndKind::Failed);
  world.TakeOver(2);
  std::reverse(world.mDispatcher.mRunners.begin(),
               world.mDispatcher.mRunners.end());
  for (RunnerIndex i = 0; i < world.mDispatcher.mRunners.size(); ++i) {
    world.mDispatcher.mRunnerById[world.mDispatcher.mRunners[i].mSpec.mId] = i;
  }
  world.AdvanceTime(Millis(500));
  LONGS_EQUAL(4, world.mStarts);
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Failed);
}

// Guards against counting a failure twice if its end was stored but not yet
// acknowledged: the job would be shown as failed without cause.
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

// Guards against running a task again that is done, if the owner to which its
// end was reported was lost before it stored the end.
TEST(Takeover, KeepsADoneTaskWhoseEndIsReportedAgain)
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

// Guards against starting a task again while a runner that the new owner can't
// reach may still run it.
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
// silent before the takeover, although a record holds all runs that it may
// have.
TEST(Takeover, WaitsOnlyForTheRecordedRunsOfASilentRunner)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("recorded", { FiniteStep(1, 1000) }));
  const std::string silent = world.RunnerOf("recorded.0.0.0");
  world.mRunners[silent].mAnswers = false;
  world.AdvanceTime(Millis(500));
  const RunnerIndex index = world.mDispatcher.mRunnerById.at(silent);
  CHECK_TRUE(ShouldStoreRecord(world.mDispatcher, index, world.mNow));
  world.mRecords[silent] = PossibleRuns(world.mDispatcher, index);
  world.mAccepted.emplace("other", MakeJob("other", { FiniteStep(1, 1000) }));
  world.TakeOver(2);
  world.AdvanceTime(Millis(500));
  CHECK_TRUE(world.IsRunning("other.0.0.0"));
  LONGS_EQUAL(2, world.mStarts);
  // After one lease, the recorded run can't run there any more and is started
  // elsewhere. The new owner must not wait longer, until the earlier owner has
  // lost the right to act: lost runs would be restarted too late.
  world.AdvanceTime(Millis(5400));
  LONGS_EQUAL(2, world.mStarts);
  world.AdvanceTime(Millis(800));
  LONGS_EQUAL(3, world.mStarts);
}

// Guards against a stale record. The task in it has since run on another runner
// and is done; if its end is ignored, the task runs again.
TEST(Takeover, AcceptsTheEndOfALaterRunThanInAStaleRecord)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(2, 1000) }));
  const std::string silent = world.RunnerOf("job.0.0.0");
  world.mRunners[silent].mAnswers = false;
  world.AdvanceTime(Millis(500));
  world.mRecords[silent] =
    PossibleRuns(world.mDispatcher, world.mDispatcher.mRunnerById.at(silent));
  LONGS_EQUAL(2, world.mRecords[silent].size());
  // The leases of the runner end, and its tasks run on other runners. One of
  // them is done.
  world.mRunners[silent].mRunning.clear();
  world.AdvanceTime(Seconds(7));
  LONGS_EQUAL(4, world.mStarts);
  world.End("job.0.0.0", EndKind::Done);
  world.TakeOver(2);
  world.AdvanceTime(Seconds(22));
  LONGS_EQUAL(4, world.mStarts);
  LONGS_EQUAL(1, world.RunningTasks());
}

// Guards against ending the runs that a runner reports because this owner has
// granted it no lease yet: the leases of the earlier owner still hold. The
// first renewal may come a quarter of a second after the first report.
TEST(Takeover, RespectsLeasesOfTheEarlierOwnerAfterTheFirstReport)
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
