#include <LibDispatch/Internal.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// Shortest interval between two changes of pace on one runner. It is the age
/// of the reported tail latencies.
constexpr Millis kPaceInterval{ 450 };
/// Largest rise of a pace in one change, and smallest change that is worth an
/// order.
constexpr int kMaxPaceRisePercent = 50;
constexpr int kMinPaceChangePercent = 10;
/// After this time the CPU use of a task must agree with the ordered pace. It
/// covers the age of the reports and the time until a pace takes effect.
constexpr Millis kPaceCheckDelay{ 1300 };
/// A task whose pace is below kLowPacePercent for kMoveAfter continues on
/// another runner from its checkpoint. A task without checkpoints loses all its
/// work, so it is moved only after kMoveWithoutCheckpointAfter.
constexpr int kLowPacePercent = 30;
constexpr Millis kMoveAfter{ 1000 };
constexpr Millis kMoveWithoutCheckpointAfter{ 2500 };
/// The same for an overcommitted task, which is throttled before others and
/// hardly finds a better runner.
constexpr Seconds kMoveOvercommittedAfter{ 10 };
/// After a serving task has been over its latency target for this share of the
/// allowed time, all best-effort tasks beside it are halted.
constexpr double kHaltTimeShare = 0.35;

/// Updates since when each serving task has been over its latency target.
/// @return whether one has been over it for so long that all best-effort tasks
///         must be halted
bool
UpdateTimeOverTarget(const Dispatcher& aDispatcher,
                     Runner& aRunner,
                     MonotonicTime aNow)
{
  bool halt = false;
  for (const TaskRef& ref : aRunner.mTasks) {
    if (!IsServing(ref)) {
      continue;
    }
    Task& task = TaskOf(ref);
    if (task.mReportedLoad <= SpecOf(ref).mTailLatencyTarget.count()) {
      task.mOverTargetSince.reset();
      continue;
    }
    if (!task.mOverTargetSince) {
      task.mOverTargetSince = aNow;
    }
    const auto limit = std::chrono::duration_cast<Millis>(
      aDispatcher.mSettings.mMaxTimeOverTarget * kHaltTimeShare);
    halt = halt || aNow - *task.mOverTargetSince >= limit;
  }
  return halt;
}

/// Pace that a task should have: the percentage of its full speed to which its
/// runner is to throttle it.
struct PaceChange
{
  TaskRef mTask;
  double mPacePercent = 100;
};

/// Lowers the paces until one serving step is expected to keep its utilization
/// limit. Overcommitted tasks are throttled first, then the task that raises
/// the utilization most per core; of equal tasks, the one that started last.
void
LimitPaces(const Dispatcher& aDispatcher,
           const Runner& aRunner,
           const ServingStepLoad& aServing,
           std::vector<PaceChange>& aPaces,
           MonotonicTime aNow)
{
  struct InterferingTask
  {
    std::size_t mIndex = 0;
    double mRise = 0; ///< Bound of the rise at full pace.
    double mRisePerCore = 0;
    bool mOvercommitted = false;
  };
  std::vector<InterferingTask> interferingTasks;
  double present = 0;
  double wanted = 0;
  bool settled = true;
  for (std::size_t i = 0; i < aPaces.size(); ++i) {
    const TaskRef& ref = aPaces[i].mTask;
    const double rise =
      UtilizationRiseBound(aDispatcher, aRunner, ref, aServing, aNow);
    present += rise * TaskOf(ref).mPacePercent / 100;
    wanted += rise * aPaces[i].mPacePercent / 100;
    settled = settled && ReflectsCurrentPace(TaskOf(ref), aNow);
    interferingTasks.push_back(
      { i,
        rise,
        rise / static_cast<double>(
                 std::max<std::int64_t>(1, SpecOf(ref).mDemand.mMilliCores)),
        TaskOf(ref).mOvercommitted });
  }
  double allowed = aServing.mUtilizationLimit - aServing.mForecastForPace;
  if (settled && aServing.mMeasuredUtilization > aServing.mUtilizationLimit) {
    // The tasks interfere more than expected, so their rise must fall by the
    // excess.
    allowed = std::min(
      allowed,
      present - (aServing.mMeasuredUtilization - aServing.mUtilizationLimit));
  }
  allowed = std::max(allowed, kToleratedRise);
  std::stable_sort(
    interferingTasks.begin(),
    interferingTasks.end(),
    [](const InterferingTask& aFirst, const InterferingTask& aSecond) {
      if (aFirst.mOvercommitted != aSecond.mOvercommitted) {
        return aFirst.mOvercommitted;
      }
      return aFirst.mRisePerCore != aSecond.mRisePerCore
               ? aFirst.mRisePerCore > aSecond.mRisePerCore
               : aFirst.mIndex > aSecond.mIndex;
    });
  for (const InterferingTask& interferingTask : interferingTasks) {
    if (wanted <= allowed || interferingTask.mRise < kNegligibleRise) {
      return;
    }
    double& pace = aPaces[interferingTask.mIndex].mPacePercent;
    const double lowered =
      std::min(pace, 100 * (wanted - allowed) / interferingTask.mRise);
    pace -= lowered;
    wanted -= interferingTask.mRise * lowered / 100;
  }
}

/// @return the paces that the best-effort tasks of the runner should have
std::vector<PaceChange>
WantedPaces(Dispatcher& aDispatcher,
            Runner& aRunner,
            bool aHalt,
            MonotonicTime aNow)
{
  std::vector<PaceChange> wanted;
  for (const TaskRef& ref : aRunner.mTasks) {
    const Task& task = TaskOf(ref);
    if (!IsBestEffort(ref) || task.mPhase != TaskPhase::Running) {
      continue;
    }
    const int highest = std::min(100, task.mPacePercent + kMaxPaceRisePercent);
    wanted.push_back({ ref, aHalt ? 0.0 : static_cast<double>(highest) });
  }
  if (aHalt || wanted.empty()) {
    return wanted;
  }
  SummarizeServingLoad(aDispatcher, aRunner, aNow);
  for (const ServingStepLoad& serving : aRunner.mServingSteps) {
    LimitPaces(aDispatcher, aRunner, serving, wanted, aNow);
  }
  return wanted;
}

/// @return whether the CPU use of the task shows that the runner may apply
///         another pace than the ordered one
bool
ContradictsPace(const TaskRef& aTask, MonotonicTime aNow)
{
  const Task& task = TaskOf(aTask);
  if (aNow - task.mPaceSentAt < kPaceCheckDelay) {
    return false;
  }
  const auto demanded = static_cast<double>(SpecOf(aTask).mDemand.mMilliCores);
  const double used = task.mReportedLoad / std::max(1.0, demanded);
  return !task.mPaceConfirmed || (task.mPacePercent >= 25 && used < 0.02) ||
         (task.mPacePercent == 0 && used > 0.1);
}

/// Updates since when the pace of the task has been low.
/// @return whether it has been low for so long that the task should continue on
///         another runner
bool
ShouldMove(const TaskRef& aTask, int aPace, MonotonicTime aNow)
{
  Task& task = TaskOf(aTask);
  if (aPace >= kLowPacePercent) {
    task.mLowPaceSince.reset();
    return false;
  }
  if (!task.mLowPaceSince) {
    task.mLowPaceSince = aNow;
  }
  if (task.mOvercommitted) {
    return aNow - *task.mLowPaceSince >= kMoveOvercommittedAfter;
  }
  return aNow - *task.mLowPaceSince >= (SpecOf(aTask).mWritesCheckpoints
                                          ? kMoveAfter
                                          : kMoveWithoutCheckpointAfter);
}

} // namespace

void
OrderPace(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          std::uint8_t aPercent,
          MonotonicTime aNow,
          Actions& aActions)
{
  Task& task = TaskOf(aTask);
  task.mPacePercent = aPercent;
  task.mPaceConfirmed = true;
  task.mPaceSentAt = aNow;
  ++aDispatcher.mCounters.mPaceOrders;
  aActions.push_back(
    PaceTask{ task.mRunner, NameOf(aTask), task.mRun, aPercent });
}

void
AdjustPace(Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           MonotonicTime aNow,
           Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  for (const TaskRef& ref : runner.mTasks) {
    UpdateCpuUseRatio(ref, aNow);
  }
  LearnFromTails(aDispatcher, runner, aNow);
  const bool halt = UpdateTimeOverTarget(aDispatcher, runner, aNow);
  runner.mBestEffortHalted = halt;
  if (runner.mBestEffortMilliCores == 0) {
    return;
  }
  const bool mayChange = halt || aNow - runner.mPaceChangedAt >= kPaceInterval;
  std::vector<TaskRef> toMove;
  for (const PaceChange& change :
       WantedPaces(aDispatcher, runner, halt, aNow)) {
    const TaskRef& ref = change.mTask;
    Task& task = TaskOf(ref);
    const int wanted = static_cast<int>(std::floor(change.mPacePercent));
    const bool worthAnOrder =
      std::abs(wanted - task.mPacePercent) >= kMinPaceChangePercent ||
      (wanted == 100 && task.mPacePercent < 100) ||
      (wanted == 0 && task.mPacePercent > 0);
    const int pace = mayChange && worthAnOrder ? wanted : task.mPacePercent;
    if (ShouldMove(ref, pace, aNow)) {
      toMove.push_back(ref);
      continue;
    }
    if (pace == task.mPacePercent && !ContradictsPace(ref, aNow)) {
      continue;
    }
    if (pace != task.mPacePercent) {
      runner.mPaceChangedAt = aNow;
    }
    OrderPace(
      aDispatcher, ref, static_cast<std::uint8_t>(pace), aNow, aActions);
  }
  for (const TaskRef& ref : toMove) {
    BeginStop(aDispatcher, ref, StopCause::Moved, aNow, aActions);
  }
}

} // namespace paddle::dispatch
