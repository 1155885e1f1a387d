#include <LibDispatch/IdleJobs.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/HeldRunners.h>
#include <LibDispatch/PlacementOrder.h>
#include <LibDispatch/PreferredRacks.h>
#include <LibDispatch/RunnerRating.h>
#include <LibDispatch/TaskStarts.h>

namespace paddle::dispatch {

namespace {

/// Late jobs get tasks on runners without unused processors only after this
/// time in which every job in time had something running. Such tasks slow down
/// those of jobs that arrive soon after.
constexpr Millis kOvercommitDelay{ 2000 };
/// Age of an occurrence from which its job counts as old. Most jobs have ended
/// or missed their objective by then, and clients expect all jobs to run 14 s
/// after a load has ended.
constexpr Seconds kOldAge{ 10 };
/// The same while young jobs wait, which may still end in time. With 10 s, days
/// that are overloaded for a few seconds only lost benefit.
constexpr Seconds kOldAgeBesideYoungJobs{ 20 };
/// Old jobs share processors until this part of the service's memory is
/// reserved. Clients expect a job to run while under half of it is; the
/// difference allows for tasks that end between two passes.
constexpr std::int64_t kMaxSharedMemoryPercent = 55;
/// Age up to which a job counts as young. While young jobs wait, old jobs
/// disturb no serving task: that would throttle best-effort tasks which can
/// still end in time.
constexpr Seconds kYoungAge{ 8 };
/// A job that has been idle for this time is overdue.
constexpr Seconds kMaxIdleTime{ 30 };
/// Overdue jobs may take one of this many starts, or one start a second if that
/// is more. With one in eight after 20 s, jobs in time lost up to a seventh
/// more of their benefit on overloaded days.
constexpr double kStartsPerOverdueStart = 16;
constexpr double kOverdueStartsPerSecond = 1;
/// Starts that overdue jobs may save up while there is none.
constexpr double kMaxOverdueStarts = 8;
/// Number of overdue jobs for which a runner to hold is looked for in a pass.
constexpr std::size_t kMaxConsideredForHold = 8;

/// @return whether finite tasks of the step wait, while nothing of its job runs
bool
IsIdle(const WaitingStep& aEntry)
{
  return aEntry.mKind != StepKind::LongRunning && aEntry.mJob->mActiveRuns == 0;
}

/// @return the same for best-effort tasks
bool
IsIdleBestEffort(const WaitingStep& aEntry)
{
  const StepSpec& spec = aEntry.mJob->mSpec.mSteps[aEntry.mStep];
  return IsIdle(aEntry) && spec.mReservation == Reservation::BestEffort;
}

/// @return the time since the occurrence of a waiting step began
MonotonicTime::duration
AgeOf(const WaitingStep& aEntry, MonotonicTime aNow)
{
  return aNow - aEntry.mJob->mOccurrences.at(aEntry.mOccurrence).mBegunAt;
}

/// Records for which services a best-effort job that can still meet its
/// objective waits with nothing running, although only unused processors are
/// missing.
void
RecordIdleJobsInTime(Dispatcher& aDispatcher,
                     std::span<const RunnerIndex> aCandidates,
                     MonotonicTime aNow)
{
  UnplaceableOfPass unplaceable;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    if (queue == nullptr || !IsIdleBestEffort(entry) || !MayStartNext(entry) ||
        WaitsForRack(aDispatcher, entry) ||
        OutlookOf(entry, aNow) != DeadlineOutlook::InTime) {
      continue;
    }
    IdleInTime& idle = aDispatcher.mIdleInTimeAt[queue->mService];
    MonotonicTime& idleAt =
      IsSurplus(aDispatcher, *entry.mJob) ? idle.mSurplusAt : idle.mEntitledAt;
    const StepSpec& spec = entry.mJob->mSpec.mSteps[entry.mStep];
    if (idleAt == aNow ||
        unplaceable.Covers(*entry.mJob, spec, queue->mService)) {
      continue;
    }
    const std::optional<TaskRef> task = FirstStartableTask(aDispatcher, entry);
    if (!task) {
      continue;
    }
    if (ChooseRunner(aDispatcher,
                     aCandidates,
                     *task,
                     queue->mService,
                     Overcommit::Yes,
                     aNow) == kNoRunner) {
      unplaceable.Add(*entry.mJob, spec, queue->mService);
    } else {
      idleAt = aNow;
    }
  }
}

/// Starts a task of the step, or all tasks of a gang.
/// @return the number of tasks that were started
std::uint32_t
StartOne(Dispatcher& aDispatcher,
         std::span<const RunnerIndex> aCandidates,
         const WaitingStep& aEntry,
         const std::string& aService,
         Overcommit aOvercommit,
         MonotonicTime aNow,
         Actions& aActions)
{
  std::uint32_t started = 0;
  if (aEntry.mJob->mSpec.mSteps[aEntry.mStep].mGang) {
    started =
      StartGang(
        aDispatcher, aCandidates, aEntry, aService, aOvercommit, aNow, aActions)
        ? static_cast<std::uint32_t>(StepOf(aEntry).mTasks.size())
        : 0;
  } else if (const std::optional<TaskRef> task =
               FirstStartableTask(aDispatcher, aEntry)) {
    const RunnerIndex runner = ChooseRunner(
      aDispatcher, aCandidates, *task, aService, aOvercommit, aNow);
    if (runner == kNoRunner) {
      return 0;
    }
    Start(aDispatcher, *task, runner, aDispatcher.mNextRun++, aNow, aActions);
    if (aOvercommit != Overcommit::No) {
      MarkOvercommitted(aDispatcher, *task);
    }
    AddNeighbourLoad(aDispatcher, aDispatcher.mRunners[runner], *task, aNow);
    started = 1;
  }
  if (started > 0) {
    aDispatcher.mCounters.mOvercommittedStarts +=
      aOvercommit == Overcommit::No ? 0 : started;
    UpdateWaiting(aDispatcher, *aEntry.mJob, aEntry.mOccurrence, aEntry.mStep);
  }
  return started;
}

/// @return the steps of idle jobs for which @p aWanted holds and which this
///         owner may start, those of the longest idle job first
std::vector<WaitingStep>
LongestIdleFirst(const Dispatcher& aDispatcher,
                 const std::function<bool(const WaitingStep&)>& aWanted)
{
  std::vector<WaitingStep> steps;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    if (aWanted(entry) &&
        FindStartableQueue(aDispatcher, *entry.mJob) != nullptr) {
      steps.push_back(entry);
    }
  }
  std::stable_sort(steps.begin(),
                   steps.end(),
                   [](const WaitingStep& aFirst, const WaitingStep& aSecond) {
                     return aFirst.mJob->mIdleSince < aSecond.mJob->mIdleSince;
                   });
  return steps;
}

/// Adds the starts that overdue jobs may take after those of all jobs.
void
Replenish(OverdueAllowance& aAllowance,
          std::uint64_t aStarts,
          MonotonicTime aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aAllowance.mReplenishedAt).count();
  const double gained =
    std::max(static_cast<double>(aStarts - aAllowance.mStartsSeen) /
               kStartsPerOverdueStart,
             seconds * kOverdueStartsPerSecond);
  aAllowance.mStarts = std::min(kMaxOverdueStarts, aAllowance.mStarts + gained);
  aAllowance.mStartsSeen = aStarts;
  aAllowance.mReplenishedAt = aNow;
}

/// Ways to place a task, in the order in which they are tried, each with the
/// requests that it has failed for in this pass.
struct PlacementAttempt
{
  Overcommit mOvercommit = Overcommit::No;
  UnplaceableOfPass mUnplaceable;
};

/// Starts a task of the step in the first way that finds a runner.
/// @return the number of tasks that were started
std::uint32_t
StartInFirstWay(Dispatcher& aDispatcher,
                std::span<const RunnerIndex> aCandidates,
                const WaitingStep& aEntry,
                const std::string& aService,
                std::span<PlacementAttempt> aAttempts,
                MonotonicTime aNow,
                Actions& aActions)
{
  const StepSpec& spec = aEntry.mJob->mSpec.mSteps[aEntry.mStep];
  if (!FirstStartableTask(aDispatcher, aEntry)) {
    return 0; // Runs of all its tasks may be left from an earlier owner.
  }
  if (!MayStartNext(aEntry)) {
    return 0;
  }
  for (PlacementAttempt& attempt : aAttempts) {
    if (attempt.mUnplaceable.Covers(*aEntry.mJob, spec, aService)) {
      continue;
    }
    const std::uint32_t started = StartOne(aDispatcher,
                                           aCandidates,
                                           aEntry,
                                           aService,
                                           attempt.mOvercommit,
                                           aNow,
                                           aActions);
    if (started > 0) {
      return started;
    }
    attempt.mUnplaceable.Add(*aEntry.mJob, spec, aService);
  }
  return 0;
}

/// @return whether no further start order may be sent in this pass
bool
ReachedStartLimit(Dispatcher& aDispatcher, std::uint32_t aStarted)
{
  if (aStarted < aDispatcher.mSettings.mMaxStartsPerPass &&
      aDispatcher.mUnansweredStarts < aDispatcher.mOrderLimit.mLimit) {
    return false;
  }
  aDispatcher.mPlacementDue = true;
  return true;
}

/// Starts a task of each late job that is idle, unless jobs in time wait for
/// the same service. Otherwise the jobs at the end of the placement order would
/// have nothing running for as long as the backlog lasts.
void
StartIdleLateJobs(Dispatcher& aDispatcher,
                  std::span<const RunnerIndex> aCandidates,
                  MonotonicTime aNow,
                  Actions& aActions)
{
  RecordIdleJobsInTime(aDispatcher, aCandidates, aNow);
  std::uint32_t started = 0;
  std::array<PlacementAttempt, 1> attempts{ { { Overcommit::Yes, {} } } };
  PlacementCursor cursor(aDispatcher, aNow);
  while (const WaitingStep* next = cursor.Next()) {
    const WaitingStep& entry = *next;
    if (!aDispatcher.mWaitingSteps.contains(entry)) {
      continue; // The step has been placed in this pass.
    }
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    if (queue == nullptr || !IsIdleBestEffort(entry) ||
        WaitsForRack(aDispatcher, entry)) {
      continue;
    }
    const auto idle = aDispatcher.mIdleInTimeAt.find(queue->mService);
    // Surplus jobs must not keep a job back that isn't surplus.
    const bool jobsInTimeWait =
      idle != aDispatcher.mIdleInTimeAt.end() &&
      (aNow - idle->second.mEntitledAt < kOvercommitDelay ||
       (IsSurplus(aDispatcher, *entry.mJob) &&
        aNow - idle->second.mSurplusAt < kOvercommitDelay));
    if (jobsInTimeWait || OutlookOf(entry, aNow) == DeadlineOutlook::InTime) {
      continue;
    }
    if (ReachedStartLimit(aDispatcher, started)) {
      return;
    }
    started += StartInFirstWay(aDispatcher,
                               aCandidates,
                               entry,
                               queue->mService,
                               attempts,
                               aNow,
                               aActions);
  }
}

/// Memory of the runners of a service, and whether young jobs wait for them.
struct ServiceLoad
{
  std::int64_t mReservedMemoryMb = 0;
  std::int64_t mTotalMemoryMb = 0;
  bool mYoungJobsWait = false;
  bool mYoungSurplusJobsWait = false;
};

/// @return the load by service
std::map<std::string_view, ServiceLoad>
ServiceLoads(const Dispatcher& aDispatcher,
             std::span<const RunnerIndex> aCandidates,
             MonotonicTime aNow)
{
  std::map<std::string_view, ServiceLoad> loads;
  for (const RunnerIndex index : aCandidates) {
    const Runner& runner = aDispatcher.mRunners[index];
    ServiceLoad& load = loads[runner.mSpec.mService];
    load.mReservedMemoryMb += runner.mReserved.mMemoryMb;
    load.mTotalMemoryMb += runner.mSpec.mCapacity.mMemoryMb;
  }
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    if (queue != nullptr && IsIdleBestEffort(entry) && MayStartNext(entry) &&
        !WaitsForRack(aDispatcher, entry) && AgeOf(entry, aNow) < kYoungAge) {
      ServiceLoad& load = loads[queue->mService];
      (IsSurplus(aDispatcher, *entry.mJob) ? load.mYoungSurplusJobsWait
                                           : load.mYoungJobsWait) = true;
    }
  }
  return loads;
}

/// Starts a task of each old job that is idle, the longest idle first, while
/// there is memory for more tasks.
void
StartIdleOldJobs(Dispatcher& aDispatcher,
                 std::span<const RunnerIndex> aCandidates,
                 MonotonicTime aNow,
                 Actions& aActions)
{
  std::vector<WaitingStep> old =
    LongestIdleFirst(aDispatcher, [&](const WaitingStep& aEntry) {
      return IsIdleBestEffort(aEntry) && AgeOf(aEntry, aNow) >= kOldAge;
    });
  if (old.empty()) {
    return;
  }
  std::stable_partition(old.begin(), old.end(), [&](const WaitingStep& aEntry) {
    return !IsSurplus(aDispatcher, *aEntry.mJob);
  });
  std::map<std::string_view, ServiceLoad> loads =
    ServiceLoads(aDispatcher, aCandidates, aNow);
  std::uint32_t started = 0;
  std::array<PlacementAttempt, 2> attempts{
    { { Overcommit::Yes, {} }, { Overcommit::DespiteInterference, {} } }
  };
  for (const WaitingStep& entry : old) {
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    ServiceLoad& load = loads[queue->mService];
    const bool youngJobsWait =
      load.mYoungJobsWait ||
      (IsSurplus(aDispatcher, *entry.mJob) && load.mYoungSurplusJobsWait);
    const Seconds oldAge = youngJobsWait ? kOldAgeBesideYoungJobs : kOldAge;
    if (entry.mJob->mActiveRuns > 0 || AgeOf(entry, aNow) < oldAge ||
        load.mReservedMemoryMb * 100 >=
          load.mTotalMemoryMb * kMaxSharedMemoryPercent) {
      continue;
    }
    if (ReachedStartLimit(aDispatcher, started)) {
      return;
    }
    const std::uint32_t tasks =
      StartInFirstWay(aDispatcher,
                      aCandidates,
                      entry,
                      queue->mService,
                      std::span(attempts).first(youngJobsWait ? 1 : 2),
                      aNow,
                      aActions);
    started += tasks;
    load.mReservedMemoryMb +=
      tasks * entry.mJob->mSpec.mSteps[entry.mStep].mDemand.mMemoryMb;
  }
}

/// Holds a runner for the longest idle job that fits nowhere. Otherwise other
/// tasks would take its processors or memory bit by bit.
void
HoldRunnerForOverdueJob(Dispatcher& aDispatcher,
                        std::span<const RunnerIndex> aCandidates,
                        std::span<const WaitingStep> aOverdue,
                        MonotonicTime aNow)
{
  const std::size_t before = aDispatcher.mHeldRunners.size();
  std::size_t considered = 0;
  for (const WaitingStep& entry : aOverdue) {
    const std::optional<TaskRef> task = FirstStartableTask(aDispatcher, entry);
    // FIXME: No runners are held for a gang.
    if (!task || entry.mJob->mSpec.mSteps[entry.mStep].mGang ||
        !MayStartNext(entry)) {
      continue;
    }
    if (++considered > kMaxConsideredForHold) {
      return;
    }
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    if (ChooseRunner(aDispatcher,
                     aCandidates,
                     *task,
                     queue->mService,
                     Overcommit::No,
                     aNow) != kNoRunner) {
      continue;
    }
    HoldRunnersFor(aDispatcher, aCandidates, entry, queue->mService, 1, aNow);
    if (aDispatcher.mHeldRunners.size() > before) {
      return;
    }
  }
}

} // namespace

bool
IsIdleForLong(const TaskRef& aTask, MonotonicTime aNow)
{
  const Job& job = *aTask.mJob;
  if (SpecOf(aTask).mKind == StepKind::LongRunning || job.mActiveRuns > 0) {
    return false;
  }
  return aNow - job.mIdleSince >= kMaxIdleTime ||
         (IsBestEffort(aTask) &&
          aNow - job.mOccurrences.at(aTask.mOccurrence).mBegunAt >= kOldAge);
}

std::uint32_t
StartOverdueJobs(Dispatcher& aDispatcher,
                 std::span<const RunnerIndex> aCandidates,
                 MonotonicTime aNow,
                 Actions& aActions)
{
  OverdueAllowance& allowance = aDispatcher.mOverdueAllowance;
  Replenish(allowance, aDispatcher.mCounters.mStarts, aNow);
  const std::vector<WaitingStep> overdue =
    LongestIdleFirst(aDispatcher, [&](const WaitingStep& aEntry) {
      return IsIdle(aEntry) && aNow - aEntry.mJob->mIdleSince >= kMaxIdleTime;
    });
  if (overdue.empty()) {
    return 0;
  }
  KeepBudgetForFirst(aDispatcher, overdue);
  HoldRunnerForOverdueJob(aDispatcher, aCandidates, overdue, aNow);
  std::vector<RunnerIndex> candidates(aCandidates.begin(), aCandidates.end());
  ExcludeHeldRunners(aDispatcher, candidates);
  std::uint32_t started = 0;
  std::array<PlacementAttempt, 3> attempts{ { { Overcommit::No, {} },
                                              { Overcommit::Yes, {} },
                                              { Overcommit::DespiteInterference,
                                                {} } } };
  for (const WaitingStep& entry : overdue) {
    if (allowance.mStarts < 1 || ReachedStartLimit(aDispatcher, started)) {
      break;
    }
    if (entry.mJob->mActiveRuns > 0) {
      continue; // Another step of the job has been started.
    }
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    const std::size_t ways = IsIdleBestEffort(entry) ? attempts.size() : 1;
    const std::uint32_t tasks = StartInFirstWay(aDispatcher,
                                                candidates,
                                                entry,
                                                queue->mService,
                                                std::span(attempts).first(ways),
                                                aNow,
                                                aActions);
    started += tasks;
    // A gang may exceed the allowance, because it starts as a whole.
    allowance.mStarts = std::max(0.0, allowance.mStarts - tasks);
  }
  aDispatcher.mCounters.mOverdueStarts += started;
  return started;
}

void
StartIdleJobs(Dispatcher& aDispatcher,
              std::span<const RunnerIndex> aCandidates,
              MonotonicTime aNow,
              Actions& aActions)
{
  StartIdleLateJobs(aDispatcher, aCandidates, aNow, aActions);
  StartIdleOldJobs(aDispatcher, aCandidates, aNow, aActions);
}

std::size_t
CountIdleLateJobs(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::set<const Job*> jobs;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    if (IsIdleBestEffort(entry) &&
        OutlookOf(entry, aNow) != DeadlineOutlook::InTime) {
      jobs.insert(entry.mJob);
    }
  }
  return jobs.size();
}

} // namespace paddle::dispatch
