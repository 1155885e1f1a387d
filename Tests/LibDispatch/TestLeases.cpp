#include <algorithm>
#include <string>
#include <vector>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Rate of the slowest clock that a runner may have.
constexpr double kSlowClock = 0.98;
/// Step of the world and interval of placement passes.
constexpr Millis kAtOnce{ 200 };
/// The longest lease by the slowest clock that is assumed, with the margin.
constexpr Millis kLongestLease{ 6000 * 103 / 100 + 150 };

/// @return the time at which the leases of a runner end by its own clock
MonotonicTime
LeaseEndOf(const DispatchWorld& aWorld,
           const DispatchWorld::FakeRunner& aRunner)
{
  const auto left =
    static_cast<double>(aRunner.mLeaseEndMs - aWorld.ClockOf(aRunner));
  return aWorld.mNow +
         Millis(static_cast<Millis::rep>(left / aRunner.mClockRate));
}

/// @return a list with the processes of all listed runners
std::vector<RunnerProcess>
ProcessesOf(const DispatchWorld& aWorld)
{
  std::vector<RunnerProcess> processes;
  for (const RunnerSpec& spec : aWorld.mListed) {
    processes.push_back({ spec.mId, spec.mIncarnation });
  }
  return processes;
}

/// Lets the runners with the given indexes answer a renewal that was sent
/// @p aLater after the present time, one after the other.
void
ReportOneByOne(DispatchWorld& aWorld,
               const std::vector<RunnerIndex>& aRunners,
               Millis aLater)
{
  for (const RunnerIndex index : aRunners) {
    aWorld.mNow += aLater;
    aWorld.Report(index);
  }
}

/// Lets the runner of a job's only task be silent, stores the record of it,
/// and returns the runner's name.
std::string
RecordSilentRunner(DispatchWorld& aWorld)
{
  aWorld.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  aWorld.AdvanceTime(Millis(500));
  std::string silent = aWorld.RunnerOf("job.0.0.0");
  aWorld.mRunners[silent].mAnswers = false;
  aWorld.AdvanceTime(Millis(500));
  const RunnerIndex index = aWorld.mDispatcher.mRunnerById.at(silent);
  CHECK_TRUE(ShouldStoreRecord(aWorld.mDispatcher, index, aWorld.mNow));
  aWorld.mRecords[silent] = PossibleRuns(aWorld.mDispatcher, index);
  aWorld.mRecordedLeaseEnds[silent] =
    aWorld.mDispatcher.mRunners[index].mLeasesExpireAt;
  return silent;
}

} // namespace

TEST_GROUP(Leases){};

// Guards against a lease that a later owner does not wait for: one that is
// granted beyond the limit, by the clock of a runner that runs slow.
TEST(Leases, RenewalsStayWithinTheLimitBySlowClocks)
{
  for (const double rate : { kSlowClock, 1.0 }) {
    for (const int left : { 300, 1000, 3000, 6180, 9000 }) {
      DispatchWorld world;
      world.mRunners["r0"].mClockRate = rate;
      world.ListRunners(1);
      const MonotonicTime limit = world.mNow + Millis(left);
      world.mDispatcher.mLeaseLimit = limit;
      world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
      LONGS_EQUAL(1, world.RunningTasks());
      world.mDispatcher.mStartsUntil = world.mNow;
      while (world.mNow < limit) {
        world.AdvanceTime(Millis(50));
        CHECK_TRUE(LeaseEndOf(world, world.mRunners["r0"]) <= limit);
        // Renewals go on, so that the run does not end much earlier.
        CHECK_TRUE(world.mNow >= limit - Millis(100) ||
                   world.RunningTasks() == 1);
      }
      world.AdvanceTime(Millis(50));
      LONGS_EQUAL(0, world.RunningTasks());
    }
  }
}

// Guards against a lease beyond the limit if the owner last read the runner's
// clock some time ago, so that it estimates how far the clock has moved.
TEST(Leases, StaleClockReadingsKeepWithinTheLimit)
{
  for (const double rate : { kSlowClock, 1.0, 1.02 }) {
    for (const int age : { 0, 400, 2000, 8000 }) {
      DispatchWorld world;
      world.mRunners["r0"].mClockRate = rate;
      world.ListRunners(1);
      world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
      world.Report();
      world.mNow += Millis(age);
      world.mDispatcher.mLeaseLimit = world.mNow + Seconds(3);
      DispatchWorld::FakeRunner& runner = world.mRunners["r0"];
      runner.mLeaseEndMs =
        PlanRenewal(world.mDispatcher, 0, world.mNow).mLeaseEndMs;
      CHECK_TRUE(runner.mLeaseEndMs > 0);
      CHECK_TRUE(LeaseEndOf(world, runner) <= world.mDispatcher.mLeaseLimit);
    }
  }
}

// Guards against a start order whose lease ends after the limit.
TEST(Leases, StartsStayWithinTheLimit)
{
  for (const int left : { 0, 500, 2900 }) {
    DispatchWorld world;
    world.mRunners["r0"].mClockRate = kSlowClock;
    world.ListRunners(1);
    world.AdvanceTime(Millis(500));
    world.mDispatcher.mLeaseLimit = world.mNow + Millis(left);
    world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
    LONGS_EQUAL(1, world.mStarts);
    CHECK_TRUE(LeaseEndOf(world, world.mRunners["r0"]) <=
               world.mDispatcher.mLeaseLimit);
  }
}

// Guards against leases longer than the longest one where the limit is far
// away.
TEST(Leases, NoLeaseIsLongerThanTheLongest)
{
  DispatchWorld world;
  world.mRunners["r0"].mClockRate = kSlowClock;
  world.ListRunners(1);
  world.mDispatcher.mLeaseLimit = world.mNow + Seconds(60);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  for (int i = 0; i < 40; ++i) {
    world.AdvanceTime(Millis(50));
    DispatchWorld::FakeRunner& runner = world.mRunners["r0"];
    CHECK_TRUE(LeaseEndOf(world, runner) <= world.mNow + kLongestLease);
    CHECK_TRUE(runner.mLeaseEndMs <= world.ClockOf(runner) + 6000);
  }
}

// Guards against an owner that goes on starting tasks although a later owner
// may have started them by now.
TEST(Leases, NothingStartsWhileStartsArePaused)
{
  DispatchWorld world;
  world.ListRunners(8);
  StepSpec second = FiniteStep(1, 1000);
  second.mPredecessors = { 0 };
  world.AddJob(MakeJob("steps", { FiniteStep(1, 1000), second }));
  world.AddJob(MakeJob("serving", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  LONGS_EQUAL(2, world.mStarts);
  world.mDispatcher.mStartsUntil = world.mNow;
  StepSpec gang = FiniteStep(2, 1000);
  gang.mGang = true;
  world.AddJob(MakeJob("gang", { gang }));
  world.AddJob(MakeJob("new", { FiniteStep(1, 1000) }));
  world.End("steps.0.0.0", EndKind::Done);
  world.End("serving.0.0.0", EndKind::Failed);
  world.AdvanceTime(Seconds(5));
  LONGS_EQUAL(2, world.mStarts);
  world.mDispatcher.mStartsUntil = MonotonicTime::max();
  world.AdvanceTime(kAtOnce);
  LONGS_EQUAL(7, world.mStarts);
}

// Guards against a start by an owner that was suspended past the time until
// which it may start tasks, before it has checked anything else.
TEST(Leases, NothingStartsAfterASuspension)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AdvanceTime(Millis(500));
  world.mDispatcher.mStartsUntil = world.mNow + Millis(1500);
  world.mNow += Millis(1499);
  world.AddJob(MakeJob("before", { FiniteStep(1, 1000) }));
  LONGS_EQUAL(1, world.mStarts);
  world.mNow += Millis(1);
  world.AddJob(MakeJob("after", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a start on a restarted runner whose leases may have been
// extended beyond what the store knows, by a renewal meant for its former
// process.
TEST(Leases, NothingStartsOnARestartedRunnerBeforeTheNextRenewal)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AdvanceTime(Millis(500));
  world.mDispatcher.mRenewedAt = world.mNow;
  world.mNow += Millis(50);
  world.Restart("r0");
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Seconds(2));
  LONGS_EQUAL(0, world.mStarts);
  world.mDispatcher.mRenewedAt = world.mNow;
  world.AdvanceTime(kAtOnce);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against taking half of the runners, or fewer, for a majority: a later
// owner may have reached the others.
TEST(Leases, MajorityIsMoreThanHalf)
{
  for (const std::size_t count : { 1U, 2U, 3U, 4U, 5U, 8U }) {
    DispatchWorld world;
    for (std::size_t i = 0; i < count; ++i) {
      world.mRunners["r" + std::to_string(i)].mAnswers = false;
    }
    world.ListRunners(count);
    const std::vector<RunnerProcess> processes = ProcessesOf(world);
    std::vector<MonotonicTime> contacts;
    for (RunnerIndex i = 0; i < count; ++i) {
      world.mRunners["r" + std::to_string(i)].mAnswers = true;
      ReportOneByOne(world, { i }, Millis(100));
      contacts.push_back(world.mNow);
      const std::size_t answered = i + 1;
      const std::size_t majority = count / 2 + 1;
      // The oldest answer of the latest ones that make up a majority counts.
      const MonotonicTime expected =
        answered < majority ? MonotonicTime{} : contacts[answered - majority];
      CHECK_TRUE(expected == MajorityContactAt(world.mDispatcher, processes));
    }
  }
}

// Guards against counting only the runners that this owner knows: the list that
// a later owner reads decides, and it may have reached those.
TEST(Leases, UnknownRunnersCountAsUnanswered)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AdvanceTime(Millis(100));
  std::vector<RunnerProcess> processes = ProcessesOf(world);
  CHECK_TRUE(world.mNow == MajorityContactAt(world.mDispatcher, processes));
  processes.push_back({ "x0", 1 });
  CHECK_TRUE(world.mNow == MajorityContactAt(world.mDispatcher, processes));
  processes.push_back({ "x1", 1 });
  CHECK_TRUE(MonotonicTime{} ==
             MajorityContactAt(world.mDispatcher, processes));
  CHECK_TRUE(MonotonicTime{} == MajorityContactAt(world.mDispatcher, {}));
}

// Guards against counting a runner that has restarted: its new process has
// forgotten that it had answered a later owner. Only a list that names the new
// process makes it count again, and only by answers of that process.
TEST(Leases, RestartedRunnersCountOnlyIfTheListNamesTheirProcess)
{
  DispatchWorld world;
  world.ListRunners(3);
  world.AdvanceTime(Millis(500));
  const std::vector<RunnerProcess> before = ProcessesOf(world);
  const MonotonicTime answeredAt = world.mNow;
  CHECK_TRUE(answeredAt == MajorityContactAt(world.mDispatcher, before));
  world.mNow += Millis(100);
  world.Restart("r0");
  const std::vector<RunnerProcess> after = ProcessesOf(world);
  // Two of three are left. r0 does not count in either list so far.
  CHECK_TRUE(answeredAt == MajorityContactAt(world.mDispatcher, before));
  CHECK_TRUE(answeredAt == MajorityContactAt(world.mDispatcher, after));
  ReportOneByOne(world, { 0 }, Millis(100));
  CHECK_TRUE(answeredAt == MajorityContactAt(world.mDispatcher, before));
  world.Restart("r1");
  CHECK_TRUE(MonotonicTime{} == MajorityContactAt(world.mDispatcher, before));
  CHECK_TRUE(answeredAt == MajorityContactAt(world.mDispatcher, after));
  ReportOneByOne(world, { 1, 0 }, Millis(100));
  CHECK_TRUE(MonotonicTime{} == MajorityContactAt(world.mDispatcher, before));
  CHECK_TRUE(world.mNow - Millis(100) ==
             MajorityContactAt(world.mDispatcher, ProcessesOf(world)));
  world.Restart("r0");
  world.Restart("r2");
  CHECK_TRUE(MonotonicTime{} ==
             MajorityContactAt(world.mDispatcher, ProcessesOf(world)));
}

// Guards against counting the arrival of an answer: the runner may have
// answered a later owner after it sent the answer.
TEST(Leases, ContactCountsFromTheRequest)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AdvanceTime(Millis(100));
  const MonotonicTime sentAt = world.mNow;
  world.mNow += Millis(700);
  RunnerReport report;
  report.mIncarnation = 1;
  report.mClockMs = world.ClockOf(world.mRunners["r0"]);
  HandleReport(
    world.mDispatcher, 0, report, sentAt, world.mNow, world.mActions);
  CHECK_TRUE(sentAt ==
             MajorityContactAt(world.mDispatcher, ProcessesOf(world)));
}

// Guards against counting a runner that has answered an earlier owner only.
TEST(Leases, InheritedRunnersCountFromTheirFirstAnswer)
{
  DispatchWorld world;
  world.ListRunners(3);
  world.AdvanceTime(Millis(500));
  world.TakeOver(2);
  const std::vector<RunnerProcess> processes = ProcessesOf(world);
  CHECK_TRUE(MonotonicTime{} ==
             MajorityContactAt(world.mDispatcher, processes));
  ReportOneByOne(world, { 0 }, Millis(100));
  CHECK_TRUE(MonotonicTime{} ==
             MajorityContactAt(world.mDispatcher, processes));
  ReportOneByOne(world, { 1 }, Millis(100));
  CHECK_TRUE(world.mNow - Millis(100) ==
             MajorityContactAt(world.mDispatcher, processes));
}

// Guards against a wait for a recorded runner that starts anew with each owner,
// and against one that ends before the runner has ended its runs.
TEST(Leases, RecordedLeaseEndsAreWaitedForOnce)
{
  DispatchWorld world;
  world.mRunners["r0"].mClockRate = kSlowClock;
  world.ListRunners(4);
  const std::string silent = RecordSilentRunner(world);
  CHECK_EQUAL(std::string("r0"), silent);
  const MonotonicTime end = world.mRecordedLeaseEnds[silent];
  for (std::int64_t epoch = 2; epoch <= 4; ++epoch) {
    world.AdvanceTime(Millis(1300));
    world.TakeOver(epoch);
    const RunnerIndex index = world.mDispatcher.mRunnerById.at(silent);
    // Each owner replaces the record, which has a later time at no point.
    CHECK_TRUE(world.mDispatcher.mRunners[index].mLeasesExpireAt <= end);
    world.mRecordedLeaseEnds[silent] =
      world.mDispatcher.mRunners[index].mLeasesExpireAt;
  }
  const Millis left = std::chrono::duration_cast<Millis>(end - world.mNow);
  CHECK_COMPARE(left.count(), >, 0);
  const MonotonicTime leaseEnd = LeaseEndOf(world, world.mRunners[silent]);
  CHECK_TRUE(leaseEnd <= end);
  world.AdvanceTime(left - Millis(50));
  LONGS_EQUAL(1, world.mStarts);
  world.AdvanceTime(kAtOnce + Millis(50));
  LONGS_EQUAL(2, world.mStarts);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against a wait beyond one longest lease because a record states a
// lease end far away, and against one for a lease that is over.
TEST(Leases, RecordedLeaseEndsAreBoundedByTheLongestLease)
{
  for (const int recorded : { -60000, 0, 2000, 60000 }) {
    DispatchWorld world;
    world.ListRunners(4);
    const std::string silent = RecordSilentRunner(world);
    world.mRunners[silent].mRunning.clear();
    world.mRecordedLeaseEnds[silent] = world.mNow + Millis(recorded);
    world.TakeOver(2);
    const Millis waited = world.TimeUntilRunning("job.0.0.0");
    const Millis expected =
      std::clamp(Millis(recorded), Millis(0), kLongestLease);
    CHECK_COMPARE(waited.count(), >=, expected.count());
    CHECK_COMPARE(waited.count(), <=, (expected + kAtOnce).count());
  }
}

// Guards against a lease end of a record that shortens the wait for runners
// without a record: a task that no runner has shown may run on one of these.
TEST(Leases, RecordedLeaseEndsSayNothingAboutOtherRunners)
{
  DispatchWorld world;
  world.ListRunners(4);
  const std::string silent = RecordSilentRunner(world);
  world.mRunners[silent].mRunning.clear();
  world.mRecordedLeaseEnds[silent] = world.mNow + Seconds(1);
  world.mRunners[silent == "r3" ? "r2" : "r3"].mAnswers = false;
  world.TakeOver(2);
  world.AdvanceTime(Millis(17800));
  LONGS_EQUAL(1, world.mStarts);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against forgetting a runner on which a run or an end of a run may be
// left, or one that service discovery lists.
TEST(Leases, RunnersHaveLeftOnlyOnceNothingRunsThere)
{
  DispatchWorld world;
  world.ListRunners(2);
  CHECK_FALSE(HasLeft(world.mDispatcher, 0));
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  const std::string used = world.RunnerOf("job.0.0.0");
  const std::string idle = used == "r0" ? "r1" : "r0";
  const RunnerIndex usedIndex = world.mDispatcher.mRunnerById.at(used);
  const RunnerIndex idleIndex = world.mDispatcher.mRunnerById.at(idle);
  world.Leave(used);
  CHECK_FALSE(HasLeft(world.mDispatcher, usedIndex));
  CHECK_FALSE(HasLeft(world.mDispatcher, idleIndex));
  world.AdvanceTime(Millis(6000));
  CHECK_FALSE(HasLeft(world.mDispatcher, usedIndex));
  world.AdvanceTime(Millis(1000));
  CHECK_TRUE(HasLeft(world.mDispatcher, usedIndex));
  CHECK_TRUE(world.IsRunning("job.0.0.0"));
  // A later owner that has not heard the runner can't tell.
  world.TakeOver(2);
  world.mListed.clear();
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  for (RunnerIndex i = 0; i < world.mDispatcher.mRunners.size(); ++i) {
    CHECK_FALSE(HasLeft(world.mDispatcher, i));
  }
}

// Guards against forgetting a runner whose reported ends are not stored yet.
TEST(Leases, RunnersWithUnstoredEndsHaveNotLeft)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.mListed.clear();
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  world.End("job.0.0.0", EndKind::Done);
  world.mNow += Millis(50);
  world.Report();
  CHECK_FALSE(HasLeft(world.mDispatcher, 0));
  world.Commit();
  CHECK_TRUE(HasLeft(world.mDispatcher, 0));
}

// Guards against work that is run again although it was done: an owner that is
// late, or a runner that is slow to answer, misses the end until the leases are
// over, and the runner still lists it.
TEST(Leases, WaitsForTheEndsOfASilentRunnerThatIsListed)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  const std::string runner = world.RunnerOf("job.0.0.0");
  world.mRunners[runner].mAnswers = false;
  world.End("job.0.0.0", EndKind::Done);
  world.AdvanceTime(Seconds(12));
  LONGS_EQUAL(1, world.mStarts);
  world.mRunners[runner].mAnswers = true;
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, world.mStarts);
  CHECK_TRUE(world.mEndedJobs["job"] == JobPhase::Completed);
}

// Guards against tasks that wait for the report of a runner that has left.
TEST(Leases, RestartsTheTasksOfASilentRunnerThatIsListedNoMore)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  world.Leave(world.RunnerOf("job.0.0.0"));
  world.AdvanceTime(Seconds(7));
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against tasks that wait forever for a runner that stays listed and
// never answers.
TEST(Leases, WaitsForUnheardEndsForALimitedTime)
{
  DispatchWorld world;
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  world.mRunners[world.RunnerOf("job.0.0.0")].mAnswers = false;
  world.AdvanceTime(Seconds(6) + world.mDispatcher.mSettings.mUnheardEndsWait);
  LONGS_EQUAL(1, world.mStarts);
  world.AdvanceTime(Seconds(1));
  LONGS_EQUAL(2, world.mStarts);
}

// Guards against waiting where it isn't needed: a long-running task runs until
// its lease ends, so the runner's leases certainly ended with a run.
TEST(Leases, RestartsTasksBesideALongRunningTaskAfterOneLease)
{
  DispatchWorld world;
  world.ListRunners(1);
  world.AddJob(MakeJob("long", { LongRunningStep(1, 1000) }));
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  world.AdvanceTime(Millis(500));
  world.mRunners["r0"].mAnswers = false;
  world.AdvanceTime(Millis(6700));
  CHECK_TRUE(world.mDispatcher.mRunners[0].mTasks.empty());
}

// Guards against a long-running task that waits for the ends of finite tasks on
// its silent runner. It was being moved away, so that it may have been stopped
// before the leases ended.
TEST(Leases, AwaitedEndsDelayNoLongRunningTask)
{
  DispatchWorld world;
  world.ListRunners(2);
  world.AddJob(MakeJob("long", { LongRunningStep(1, 1000) }));
  const std::string runner = world.RunnerOf("long.0.0.0");
  world.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  STRCMP_EQUAL(runner.c_str(), world.RunnerOf("job.0.0.0").c_str());
  world.AdvanceTime(Millis(500));
  world.mRunners[runner].mAnswers = false;
  for (RunnerSpec& spec : world.mListed) {
    spec.mDraining = spec.mId == runner;
  }
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  for (Runner& known : world.mDispatcher.mRunners) {
    for (const TaskRef& ref : known.mTasks) {
      if (SpecOf(ref).mKind == StepKind::LongRunning) {
        TaskOf(ref).mPhase = TaskPhase::Stopping;
        TaskOf(ref).mStopCause = StopCause::Moved;
      }
    }
  }
  world.AdvanceTime(Millis(6800));
  CHECK_TRUE(world.IsRunning("long.0.0.0"));
  CHECK_TRUE(world.RunnerOf("long.0.0.0") != runner);
  LONGS_EQUAL(3, world.mStarts);
}

// Guards against a long-running task that waits beside runners with room until
// a lease as long as the deployment allows has ended.
TEST(Leases, ALongAllowedLeaseDelaysNoTaskOfALostRunner)
{
  DispatchWorld world;
  world.mDispatcher.mSettings.mMaxLease = Seconds(10);
  world.ListRunners(4);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  world.AdvanceTime(Seconds(3));
  world.Leave(world.RunnerOf("job.0.0.0"));
  CHECK_FALSE(world.IsRunning("job.0.0.0"));
  CHECK_TRUE(world.TimeUntilRunning("job.0.0.0") <= kLongestLease + kAtOnce);
  LONGS_EQUAL(1, world.mMostRunsOfATask);
}

// Guards against a lease that is longer than the deployment allows.
TEST(Leases, NoLeaseIsLongerThanTheDeploymentAllows)
{
  DispatchWorld world;
  world.mDispatcher.mSettings.mMaxLease = Seconds(4);
  world.ListRunners(1);
  world.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  for (int i = 0; i < 40; ++i) {
    world.AdvanceTime(Millis(50));
    const DispatchWorld::FakeRunner& runner = world.mRunners["r0"];
    CHECK_TRUE(LeaseEndOf(world, runner) > world.mNow);
    CHECK_TRUE(LeaseEndOf(world, runner) <= world.mNow + Seconds(4));
  }
}

// Guards against a lease of an earlier owner that counts as over too soon after
// the first answer to the present one: it may last until the time that the
// earlier owner has stated, or for a short lease, and on a restarted runner for
// the longest one.
TEST(Leases, EarlierLeasesLastUntilTheStatedEnd)
{
  DispatchWorld world;
  world.mDispatcher.mSettings.mMaxLease = Seconds(10);
  world.ListRunners(1);
  Runner& runner = world.mDispatcher.mRunners[0];
  const auto longest = [&] {
    return LongestEarlierLease(world.mDispatcher, runner, world.mNow);
  };
  CHECK_TRUE(longest() == Seconds(10)); // Nothing is stated.
  world.mDispatcher.mEarlierOrdinaryLeasesUntil = world.mNow + Seconds(12);
  CHECK_TRUE(longest() == Seconds(10));
  world.mDispatcher.mEarlierOrdinaryLeasesUntil = world.mNow + Seconds(8);
  CHECK_TRUE(longest() == Seconds(8));
  world.mDispatcher.mEarlierOrdinaryLeasesUntil = world.mNow - Seconds(8);
  CHECK_TRUE(longest() == Seconds(6));
  runner.mExtendedLeasesExpireAt = world.mNow + Seconds(9);
  CHECK_TRUE(longest() == Seconds(9));
  runner.mRestartSeenAt = world.mNow;
  CHECK_TRUE(longest() == Seconds(10));
}
