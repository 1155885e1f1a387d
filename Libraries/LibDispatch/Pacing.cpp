#include <LibDispatch/Internal.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// Time between two changes of pace on one runner: the age of the tail figure.
constexpr Millis kPaceInterval{ 450 };
/// Percent by which a pace rises at a time, and the least change worth a call.
constexpr int kMaxPaceRisePercent = 50;
constexpr int kMinPaceChangePercent = 10;
/// What a task uses must agree with its pace from this long after the order:
/// the figure's age and the time that a pace takes to act.
constexpr Millis kPaceCheckDelay{ 1300 };
/// A task below this pace for this long runs on from its checkpoint elsewhere.
/// One without checkpoints would lose all its work.
constexpr int kLowPacePercent = 30;
constexpr Millis kMoveAfter{ 1000 };
constexpr Millis kMoveWithoutCheckpointAfter{ 2500 };
/// Over the target for this share of the allowed time, everything that might
/// disturb is halted.
constexpr double kHaltTimeShare = 0.35;

/// @return whether a serving task has been over its target for too long
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

struct PaceChange
{
  TaskRef mTask;
  double mPacePercent = 100; ///< Percent.
};

/// Lowers the paces until one serving step keeps below its limit: the worst
/// disturbers first, and of equal ones the last that came.
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
    double mRise = 0; ///< At full pace.
    double mRisePerCore = 0;
  };
  std::vector<InterferingTask> disturbers;
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
    disturbers.push_back({ i,
                           rise,
                           rise / static_cast<double>(std::max<std::int64_t>(
                                    1, SpecOf(ref).mDemand.mMilliCores)) });
  }
  double allowed = aServing.mUtilizationLimit - aServing.mForecastForPace;
  if (settled && aServing.mMeasuredUtilization > aServing.mUtilizationLimit) {
    // The figures show more than is expected of these neighbours.
    allowed = std::min(
      allowed,
      present - (aServing.mMeasuredUtilization - aServing.mUtilizationLimit));
  }
  allowed = std::max(allowed, kToleratedRise);
  std::stable_sort(
    disturbers.begin(),
    disturbers.end(),
    [](const InterferingTask& aFirst, const InterferingTask& aSecond) {
      return aFirst.mRisePerCore != aSecond.mRisePerCore
               ? aFirst.mRisePerCore > aSecond.mRisePerCore
               : aFirst.mIndex > aSecond.mIndex;
    });
  for (const InterferingTask& disturber : disturbers) {
    if (wanted <= allowed || disturber.mRise < kNegligibleRise) {
      return;
    }
    double& pace = aPaces[disturber.mIndex].mPacePercent;
    const double lowered =
      std::min(pace, 100 * (wanted - allowed) / disturber.mRise);
    pace -= lowered;
    wanted -= disturber.mRise * lowered / 100;
  }
}

/// @return the paces that the runner's tasks without reservation should have
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

/// @return whether what the task uses contradicts its pace
bool
ContradictsPace(const TaskRef& aTask, MonotonicTime aNow)
{
  const Task& task = TaskOf(aTask);
  if (aNow - task.mPaceSentAt < kPaceCheckDelay) {
    return false;
  }
  const auto asked = static_cast<double>(SpecOf(aTask).mDemand.mMilliCores);
  const double used = task.mReportedLoad / std::max(1.0, asked);
  return !task.mPaceConfirmed || (task.mPacePercent >= 25 && used < 0.02) ||
         (task.mPacePercent == 0 && used > 0.1);
}

/// @return whether the task has been slow for so long that it should run on
///         elsewhere
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
  return aNow - *task.mLowPaceSince >= (SpecOf(aTask).mWritesCheckpoints
                                          ? kMoveAfter
                                          : kMoveWithoutCheckpointAfter);
}

} // namespace

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
  if (runner.mBestEffortMilliCores == 0) {
    return;
  }
  const bool halt = UpdateTimeOverTarget(aDispatcher, runner, aNow);
  const bool mayChange = halt || aNow - runner.mPaceChangedAt >= kPaceInterval;
  std::vector<TaskRef> toMove;
  for (const PaceChange& change :
       WantedPaces(aDispatcher, runner, halt, aNow)) {
    const TaskRef& ref = change.mTask;
    Task& task = TaskOf(ref);
    const int wanted = static_cast<int>(std::floor(change.mPacePercent));
    const bool worthACall =
      std::abs(wanted - task.mPacePercent) >= kMinPaceChangePercent ||
      (wanted == 100 && task.mPacePercent < 100) ||
      (wanted == 0 && task.mPacePercent > 0);
    const int pace = mayChange && worthACall ? wanted : task.mPacePercent;
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
    task.mPacePercent = static_cast<std::uint8_t>(pace);
    task.mPaceConfirmed = true;
    task.mPaceSentAt = aNow;
    ++aDispatcher.mCounters.mPaceOrders;
    aActions.push_back(PaceTask{
      aRunner, NameOf(ref), task.mRun, static_cast<std::uint8_t>(pace) });
  }
  for (const TaskRef& ref : toMove) {
    BeginStop(aDispatcher, ref, StopCause::Moved, aNow, aActions);
  }
}

} // namespace paddle::dispatch
