#include <algorithm>
#include <string>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Time within which a task starts that may start at once: a step of the world
/// to report the end, and the interval of placement passes.
constexpr Millis kAtOnce{ 200 };
/// Time that the leases of a runner take at most from its last answer on, with
/// a step of the world and the interval of placement passes.
constexpr Millis kOneLease{ 6000 * 103 / 100 + 150 + 200 };
/// The wait of DispatchWorld for runners that have not answered a new owner.
constexpr Millis kWait{ 18000 };

/// The runners of the two tasks of a job after a takeover.
struct Runners
{
  std::string mSilent; ///< Of the first task. It does not answer the new owner.
  std::string mHeard;  ///< Of the second task.
};

/// Lets an owner start a job of two tasks that don't fit on the same runner,
/// and a later one take over while the runner of the first does not answer.
Runners
TakeOverWithTheFirstSilent(DispatchWorld& aWorld, JobSpec aJob)
{
  aWorld.ListRunners(4);
  aWorld.AddJob(std::move(aJob));
  aWorld.AdvanceTime(Millis(500));
  LONGS_EQUAL(2, aWorld.mStarts);
  Runners runners{ aWorld.RunnerOf("job.0.0.0"), aWorld.RunnerOf("job.0.0.1") };
  CHECK_TRUE(runners.mSilent != runners.mHeard);
  aWorld.mRunners[runners.mSilent].mAnswers = false;
  aWorld.TakeOver(2);
  aWorld.AdvanceTime(Seconds(1));
  CHECK_TRUE(runners.mHeard == aWorld.RunnerOf("job.0.0.1"));
  return runners;
}

/// Lets the rest of the wait pass and checks that the first task is started
/// again only then.
/// @param aWaited time since the latest takeover
/// @param aStarts number of starts so far
void
CheckFirstWaits(DispatchWorld& aWorld, Millis aWaited, std::uint32_t aStarts)
{
  aWorld.AdvanceTime(kWait - Millis(200) - aWaited);
  LONGS_EQUAL(aStarts, aWorld.mStarts);
  aWorld.AdvanceTime(Seconds(1));
  LONGS_EQUAL(aStarts + 1, aWorld.mStarts);
  CHECK_TRUE(aWorld.IsRunning("job.0.0.0"));
  LONGS_EQUAL(1, aWorld.mMostRunsOfATask);
}

/// Lets a runner without runs answer no more.
void
SilenceAnIdleRunner(DispatchWorld& aWorld)
{
  for (auto& [id, runner] : aWorld.mRunners) {
    if (runner.mRunning.empty()) {
      runner.mAnswers = false;
      return;
    }
  }
  FAIL("All runners have runs.");
}

/// Lets an owner start both steps of a job, which run on different runners, but
/// store nothing, and a later owner take over. The second step's runner answers
/// that owner first, so that it concludes that the first step is done.
/// @return the runner that still reports the end of the first step
RunnerIndex
TakeOverWithAnUnstoredStep(DispatchWorld& aWorld)
{
  StepSpec first = FiniteStep(1, 1000);
  first.mRequiredLabel = "rack1";
  StepSpec second = FiniteStep(1, 1000);
  second.mRequiredLabel = "rack0";
  second.mPredecessors = { 0 };
  aWorld.ListRunners(8);
  aWorld.AddJob(MakeJob("job", { first, second }));
  const std::string runner = aWorld.RunnerOf("job.0.0.0");
  aWorld.End("job.0.0.0", EndKind::Done);
  aWorld.Report();
  aWorld.Tick();
  CHECK_TRUE(aWorld.IsRunning("job.0.1.0"));
  aWorld.TakeOver(2);
  aWorld.Report();
  return aWorld.mDispatcher.mRunnerById.at(runner);
}

/// @return a job of one task that runs three times, for the first time now
JobSpec
MakeRepeatedJob(const DispatchWorld& aWorld)
{
  JobSpec job = MakeJob("job", { FiniteStep(1, 4000) });
  job.mOccurrences = 3;
  job.mFirstDueMs =
    std::chrono::duration_cast<Millis>(aWorld.mNow.time_since_epoch()).count();
  job.mIntervalMs = 60000;
  return job;
}

/// Lets a runner report that a run is done.
void
ReportDone(DispatchWorld& aWorld,
           const std::string& aRunner,
           std::string_view aTask)
{
  DispatchWorld::FakeRunner& runner = aWorld.mRunners[aRunner];
  runner.mEnds.push_back(
    { runner.mNextEnd++, *ParseTaskName(aTask), 1, EndKind::Done, {} });
  aWorld.Report();
}

/// @return the number up to which the next renewal acknowledges ends
std::int64_t
AcknowledgedEnd(DispatchWorld& aWorld, RunnerIndex aRunner)
{
  return PlanRenewal(aWorld.mDispatcher, aRunner, aWorld.mNow).mAcknowledgedEnd;
}

} // namespace

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

// Guards against acknowledging the end of a task that is done only in memory,
// because a task of a later step was seen: a later owner would start it again.
TEST(Takeover, KeepsTheEndOfAStepThatIsDoneInMemoryOnly)
{
  DispatchWorld world;
  const RunnerIndex runner = TakeOverWithAnUnstoredStep(world);
  LONGS_EQUAL(0, AcknowledgedEnd(world, runner));
  world.Report();
  world.End("job.0.1.0", EndKind::Done);
  world.TakeOver(3);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Completed);
}

// Guards against ends that are never acknowledged because they change nothing:
// runners would report them for ever.
TEST(Takeover, AcknowledgesASuperfluousEndOnceItsJobIsStored)
{
  DispatchWorld world;
  const RunnerIndex runner = TakeOverWithAnUnstoredStep(world);
  world.Commit();
  LONGS_EQUAL(1, AcknowledgedEnd(world, runner));
  // The next owner finds the end in the store and has nothing to commit.
  world.TakeOver(3);
  world.Report();
  CHECK_TRUE(world.mDispatcher.mDirtyJobs.empty());
  LONGS_EQUAL(1, AcknowledgedEnd(world, runner));
}

// Guards against acknowledging the end of a gang's member before the end of
// another member, which stands for all of them, is stored.
TEST(Takeover, KeepsTheEndsOfAGangUntilOneIsStored)
{
  DispatchWorld world;
  world.ListRunners(2);
  StepSpec gang = FiniteStep(2, 16000);
  gang.mGang = true;
  world.AddJob(MakeJob("job", { gang, FiniteStep(1, 1000) }));
  const RunnerIndex second =
    world.mDispatcher.mRunnerById.at(world.RunnerOf("job.0.0.1"));
  world.End("job.0.0.0", EndKind::Done);
  world.End("job.0.0.1", EndKind::Done);
  world.Report();
  LONGS_EQUAL(0, AcknowledgedEnd(world, 0));
  LONGS_EQUAL(0, AcknowledgedEnd(world, 1));
  world.Commit();
  LONGS_EQUAL(1, AcknowledgedEnd(world, second));
}

// Guards against acknowledging the end of a task whose job has failed in memory
// only: if the failure is lost with its runner and the owner, a later owner
// would start the task again, although it is done.
TEST(Takeover, KeepsTheEndsOfAJobWhoseFailureIsNotStored)
{
  DispatchWorld world;
  world.ListRunners(8);
  world.AddJob(MakeJob("job", { FiniteStep(2, 16000) }));
  for (int failure = 0; failure < 3; ++failure) {
    world.End("job.0.0.0", EndKind::Failed);
    world.AdvanceTime(Millis(100));
  }
  const std::string failing = world.RunnerOf("job.0.0.0");
  const std::string other = world.RunnerOf("job.0.0.1");
  world.End("job.0.0.0", EndKind::Failed);
  world.End("job.0.0.1", EndKind::Done);
  world.Report(world.mDispatcher.mRunnerById.at(failing));
  world.Report(world.mDispatcher.mRunnerById.at(other));
  LONGS_EQUAL(0,
              AcknowledgedEnd(world, world.mDispatcher.mRunnerById.at(other)));
  world.Commit();
  LONGS_EQUAL(1,
              AcknowledgedEnd(world, world.mDispatcher.mRunnerById.at(other)));
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
  world.AdvanceTime(Seconds(7) + world.mDispatcher.mSettings.mUnheardEndsWait);
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

// Guards against a long-running task that waits for a silent runner although
// another one has shown it to this owner and then reports that it failed.
TEST(Takeover, RestartsAShownLongRunningTaskThatFails)
{
  DispatchWorld world;
  TakeOverWithTheFirstSilent(world,
                             MakeJob("job", { LongRunningStep(2, 9000) }));
  world.End("job.0.0.1", EndKind::Failed);
  const Millis waited = world.TimeUntilRunning("job.0.0.1");
  CHECK_COMPARE(waited.count(), <=, kAtOnce.count());
  CheckFirstWaits(world, Seconds(1) + waited, 3);
}

// Guards against a long-running task that waits for a silent runner although
// its own runner has shown it to this owner before that runner left. Only the
// lease there has to be waited out.
TEST(Takeover, RestartsAShownTaskWhoseRunnerLeaves)
{
  DispatchWorld world;
  const Runners runners = TakeOverWithTheFirstSilent(
    world, MakeJob("job", { LongRunningStep(2, 9000) }));
  world.Leave(runners.mHeard);
  const Millis waited = world.TimeUntilRunning("job.0.0.1");
  CHECK_COMPARE(waited.count(), >=, 6000);
  CHECK_COMPARE(waited.count(), <=, kOneLease.count());
  CheckFirstWaits(world, Seconds(1) + waited, 3);
}

// Guards against a long-running task that waits for a silent runner although
// its own runner has shown it to this owner and has a new process since.
TEST(Takeover, RestartsAShownTaskWhoseRunnerRestarts)
{
  DispatchWorld world;
  const Runners runners = TakeOverWithTheFirstSilent(
    world, MakeJob("job", { LongRunningStep(2, 9000) }));
  world.Restart(runners.mHeard);
  const Millis waited = world.TimeUntilRunning("job.0.0.1");
  CHECK_COMPARE(waited.count(), <=, kAtOnce.count());
  CheckFirstWaits(world, Seconds(1) + waited, 3);
}

// Guards against a second owner within the wait that holds back what it has
// been shown, because the one before has not heard all runners either.
TEST(Takeover, RestartsAShownTaskUnderTheSecondNextOwner)
{
  DispatchWorld world;
  TakeOverWithTheFirstSilent(world,
                             MakeJob("job", { LongRunningStep(2, 9000) }));
  world.AdvanceTime(Seconds(3));
  world.TakeOver(3);
  world.AdvanceTime(Seconds(1));
  world.End("job.0.0.1", EndKind::Failed);
  const Millis waited = world.TimeUntilRunning("job.0.0.1");
  CHECK_COMPARE(waited.count(), <=, kAtOnce.count());
  CheckFirstWaits(world, Seconds(1) + waited, 3);
}

// Guards against a gang that waits for a silent runner without any member of
// it, although all members have been shown to this owner.
TEST(Takeover, RestartsAGangOfWhichAllMembersWereShown)
{
  DispatchWorld world;
  world.ListRunners(4);
  StepSpec gang = FiniteStep(2, 9000);
  gang.mGang = true;
  world.AddJob(MakeJob("job", { gang }));
  world.AdvanceTime(Millis(500));
  SilenceAnIdleRunner(world);
  world.TakeOver(2);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
  world.End("job.0.0.0", EndKind::Failed);
  world.End("job.0.0.1", EndKind::GangMemberEnded);
  const Millis waited = world.TimeUntilRunning("job.0.0.0");
  CHECK_COMPARE(waited.count(), <=, kAtOnce.count());
  LONGS_EQUAL(4, world.mStarts);
}

// Guards against a step that waits for a silent runner although a task of the
// step before was shown to this owner, so that no earlier owner can have begun
// it.
TEST(Takeover, BeginsTheStepAfterAShownTask)
{
  DispatchWorld world;
  world.ListRunners(4);
  StepSpec second = FiniteStep(2, 1000);
  second.mPredecessors = { 0 };
  StepSpec third = FiniteStep(1, 1000);
  third.mPredecessors = { 1 };
  world.AddJob(MakeJob("job", { FiniteStep(2, 1000), second, third }));
  world.End("job.0.0.0", EndKind::Done);
  world.AdvanceTime(Millis(500));
  world.mRunners["r3"].mAnswers = false;
  world.TakeOver(2);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
  world.End("job.0.0.1", EndKind::Done);
  const Millis second0 = world.TimeUntilRunning("job.0.1.0");
  CHECK_COMPARE(second0.count(), <=, kAtOnce.count());
  LONGS_EQUAL(4, world.mStarts);
  world.End("job.0.1.0", EndKind::Done);
  world.End("job.0.1.1", EndKind::Done);
  const Millis third0 = world.TimeUntilRunning("job.0.2.0");
  CHECK_COMPARE(third0.count(), <=, kAtOnce.count());
}

// Guards against starting a step that an earlier owner may have begun on a
// silent runner, because it had seen the end of the step before, which a runner
// reports to this owner as well.
TEST(Takeover, HoldsTheStepAfterATaskThatEndedUnderTheEarlierOwner)
{
  DispatchWorld world;
  world.ListRunners(8);
  StepSpec second = FiniteStep(1, 1000);
  second.mPredecessors = { 0 };
  second.mRequiredLabel = "rack1";
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000), second }));
  const std::string first = world.RunnerOf("job.0.0.0");
  world.End("job.0.0.0", EndKind::Done);
  // The earlier owner begins the second step, but stores no end.
  world.Report();
  world.Tick();
  const std::string silent = world.RunnerOf("job.0.1.0");
  CHECK_TRUE(!silent.empty() && silent != first);
  world.mRunners[silent].mAnswers = false;
  world.ExtendLeases(silent, kWait - Millis(500));
  world.TakeOver(2);
  world.AdvanceTime(kWait - Millis(200));
  LONGS_EQUAL(2, world.mStarts);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(3, world.mStarts);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against starting a task again whose failed end a runner reports: the
// earlier owner may have seen that end as well and may have started the task
// again on the silent runner.
TEST(Takeover, HoldsATaskWhoseFailedEndIsReported)
{
  for (const bool answersAgain : { false, true }) {
    DispatchWorld world;
    world.ListRunners(4);
    world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
    const std::string first = world.RunnerOf("job.0.0.0");
    world.End("job.0.0.0", EndKind::Failed);
    world.Report();
    world.Tick();
    const std::string silent = world.RunnerOf("job.0.0.0");
    CHECK_TRUE(!silent.empty() && silent != first);
    world.mRunners[silent].mAnswers = false;
    world.ExtendLeases(silent, kWait - Millis(500));
    world.TakeOver(2);
    CHECK_FALSE(world.mRunners[first].mEnds.empty());
    world.AdvanceTime(kWait - Seconds(1));
    LONGS_EQUAL(2, world.mStarts);
    CHECK_TRUE(silent == world.RunnerOf("job.0.0.0"));
    world.mRunners[silent].mAnswers = answersAgain;
    world.AdvanceTime(Seconds(5));
    LONGS_EQUAL(answersAgain ? 2 : 3, world.mStarts);
    CHECK_TRUE(answersAgain == (silent == world.RunnerOf("job.0.0.0")));
    LONGS_EQUAL(1, world.mMostRunsOfATask);
  }
}

// Guards against starting a gang while a member of its former run may still run
// on a silent runner.
TEST(Takeover, HoldsAGangOfWhichAMemberWasNotShown)
{
  DispatchWorld world;
  StepSpec gang = FiniteStep(2, 9000);
  gang.mGang = true;
  const Runners runners =
    TakeOverWithTheFirstSilent(world, MakeJob("job", { gang }));
  world.ExtendLeases(runners.mSilent, kWait - Millis(1500));
  world.End("job.0.0.1", EndKind::GangMemberEnded);
  world.AdvanceTime(kWait - Millis(1200));
  LONGS_EQUAL(2, world.mStarts);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(4, world.mStarts);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against taking the record of a silent runner for the place of a task:
// the earlier owner may have started the task again after it wrote the record,
// on a runner that does not answer either.
TEST(Takeover, HoldsATaskOfARecordWhileAnotherRunnerIsUnheard)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  const std::string recorded = world.RunnerOf("job.0.0.0");
  world.mRunners[recorded].mAnswers = false;
  world.AdvanceTime(Millis(500));
  world.mRecords[recorded] =
    PossibleRuns(world.mDispatcher, world.mDispatcher.mRunnerById.at(recorded));
  LONGS_EQUAL(1, world.mRecords[recorded].size());
  world.AdvanceTime(Seconds(7));
  const std::string unheard = world.RunnerOf("job.0.0.0");
  CHECK_TRUE(!unheard.empty() && unheard != recorded);
  world.mRunners[unheard].mAnswers = false;
  world.ExtendLeases(unheard, kWait - Millis(500));
  world.TakeOver(2);
  world.AdvanceTime(kWait - Millis(200));
  LONGS_EQUAL(2, world.mStarts);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(3, world.mStarts);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against a second run of a task that goes on running on the silent
// runner and is shown by it when it answers again, while shown tasks of the
// same job are restarted.
TEST(Takeover, NeverRunsATaskTwiceThatASilentRunnerShowsLater)
{
  for (const int answersAfter : { 2000, 5000, 11000, 16500 }) {
    DispatchWorld world;
    const Runners runners = TakeOverWithTheFirstSilent(
      world, MakeJob("job", { LongRunningStep(2, 9000) }));
    world.ExtendLeases(runners.mSilent, kWait - Seconds(1));
    world.End("job.0.0.1", EndKind::Failed);
    world.AdvanceTime(Millis(answersAfter));
    CHECK_TRUE(runners.mSilent == world.RunnerOf("job.0.0.0"));
    world.mRunners[runners.mSilent].mAnswers = true;
    world.AdvanceTime(Seconds(20));
    CHECK_TRUE(runners.mSilent == world.RunnerOf("job.0.0.0"));
    CHECK_TRUE(world.IsRunning("job.0.0.1"));
    LONGS_EQUAL(3, world.mStarts);
    LONGS_EQUAL(1, world.mMostRunsOfATask);
  }
}

// Guards against starting an occurrence that is due during the wait: an earlier
// owner that still acts may have begun it on the silent runner. A task of the
// occurrence before, shown to this owner, says nothing about it.
TEST(Takeover, HoldsAnOccurrenceThatBeginsDuringTheWait)
{
  DispatchWorld world;
  JobSpec job = MakeJob("job", { FiniteStep(2, 4000) });
  job.mOccurrences = 2;
  job.mFirstDueMs =
    std::chrono::duration_cast<Millis>(world.mNow.time_since_epoch()).count();
  job.mIntervalMs = 4000;
  world.ListRunners(4);
  world.AddJob(job);
  world.AdvanceTime(Millis(500));
  LONGS_EQUAL(2, world.mStarts);
  SilenceAnIdleRunner(world);
  world.TakeOver(2);
  world.AdvanceTime(Seconds(5));
  LONGS_EQUAL(2,
              world.mDispatcher.mJobs.find("job")->second->mOccurrencesBegun);
  world.AdvanceTime(kWait - Seconds(5) - Millis(200));
  LONGS_EQUAL(2, world.mStarts);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(4, world.mStarts);
  CHECK_TRUE(world.IsRunning("job.1.0.0"));
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against giving up an unanswered start because service discovery shows
// a new process of its runner that has not answered yet: the order may still
// reach the new process, so the run has to be stopped there first, or its lease
// be waited out.
TEST(Takeover, WaitsForAnUnansweredStartAtARestartedRunner)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.mRunners["r0"].mAnswers = false;
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  LONGS_EQUAL(1, world.mLostStarts.size());
  LONGS_EQUAL(0, world.mLostStarts.front().mRunner);
  world.AdvanceTime(Millis(200));
  world.Restart("r0");
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mStarts);
  // The new process answers and neither lists the run nor can start it.
  world.mRunners["r0"].mAnswers = true;
  const Millis waited = world.TimeUntilRunning("job.0.0.0");
  CHECK_COMPARE(waited.count(), <=, 1000);
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against giving up an unanswered start 150 ms after the first answer of
// its runner's new process, while the stop order to that process has got no
// answer: a runner whose record is stored is granted no lease.
TEST(Takeover, WaitsForAnUnansweredStartAfterAnAnswerOfTheNewProcess)
{
  DispatchWorld world;
  world.ListRunners(2);
  DispatchWorld::FakeRunner& fake = world.mRunners["r0"];
  fake.mAnswers = false;
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  LONGS_EQUAL(1, world.mLostStarts.size());
  LONGS_EQUAL(0, world.mLostStarts.front().mRunner);
  world.AdvanceTime(Millis(400));
  CHECK_TRUE(ShouldStoreRecord(world.mDispatcher, 0, world.mNow));
  world.mDispatcher.mRunners[0].mRecordStored = true;
  RunnerReport report;
  report.mClockMs = world.ClockOf(fake);
  report.mIncarnation = ++fake.mIncarnation;
  HandleReport(world.mDispatcher,
               0,
               report,
               world.mNow - Millis(10),
               world.mNow,
               world.mActions);
  world.mActions.clear(); // The stop order is lost.
  // The start order may still arrive at the new process, for seconds.
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against taking a shown task for proof that no earlier owner has begun
// the next step. Here the first owner began it, and was lost together with the
// unstored end of the step before, so that the second owner ran that step again
// beside it. The third owner sees only the step before.
TEST(Takeover, HoldsAStepThatRunsBesideTheStepBefore)
{
  DispatchWorld world;
  world.ListRunners(8);
  StepSpec begin = FiniteStep(1, 1000);
  begin.mRequiredLabel = "rack0";
  StepSpec second = FiniteStep(1, 1000);
  second.mPredecessors = { 0 };
  second.mRequiredLabel = "rack1";
  world.AddJob(MakeJob("job", { begin, second }));
  const std::string first = world.RunnerOf("job.0.0.0");
  world.End("job.0.0.0", EndKind::Done);
  world.Report();
  world.Tick();
  const std::string beside = world.RunnerOf("job.0.1.0");
  CHECK_TRUE(!beside.empty() && beside != first);
  world.mRunners[first].mEnds.clear();
  world.mRunners[first].mAnswers = false;
  world.TakeOver(2);
  world.AdvanceTime(kWait + Seconds(1));
  const std::string again = world.RunnerOf("job.0.0.0");
  CHECK_TRUE(again != first && again != beside);
  CHECK_TRUE(beside == world.RunnerOf("job.0.1.0"));
  // An owner may conclude from the second step that the first is done.
  const std::uint32_t starts = again.empty() ? 2 : 3;
  LONGS_EQUAL(starts, world.mStarts);
  world.mRunners[first].mAnswers = true;
  world.mRunners[beside].mAnswers = false;
  world.ExtendLeases(beside, kWait - Seconds(1));
  world.TakeOver(3);
  world.AdvanceTime(Seconds(1));
  CHECK_TRUE(again == world.RunnerOf("job.0.0.0"));
  world.End("job.0.0.0", EndKind::Done);
  world.AdvanceTime(kWait - Seconds(2));
  LONGS_EQUAL(1, world.mMostRunsOfATask);
  LONGS_EQUAL(starts, world.mStarts);
}

// Guards against counting a failed run again whose number was left out of the
// stored progress, and against not counting one that is new.
TEST(Takeover, CountsEachFailureOnceWithoutTheNumbersOfAllRuns)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 8000) }));
  world.AdvanceTime(Millis(500));
  std::vector<std::int64_t> runs;
  for (int i = 0; i < 2; ++i) {
    const std::string runner = world.RunnerOf("job.0.0.0");
    runs.push_back(world.mRunners[runner].mRunning[0].mRun);
    world.End("job.0.0.0", EndKind::Failed);
    world.AdvanceTime(Seconds(3));
  }
  std::vector<std::int64_t>& stored =
    world.mStored.at("job").mOccurrences.at(0)[0].mFailedRuns.at(0);
  CHECK_TRUE(stored == runs);
  stored[0] = kUnlistedRun;
  // The ends are reported again to the later owner.
  for (const std::int64_t run : runs) {
    DispatchWorld::FakeRunner& runner = world.mRunners["r3"];
    runner.mEnds.push_back({ runner.mNextEnd++,
                             *ParseTaskName("job.0.0.0"),
                             run,
                             EndKind::Failed,
                             {} });
  }
  world.TakeOver(2);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2,
              world.mDispatcher.mJobs.find("job")
                ->second->mOccurrences.at(0)
                .mSteps[0]
                .mTasks[0]
                .mFailedRuns.size());
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  world.End("job.0.0.0", EndKind::Failed);
  world.AdvanceTime(Seconds(3));
  LONGS_EQUAL(3,
              world.mDispatcher.mJobs.find("job")
                ->second->mOccurrences.at(0)
                .mSteps[0]
                .mTasks[0]
                .mFailedRuns.size());
}

// Guards against progress that the store rejects because too many occurrences
// of a wide job have begun, and against holding one back for good.
TEST(Takeover, HoldsAnOccurrenceWhoseProgressDoesNotFit)
{
  DispatchWorld world;
  JobSpec job = MakeJob("job", { FiniteStep(3000, 1000) });
  job.mOccurrences = 4;
  job.mIntervalMs = 1;
  world.AddJob(job);
  world.Tick();
  Job& held = *world.mDispatcher.mJobs.find("job")->second;
  LONGS_EQUAL(2, held.mOccurrences.size());
  LONGS_EQUAL(2, held.mOccurrencesBegun);
  CHECK_TRUE(ProgressBytesBound(job, 2) <= kMaxProgressBytes);
  held.mOccurrences.erase(0);
  world.Tick();
  LONGS_EQUAL(3, held.mOccurrencesBegun);
}

// Guards against dropping and acknowledging the end of a task whose occurrence
// the earlier owner had begun without storing that, if the runner's answer
// comes before the first tick: the task would run twice.
TEST(Takeover, KeepsAnEndOfAnOccurrenceWhoseBeginningIsNotStored)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeRepeatedJob(world));
  world.Tick();
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  world.End("job.0.0.0", EndKind::Done);
  world.TakeOver(2);
  world.Report();
  world.AdvanceTime(Seconds(5));
  LONGS_EQUAL(1, world.mStarts);
  LONGS_EQUAL(1, world.mStored.at("job").mOccurrencesDone);
}

// Guards against stopping a task of such an occurrence that still runs.
TEST(Takeover, KeepsARunOfAnOccurrenceWhoseBeginningIsNotStored)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeRepeatedJob(world));
  world.Tick();
  world.TakeOver(2);
  world.Report();
  world.AdvanceTime(Seconds(5));
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against starting the same occurrence twice if this owner's clock is
// behind that of the earlier owner.
TEST(Takeover, KeepsAnEndOfAnOccurrenceThatIsNotDueYet)
{
  DispatchWorld world;
  world.ListRunners(4);
  JobSpec job = MakeRepeatedJob(world);
  job.mFirstDueMs += 1000;
  world.AddJob(job, PriorRuns::Possible);
  ReportDone(world, "r0", "job.0.0.0");
  world.AdvanceTime(Seconds(5));
  LONGS_EQUAL(0, world.mStarts);
  LONGS_EQUAL(1, world.mStored.at("job").mOccurrencesDone);
}

// Guards against acknowledging an end of an occurrence that can't begin yet,
// because the progress of all unfinished ones would be too large.
TEST(Takeover, KeepsAnEndOfAnOccurrenceWhoseProgressDoesNotFit)
{
  DispatchWorld world;
  world.ListRunners(1);
  // The runner only reports.
  world.mListed[0].mDraining = true;
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  JobSpec job = MakeJob("job", { FiniteStep(3000, 20000) });
  job.mOccurrences = 4;
  job.mIntervalMs = 1;
  world.AddJob(job);
  world.Tick();
  Job& held = *world.mDispatcher.mJobs.find("job")->second;
  LONGS_EQUAL(2, held.mOccurrencesBegun);
  ReportDone(world, "r0", "job.2.0.5");
  world.Commit();
  LONGS_EQUAL(0, AcknowledgedEnd(world, 0));
  held.mOccurrences.erase(0);
  world.Tick();
  CHECK_TRUE(held.mOccurrences.at(2).mSteps[0].mTasks[5].mPhase ==
             TaskPhase::Done);
  LONGS_EQUAL(0, AcknowledgedEnd(world, 0));
  world.Commit();
  LONGS_EQUAL(1, AcknowledgedEnd(world, 0));
}

// Guards against acknowledging an end of a job that the earlier owner had read
// from the inbox and this owner has not: the task would run twice.
TEST(Takeover, KeepsAnEndOfAJobThatIsNotReadYet)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.mDispatcher.mJobsKnownAsOf = world.mNow;
  ReportDone(world, "r0", "job.0.0.0");
  LONGS_EQUAL(0, AcknowledgedEnd(world, 0));
  world.AddJob(MakeJob("job", { FiniteStep(2, 4000) }));
  world.AdvanceTime(Millis(200));
  LONGS_EQUAL(1, world.mStarts);
  CHECK_TRUE(world.IsRunning("job.0.0.1"));
  LONGS_EQUAL(1, AcknowledgedEnd(world, 0));
}

// Guards against keeping the ends of jobs that have ended for good.
TEST(Takeover, AcknowledgesAnEndOfAnUnknownJobOnceAllJobsAreRead)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.mDispatcher.mJobsKnownAsOf = world.mNow;
  ReportDone(world, "r0", "job.0.0.0");
  world.mDispatcher.mJobsKnownAsOf = world.mNow + Millis(1);
  world.Tick();
  LONGS_EQUAL(1, AcknowledgedEnd(world, 0));
}

// Guards against counting a task as waiting while a run of it, which was
// reported before its job was known, is being stopped.
TEST(Takeover, CountsNoWaitingTaskWhileAReportedRunIsStopped)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.mRunners["r0"].mRunning.push_back({ "job.0.0.0", 1 });
  // The stop order has not been carried out yet.
  world.mRoundTrips["zone0"] = Millis(400);
  world.Report();
  world.AddJob(MakeJob("job", { FiniteStep(1, 4000) }));
  const Step& step =
    world.mDispatcher.mJobs.find("job")->second->mOccurrences.at(0).mSteps[0];
  LONGS_EQUAL(0, step.mWaitingTasks);
  CHECK_TRUE(world.mDispatcher.mWaitingSteps.empty());
  world.AdvanceTime(Seconds(2));
  LONGS_EQUAL(1, world.mStarts);
  LONGS_EQUAL(0, step.mWaitingTasks);
}
