#include <algorithm>
#include <string>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Lets service discovery list the runner as draining.
void
Drain(DispatchWorld& aWorld, const std::string& aRunner)
{
  for (RunnerSpec& spec : aWorld.mListed) {
    spec.mDraining = spec.mDraining || spec.mId == aRunner;
  }
  SetRunners(aWorld.mDispatcher, aWorld.mListed, aWorld.mNow, aWorld.mActions);
}

} // namespace

TEST_GROUP(LeavingRunners){};

// Guards against a long-running task that is away for a lease of 6 s although
// its runner has said that it will leave.
TEST(LeavingRunners, MovesLongRunningTasksBeforeTheRunnerLeaves)
{
  DispatchWorld world;
  world.ListRunners(3);
  world.AddJob(MakeJob("job", { LongRunningStep(3, 4000) }));
  world.AdvanceTime(Seconds(1));
  const std::string leaving = world.RunnerOf("job.0.0.0");
  Drain(world, leaving);
  world.AdvanceTime(Millis(500));
  for (const char* task : { "job.0.0.0", "job.0.0.1", "job.0.0.2" }) {
    CHECK_TRUE(world.IsRunning(task));
    CHECK_TRUE(world.RunnerOf(task) != leaving);
  }
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against stopping a task that has no place elsewhere: it would be away
// for longer than if it worked until its runner leaves.
TEST(LeavingRunners, LeavesTasksWithoutRoomElsewhere)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("job", { LongRunningStep(4, 8000) }));
  world.AdvanceTime(Seconds(1));
  Drain(world, "r0");
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(4, world.RunningTasks());
  LONGS_EQUAL(4, world.mStarts);
}

// Guards against stopping more tasks than there is room for: the same room was
// counted for each of them.
TEST(LeavingRunners, CountsTheRoomOfEachTaskThatMoves)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("job", { LongRunningStep(3, 8000) }));
  world.AdvanceTime(Seconds(1));
  const std::size_t onFirst = world.mRunners["r0"].mRunning.size();
  Drain(world, onFirst == 2 ? "r0" : "r1");
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(3, world.RunningTasks());
  LONGS_EQUAL(4, world.mStarts);
}

// Guards against a lost task that fits nowhere, or a task of a removed queue,
// that keeps all others on leaving runners.
TEST(LeavingRunners, MovesTasksBesideOnesThatFitNowhere)
{
  DispatchWorld world;
  world.ListRunners(4);
  const QueueSpec queue = world.mDispatcher.mQueues.at("queue");
  QueueSpec removed = queue;
  removed.mName = "removed";
  const QueueSpec both[] = { queue, removed };
  SetQueues(world.mDispatcher, both);
  StepSpec rare = LongRunningStep(1, 16000);
  rare.mRequiredLabel = "a";
  JobSpec orphan = MakeJob("orphan", { LongRunningStep(1, 1000) });
  orphan.mQueue = "removed";
  world.AddJob(orphan);
  world.AddJob(MakeJob("rare", { rare }));
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Seconds(1));
  // No runner has the label any more when the task is lost.
  for (RunnerSpec& spec : world.mListed) {
    spec.mLabels = { "b", spec.mRack };
  }
  const std::string leaving = world.RunnerOf("job.0.0.0");
  STRCMP_EQUAL(leaving.c_str(), world.RunnerOf("orphan.0.0.0").c_str());
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  world.End("rare.0.0.0", EndKind::Failed);
  world.AdvanceTime(Seconds(6));
  CHECK_FALSE(world.IsRunning("rare.0.0.0"));
  SetQueues(world.mDispatcher, { &queue, 1 });
  Drain(world, leaving);
  world.AdvanceTime(Seconds(1));
  CHECK_TRUE(world.RunnerOf("job.0.0.0") != leaving);
}

// Guards against a second run of a task on a leaving runner that gets the stop
// order, or does not get it, and works on.
TEST(LeavingRunners, StartsNoSecondRunWhileTheFirstMayRun)
{
  DispatchWorld world;
  for (const char* runner : { "r0", "r1", "r2" }) {
    world.mRunners[runner].mClockRate = 0.98;
  }
  world.ListRunners(3);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 4000) }));
  world.AdvanceTime(Seconds(1));
  const std::string leaving = world.RunnerOf("job.0.0.0");
  Drain(world, leaving);
  world.mRunners[leaving].mAnswers = false;
  world.AdvanceTime(Seconds(12));
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  CHECK_TRUE(world.RunnerOf("job.0.0.0") != leaving);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against finite tasks and gangs that lose their work because their
// runner leaves later than they end.
TEST(LeavingRunners, LeavesFiniteTasksAndGangsAlone)
{
  DispatchWorld world;
  world.ListRunners(3);
  StepSpec gang = LongRunningStep(2, 1000);
  gang.mGang = true;
  world.AddJob(MakeJob("finite", { FiniteStep(2, 1000) }));
  world.AddJob(MakeJob("gang", { gang }));
  world.AdvanceTime(Seconds(1));
  const std::uint32_t starts = world.mStarts;
  Drain(world, world.RunnerOf("finite.0.0.0"));
  Drain(world, world.RunnerOf("gang.0.0.0"));
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(starts, world.mStarts);
}

// Guards against a long-running task that is away for a lease and longer after
// its runner has left as announced: all other runners were kept full by small
// finite tasks, of which one starts as soon as another ends.
TEST(LeavingRunners, HoldsRoomForTasksThatFitNowhere)
{
  DispatchWorld world;
  world.ListRunners(9);
  // Each other runner takes three of the finite tasks.
  world.AddJob(MakeJob("job", { LongRunningStep(1, 12000) }));
  world.AdvanceTime(Seconds(1));
  const std::string leaving = world.RunnerOf("job.0.0.0");
  int jobs = 0;
  const auto keepFull = [&](Millis aTime) {
    for (Millis passed(0); passed < aTime; passed += Millis(500)) {
      for (int i = 0; i < 4; ++i) {
        world.AddJob(
          MakeJob("finite" + std::to_string(jobs++), { FiniteStep(6, 5000) }));
      }
      // The oldest task of each runner ends.
      for (auto& [id, runner] : world.mRunners) {
        const auto finite =
          std::find_if(runner.mRunning.begin(),
                       runner.mRunning.end(),
                       [](const DispatchWorld::Run& aRun) {
                         return aRun.mTask.starts_with("finite");
                       });
        if (finite != runner.mRunning.end()) {
          world.End(std::string(finite->mTask), EndKind::Done);
        }
      }
      world.AdvanceTime(Millis(500));
    }
  };
  keepFull(Seconds(3));
  STRCMP_EQUAL(leaving.c_str(), world.RunnerOf("job.0.0.0").c_str());
  Drain(world, leaving);
  keepFull(Seconds(4));
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  CHECK_TRUE(world.RunnerOf("job.0.0.0") != leaving);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
  // The room is held only as long as it is needed.
  CHECK_TRUE(world.mDispatcher.mHeldForMoves.empty());
}

// Guards against keeping one of few runners free for a task that still runs:
// small tasks that fit nowhere else would wait as long as its runner drains.
TEST(LeavingRunners, HoldsNoRoomAmongFewRunners)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 12000) }));
  world.AdvanceTime(Seconds(1));
  const std::string leaving = world.RunnerOf("job.0.0.0");
  world.AddJob(MakeJob("long", { FiniteStep(1, 10000) }));
  world.AdvanceTime(Seconds(1));
  CHECK_TRUE(world.RunnerOf("long.0.0.0") != leaving);
  Drain(world, leaving);
  world.AdvanceTime(Seconds(1));
  world.AddJob(MakeJob("small", { FiniteStep(1, 2000) }));
  world.AdvanceTime(Millis(200));
  CHECK_TRUE(world.IsRunning("small.0.0.0"));
  CHECK_TRUE(world.RunnerOf("job.0.0.0") == leaving);
}
