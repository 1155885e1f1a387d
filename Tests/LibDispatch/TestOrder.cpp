#include <string>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

TEST_GROUP(Order){};

// A backlog, as in the heaviest seconds of a day. Guards against serving the
// oldest first when it is late anyway, which made every later job late too.
TEST(Order, ServesWhatCanBeInTimeBeforeWhatIsLate)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("running", { FiniteStep(1, 16000) }));
  world.AddJob(MakeJob("late", { FiniteStep(1, 16000) }));
  world.AdvanceTime(Seconds(4)); // Its objective was two seconds.
  world.AddJob(MakeJob("fresh", { FiniteStep(1, 16000) }));
  world.End("running.0.0.0", EndKind::Done);
  world.AdvanceTime(Millis(200));
  CHECK_TRUE(world.IsRunning("fresh.0.0.0"));
  world.End("fresh.0.0.0", EndKind::Done);
  world.AdvanceTime(Millis(200));
  CHECK_TRUE(world.IsRunning("late.0.0.0"));
}

// Guards against a lasting task that is parked behind finite ones.
TEST(Order, RestartsLastingTasksFirst)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("lasting", { LongRunningStep(1, 16000) }));
  world.AddJob(MakeJob("finite", { FiniteStep(1, 16000) }));
  world.End("lasting.0.0.0", EndKind::Failed);
  world.AdvanceTime(Millis(300));
  CHECK_TRUE(world.IsRunning("lasting.0.0.0"));
}

// Guards against starting a step before all tasks of the step before it are
// done.
TEST(Order, KeepsTheOrderOfSteps)
{
  DispatchWorld world;
  world.ListRunners(2);
  StepSpec second = FiniteStep(1, 1000);
  second.mPredecessors = { 0 };
  world.AddJob(MakeJob("job", { FiniteStep(2, 1000), second }));
  world.End("job.0.0.0", EndKind::Done);
  world.AdvanceTime(Millis(200));
  CHECK_FALSE(world.IsRunning("job.0.1.0"));
  world.End("job.0.0.1", EndKind::Done);
  world.AdvanceTime(Millis(200));
  CHECK_TRUE(world.IsRunning("job.0.1.0"));
}

// Guards against more tasks of a step on one runner than it allows, and against
// runners without the label that it requires.
TEST(Order, KeepsTheLimitsOfAStep)
{
  DispatchWorld world;
  world.ListRunners(4);
  StepSpec apart = FiniteStep(6, 1000);
  apart.mMaxTasksPerRunner = 1;
  world.AddJob(MakeJob("apart", { apart }));
  world.AdvanceTime(Millis(300));
  LONGS_EQUAL(4, world.RunningTasks());
  StepSpec labelled = FiniteStep(1, 1000);
  labelled.mRequiredLabel = "b";
  world.AddJob(MakeJob("labelled", { labelled }));
  world.AdvanceTime(Millis(300));
  CHECK_FALSE(world.IsRunning("labelled.0.0.0"));
}

// Guards against a gang of which some members start without the others.
TEST(Order, StartsAGangAsAWholeOrNotAtAll)
{
  DispatchWorld world;
  world.ListRunners(2);
  StepSpec gang = FiniteStep(3, 16000);
  gang.mGang = true;
  world.AddJob(MakeJob("wide", { gang }));
  world.AdvanceTime(Millis(300));
  LONGS_EQUAL(0, world.RunningTasks());
  gang.mTaskCount = 2;
  world.AddJob(MakeJob("gang", { gang }));
  world.AdvanceTime(Millis(300));
  LONGS_EQUAL(2, world.RunningTasks());
}
