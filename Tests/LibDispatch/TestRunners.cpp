#include <string>

#include <LibDispatch/FencingTokens.h>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Lets the tasks of four jobs fail one after the other, and cancels the jobs.
void
FailFourJobs(DispatchWorld& aWorld)
{
  for (int i = 0; i < 4; ++i) {
    const std::string job = "failing" + std::to_string(i);
    aWorld.AddJob(MakeJob(job, { FiniteStep(1, 1000) }));
    aWorld.AdvanceTime(Millis(100));
    aWorld.End(job + ".0.0.0", EndKind::Failed);
    aWorld.AdvanceTime(Millis(100));
    CancelJob(aWorld.mDispatcher, job, aWorld.mNow, aWorld.mActions);
  }
}

} // namespace

TEST_GROUP(Runners){};

// Guards against renewals to a silent runner that each extend the lease it may
// hold: its long-running tasks would never be restarted on another runner.
TEST(Runners, RestartsTheTasksOfASilentRunnerAfterOneLease)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  const std::string first = world.RunnerOf("job.0.0.0");
  world.AdvanceTime(Seconds(1));
  world.mRunners[first].mAnswers = false;
  world.AdvanceTime(Millis(5900));
  LONGS_EQUAL(1, world.mStarts);
  world.AdvanceTime(Millis(800));
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against a log that does not say when a lost task runs again and where.
TEST(Runners, LogsTheRestartOfALostTask)
{
  DispatchWorld world;
  world.ListRunners(4);
  std::string logged;
  world.mDispatcher.mSink =
    [&](std::string_view aEvent, const Job*, const std::string& aDetails) {
      if (aEvent == "task_restarted") {
        logged += aDetails;
      }
    };
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Seconds(1));
  world.Leave(world.RunnerOf("job.0.0.0"));
  world.AdvanceTime(Seconds(8));
  CHECK_TRUE(logged.starts_with("task=job.0.0.0 run=2 runner=" +
                                world.RunnerOf("job.0.0.0") + " waited_ms="));
}

// Guards against starting a second run of a task whose start order got no
// answer but is carried out seconds later.
TEST(Runners, StopsAnUnansweredRunBeforeTheNext)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.mDropStarts = true;
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.mDropStarts = false;
  LONGS_EQUAL(1, world.mStarts);
  LONGS_EQUAL(1, world.mLostStarts.size());
  // The stop order is answered, and the next report shows that the run never
  // started.
  world.AdvanceTime(Millis(200));
  LONGS_EQUAL(2, world.mStarts);
  LONGS_EQUAL(1, world.RunningTasks());
}

// Guards against a task that waits without bound after a lost start order: no
// stop order is answered in time across a full link, and renewals, which are
// answered, extend the leases of the runner.
TEST(Runners, UnansweredStopsHoldATaskForOneLease)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.mDropStarts = true;
  world.mRoundTrips[world.mListed[0].mDataCentre] = Millis(700);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.mDropStarts = false;
  STRCMP_EQUAL("r0",
               world.mDispatcher.mRunners[world.mLostStarts.at(0).mRunner]
                 .mSpec.mId.c_str());
  // The lost run could start until its lease ends; then its task has 3 s.
  world.AdvanceTime(world.mDispatcher.mSettings.mMaxLease + Seconds(3));
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against a task that runs twice: its start order got no answer, no stop
// order is answered, and the runner carries the start out shortly before the
// lease in it ends, after reports that don't list the run.
TEST(Runners, AnUnansweredRunMayBeginUntilItsLeaseEnds)
{
  DispatchWorld world;
  world.ListRunners(4);
  // No order arrives there in time, while renewals are answered.
  world.mRoundTrips[world.mListed[0].mDataCentre] = Seconds(60);
  world.mDropStarts = true;
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.mDropStarts = false;
  STRCMP_EQUAL("r0",
               world.mDispatcher.mRunners[world.mLostStarts.at(0).mRunner]
                 .mSpec.mId.c_str());
  world.AdvanceTime(world.mDispatcher.mSettings.mMaxLease - Millis(500));
  LONGS_EQUAL(1, world.mStarts);
  const StartTask& lost = world.mLostStarts[0];
  world.CarryOutStart("r0",
                      { FormatTaskName(NameOf(lost.mTask)), lost.mRun },
                      lost.mLeaseEndMs,
                      FencingTokenFor(world.mDispatcher, lost.mRunner));
  world.AdvanceTime(Seconds(3));
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against a start order to the former process of a runner that the new
// process carries out, while the task also runs on another runner.
TEST(Runners, StopsUnansweredRunsAtARestartedRunner)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.mDropStarts = true;
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.mDropStarts = false;
  const StartTask lost = world.mLostStarts.at(0);
  const std::string id = world.mDispatcher.mRunners[lost.mRunner].mSpec.mId;
  world.mRunners[id].mIncarnation = 2;
  // The late start order reaches the new process.
  world.mRunners[id].mRunning.push_back({ "job.0.0.0", lost.mRun });
  world.AdvanceTime(Millis(300));
  LONGS_EQUAL(1, world.RunningTasks());
}

// Guards against exceeding the capacity of a runner because a task that is
// being stopped no longer counts.
TEST(Runners, CountsAStoppingTaskAsUsingItsResources)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("a", { FiniteStep(1, 16000) }));
  world.mRunners["r0"].mAnswers = false;
  CancelJob(world.mDispatcher, "a", world.mNow, world.mActions);
  world.PerformOrders();
  world.AddJob(MakeJob("b", { FiniteStep(1, 16000) }));
  LONGS_EQUAL(1, world.mStarts);
  world.mRunners["r0"].mAnswers = true;
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against acknowledging the end of a run before it is stored: a later
// owner would never learn of it.
TEST(Runners, AcknowledgesEndsAfterTheirCommit)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("job", { FiniteStep(2, 1000) }));
  world.End("job.0.0.0", EndKind::Done);
  world.Report();
  LONGS_EQUAL(0,
              PlanRenewal(world.mDispatcher, 0, world.mNow).mAcknowledgedEnd);
  world.Commit();
  LONGS_EQUAL(1,
              PlanRenewal(world.mDispatcher, 0, world.mNow).mAcknowledgedEnd);
}

// Guards against starting tasks on a draining runner, which is about to leave.
TEST(Runners, StartsNothingOnADrainingRunner)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.mListed[0].mDraining = true;
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(0, world.mStarts);
}

// Guards against a probation that never ends because the one task that the
// runner was given is long-running and never ends as done. After workers had
// failed their tasks for 6 s, other long-running tasks found no runner.
TEST(Runners, AWorkingLongRunningTaskEndsAProbation)
{
  DispatchWorld world;
  world.ListRunners(1);
  FailFourJobs(world);
  CHECK_TRUE(world.mDispatcher.mRunners[0].mOnProbation);
  world.mProgressPercent = 100;
  world.AddJob(MakeJob("long-running", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Seconds(25));
  CHECK_TRUE(world.IsRunning("long-running.0.0.0"));
  world.AddJob(MakeJob("next", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Seconds(1));
  CHECK_TRUE(world.IsRunning("next.0.0.0"));
}

// Guards against a quarantine of 24 s after ten tasks of a runner have failed
// within one second: if each failure counts as a failed probation, the
// quarantine doubles each time, and long-running tasks find no runner.
TEST(Runners, FailuresInAQuarantineDoNotProlongIt)
{
  DispatchWorld world;
  world.ListRunners(1);
  for (int i = 0; i < 9; ++i) {
    world.AddJob(
      MakeJob("failing" + std::to_string(i), { FiniteStep(1, 1000) }));
  }
  world.AdvanceTime(Millis(100));
  for (int i = 0; i < 9; ++i) {
    world.End("failing" + std::to_string(i) + ".0.0.0", EndKind::Failed);
  }
  world.Report();
  const Runner& runner = world.mDispatcher.mRunners[0];
  CHECK_TRUE(runner.mOnProbation);
  CHECK_TRUE(runner.mAvoidUntil <=
             world.mNow + world.mDispatcher.mSettings.mFirstQuarantine);
}

// Guards against ending a probation because of a task that started before the
// failures: a faulty runner fails the tasks that it starts, but those that run
// already go on.
TEST(Runners, ATaskFromBeforeTheFailuresEndsNoProbation)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.mProgressPercent = 100;
  world.AddJob(MakeJob("long-running", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Seconds(4));
  for (int i = 0; i < 4; ++i) {
    const std::string job = "failing" + std::to_string(i);
    world.AddJob(MakeJob(job, { FiniteStep(1, 1000) }));
    world.AdvanceTime(Millis(100));
    world.End(job + ".0.0.0", EndKind::Failed);
    world.AdvanceTime(Millis(100));
  }
  world.AdvanceTime(Millis(500));
  CHECK_TRUE(world.mDispatcher.mRunners[0].mOnProbation);
}

// Guards against a runner that gets no task for its probation because it still
// has tasks from before its failures. Three runners stayed unused for that
// reason.
TEST(Runners, TasksFromBeforeTheFailuresDoNotBlockAProbation)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("long-running", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  FailFourJobs(world);
  CHECK_TRUE(world.mDispatcher.mRunners[0].mOnProbation);
  world.AddJob(MakeJob("first", { FiniteStep(1, 1000) }));
  world.AddJob(MakeJob("second", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Seconds(4));
  // One task decides about the probation, and the other waits for its end.
  CHECK_TRUE(world.IsRunning("first.0.0.0"));
  CHECK_FALSE(world.IsRunning("second.0.0.0"));
  world.End("first.0.0.0", EndKind::Done);
  world.AdvanceTime(Millis(500));
  CHECK_TRUE(world.IsRunning("second.0.0.0"));
}

namespace {

/// Configures the queue "queue" with a number of attempts.
void
AllowAttempts(DispatchWorld& aWorld, std::uint32_t aMaxAttempts)
{
  QueueSpec queue;
  queue.mName = "queue";
  queue.mService = "service";
  queue.mMaxAttempts = aMaxAttempts;
  queue.mStretch = 2;
  queue.mTargetDuration = Millis(400);
  SetQueues(aWorld.mDispatcher, { &queue, 1 });
}

} // namespace

// Guards against a task that is started again after its last attempt, because
// that attempt failed while the configuration lacked the queue.
TEST(Runners, CountsAttemptsThatFailWhileTheQueueIsOut)
{
  DispatchWorld world;
  AllowAttempts(world, 2);
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Millis(100));
  world.End("job.0.0.0", EndKind::Failed);
  world.AdvanceTime(Millis(200));
  LONGS_EQUAL(2, world.mStarts);
  SetQueues(world.mDispatcher, {});
  world.End("job.0.0.0", EndKind::Failed);
  world.AdvanceTime(Seconds(1));
  AllowAttempts(world, 2);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
  CHECK_TRUE(world.mEndedJobs.contains("job"));
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Failed);
}

// Guards against the same after a change of owner: the failures are read from
// the store, and no further one is reported.
TEST(Runners, ChecksStoredFailuresAfterATakeover)
{
  DispatchWorld world;
  AllowAttempts(world, 4);
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  for (int i = 0; i < 2; ++i) {
    world.AdvanceTime(Millis(200));
    world.End("job.0.0.0", EndKind::Failed);
  }
  world.mDropStarts = true;
  world.AdvanceTime(Millis(100));
  const std::uint32_t starts = world.mStarts;
  world.TakeOver(2);
  world.mDropStarts = false;
  AllowAttempts(world, 2);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(starts, world.mStarts);
  CHECK_TRUE(world.mEndedJobs.contains("job"));
}

// Guards against a task that waits without bound after its start order got no
// answer and its runner restarted: the new process answers renewals but no stop
// order in time, and the lease in the start order is of the former process.
TEST(Runners, UnansweredStopsAtARestartedRunnerHoldATaskForALateOrder)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.mRoundTrips[world.mListed[0].mDataCentre] = Seconds(60);
  world.mDropStarts = true;
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.mDropStarts = false;
  LONGS_EQUAL(0, world.mLostStarts.at(0).mRunner);
  world.AdvanceTime(Millis(500));
  world.Restart("r0");
  // The order may be carried out 12 s late; then its task has 3 s.
  const Millis waited = world.TimeUntilRunning("job.0.0.0", Seconds(60));
  CHECK_COMPARE(waited.count(), <=, 15000);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against a task that runs twice because its late start order is carried
// out by the new process of its runner, which answers no stop order.
TEST(Runners, ALateStartAtARestartedRunnerDoublesNoTask)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.mRoundTrips[world.mListed[0].mDataCentre] = Seconds(60);
  world.mDropStarts = true;
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.mDropStarts = false;
  const StartTask lost = world.mLostStarts.at(0);
  const std::int64_t token = FencingTokenFor(world.mDispatcher, lost.mRunner);
  LONGS_EQUAL(0, lost.mRunner);
  world.AdvanceTime(Millis(500));
  world.Restart("r0");
  world.AdvanceTime(Millis(11400));
  world.CarryOutStart("r0",
                      { FormatTaskName(NameOf(lost.mTask)), lost.mRun },
                      world.ClockOf(world.mRunners["r0"]) +
                        world.mDispatcher.mSettings.mMaxLease.count(),
                      token);
  world.AdvanceTime(Seconds(5));
  LONGS_EQUAL(1, world.mMostRunsOfATask);
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
}

// Guards against a runner that gets no second task while the one that decides
// about its probation runs for long. After a fault of many runners, each of
// them would run one task.
TEST(Runners, AFiniteTaskThatLastsEndsAProbation)
{
  DispatchWorld world;
  world.ListRunners(1);
  FailFourJobs(world);
  CHECK_TRUE(world.mDispatcher.mRunners[0].mOnProbation);
  world.AddJob(MakeJob("long", { FiniteStep(1, 1000) }));
  world.AddJob(MakeJob("next", { FiniteStep(1, 1000) }));
  // The quarantine ends; then a task with room has 3 s.
  world.AdvanceTime(world.mDispatcher.mSettings.mFirstQuarantine + Seconds(3));
  CHECK_TRUE(world.IsRunning("long.0.0.0"));
  CHECK_TRUE(world.IsRunning("next.0.0.0"));
}

// Guards against a probation that never ends because the long-running task that
// decides about it never reports that it works in full.
TEST(Runners, ALongRunningTaskThatLastsEndsAProbation)
{
  DispatchWorld world;
  world.ListRunners(1);
  FailFourJobs(world);
  world.AddJob(MakeJob("long-running", { LongRunningStep(1, 1000) }));
  world.AddJob(MakeJob("next", { LongRunningStep(1, 1000) }));
  // The quarantine ends; then a long-running task has 6 s.
  world.AdvanceTime(world.mDispatcher.mSettings.mFirstQuarantine + Seconds(6));
  CHECK_TRUE(world.IsRunning("long-running.0.0.0"));
  CHECK_TRUE(world.IsRunning("next.0.0.0"));
}

// Guards against a runner that stays closed because renewals extend the lease
// of a run that this owner doesn't know, while no stop order arrives.
TEST(Runners, AnUnknownRunClosesItsRunnerForOneLease)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.mRoundTrips[world.mListed[0].mDataCentre] = Seconds(60);
  world.mRunners["r0"].mRunning.push_back({ "unknown.0.0.0", 1 });
  world.ExtendLeases("r0", world.mDispatcher.mSettings.mMaxLease);
  world.Report();
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  LONGS_EQUAL(0, world.mStarts);
  // One lease, with 300 ms for the report of its end and a placement pass.
  world.AdvanceTime(world.mDispatcher.mSettings.mMaxLease + Millis(300));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against renewals that extend the leases of a runner for ever although
// only a process with an earlier start time answers, whose reports don't count:
// the clock of the runner's host was set back before the restart.
TEST(Runners, AProcessWithAnEarlierStartTimeHoldsItsTasksForOneLease)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  const std::string first = world.RunnerOf("job.0.0.0");
  world.AdvanceTime(Seconds(1));
  world.mRunners[first].mRunning.clear();
  world.mRunners[first].mIncarnation = 0;
  // One lease by the slowest clock, with the margin and a placement pass.
  const Millis waited = world.TimeUntilRunning("job.0.0.0");
  CHECK_COMPARE(waited.count(), <=, 6600);
  CHECK_TRUE(world.RunnerOf("job.0.0.0") != first);
}

// Guards against a gang that waits without bound for the members of its former
// run: one of them was lost with its runner, and nothing ends the others.
TEST(Runners, StopsTheRestOfAGangOfWhichAMemberWasLost)
{
  DispatchWorld world;
  world.ListRunners(4);
  StepSpec gang = LongRunningStep(2, 9000);
  gang.mGang = true;
  world.AddJob(MakeJob("job", { gang }));
  world.AdvanceTime(Seconds(1));
  const std::string first = world.RunnerOf("job.0.0.0");
  CHECK_TRUE(world.RunnerOf("job.0.0.1") != first);
  world.Leave(first);
  // One lease with its margin, then 3 s and the time of a stop.
  const Millis waited = world.TimeUntilRunning("job.0.0.0");
  CHECK_COMPARE(waited.count(), <=, 12000);
  CHECK_TRUE(world.IsRunning("job.0.0.1"));
}

// Guards against two long-running jobs whose tasks always fail and that keep
// all runners in quarantine, so that other jobs find none.
TEST(Runners, TasksThatAlwaysFailLeaveRunnersToOthers)
{
  DispatchWorld world;
  world.ListRunners(8);
  world.AddJob(MakeJob("first", { LongRunningStep(1, 1000) }));
  world.AddJob(MakeJob("second", { LongRunningStep(1, 1000) }));
  const auto fail = [&](Millis aTime) {
    for (Millis passed(0); passed < aTime; passed += Millis(500)) {
      world.AdvanceTime(Millis(500));
      world.End("first.0.0.0", EndKind::Failed);
      world.End("second.0.0.0", EndKind::Failed);
    }
  };
  fail(Seconds(60));
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  fail(Seconds(3));
  CHECK_TRUE(world.mDispatcher.mJobs.at("job")->mBegan);
}

// Guards against a gang that never starts because the orders for its first
// members reach the limit of unanswered starts of the few runners that suit it.
TEST(Runners, AWideGangStartsOnFewRunners)
{
  DispatchWorld world;
  world.ListRunners(2);
  StepSpec step = FiniteStep(36, 400);
  step.mGang = true;
  world.AddJob(MakeJob("job", { step }));
  LONGS_EQUAL(36, world.RunningTasks());
}

// Guards against exempting the orders of other jobs from that limit.
TEST(Runners, AGangWaitsForUnansweredStartsOfOtherJobs)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.mRoundTrips["zone0"] = Millis(400);
  world.AddJob(MakeJob("first", { FiniteStep(12, 100) }));
  StepSpec step = FiniteStep(2, 100);
  step.mGang = true;
  world.AddJob(MakeJob("gang", { step }));
  LONGS_EQUAL(12, world.mStarts);
  world.AdvanceTime(Seconds(2));
  LONGS_EQUAL(14, world.mStarts);
}

// Guards against starting a task by the labels and the capacity of a former
// process: the present one may be of another kind, which only service discovery
// tells.
TEST(Runners, ARestartedRunnerGetsNoTaskByItsFormerLabels)
{
  DispatchWorld world;
  world.ListRunners(1);
  // The runner's report shows the new process before it is listed.
  ++world.mRunners["r0"].mIncarnation;
  world.Report();
  StepSpec step = FiniteStep(1, 1000);
  step.mRequiredLabel = "a";
  world.AddJob(MakeJob("job", { step }));
  world.AdvanceTime(Seconds(2));
  LONGS_EQUAL(0, world.mStarts);
  world.mListed[0].mIncarnation = world.mRunners["r0"].mIncarnation;
  world.mListed[0].mLabels = { "b" };
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(0, world.mStarts);
  world.mListed[0].mLabels = { "a" };
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mStarts);
}
