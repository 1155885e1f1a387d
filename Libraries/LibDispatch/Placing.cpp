#include <LibDispatch/Internal.h>

#include <algorithm>
#include <array>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace paddle::dispatch {

namespace {

/// Share of its demand that a best-effort task must find unused on a runner.
/// With less, the task would take so long that it ends earlier if it waits for
/// another runner.
constexpr double kMinUnusedShare = 0.7;

// The runner with the lowest cost is chosen for a task. The following constants
// are costs, unless stated otherwise. For tasks that reserve processors, the
// basic unit is one core that is left unreserved on the runner.

/// Cost of a runner on which the task takes longer: one that is far from its
/// input data or still warming up, or on which the task failed last. It exceeds
/// the number of cores of a runner.
constexpr double kSlowRunnerCost = 1000;
/// Cost, for a serving task, of a runner that has no long-running tasks yet,
/// and of one that serves other images. Both exceed the number of cores of a
/// runner, so that unreserved cores only decide between runners of the same
/// kind.
constexpr double kNewServingRunnerCost = 100;
constexpr double kMixedImagesCost = 200;
/// If only this share of the runners has no long-running tasks, these runners
/// are kept for interfering images: a serving task pays kLastFreeRunnerCost for
/// them.
constexpr double kMinShareWithoutLongRunning = 0.2;
constexpr double kLastFreeRunnerCost = 300;
/// Cost of a runner in a data centre to which most start orders get no answer.
/// It exceeds the costs above that only decide between suitable runners: there
/// a task waits 0.9 s for nothing, and the next attempt is likely to fail as
/// well. Such runners look free, because nothing starts there.
constexpr double kHardToReachCost = 800;
/// Cost, for the tasks that avoid these data centres for longer, of one in
/// which no start order was answered lately: it may be beyond the same link.
constexpr double kUnprovenReachCost = 400;
/// Costs for best-effort tasks: of a rise of utilization by 1; of a runner that
/// tolerates any image, which is kept for images that interfere elsewhere; and
/// the amount by which each unused core lowers the cost.
constexpr double kInterferenceCost = 100;
constexpr double kToleranceCost = 8;
constexpr double kUnusedCoreGain = 0.1;
/// Cost of each consecutive failure on a runner.
constexpr double kFailureCost = 200;
/// With more waiting steps than this, passes are spaced out: one costs some
/// milliseconds then, and each answer of a runner gives cause for one. Without
/// that, an owner with 2,000 waiting steps spent 0.8 of a core on passes.
constexpr std::size_t kLargeBacklog = 64;
/// Shortest intervals between two passes, and between two over all runners,
/// beside a large backlog. Tasks run for half a second and longer.
constexpr Millis kPassInterval{ 20 };
constexpr Millis kFullPassInterval{ 50 };
/// Passes over single runners use a placement order of up to this age. Whether
/// jobs can still meet their deadlines changes more slowly.
constexpr Millis kOrderInterval{ 100 };
/// Late jobs get tasks on runners without unused processors only after this
/// time in which every job in time had something running. Such tasks slow down
/// those of jobs that arrive soon after.
constexpr Millis kOvercommitDelay{ 2000 };
/// The best-effort tasks of a runner, those of late jobs included, demand at
/// most this multiple of the processors that they may use, so that none of them
/// takes more than about three times as long.
constexpr std::int64_t kMaxOvercommit = 3;
/// Multiple of its time objective after which the end of a job is worth
/// nothing.
constexpr int kWorthlessAfterObjectives = 3;
/// Largest share of the available runners that are kept free for interrupted
/// long-running tasks at the same time: one in this many.
constexpr std::size_t kRunnersPerHeldRunner = 8;
/// Largest number of long-running tasks that are being moved from leaving
/// runners at the same time. A stop takes up to 900 ms and a runner leaves 2.5
/// s to 4 s after its notice, so that three rounds fit.
constexpr std::size_t kMaxMovesInFlight = 96;
/// Tasks are not moved from leaving runners while one waits that was
/// interrupted within this time. One that waits for longer may fit on no runner
/// at all.
constexpr Seconds kRoomForLostTasks{ 5 };
/// Largest number of waiting steps that are explained in the log at a time.
constexpr std::size_t kMaxExplainedSteps = 3;
/// The log explains only steps that have waited for longer than this.
constexpr Millis kExplainAfter{ 2500 };

/// @return whether the runner has the label
bool
HasLabel(const Runner& aRunner, std::string_view aLabel)
{
  const auto& labels = aRunner.mSpec.mLabels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

/// @return the number of tasks on the runner that belong to the task's step
std::uint32_t
CountOfStep(const Runner& aRunner, const TaskRef& aTask)
{
  return static_cast<std::uint32_t>(std::count_if(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aOther) {
      return aOther.mJob == aTask.mJob && aOther.mStep == aTask.mStep &&
             aOther.mOccurrence == aTask.mOccurrence;
    }));
}

/// Why a runner can't take a task now.
enum class Obstacle : std::uint8_t
{
  None,
  OtherService,
  NotLive, ///< It is silent, draining or no longer listed.
  Paused,  ///< It is in a back-off or quarantine, it has a task for its
           ///< probation, or too many start orders are unanswered.
  Orphans, ///< It has runs of unknown resource use, which are being stopped.
  DataCentreEvacuated,
  Label,
  Cores,
  Memory,
  Accelerators,
  MaxTasksPerRunner,
  TooFewUnusedCores, ///< It has too little CPU time for a best-effort task.
  WouldInterfere     ///< The task would interfere with serving tasks.
};

/// Names of the obstacles in the log, in the order of the enum.
constexpr std::array<std::string_view, 13> kObstacleNames = {
  "none",    "other_service", "not_live",        "paused",
  "orphans", "evacuated",     "label",           "cores",
  "memory",  "accelerators",  "most_per_runner", "little_unused",
  "disturbs"
};

/// @return whether a runner on probation has a task that started after its
///         quarantine began; the end of that task decides about the probation
bool
HasProbationTask(const Runner& aRunner)
{
  return std::any_of(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aTask) {
      return TaskOf(aTask).mStartedAt > aRunner.mQuarantinedAt;
    });
}

/// @return what keeps the runner from taking any task now
Obstacle
ObstacleOfRunner(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 MonotonicTime aNow)
{
  if (aRunner.mPhase != RunnerPhase::Live || !aRunner.mListed ||
      aRunner.mSpec.mDraining || aRunner.mSilent || aRunner.mRecordStored ||
      aNow - aRunner.mClockReadAt >=
        aDispatcher.mSettings.mMaxClockReadingAge) {
    return Obstacle::NotLive;
  }
  if (aRunner.mRestartSeenAt > aDispatcher.mRenewedAt) {
    // A renewal that was meant for its former process may have extended its
    // leases beyond the limit that the store knows.
    return Obstacle::NotLive;
  }
  if (aRunner.mAvoidUntil > aNow ||
      (aRunner.mOnProbation && HasProbationTask(aRunner))) {
    return Obstacle::Paused;
  }
  if (aRunner.mUnansweredStarts >= aDispatcher.mSettings.mMaxUnansweredStarts) {
    return Obstacle::Paused;
  }
  if (!aRunner.mOrphans.empty()) {
    return Obstacle::Orphans;
  }
  if (aDispatcher.mEvacuatedDataCentres.contains(aRunner.mSpec.mDataCentre)) {
    return Obstacle::DataCentreEvacuated;
  }
  return Obstacle::None;
}

/// @return which resource of the runner is too scarce for a task of the step
Obstacle
ObstacleOfCapacity(const Runner& aRunner, const StepSpec& aSpec)
{
  const Resources& capacity = aRunner.mSpec.mCapacity;
  const Resources& used = aRunner.mReserved;
  if (aSpec.mReservation == Reservation::Reserved &&
      used.mMilliCores + aSpec.mDemand.mMilliCores > capacity.mMilliCores) {
    return Obstacle::Cores;
  }
  if (used.mMemoryMb + aSpec.mDemand.mMemoryMb > capacity.mMemoryMb) {
    return Obstacle::Memory;
  }
  if (used.mAccelerators + aSpec.mDemand.mAccelerators >
      capacity.mAccelerators) {
    return Obstacle::Accelerators;
  }
  return Obstacle::None;
}

/// @return the cost of a runner for a task that reserves processors. It rises
///         with the cores that would be left, so that runners are filled up one
///         after the other and whole runners stay free.
double
ReservedCost(const Dispatcher& aDispatcher,
             const Runner& aRunner,
             const TaskRef& aTask)
{
  const StepSpec& spec = SpecOf(aTask);
  const std::int64_t left = aRunner.mSpec.mCapacity.mMilliCores -
                            aRunner.mReserved.mMilliCores -
                            spec.mDemand.mMilliCores;
  const double cost = static_cast<double>(left) / 1000;
  if (spec.mKind != StepKind::LongRunning ||
      spec.mTailLatencyTarget.count() == 0) {
    return cost;
  }
  // Runners that serve a single image suit the most best-effort tasks, because
  // each of these interferes only with some images.
  const bool mixed = std::any_of(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aOther) {
      const StepSpec& other = SpecOf(aOther);
      return other.mKind == StepKind::LongRunning &&
             other.mTailLatencyTarget.count() > 0 &&
             other.mImage != spec.mImage;
    });
  if (mixed) {
    return cost + kMixedImagesCost;
  }
  if (aRunner.mLongRunningTasks > 0) {
    return cost;
  }
  const double freeShare =
    1 - static_cast<double>(aDispatcher.mLongRunningRunnerCount) /
          std::max(1.0, static_cast<double>(aDispatcher.mListedRunnerCount));
  return cost + (freeShare > kMinShareWithoutLongRunning ? kNewServingRunnerCost
                                                         : kLastFreeRunnerCost);
}

/// Cost of a runner for a task, or the reason why it can't take the task.
using PlacementRating = std::variant<double, Obstacle>;

/// Whether a best-effort task may start on a runner with too few unused
/// processors, where it shares those of the best-effort tasks that run there.
enum class Overcommit : std::uint8_t
{
  No,
  Yes
};

/// @return why the runner can't take a best-effort task beyond its unused
///         processors
Obstacle
ObstacleOfOvercommit(const Runner& aRunner,
                     std::int64_t aWantedMilliCores,
                     MonotonicTime aNow)
{
  const std::int64_t demanded =
    aRunner.mBestEffortMilliCores + aWantedMilliCores;
  const std::int64_t usable = UnusedMilliCores(aRunner) +
                              aRunner.mBestEffortMilliCores -
                              aRunner.mOvercommittedMilliCores;
  if (demanded > kMaxOvercommit * usable) {
    return Obstacle::TooFewUnusedCores;
  }
  if (aRunner.mLongRunningTasks == 0) {
    return Obstacle::None;
  }
  // Beside serving tasks, the effect of each further task is awaited, because
  // that of a new image is not known.
  const bool allReported = std::all_of(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aRef) {
      return !IsBestEffort(aRef) || ReflectsCurrentPace(TaskOf(aRef), aNow);
    });
  return allReported ? Obstacle::None : Obstacle::WouldInterfere;
}

/// @return the rating of a runner for a best-effort task
PlacementRating
BestEffortCost(const Dispatcher& aDispatcher,
               const Runner& aRunner,
               const TaskRef& aTask,
               Overcommit aOvercommit,
               MonotonicTime aNow)
{
  const std::int64_t wanted = SpecOf(aTask).mDemand.mMilliCores;
  std::int64_t unused = UnusedMilliCores(aRunner);
  if (aOvercommit == Overcommit::Yes) {
    if (const Obstacle obstacle = ObstacleOfOvercommit(aRunner, wanted, aNow);
        obstacle != Obstacle::None) {
      return obstacle;
    }
    unused -= aRunner.mOvercommittedMilliCores;
  } else if (static_cast<double>(unused) <
               static_cast<double>(wanted) * kMinUnusedShare ||
             aRunner.mBestEffortStarved) {
    return Obstacle::TooFewUnusedCores;
  }
  const double cost =
    kToleranceCost * InterferenceTolerance(aDispatcher, aRunner) -
    static_cast<double>(unused) / 1000 * kUnusedCoreGain;
  if (aRunner.mLongRunningTasks == 0) {
    return cost;
  }
  const std::optional<double> interferenceCost =
    InterferenceCost(aDispatcher, aRunner, aTask, aNow);
  if (!interferenceCost) {
    return Obstacle::WouldInterfere;
  }
  return cost + kInterferenceCost * *interferenceCost;
}

/// @return the cost of the way to a runner for a task
double
ReachCost(const Runner& aRunner, const TaskRef& aTask)
{
  // Other tasks find out whether starts are answered again.
  const bool careful = SpecOf(aTask).mKind == StepKind::LongRunning ||
                       TaskOf(aTask).mStartUnanswered;
  switch (aRunner.mStartReach) {
    case StartReach::Answered:
      return 0;
    case StartReach::Unproven:
      return careful ? kUnprovenReachCost : 0;
    case StartReach::LatelyUnanswered:
      return careful ? kHardToReachCost : 0;
    case StartReach::HardToReach:
      return kHardToReachCost;
  }
  return 0;
}

/// @return the rating of a runner for a task whose queue belongs to the service
PlacementRating
RateRunner(const Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           const TaskRef& aTask,
           const std::string& aService,
           Overcommit aOvercommit,
           MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const Runner& runner = aDispatcher.mRunners[aRunner];
  if (const Obstacle scarce = ObstacleOfCapacity(runner, spec);
      scarce != Obstacle::None) {
    return scarce;
  }
  if (runner.mSpec.mService != aService) {
    return Obstacle::OtherService;
  }
  if (const Obstacle obstacle = ObstacleOfRunner(aDispatcher, runner, aNow);
      obstacle != Obstacle::None) {
    return obstacle;
  }
  if (!spec.mRequiredLabel.empty() && !HasLabel(runner, spec.mRequiredLabel)) {
    return Obstacle::Label;
  }
  if (spec.mMaxTasksPerRunner > 0 &&
      CountOfStep(runner, aTask) >= spec.mMaxTasksPerRunner) {
    return Obstacle::MaxTasksPerRunner;
  }
  double cost = 0;
  if (spec.mReservation == Reservation::Reserved) {
    cost = ReservedCost(aDispatcher, runner, aTask);
  } else {
    const PlacementRating rating =
      BestEffortCost(aDispatcher, runner, aTask, aOvercommit, aNow);
    if (std::holds_alternative<Obstacle>(rating)) {
      return rating;
    }
    cost = std::get<double>(rating);
  }
  if (!spec.mDataRack.empty() && runner.mSpec.mRack != spec.mDataRack) {
    cost += kSlowRunnerCost;
  }
  if (runner.mSpec.mWarmUpRemaining.count() > 0) {
    cost += kSlowRunnerCost;
  }
  if (TaskOf(aTask).mFailedOn == aRunner) {
    cost += kSlowRunnerCost;
  }
  cost += ReachCost(runner, aTask);
  // A runner with recent failures is a last resort until a run succeeds there.
  return cost + kFailureCost * runner.mConsecutiveFailures;
}

/// @return the runner of @p aCandidates with the lowest cost for a task, or
///         kNoRunner
RunnerIndex
ChooseRunner(const Dispatcher& aDispatcher,
             std::span<const RunnerIndex> aCandidates,
             const TaskRef& aTask,
             const std::string& aService,
             Overcommit aOvercommit,
             MonotonicTime aNow)
{
  RunnerIndex best = kNoRunner;
  double bestCost = 0;
  for (const RunnerIndex index : aCandidates) {
    const PlacementRating rating =
      RateRunner(aDispatcher, index, aTask, aService, aOvercommit, aNow);
    const double* cost = std::get_if<double>(&rating);
    if (cost != nullptr && (best == kNoRunner || *cost < bestCost)) {
      best = index;
      bestCost = *cost;
    }
  }
  return best;
}

/// Starts a run of a waiting task on a runner.
void
Start(Dispatcher& aDispatcher,
      const TaskRef& aTask,
      RunnerIndex aRunner,
      std::int64_t aRun,
      MonotonicTime aNow,
      Actions& aActions)
{
  Task& task = TaskOf(aTask);
  Step& step = StepOf(aTask);
  task.mPhase = TaskPhase::Starting;
  task.mStopCause = StopCause::None;
  task.mRun = aRun;
  task.mStartedAt = aNow;
  task.mPacePercent = 100;
  task.mPaceConfirmed = true;
  task.mPaceSentAt = aNow;
  task.mLowPaceSince.reset();
  task.mReportedLoad = 0;
  task.mCpuUseRatio = kDefaultCpuUseRatio;
  --step.mWaitingTasks;
  AssignToRunner(aDispatcher, aRunner, aTask);
  Runner& runner = aDispatcher.mRunners[aRunner];
  ++aDispatcher.mCounters.mStarts;
  CountUnansweredStart(aDispatcher, runner, 1);
  task.mStartLeaseEndMs = GrantLease(aDispatcher, runner, aNow);
  aActions.push_back(StartTask{ aRunner, aTask, aRun, task.mStartLeaseEndMs });
}

/// Records that a task which was just started shares the processors of other
/// best-effort tasks.
void
MarkOvercommitted(Dispatcher& aDispatcher, const TaskRef& aTask)
{
  Task& task = TaskOf(aTask);
  task.mOvercommitted = true;
  aDispatcher.mRunners[task.mRunner].mOvercommittedMilliCores +=
    SpecOf(aTask).mDemand.mMilliCores;
}

/// Whether a job can still meet its soft deadline. Within a priority, this
/// decides about the placement order before the arrival of the job, because a
/// job that is late anyway must not make the next one late as well.
enum class DeadlineOutlook : std::uint8_t
{
  InTime,
  Late,     ///< The job can't meet its soft deadline any more.
  Worthless ///< The job can't end within three times its objective.
};

DeadlineOutlook
OutlookOf(const WaitingStep& aEntry, MonotonicTime aNow)
{
  if (aEntry.mKind == StepKind::LongRunning) {
    return DeadlineOutlook::InTime;
  }
  const Job& job = *aEntry.mJob;
  const auto objective =
    std::chrono::duration_cast<Millis>(aEntry.mSoftDeadline - job.mAcceptedAt);
  const Millis needed = StepOf(aEntry).mRemainingCriticalPath;
  if (aNow + needed <= aEntry.mSoftDeadline) {
    return DeadlineOutlook::InTime;
  }
  const bool worthwhile =
    aNow + needed <=
    aEntry.mSoftDeadline + objective * (kWorthlessAfterObjectives - 1);
  return worthwhile ? DeadlineOutlook::Late : DeadlineOutlook::Worthless;
}

/// @return whether finite best-effort tasks of the step wait, while nothing of
///         its job runs
bool
IsIdleBestEffort(const WaitingStep& aEntry)
{
  const StepSpec& spec = aEntry.mJob->mSpec.mSteps[aEntry.mStep];
  return aEntry.mKind != StepKind::LongRunning &&
         spec.mReservation == Reservation::BestEffort &&
         aEntry.mJob->mActiveRuns == 0;
}

/// @return whether a task of a long-running step waits that has run before, and
///         that may be started
bool
HasInterruptedTask(const Dispatcher& aDispatcher, const WaitingStep& aEntry)
{
  if (aEntry.mKind != StepKind::LongRunning) {
    return false;
  }
  const std::vector<Task>& tasks = StepOf(aEntry).mTasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const Task& aTask) {
    return aTask.mPhase == TaskPhase::Waiting &&
           (aTask.mRun > 0 || aEntry.mJob->mMayHaveRunBefore) &&
           !MayRunUnseen(aDispatcher, aTask);
  });
}

/// Place of a waiting step in the placement order; lower values come first.
struct PlacementRank
{
  /// Interrupted long-running tasks go before all priorities: their users are
  /// without service until they run again, and all of them together need no
  /// more than they used before.
  bool mNotInterrupted = true;
  std::int32_t mPriority = 0;
  DeadlineOutlook mOutlook = DeadlineOutlook::InTime;
  std::size_t mIndex = 0; ///< In Dispatcher::mWaitingSteps.

  auto operator<=>(const PlacementRank&) const = default;
};

/// @return the waiting steps in the order in which they are placed
std::vector<WaitingStep>
PlacementOrder(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::vector<WaitingStep> waiting(aDispatcher.mWaitingSteps.begin(),
                                   aDispatcher.mWaitingSteps.end());
  std::vector<PlacementRank> ranks;
  ranks.reserve(waiting.size());
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    ranks.push_back({ !HasInterruptedTask(aDispatcher, waiting[i]),
                      waiting[i].mPriority,
                      OutlookOf(waiting[i], aNow),
                      i });
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<WaitingStep> ordered;
  ordered.reserve(waiting.size());
  for (const PlacementRank& rank : ranks) {
    ordered.push_back(waiting[rank.mIndex]);
  }
  return ordered;
}

/// Starts all tasks of a gang, or none.
/// @return whether they were started
bool
StartGang(Dispatcher& aDispatcher,
          std::span<const RunnerIndex> aCandidates,
          const WaitingStep& aWaiting,
          const std::string& aService,
          Overcommit aOvercommit,
          MonotonicTime aNow,
          Actions& aActions)
{
  Job& job = *aWaiting.mJob;
  Step& step = StepOf(aWaiting);
  if (step.mWaitingTasks < step.mTasks.size()) {
    // Some members of the former run have not ended yet.
    return false;
  }
  if (std::any_of(
        step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
          return MayRunUnseen(aDispatcher, aTask);
        })) {
    return false;
  }
  std::string checkpoint;
  for (const Task& task : step.mTasks) {
    if (!task.mCheckpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
  }
  Actions starts;
  const std::int64_t run = aDispatcher.mNextRun++;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const TaskRef ref{ &job, aWaiting.mOccurrence, aWaiting.mStep, i };
    const RunnerIndex runner =
      ChooseRunner(aDispatcher, aCandidates, ref, aService, aOvercommit, aNow);
    if (runner == kNoRunner) {
      for (std::uint32_t back = 0; back < i; ++back) {
        EndRun(aDispatcher,
               { &job, aWaiting.mOccurrence, aWaiting.mStep, back },
               RunOutcome::Interrupted,
               0,
               {},
               aNow,
               starts);
      }
      return false;
    }
    step.mTasks[i].mCheckpoint = checkpoint;
    Start(aDispatcher, ref, runner, run, aNow, starts);
    if (aOvercommit == Overcommit::Yes) {
      MarkOvercommitted(aDispatcher, ref);
    }
  }
  aActions.insert(aActions.end(), starts.begin(), starts.end());
  return true;
}

} // namespace

namespace {

/// @return the runners that can take tasks now
std::vector<RunnerIndex>
AvailableRunners(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::vector<RunnerIndex> available;
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    if (ObstacleOfRunner(aDispatcher, aDispatcher.mRunners[i], aNow) ==
        Obstacle::None) {
      available.push_back(i);
    }
  }
  return available;
}

/// Records for each runner whether start orders to its data centre are
/// answered.
void
UpdateStartReach(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::map<std::string_view, StartReach> reaches;
  bool anyHard = false;
  for (const auto& [name, contact] : aDispatcher.mStartContacts) {
    const StartReach reach = ReachOf(contact, aNow);
    reaches.emplace(name, reach);
    anyHard = anyHard || reach >= StartReach::LatelyUnanswered;
  }
  if (!anyHard && !aDispatcher.mAnyHardToReach) {
    return;
  }
  aDispatcher.mAnyHardToReach = anyHard;
  for (Runner& runner : aDispatcher.mRunners) {
    const auto found = reaches.find(runner.mSpec.mDataCentre);
    runner.mStartReach = !anyHard                 ? StartReach::Answered
                         : found != reaches.end() ? found->second
                                                  : StartReach::Unproven;
  }
}

/// Steps whose tasks fit on no runner in this pass. Capacity only shrinks
/// during a pass, so a step of the same kind with a larger demand does not fit
/// either.
class UnplaceableRequests
{
public:
  /// @return whether the tasks of a step are known to fit on no runner
  [[nodiscard]] bool Covers(const StepSpec& aSpec,
                            const std::string& aService) const
  {
    return std::any_of(
      mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
        return aEntry.mSpec->mReservation == aSpec.mReservation &&
               aEntry.mSpec->mImage == aSpec.mImage &&
               *aEntry.mService == aService &&
               aEntry.mSpec->mDemand.mMilliCores <= aSpec.mDemand.mMilliCores &&
               aEntry.mSpec->mDemand.mMemoryMb <= aSpec.mDemand.mMemoryMb &&
               aEntry.mSpec->mDemand.mAccelerators <=
                 aSpec.mDemand.mAccelerators;
      });
  }

  /// Adds a step of which a task fitted on no runner.
  void Add(const StepSpec& aSpec, const std::string& aService)
  {
    // Where a label, a limit per runner or a gang was the reason, other steps
    // may still fit.
    if (aSpec.mRequiredLabel.empty() && aSpec.mMaxTasksPerRunner == 0 &&
        !aSpec.mGang) {
      mEntries.push_back({ &aSpec, &aService });
    }
  }

private:
  struct Entry
  {
    const StepSpec* mSpec = nullptr;
    const std::string* mService = nullptr;
  };
  std::vector<Entry> mEntries;
};

/// @return the runner on which the least has to end before a task fits that
///         fits nowhere now, or kNoRunner if the task never will
RunnerIndex
ChooseRunnerToHold(const Dispatcher& aDispatcher,
                   std::span<const RunnerIndex> aCandidates,
                   const TaskRef& aTask,
                   const std::string& aService,
                   MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const auto suits = [&](const Runner& aRunner) {
    // Only finite tasks end by themselves.
    Resources lasting;
    for (const TaskRef& ref : aRunner.mTasks) {
      if (SpecOf(ref).mKind == StepKind::LongRunning) {
        lasting += ReservedResources(SpecOf(ref));
      }
    }
    const Resources& capacity = aRunner.mSpec.mCapacity;
    return lasting.mMilliCores + spec.mDemand.mMilliCores <=
             capacity.mMilliCores &&
           lasting.mMemoryMb + spec.mDemand.mMemoryMb <= capacity.mMemoryMb &&
           lasting.mAccelerators + spec.mDemand.mAccelerators <=
             capacity.mAccelerators &&
           aRunner.mSpec.mService == aService &&
           (spec.mRequiredLabel.empty() ||
            HasLabel(aRunner, spec.mRequiredLabel)) &&
           (spec.mMaxTasksPerRunner == 0 ||
            CountOfStep(aRunner, aTask) < spec.mMaxTasksPerRunner);
  };
  RunnerIndex best = kNoRunner;
  std::int64_t bestFree = 0;
  for (const RunnerIndex index : aCandidates) {
    const std::vector<RunnerIndex>& held = aDispatcher.mHeldRunners;
    const Runner& runner = aDispatcher.mRunners[index];
    const PlacementRating rating =
      RateRunner(aDispatcher, index, aTask, aService, Overcommit::No, aNow);
    const Obstacle* obstacle = std::get_if<Obstacle>(&rating);
    const bool full =
      obstacle != nullptr &&
      (*obstacle == Obstacle::Cores || *obstacle == Obstacle::Memory ||
       *obstacle == Obstacle::Accelerators);
    if (!full || !suits(runner) ||
        std::find(held.begin(), held.end(), index) != held.end()) {
      continue;
    }
    const std::int64_t free =
      runner.mSpec.mCapacity.mMilliCores - runner.mReserved.mMilliCores;
    if (best == kNoRunner || free > bestFree) {
      best = index;
      bestFree = free;
    }
  }
  return best;
}

/// Holds a runner for each waiting task of an interrupted step that fits
/// nowhere.
void
HoldRunnersFor(Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates,
               const WaitingStep& aEntry,
               const std::string& aService,
               MonotonicTime aNow)
{
  const Step& step = StepOf(aEntry);
  const std::size_t most =
    std::max<std::size_t>(1, aCandidates.size() / kRunnersPerHeldRunner);
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    if (aDispatcher.mHeldRunners.size() >= most) {
      return;
    }
    const Task& task = step.mTasks[i];
    if (task.mPhase != TaskPhase::Waiting || MayRunUnseen(aDispatcher, task)) {
      continue;
    }
    const TaskRef ref{ aEntry.mJob, aEntry.mOccurrence, aEntry.mStep, i };
    const RunnerIndex runner =
      ChooseRunnerToHold(aDispatcher, aCandidates, ref, aService, aNow);
    if (runner == kNoRunner) {
      return;
    }
    aDispatcher.mHeldRunners.push_back(runner);
  }
}

/// @return the first task of the step that may be started, or nothing
std::optional<TaskRef>
FirstStartableTask(const Dispatcher& aDispatcher, const WaitingStep& aEntry)
{
  const std::vector<Task>& tasks = StepOf(aEntry).mTasks;
  const auto task =
    std::find_if(tasks.begin(), tasks.end(), [&](const Task& aTask) {
      return aTask.mPhase == TaskPhase::Waiting &&
             !MayRunUnseen(aDispatcher, aTask);
    });
  if (task == tasks.end()) {
    return {};
  }
  return TaskRef{ aEntry.mJob,
                  aEntry.mOccurrence,
                  aEntry.mStep,
                  static_cast<std::uint32_t>(task - tasks.begin()) };
}

/// @return the queue of a job that this owner may start, or null
const QueueSpec*
FindStartableQueue(const Dispatcher& aDispatcher, const Job& aJob)
{
  return aJob.mTakenAt > aDispatcher.mUncontestedUntil
           ? nullptr
           : FindQueue(aDispatcher, aJob.mSpec.mQueue);
}

/// Records for which services a best-effort job that can still meet its
/// objective waits with nothing running, although only unused processors are
/// missing.
void
RecordIdleJobsInTime(Dispatcher& aDispatcher,
                     std::span<const RunnerIndex> aCandidates,
                     MonotonicTime aNow)
{
  UnplaceableRequests unplaceable;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const QueueSpec* queue = FindStartableQueue(aDispatcher, *entry.mJob);
    if (queue == nullptr || !IsIdleBestEffort(entry) ||
        OutlookOf(entry, aNow) != DeadlineOutlook::InTime) {
      continue;
    }
    MonotonicTime& idleAt = aDispatcher.mIdleInTimeAt[queue->mService];
    const StepSpec& spec = entry.mJob->mSpec.mSteps[entry.mStep];
    if (idleAt == aNow || unplaceable.Covers(spec, queue->mService)) {
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
      unplaceable.Add(spec, queue->mService);
    } else {
      idleAt = aNow;
    }
  }
}

/// Starts a task of the step, or all tasks of a gang, also where too few
/// processors are unused.
/// @return the number of tasks that were started
std::uint32_t
StartOvercommitted(Dispatcher& aDispatcher,
                   std::span<const RunnerIndex> aCandidates,
                   const WaitingStep& aEntry,
                   const std::string& aService,
                   MonotonicTime aNow,
                   Actions& aActions)
{
  if (aEntry.mJob->mSpec.mSteps[aEntry.mStep].mGang) {
    return StartGang(aDispatcher,
                     aCandidates,
                     aEntry,
                     aService,
                     Overcommit::Yes,
                     aNow,
                     aActions)
             ? static_cast<std::uint32_t>(StepOf(aEntry).mTasks.size())
             : 0;
  }
  const std::optional<TaskRef> task = FirstStartableTask(aDispatcher, aEntry);
  if (!task) {
    return 0;
  }
  const RunnerIndex runner = ChooseRunner(
    aDispatcher, aCandidates, *task, aService, Overcommit::Yes, aNow);
  if (runner == kNoRunner) {
    return 0;
  }
  Start(aDispatcher, *task, runner, aDispatcher.mNextRun++, aNow, aActions);
  MarkOvercommitted(aDispatcher, *task);
  AddNeighbourLoad(aDispatcher, aDispatcher.mRunners[runner], *task, aNow);
  return 1;
}

/// Starts a task of each late job that has nothing running, unless jobs in time
/// wait for the same service. Otherwise the jobs at the end of the placement
/// order would have nothing running for as long as the backlog lasts.
void
StartIdleLateJobs(Dispatcher& aDispatcher,
                  std::span<const RunnerIndex> aCandidates,
                  MonotonicTime aNow,
                  Actions& aActions)
{
  RecordIdleJobsInTime(aDispatcher, aCandidates, aNow);
  std::uint32_t started = 0;
  UnplaceableRequests unplaceable;
  for (const WaitingStep& entry : aDispatcher.mPlacementOrder) {
    if (!aDispatcher.mWaitingSteps.contains(entry)) {
      continue; // The step has been placed in this pass.
    }
    Job& job = *entry.mJob;
    const StepSpec& spec = job.mSpec.mSteps[entry.mStep];
    const QueueSpec* queue = FindStartableQueue(aDispatcher, job);
    if (queue == nullptr || !IsIdleBestEffort(entry) ||
        unplaceable.Covers(spec, queue->mService)) {
      continue;
    }
    const auto idleAt = aDispatcher.mIdleInTimeAt.find(queue->mService);
    const bool jobsInTimeWait = idleAt != aDispatcher.mIdleInTimeAt.end() &&
                                aNow - idleAt->second < kOvercommitDelay;
    if (jobsInTimeWait || OutlookOf(entry, aNow) == DeadlineOutlook::InTime) {
      continue;
    }
    if (started >= aDispatcher.mSettings.mMaxStartsPerPass ||
        aDispatcher.mUnansweredStarts >= aDispatcher.mOrderLimit.mLimit) {
      aDispatcher.mPlacementDue = true;
      return;
    }
    const std::uint32_t tasks = StartOvercommitted(
      aDispatcher, aCandidates, entry, queue->mService, aNow, aActions);
    if (tasks == 0) {
      unplaceable.Add(spec, queue->mService);
      continue;
    }
    started += tasks;
    aDispatcher.mCounters.mOvercommittedStarts += tasks;
    UpdateWaiting(aDispatcher, job, entry.mOccurrence, entry.mStep);
  }
}

} // namespace

void
PlaceWaiting(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions)
{
  if (aNow >= aDispatcher.mStartsUntil) {
    aDispatcher.mPlacementDue = true;
    return;
  }
  if (std::exchange(aDispatcher.mAttemptsUnchecked, false)) {
    FailExhaustedJobs(aDispatcher, aNow, aActions);
  }
  OrderLimit& limit = aDispatcher.mOrderLimit;
  UpdateOrderLimit(limit, aDispatcher.mUnansweredStarts, aNow);
  if (!aDispatcher.mWaitingSteps.empty() &&
      aDispatcher.mUnansweredStarts >= limit.mLimit) {
    limit.mReached = true;
    aDispatcher.mPlacementDue = true;
    return; // An answer, or the next tick, makes up for it.
  }
  if (aNow < aDispatcher.mPassesPausedUntil) {
    return; // A later call, or the next tick, makes up for it.
  }
  // If runs have ended and nothing else has changed, only their runners are
  // considered.
  const bool largeBacklog = aDispatcher.mWaitingSteps.size() > kLargeBacklog;
  if (largeBacklog && aNow - aDispatcher.mPassedAt < kPassInterval) {
    return; // A later call, or the next tick, makes up for it.
  }
  const bool full =
    aDispatcher.mPlacementDue &&
    (!largeBacklog || aNow - aDispatcher.mFullPassAt >= kFullPassInterval);
  std::vector<RunnerIndex> candidates =
    full ? AvailableRunners(aDispatcher, aNow)
         : std::exchange(aDispatcher.mFreedRunners, {});
  if (candidates.empty() || aDispatcher.mWaitingSteps.empty()) {
    aDispatcher.mPlacementDue =
      aDispatcher.mPlacementDue && !aDispatcher.mWaitingSteps.empty();
    return;
  }
  aDispatcher.mPassedAt = aNow;
  if (full) {
    aDispatcher.mPlacementDue = false;
    aDispatcher.mFullPassAt = aNow;
    aDispatcher.mFreedRunners.clear();
  } else {
    // A runner on which several runs have ended is listed for each of them.
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()),
                     candidates.end());
  }
  UpdateStartReach(aDispatcher, aNow);
  for (const RunnerIndex index : candidates) {
    SummarizeServingLoad(aDispatcher, aDispatcher.mRunners[index], aNow);
  }
  std::uint32_t started = 0;
  UnplaceableRequests unplaceable;
  if (full) {
    aDispatcher.mHeldRunners.clear();
  }
  // The interrupted steps come first and may use the held runners.
  bool heldExcluded = false;
  if (full || aNow - aDispatcher.mPlacementOrderAt >= kOrderInterval) {
    aDispatcher.mPlacementOrder = PlacementOrder(aDispatcher, aNow);
    aDispatcher.mPlacementOrderAt = aNow;
  }
  for (const WaitingStep& entry : aDispatcher.mPlacementOrder) {
    if (!full && !aDispatcher.mWaitingSteps.contains(entry)) {
      continue; // The step has been placed, or its job has ended.
    }
    Job& job = *entry.mJob;
    const QueueSpec* queue = FindQueue(aDispatcher, job.mSpec.mQueue);
    if (queue == nullptr || job.mTakenAt > aDispatcher.mUncontestedUntil) {
      continue;
    }
    const StepSpec& spec = job.mSpec.mSteps[entry.mStep];
    const bool interrupted = HasInterruptedTask(aDispatcher, entry);
    const bool mayHold = full && interrupted && !spec.mGang &&
                         spec.mReservation == Reservation::Reserved;
    if (unplaceable.Covers(spec, queue->mService)) {
      if (mayHold) {
        HoldRunnersFor(aDispatcher, candidates, entry, queue->mService, aNow);
      }
      continue;
    }
    if (!interrupted && !heldExcluded) {
      heldExcluded = true;
      for (const RunnerIndex held : aDispatcher.mHeldRunners) {
        std::erase(candidates, held);
      }
    }
    Step& step = StepOf(entry);
    if (spec.mGang) {
      if (StartGang(aDispatcher,
                    candidates,
                    entry,
                    queue->mService,
                    Overcommit::No,
                    aNow,
                    aActions)) {
        started += static_cast<std::uint32_t>(step.mTasks.size());
      }
    } else {
      for (std::uint32_t i = 0;
           i < step.mTasks.size() && step.mWaitingTasks > 0 &&
           aDispatcher.mUnansweredStarts < limit.mLimit;
           ++i) {
        if (step.mTasks[i].mPhase != TaskPhase::Waiting ||
            MayRunUnseen(aDispatcher, step.mTasks[i])) {
          continue;
        }
        const TaskRef ref{ &job, entry.mOccurrence, entry.mStep, i };
        const RunnerIndex runner = ChooseRunner(
          aDispatcher, candidates, ref, queue->mService, Overcommit::No, aNow);
        if (runner == kNoRunner) {
          unplaceable.Add(spec, queue->mService);
          if (mayHold) {
            HoldRunnersFor(
              aDispatcher, candidates, entry, queue->mService, aNow);
          }
          break;
        }
        Start(aDispatcher, ref, runner, aDispatcher.mNextRun++, aNow, aActions);
        AddNeighbourLoad(aDispatcher, aDispatcher.mRunners[runner], ref, aNow);
        ++started;
      }
    }
    UpdateWaiting(aDispatcher, job, entry.mOccurrence, entry.mStep);
    // A gang may exceed the limit, because it starts as a whole.
    if (aDispatcher.mUnansweredStarts >= limit.mLimit) {
      limit.mReached = true;
      aDispatcher.mPlacementDue = true;
      return;
    }
    if (started >= aDispatcher.mSettings.mMaxStartsPerPass) {
      aDispatcher.mPlacementDue = true;
      return;
    }
  }
  if (full) {
    for (const RunnerIndex held : aDispatcher.mHeldRunners) {
      std::erase(candidates, held);
    }
    StartIdleLateJobs(aDispatcher, candidates, aNow, aActions);
  }
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

namespace {

/// @return the services of which a long-running task was interrupted lately and
///         waits for room, which it needs before tasks that still run
std::set<std::string_view>
ServicesWithLostTasks(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::set<std::string_view> services;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const QueueSpec* queue = FindQueue(aDispatcher, entry.mJob->mSpec.mQueue);
    if (queue == nullptr || entry.mKind != StepKind::LongRunning) {
      continue;
    }
    const std::vector<Task>& tasks = StepOf(entry).mTasks;
    const bool waits =
      std::any_of(tasks.begin(), tasks.end(), [&](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Waiting && aTask.mInterruptedAt &&
               aNow - *aTask.mInterruptedAt < kRoomForLostTasks;
      });
    if (waits) {
      services.insert(queue->mService);
    }
  }
  return services;
}

/// @return the tasks that run on leaving runners and could run elsewhere
/// @param aMoving receives the number of tasks that are being moved already
std::vector<TaskRef>
TasksOnLeavingRunners(const Dispatcher& aDispatcher, std::size_t& aMoving)
{
  std::vector<TaskRef> tasks;
  for (const Runner& runner : aDispatcher.mRunners) {
    if (!runner.mSpec.mDraining || runner.mPhase != RunnerPhase::Live ||
        runner.mSilent) {
      continue;
    }
    for (const TaskRef& ref : runner.mTasks) {
      const Task& task = TaskOf(ref);
      const StepSpec& spec = SpecOf(ref);
      if (task.mPhase == TaskPhase::Stopping &&
          task.mStopCause == StopCause::Moved) {
        ++aMoving;
      }
      // The end of one member of a gang would end all of them.
      if (task.mPhase == TaskPhase::Running && task.mReported &&
          spec.mKind == StepKind::LongRunning && !spec.mGang &&
          spec.mReservation == Reservation::Reserved &&
          ref.mJob->mPhase == JobPhase::Active) {
        tasks.push_back(ref);
      }
    }
  }
  return tasks;
}

} // namespace

void
MoveFromLeavingRunners(Dispatcher& aDispatcher,
                       MonotonicTime aNow,
                       Actions& aActions)
{
  std::size_t moving = 0;
  const std::vector<TaskRef> tasks = TasksOnLeavingRunners(aDispatcher, moving);
  if (tasks.empty() || aNow >= aDispatcher.mStartsUntil) {
    return;
  }
  const std::set<std::string_view> shortOfRoom =
    ServicesWithLostTasks(aDispatcher, aNow);
  const std::vector<RunnerIndex> candidates =
    AvailableRunners(aDispatcher, aNow);
  // What is kept for a task counts as used for those after it.
  std::vector<std::pair<RunnerIndex, Resources>> kept;
  for (const TaskRef& ref : tasks) {
    const QueueSpec* queue = FindQueue(aDispatcher, ref.mJob->mSpec.mQueue);
    if (moving == kMaxMovesInFlight) {
      break;
    }
    if (queue == nullptr || shortOfRoom.contains(queue->mService)) {
      continue;
    }
    const RunnerIndex target = ChooseRunner(
      aDispatcher, candidates, ref, queue->mService, Overcommit::No, aNow);
    if (target == kNoRunner) {
      continue; // It works on until its runner leaves.
    }
    const Resources& demand = SpecOf(ref).mDemand;
    aDispatcher.mRunners[target].mReserved += demand;
    kept.emplace_back(target, demand);
    ++moving;
    BeginStop(aDispatcher, ref, StopCause::Moved, aNow, aActions);
  }
  for (const auto& [runner, demand] : kept) {
    aDispatcher.mRunners[runner].mReserved -= demand;
  }
}

void
ExplainWaiting(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  for (Runner& runner : aDispatcher.mRunners) {
    SummarizeServingLoad(aDispatcher, runner, aNow);
  }
  std::size_t explained = 0;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const Step& step = StepOf(entry);
    const QueueSpec* queue = FindQueue(aDispatcher, entry.mJob->mSpec.mQueue);
    if (aNow - step.mReadySince < kExplainAfter) {
      continue;
    }
    const auto task = std::find_if(
      step.mTasks.begin(), step.mTasks.end(), [](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Waiting;
      });
    if (queue == nullptr || task == step.mTasks.end()) {
      continue;
    }
    const TaskRef ref{ entry.mJob,
                       entry.mOccurrence,
                       entry.mStep,
                       static_cast<std::uint32_t>(task - step.mTasks.begin()) };
    std::array<std::uint32_t, kObstacleNames.size()> counts{};
    for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
      const PlacementRating rating =
        RateRunner(aDispatcher, i, ref, queue->mService, Overcommit::No, aNow);
      const Obstacle* obstacle = std::get_if<Obstacle>(&rating);
      ++counts[obstacle != nullptr ? static_cast<std::size_t>(*obstacle) : 0];
    }
    std::string details = "task=" + FormatTaskName(NameOf(ref)) +
                          " waiting=" + std::to_string(step.mWaitingTasks);
    const auto held = std::count_if(
      step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Waiting &&
               MayRunUnseen(aDispatcher, aTask);
      });
    if (held > 0) {
      details += " held=" + std::to_string(held) + " remaining_ms=" +
                 std::to_string(std::chrono::duration_cast<Millis>(
                                  aDispatcher.mEarlierLeasesUntil - aNow)
                                  .count());
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
      if (counts[i] > 0) {
        details += " ";
        details += kObstacleNames[i];
        details += "=" + std::to_string(counts[i]);
      }
    }
    Emit(aDispatcher, "step_waits", entry.mJob, std::move(details));
    if (++explained == kMaxExplainedSteps) {
      return;
    }
  }
}

} // namespace paddle::dispatch
