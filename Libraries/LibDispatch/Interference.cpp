#include <LibDispatch/Interference.h>

#include <LibDispatch/Internal.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace paddle::dispatch {

namespace {

/// Prior of the effect of one image on another, used until the pair has been
/// observed: a small effect with a large variance. About half of all pairs
/// interfere, with effects of up to 3.
constexpr double kPriorMean = 0.5;
constexpr double kPriorVariance = 1.5 * 1.5;
/// Growth of the variance of an effect without observations. Effects change
/// slowly, over far more than seconds; an estimate loses its weight within
/// about five minutes.
constexpr double kVarianceGrowthPerSecond = kPriorVariance / 300;
/// The effect of a pair counts as known if its variance is below
/// kObservedVariance. If an image has at least kMinObservedPairs known effects,
/// their mean, with the variance kUnobservedVariance, is expected of the pairs
/// that have not been observed.
constexpr double kObservedVariance = 0.5 * 0.5;
constexpr int kMinObservedPairs = 2;
constexpr double kUnobservedVariance = 1.0 * 1.0;
/// Variance of a utilization that is computed from a tail latency in whole
/// milliseconds.
constexpr double kMeasurementVariance = 0.025 * 0.025;
/// Standard deviation of the error of the interference model, as a share of the
/// predicted rise.
constexpr double kModelErrorShare = 0.25;
/// Limit of the squared innovation divided by its variance. A larger value has
/// a cause outside of the model, such as a slow runner. The variance is then
/// raised to give the observation less weight.
constexpr double kMaxNormalizedInnovationSquared = 9;
/// Shortest interval between two observations of a runner. A tail latency
/// covers the last half second, so observations at this interval are nearly
/// independent.
constexpr Millis kLearnInterval{ 350 };
/// Share of the shortest tail latency that is taken as the latency without
/// queueing. The shortest one was rounded, and observed on a server that was
/// already busy.
constexpr double kServiceTimeShare = 0.85;
/// Share of the demanded CPU time below which the best-effort tasks of a runner
/// count as starved. In its calm phase, a task uses only about two thirds of
/// its demand even on an idle runner.
constexpr double kStarvedCpuUseShare = 0.55;
/// Smallest CPU use ratio that is derived from a report.
constexpr double kMinCpuUseRatio = 0.3;
/// Number of standard deviations that upper bounds of effects lie above the
/// mean.
constexpr double kBoundDeviations = 0.5;
/// Share of the utilization at the latency target that placement and pace
/// allow. The margin allows for the age of the reports.
constexpr double kUtilizationLimitShare = 0.95;
/// Forecast horizon for changes of pace. It covers the age of the reports,
/// which is half a second.
constexpr Millis kPaceHorizon{ 700 };
/// Rise of utilization by all best-effort tasks of a runner up to which a
/// waiting task may start there in any case. It is small at first, so that the
/// task finds a runner where it does not interfere, and grows while the task
/// waits.
constexpr double kToleratedRiseAtStart = 0.03;
constexpr double kToleratedRisePerSecond = 0.04;
/// Forecast horizon for placement. A new task runs for a few seconds.
constexpr Millis kPlacementHorizon{ 1500 };

/// @return the estimate for a pair of images, which is added if it is new
PairEffect&
StoredEffect(Interference& aInterference,
             std::uint32_t aInterfering,
             std::uint32_t aServing)
{
  if (aInterference.mPairs.size() <= aInterfering) {
    aInterference.mPairs.resize(aInterfering + 1);
  }
  std::vector<PairEffect>& pairs = aInterference.mPairs[aInterfering];
  if (pairs.size() <= aServing) {
    pairs.resize(aServing + 1, { kPriorMean, kPriorVariance, {} });
  }
  return pairs[aServing];
}

/// @return the effect that is expected of a pair that has not been observed:
///         the mean effect of the same image on other images, if enough are
///         known
PairEffect
UnobservedEffect(std::span<const PairEffect> aPairs)
{
  double sum = 0;
  int seen = 0;
  for (const PairEffect& pair : aPairs) {
    if (pair.mLearnedAt != MonotonicTime{} &&
        pair.mVariance < kObservedVariance) {
      sum += pair.mMean;
      ++seen;
    }
  }
  return seen < kMinObservedPairs
           ? PairEffect{ kPriorMean, kPriorVariance, {} }
           : PairEffect{ sum / seen, kUnobservedVariance, {} };
}

/// @return the effect of one image on another as it is known now
PairEffect
CurrentEffect(const Interference& aInterference,
              std::uint32_t aInterfering,
              std::uint32_t aServing,
              MonotonicTime aNow)
{
  if (aInterference.mPairs.size() <= aInterfering) {
    return { kPriorMean, kPriorVariance, {} };
  }
  const std::vector<PairEffect>& pairs = aInterference.mPairs[aInterfering];
  if (pairs.size() <= aServing ||
      pairs[aServing].mLearnedAt == MonotonicTime{}) {
    return UnobservedEffect(pairs);
  }
  PairEffect pair = pairs[aServing];
  const double age =
    std::chrono::duration<double>(aNow - pair.mLearnedAt).count();
  pair.mVariance =
    std::min(kPriorVariance, pair.mVariance + kVarianceGrowthPerSecond * age);
  return pair;
}

/// @return the share of the runner's processors that the task demands
double
ShareOf(const Runner& aRunner, const TaskRef& aTask)
{
  return static_cast<double>(SpecOf(aTask).mDemand.mMilliCores) /
         static_cast<double>(
           std::max<std::int64_t>(1, aRunner.mSpec.mCapacity.mMilliCores));
}

/// Updates the mean effect of all best-effort images on a serving image.
void
UpdateSensitivity(Interference& aInterference, std::uint32_t aServing)
{
  double sum = 0;
  int seen = 0;
  for (const std::vector<PairEffect>& pairs : aInterference.mPairs) {
    if (pairs.size() > aServing &&
        pairs[aServing].mLearnedAt != MonotonicTime{}) {
      sum += pairs[aServing].mMean;
      ++seen;
    }
  }
  if (seen >= kMinObservedPairs) {
    aInterference.mServingImages[aServing].mSensitivity = sum / seen;
  }
}

/// Updates the estimates from the tail latency of one serving task: the
/// utilization of its step, and the effects of the best-effort images beside
/// it. This is the update step of a Kalman filter over all of them that ignores
/// their correlations.
void
LearnFromTail(Dispatcher& aDispatcher,
              const Runner& aRunner,
              const TaskRef& aServing,
              std::span<const TaskRef> aInterfering,
              MonotonicTime aNow)
{
  Interference& interference = aDispatcher.mInterference;
  Step& step = StepOf(aServing);
  ServingImage& serving = interference.mServingImages[step.mImageIndex];
  const auto tail = static_cast<double>(TaskOf(aServing).mReportedLoad);
  if (serving.mMinTailMs == 0 || tail < serving.mMinTailMs) {
    serving.mMinTailMs = tail;
  }
  serving.mLearnedAt = aNow;
  step.mUtilizationFilter = Predicted(step.mUtilizationFilter, aNow);
  double expected = step.mUtilizationFilter.mUtilization;
  double interferenceRise = 0;
  double innovationVariance =
    kMeasurementVariance + step.mUtilizationFilter.mUtilizationVariance;
  for (const TaskRef& task : aInterfering) {
    PairEffect& pair =
      StoredEffect(interference, StepOf(task).mImageIndex, step.mImageIndex);
    pair = CurrentEffect(
      interference, StepOf(task).mImageIndex, step.mImageIndex, aNow);
    pair.mLearnedAt = aNow;
    const double pressure = PressureOf(aRunner, task);
    interferenceRise += pair.mMean * pressure;
    innovationVariance += pair.mVariance * pressure * pressure;
  }
  expected += interferenceRise;
  innovationVariance +=
    kModelErrorShare * kModelErrorShare * interferenceRise * interferenceRise;
  const double innovation = UtilizationOf(serving, tail) - expected;
  innovationVariance =
    std::max(innovationVariance,
             innovation * innovation / kMaxNormalizedInnovationSquared);
  for (const TaskRef& task : aInterfering) {
    PairEffect& pair =
      StoredEffect(interference, StepOf(task).mImageIndex, step.mImageIndex);
    const double pressure = PressureOf(aRunner, task);
    const double gain = pair.mVariance * pressure / innovationVariance;
    pair.mMean = std::max(0.0, pair.mMean + gain * innovation);
    pair.mVariance *= 1 - gain * pressure;
  }
  if (!aInterfering.empty()) {
    UpdateSensitivity(interference, step.mImageIndex);
  }
  Update(step.mUtilizationFilter, innovation, innovationVariance, aNow);
}

/// @return the upper bound of the effect of one image on another
double
EffectBound(const Dispatcher& aDispatcher,
            std::uint32_t aInterfering,
            std::uint32_t aServing,
            MonotonicTime aNow)
{
  const PairEffect pair =
    CurrentEffect(aDispatcher.mInterference, aInterfering, aServing, aNow);
  return pair.mMean + kBoundDeviations * std::sqrt(pair.mVariance);
}

} // namespace

std::uint32_t
ImageIndex(Interference& aInterference, std::string_view aImage)
{
  const auto next =
    static_cast<std::uint32_t>(aInterference.mImageIndexes.size());
  const auto [entry, added] =
    aInterference.mImageIndexes.emplace(std::string(aImage), next);
  if (added) {
    aInterference.mServingImages.emplace_back();
  }
  return entry->second;
}

InterferenceRecord
RecordOf(const Interference& aInterference, MonotonicTime aNow)
{
  std::vector<std::string_view> names(aInterference.mImageIndexes.size());
  std::vector<std::pair<MonotonicTime, std::uint32_t>> images;
  for (const auto& [name, index] : aInterference.mImageIndexes) {
    names[index] = name;
    const ServingImage& image = aInterference.mServingImages[index];
    if (image.mMinTailMs > 0) {
      images.emplace_back(image.mLearnedAt, index);
    }
  }
  struct Pair
  {
    MonotonicTime mLearnedAt;
    std::uint32_t mInterfering = 0;
    std::uint32_t mServing = 0;
  };
  std::vector<Pair> pairs;
  for (std::uint32_t i = 0; i < aInterference.mPairs.size(); ++i) {
    for (std::uint32_t j = 0; j < aInterference.mPairs[i].size(); ++j) {
      const MonotonicTime learnedAt = aInterference.mPairs[i][j].mLearnedAt;
      if (learnedAt != MonotonicTime{}) {
        pairs.push_back({ learnedAt, i, j });
      }
    }
  }
  std::sort(
    images.begin(), images.end(), [&](const auto& aFirst, const auto& aSecond) {
      return std::tie(aSecond.first, names[aFirst.second]) <
             std::tie(aFirst.first, names[aSecond.second]);
    });
  std::sort(
    pairs.begin(), pairs.end(), [&](const Pair& aFirst, const Pair& aSecond) {
      return std::tie(aSecond.mLearnedAt,
                      names[aFirst.mInterfering],
                      names[aFirst.mServing]) <
             std::tie(aFirst.mLearnedAt,
                      names[aSecond.mInterfering],
                      names[aSecond.mServing]);
    });
  InterferenceRecord record;
  for (const auto& [learnedAt, index] : images) {
    record.mImages.push_back(
      { std::string(names[index]),
        aInterference.mServingImages[index].mMinTailMs });
  }
  for (const Pair& pair : pairs) {
    const PairEffect effect =
      CurrentEffect(aInterference, pair.mInterfering, pair.mServing, aNow);
    record.mEffects.push_back({ std::string(names[pair.mInterfering]),
                                std::string(names[pair.mServing]),
                                effect.mMean,
                                effect.mVariance });
  }
  return record;
}

void
Adopt(Interference& aInterference,
      const InterferenceRecord& aRecord,
      MonotonicTime aNow)
{
  for (const InterferenceRecord::Image& image : aRecord.mImages) {
    const std::uint32_t index = ImageIndex(aInterference, image.mName);
    aInterference.mServingImages[index].mMinTailMs = image.mMinTailMs;
    aInterference.mServingImages[index].mLearnedAt = aNow;
  }
  for (const InterferenceRecord::Effect& effect : aRecord.mEffects) {
    const std::uint32_t interfering =
      ImageIndex(aInterference, effect.mInterfering);
    const std::uint32_t serving = ImageIndex(aInterference, effect.mServing);
    StoredEffect(aInterference, interfering, serving) = { effect.mMean,
                                                          effect.mVariance,
                                                          aNow };
    UpdateSensitivity(aInterference, serving);
  }
}

double
UtilizationOf(const ServingImage& aImage, double aTail)
{
  return 1 - std::min(1.0, kServiceTimeShare * aImage.mMinTailMs / aTail);
}

bool
IsServing(const TaskRef& aTask)
{
  const StepSpec& spec = SpecOf(aTask);
  const Task& task = TaskOf(aTask);
  return spec.mKind == StepKind::LongRunning &&
         spec.mTailLatencyTarget.count() > 0 &&
         task.mPhase == TaskPhase::Running && task.mReportedLoad > 0;
}

bool
IsBestEffort(const TaskRef& aTask)
{
  return SpecOf(aTask).mReservation == Reservation::BestEffort;
}

bool
ReflectsCurrentPace(const Task& aTask, MonotonicTime aNow)
{
  return aNow - aTask.mStartAnsweredAt >= kReportLag &&
         aNow - aTask.mPaceSentAt >= kReportLag;
}

double
PressureFactor(double aCpuUseRatio)
{
  return aCpuUseRatio * aCpuUseRatio * aCpuUseRatio;
}

double
PressureOf(const Runner& aRunner, const TaskRef& aTask)
{
  const Task& task = TaskOf(aTask);
  return ShareOf(aRunner, aTask) * task.mPacePercent / 100.0 *
         PressureFactor(task.mCpuUseRatio);
}

void
UpdateCpuUseRatio(const TaskRef& aTask, MonotonicTime aNow)
{
  Task& task = TaskOf(aTask);
  const double demanded =
    static_cast<double>(SpecOf(aTask).mDemand.mMilliCores) * task.mPacePercent /
    100.0;
  if (!IsBestEffort(aTask) || task.mReportedLoad <= 0 || demanded <= 0 ||
      !ReflectsCurrentPace(task, aNow)) {
    return;
  }
  task.mCpuUseRatio =
    std::clamp(task.mReportedLoad / demanded, kMinCpuUseRatio, 1.0);
}

void
LearnFromTails(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  if (aRunner.mLongRunningTasks == 0 ||
      aNow - aRunner.mTailsLearnedAt < kLearnInterval) {
    return;
  }
  aRunner.mTailsLearnedAt = aNow;
  std::vector<TaskRef> interfering;
  for (const TaskRef& ref : aRunner.mTasks) {
    if (!IsBestEffort(ref)) {
      continue;
    }
    if (TaskOf(ref).mPhase != TaskPhase::Running ||
        !ReflectsCurrentPace(TaskOf(ref), aNow)) {
      // The tail latencies do not reflect its present pace yet, or the task is
      // about to end.
      return;
    }
    interfering.push_back(ref);
  }
  if (aRunner.mBestEffortHalted) {
    // The tail latencies stay high without interference, so the runner is slow
    // or its serving tasks are overloaded. That says nothing about the load of
    // their steps on other runners.
    return;
  }
  if (aNow - aRunner.mBestEffortEndedAt < kReportLag) {
    // The tail latencies still reflect a best-effort task that has ended.
    return;
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    if (IsServing(ref) && aNow - TaskOf(ref).mStartAnsweredAt >= kReportLag) {
      LearnFromTail(aDispatcher, aRunner, ref, interfering, aNow);
    }
  }
}

bool
IsBestEffortStarved(const Runner& aRunner, MonotonicTime aNow)
{
  double demanded = 0;
  double used = 0;
  for (const TaskRef& ref : aRunner.mTasks) {
    const Task& task = TaskOf(ref);
    if (!IsBestEffort(ref) || task.mPhase != TaskPhase::Running ||
        task.mPacePercent < 100 || !ReflectsCurrentPace(task, aNow)) {
      continue;
    }
    // Overcommitted tasks take processors that others would use.
    if (!task.mOvercommitted) {
      demanded += static_cast<double>(SpecOf(ref).mDemand.mMilliCores);
    }
    used += task.mReportedLoad;
  }
  return used < demanded * kStarvedCpuUseShare;
}

void
AddNeighbourLoad(const Dispatcher& aDispatcher,
                 Runner& aRunner,
                 const TaskRef& aTask,
                 MonotonicTime aNow)
{
  if (!IsBestEffort(aTask)) {
    return;
  }
  for (ServingStepLoad& serving : aRunner.mServingSteps) {
    serving.mNeighbourRiseBound +=
      UtilizationRiseBound(aDispatcher, aRunner, aTask, serving, aNow);
  }
}

void
SummarizeServingLoad(Dispatcher& aDispatcher,
                     Runner& aRunner,
                     MonotonicTime aNow)
{
  aRunner.mServingSteps.clear();
  aRunner.mTailLatencyUnknown = false;
  aRunner.mBestEffortStarved = IsBestEffortStarved(aRunner, aNow);
  if (aRunner.mLongRunningTasks == 0) {
    return;
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    const StepSpec& spec = SpecOf(ref);
    if (!IsServing(ref)) {
      aRunner.mTailLatencyUnknown =
        aRunner.mTailLatencyUnknown || (spec.mKind == StepKind::LongRunning &&
                                        spec.mTailLatencyTarget.count() > 0);
      continue;
    }
    Step& step = StepOf(ref);
    const ServingImage& image =
      aDispatcher.mInterference.mServingImages[step.mImageIndex];
    auto serving = std::find_if(
      aRunner.mServingSteps.begin(),
      aRunner.mServingSteps.end(),
      [&](const ServingStepLoad& aOther) { return aOther.mStep == &step; });
    if (serving == aRunner.mServingSteps.end()) {
      serving = aRunner.mServingSteps.insert(serving, ServingStepLoad{});
      serving->mStep = &step;
      const UtilizationFilter filter = Predicted(step.mUtilizationFilter, aNow);
      serving->mForecastForPace = MaxUtilizationWithin(filter, kPaceHorizon);
      serving->mForecastForPlacement =
        MaxUtilizationWithin(filter, kPlacementHorizon);
      serving->mUtilizationLimit =
        kUtilizationLimitShare *
        UtilizationOf(image,
                      static_cast<double>(spec.mTailLatencyTarget.count()));
    }
    serving->mMeasuredUtilization =
      std::max(serving->mMeasuredUtilization,
               UtilizationOf(image, TaskOf(ref).mReportedLoad));
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    AddNeighbourLoad(aDispatcher, aRunner, ref, aNow);
  }
}

std::optional<double>
InterferenceCost(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 const TaskRef& aTask,
                 MonotonicTime aNow)
{
  if (aRunner.mTailLatencyUnknown || aRunner.mBestEffortHalted) {
    return {};
  }
  const double pressure =
    ShareOf(aRunner, aTask) * PressureFactor(kDefaultCpuUseRatio);
  const double waited =
    std::chrono::duration<double>(aNow - StepOf(aTask).mReadySince).count();
  const double tolerated = std::min(
    kToleratedRise,
    kToleratedRiseAtStart + kToleratedRisePerSecond * std::max(0.0, waited));
  double cost = 0;
  for (const ServingStepLoad& serving : aRunner.mServingSteps) {
    const double rise = pressure * EffectBound(aDispatcher,
                                               StepOf(aTask).mImageIndex,
                                               serving.mStep->mImageIndex,
                                               aNow);
    const double total = serving.mNeighbourRiseBound + rise;
    if (total > tolerated &&
        serving.mForecastForPlacement + total > serving.mUtilizationLimit) {
      return {};
    }
    cost = std::max(cost, rise);
  }
  return cost;
}

double
InterferenceTolerance(const Dispatcher& aDispatcher, const Runner& aRunner)
{
  double sensitivity = 0;
  for (const ServingStepLoad& serving : aRunner.mServingSteps) {
    sensitivity = std::max(
      sensitivity,
      aDispatcher.mInterference.mServingImages[serving.mStep->mImageIndex]
        .mSensitivity);
  }
  return 1 - std::min(1.0, sensitivity);
}

double
UtilizationRiseBound(const Dispatcher& aDispatcher,
                     const Runner& aRunner,
                     const TaskRef& aTask,
                     const ServingStepLoad& aServing,
                     MonotonicTime aNow)
{
  return ShareOf(aRunner, aTask) *
         std::max(PressureFactor(TaskOf(aTask).mCpuUseRatio),
                  kMinPressureFactor) *
         EffectBound(aDispatcher,
                     StepOf(aTask).mImageIndex,
                     aServing.mStep->mImageIndex,
                     aNow);
}

} // namespace paddle::dispatch
