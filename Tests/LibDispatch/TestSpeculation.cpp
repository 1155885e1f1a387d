#include <algorithm>
#include <string>

#include <LibDispatch/Speculation.h>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// @return a step of finite tasks of which copies may run
StepSpec
CopiedStep(std::uint32_t aTasks, std::int64_t aMilliCores)
{
  StepSpec step = FiniteStep(aTasks, aMilliCores);
  step.mSpeculationAllowed = true;
  return step;
}

/// Starts the task of a job, and silences its runner.
/// @return the runner
std::string
SilenceRunnerOf(DispatchWorld& aWorld, StepSpec aStep)
{
  aWorld.ListRunners(2);
  aWorld.AddJob(MakeJob("job", { std::move(aStep) }));
  aWorld.AdvanceTime(Seconds(1));
  std::string runner = aWorld.RunnerOf("job.0.0.0");
  aWorld.mRunners[runner].mAnswers = false;
  return runner;
}

std::size_t
RunsOn(const DispatchWorld& aWorld, const std::string& aRunner)
{
  return aWorld.mRunners.at(aRunner).mRunning.size();
}

} // namespace

TEST_GROUP(Speculation){};

// Guards against tasks that wait for the leases of a runner that is cut off,
// although their client allows copies. Load: one task on a runner that falls
// silent.
TEST(Speculation, CopiesTheTaskOfASilentRunner)
{
  DispatchWorld world;
  const std::string first = SilenceRunnerOf(world, CopiedStep(1, 1000));
  world.AdvanceTime(Millis(500));
  LONGS_EQUAL(1, world.mStarts);
  world.AdvanceTime(Millis(700));
  LONGS_EQUAL(2, world.mStarts);
  LONGS_EQUAL(1, RunsOn(world, first));
  LONGS_EQUAL(1, RunsOn(world, first == "r0" ? "r1" : "r0"));
  LONGS_EQUAL(1, world.mDispatcher.mCounters.mCopies);
}

// Guards against copies that the client has not allowed: such a task would run
// twice.
TEST(Speculation, CopiesNoTaskWithoutPermission)
{
  DispatchWorld world;
  SilenceRunnerOf(world, FiniteStep(1, 1000));
  world.AdvanceTime(Seconds(3));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against work that is lost or done again although the first copy has
// ended: its end is heard when its runner answers again.
TEST(Speculation, TheFirstCopyToEndCounts)
{
  DispatchWorld world;
  const std::string first = SilenceRunnerOf(world, CopiedStep(1, 1000));
  world.AdvanceTime(Millis(1500));
  LONGS_EQUAL(2, world.mStarts);
  DispatchWorld::FakeRunner& runner = world.mRunners[first];
  const DispatchWorld::Run run = runner.mRunning.at(0);
  runner.mRunning.clear();
  EndEntry end;
  end.mNumber = runner.mNextEnd++;
  end.mTask = *ParseTaskName(run.mTask);
  end.mRun = run.mRun;
  end.mKind = EndKind::Done;
  runner.mEnds.push_back(end);
  runner.mAnswers = true;
  world.AdvanceTime(Seconds(1));
  CHECK_TRUE(world.mEndedJobs.contains("job"));
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Completed);
  LONGS_EQUAL(0, world.RunningTasks());
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against a runner that gets more than its room: a run that was given up
// still uses it when the runner answers again.
TEST(Speculation, AReturningRunnerGetsNoTaskBesideTheFormerRun)
{
  DispatchWorld world;
  const std::string first = SilenceRunnerOf(world, CopiedStep(1, 16000));
  world.AdvanceTime(Millis(1500));
  LONGS_EQUAL(2, world.mStarts);
  world.AddJob(MakeJob("next", { FiniteStep(1, 16000) }));
  world.mRunners[first].mAnswers = true;
  for (int i = 0; i < 40; ++i) {
    world.AdvanceTime(Millis(50));
    CHECK_TRUE(RunsOn(world, first) <= 1);
  }
  STRCMP_EQUAL(first.c_str(), world.RunnerOf("next.0.0.0").c_str());
}

// Guards against a copy that is started when the first run could go on: a
// runner that answers before a copy was placed keeps the run.
TEST(Speculation, AReturningRunnerKeepsARunWithoutACopy)
{
  DispatchWorld world;
  const std::string first = SilenceRunnerOf(world, CopiedStep(1, 16000));
  const std::string other = first == "r0" ? "r1" : "r0";
  world.AddJob(MakeJob("next", { FiniteStep(1, 16000) }));
  world.AdvanceTime(Seconds(2));
  STRCMP_EQUAL(other.c_str(), world.RunnerOf("next.0.0.0").c_str());
  world.mRunners[first].mAnswers = true;
  world.AdvanceTime(Seconds(2));
  STRCMP_EQUAL(first.c_str(), world.RunnerOf("job.0.0.0").c_str());
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against an account that has more running than its cap: the use of a
// run that is given up is not counted.
TEST(Speculation, CopiesNoTaskOfAnAccountWithACap)
{
  DispatchWorld world;
  AccountSpec account;
  account.mName = "grower";
  account.mCap.mMilliCores = 4000;
  SetAccounts(world.mDispatcher, { &account, 1 });
  world.ListRunners(2);
  JobSpec job = MakeJob("job", { CopiedStep(1, 1000) });
  job.mAccount = "grower";
  world.AddJob(job);
  world.AdvanceTime(Seconds(1));
  world.mRunners[world.RunnerOf("job.0.0.0")].mAnswers = false;
  world.AdvanceTime(Seconds(3));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a runner that is kept for ever because of a run that was given
// up: the run has ended with its lease.
TEST(Speculation, AGivenUpRunEndsWithItsLease)
{
  DispatchWorld world;
  const std::string first = SilenceRunnerOf(world, CopiedStep(1, 1000));
  const RunnerIndex index = world.mDispatcher.mRunnerById.find(first)->second;
  world.AdvanceTime(Seconds(2));
  LONGS_EQUAL(1, world.mDispatcher.mRunners[index].mOrphans.size());
  world.AdvanceTime(Seconds(8));
  LONGS_EQUAL(0, world.mDispatcher.mRunners[index].mOrphans.size());
}
