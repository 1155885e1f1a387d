#include <LibDispatch/RunnerRating.h>

#include <algorithm>
#include <optional>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/PreferredRacks.h>

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
/// input data or the other tasks of its step, or still warming up, or on which
/// the task failed last. It exceeds the number of cores of a runner.
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
/// Cost of a runner whose serving tasks a task would disturb; twice as much if
/// their tail latency is not known or the task would be halted at once. It
/// exceeds the other costs.
constexpr double kDisturbedRunnerCost = 2000;
/// Cost of each consecutive failure on a runner.
constexpr double kFailureCost = 200;
/// The best-effort tasks of a runner, those of late jobs included, demand at
/// most this multiple of the processors that they may use, so that none of them
/// takes more than about three times as long.
constexpr std::int64_t kMaxOvercommit = 3;

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

/// @return whether less memory would be left for other tasks than the task
///         takes, although the runner has room for two of its kind
bool
TakesLastMemory(const Runner& aRunner, const StepSpec& aSpec)
{
  const std::int64_t capacity = aRunner.mSpec.mCapacity.mMemoryMb;
  const std::int64_t twice = 2 * aSpec.mDemand.mMemoryMb;
  return twice <= capacity && aRunner.mReserved.mMemoryMb + twice > capacity;
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
  if (aOvercommit != Overcommit::No) {
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
  if (aOvercommit == Overcommit::DespiteInterference &&
      TakesLastMemory(aRunner, SpecOf(aTask))) {
    return Obstacle::Memory;
  }
  const double cost =
    kToleranceCost * InterferenceTolerance(aDispatcher, aRunner) -
    static_cast<double>(unused) / 1000 * kUnusedCoreGain;
  if (aRunner.mLongRunningTasks == 0) {
    return cost;
  }
  const std::optional<double> interferenceCost =
    InterferenceCost(aDispatcher, aRunner, aTask, aNow);
  if (!interferenceCost && aOvercommit == Overcommit::DespiteInterference) {
    return cost + kDisturbedRunnerCost +
           (aRunner.mTailLatencyUnknown || aRunner.mBestEffortHalted
              ? kDisturbedRunnerCost
              : 0);
  }
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

} // namespace

bool
HasLabel(const Runner& aRunner, std::string_view aLabel)
{
  const auto& labels = aRunner.mSpec.mLabels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

std::uint32_t
CountOfStep(const Runner& aRunner, const TaskRef& aTask)
{
  return static_cast<std::uint32_t>(std::count_if(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aOther) {
      return aOther.mJob == aTask.mJob && aOther.mStep == aTask.mStep &&
             aOther.mOccurrence == aTask.mOccurrence;
    }));
}

Obstacle
ObstacleOfRunner(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 std::uint32_t aExemptStarts,
                 MonotonicTime aNow)
{
  if (aRunner.mPhase != RunnerPhase::Live || !aRunner.mListed ||
      aRunner.mSpec.mDraining || aRunner.mSpecOutdated || aRunner.mSilent ||
      aRunner.mRecordStored ||
      aNow - aRunner.mClockReadAt >=
        aDispatcher.mSettings.mMaxClockReadingAge) {
    return Obstacle::NotLive;
  }
  if (aRunner.mTakesFormerOrders ||
      aRunner.mFormerOrdersEndedAt > aDispatcher.mRenewedAt) {
    // A renewal that was meant for its former process may have extended its
    // leases beyond the limit that the store knows.
    return Obstacle::NotLive;
  }
  if (aRunner.mAvoidUntil > aNow ||
      (aRunner.mOnProbation && HasProbationTask(aRunner))) {
    return Obstacle::Paused;
  }
  if (aRunner.mUnansweredStarts >=
      aDispatcher.mSettings.mMaxUnansweredStarts + aExemptStarts) {
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

std::vector<RunnerIndex>
AvailableRunners(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::vector<RunnerIndex> available;
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    if (ObstacleOfRunner(aDispatcher, aDispatcher.mRunners[i], 0, aNow) ==
        Obstacle::None) {
      available.push_back(i);
    }
  }
  return available;
}

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
  // A gang starts as a whole, so the orders for its other members don't count.
  const std::uint32_t exempt = spec.mGang ? CountOfStep(runner, aTask) : 0;
  if (const Obstacle obstacle =
        ObstacleOfRunner(aDispatcher, runner, exempt, aNow);
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
  if (ExceedsRunner(runner, aTask)) {
    return Obstacle::AccountPart;
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
  const std::string& rack = PreferredRack(aTask);
  if (!rack.empty() && runner.mSpec.mRack != rack) {
    cost += spec.mDataRack.empty() && spec.mKind == StepKind::LongRunning
              ? kOtherRackCost
              : kSlowRunnerCost;
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

} // namespace paddle::dispatch
