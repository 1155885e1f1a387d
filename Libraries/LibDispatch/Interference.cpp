#include <LibDispatch/Interference.h>

#include <LibDispatch/Internal.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// A pair that nothing is known of is expected to disturb a little, with a wide
/// spread: some half of the pairs disturb, by up to 3 of utilization for each
/// share of the processors.
constexpr double kPriorMean = 0.5;
constexpr double kPriorVariance = 1.5 * 1.5;
/// What an image does to another changes slowly compared with a day's seconds;
/// knowledge fades to the prior's spread over about five minutes.
constexpr double kVarianceGrowthPerSecond = kPriorVariance / 300;
/// A pair is known from this spread on. Two known pairs of an image give a
/// first idea of its others.
constexpr double kKnownVariance = 0.5 * 0.5;
constexpr int kLeastPairsSeen = 2;
constexpr double kUnseenVariance = 1.0 * 1.0;
/// Spread of a utilization computed from a tail in whole milliseconds.
constexpr double kFigureVariance = 0.025 * 0.025;
/// Share by which the modelled disturbance is off, as a standard deviation.
constexpr double kModelError = 0.25;
/// Squared surprises above this many spreads have causes outside of the model,
/// such as a slow runner, and count less.
constexpr double kOutlier = 9;
/// Tails are figures of the last half second; a runner is learned from at this
/// interval at most, so that samples are nearly independent.
constexpr Millis kLearnInterval{ 350 };
/// The shortest tail is a rounded figure of a busy server; without queueing it
/// would be shorter still.
constexpr double kUnqueuedShare = 0.85;
/// Use over request below which a runner's tasks without reservation starve.
/// A task in its calm phase uses about two thirds by itself.
constexpr double kStarvedShare = 0.55;
/// The least share of its request by which a report shows a task's activity.
constexpr double kLeastActivity = 0.3;
/// Standard deviations by which an uncertain pair is feared.
constexpr double kFear = 0.5;
/// Share of the target's utilization that placement and pace keep below, for
/// the age of the figures.
constexpr double kTargetShare = 0.95;
/// How far ahead of the figures, which are half a second old, the own load of a
/// serving step is looked at.
constexpr Millis kLookAhead{ 700 };
/// A new task first looks for a place where it disturbs nobody; the longer it
/// has waited, the larger a rise by all neighbours it may lead to.
constexpr double kToleratedAtOnce = 0.03;
constexpr double kToleratedPerSecond = 0.04;
/// A new neighbour stays for a few seconds.
constexpr Millis kPlacementLookAhead{ 1500 };

PairEffect&
PairOf(Interference& aInterference,
       std::uint32_t aDisturbing,
       std::uint32_t aServing)
{
  if (aInterference.mPairs.size() <= aDisturbing) {
    aInterference.mPairs.resize(aDisturbing + 1);
  }
  std::vector<PairEffect>& pairs = aInterference.mPairs[aDisturbing];
  if (pairs.size() <= aServing) {
    pairs.resize(aServing + 1, { kPriorMean, kPriorVariance, {} });
  }
  return pairs[aServing];
}

/// What is expected of a pair that has not been seen together: what the same
/// image does to others.
PairEffect
UnseenPair(std::span<const PairEffect> aPairs)
{
  double sum = 0;
  int seen = 0;
  for (const PairEffect& pair : aPairs) {
    if (pair.mLearnedAt != MonotonicTime{} && pair.mVariance < kKnownVariance) {
      sum += pair.mMean;
      ++seen;
    }
  }
  return seen < kLeastPairsSeen ? PairEffect{ kPriorMean, kPriorVariance, {} }
                                : PairEffect{ sum / seen, kUnseenVariance, {} };
}

PairEffect
KnownPair(const Interference& aInterference,
          std::uint32_t aDisturbing,
          std::uint32_t aServing,
          MonotonicTime aNow)
{
  if (aInterference.mPairs.size() <= aDisturbing) {
    return { kPriorMean, kPriorVariance, {} };
  }
  const std::vector<PairEffect>& pairs = aInterference.mPairs[aDisturbing];
  if (pairs.size() <= aServing ||
      pairs[aServing].mLearnedAt == MonotonicTime{}) {
    return UnseenPair(pairs);
  }
  PairEffect pair = pairs[aServing];
  const double age =
    std::chrono::duration<double>(aNow - pair.mLearnedAt).count();
  pair.mVariance =
    std::min(kPriorVariance, pair.mVariance + kVarianceGrowthPerSecond * age);
  return pair;
}

double
ShareOf(const Runner& aRunner, const TaskRef& aTask)
{
  return static_cast<double>(SpecOf(aTask).mAmount.mCores) /
         static_cast<double>(
           std::max<std::int64_t>(1, aRunner.mSpec.mCapacity.mCores));
}

void
NoteSensitivity(Interference& aInterference, std::uint32_t aServing)
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
  if (seen >= kLeastPairsSeen) {
    aInterference.mServing[aServing].mSensitivity = sum / seen;
  }
}

/// Corrects the serving step's own load and what is known of the pairs on a
/// runner by one serving task's tail.
void
LearnFrom(Dispatcher& aDispatcher,
          const Runner& aRunner,
          const TaskRef& aServing,
          std::span<const TaskRef> aDisturbing,
          MonotonicTime aNow)
{
  Interference& interference = aDispatcher.mInterference;
  Step& step = StepOf(aServing);
  ServingImage& serving = interference.mServing[step.mImage];
  const auto tail = static_cast<double>(TaskOf(aServing).mLoadFigure);
  if (serving.mShortestTail == 0 || tail < serving.mShortestTail) {
    serving.mShortestTail = tail;
  }
  step.mLoad = Advanced(step.mLoad, aNow);
  double expected = step.mLoad.mLevel;
  double disturbance = 0;
  double spread = kFigureVariance + step.mLoad.mLevelVariance;
  for (const TaskRef& task : aDisturbing) {
    PairEffect& pair = PairOf(interference, StepOf(task).mImage, step.mImage);
    pair = KnownPair(interference, StepOf(task).mImage, step.mImage, aNow);
    pair.mLearnedAt = aNow;
    const double pressure = PressureOf(aRunner, task);
    disturbance += pair.mMean * pressure;
    spread += pair.mVariance * pressure * pressure;
  }
  expected += disturbance;
  spread += kModelError * kModelError * disturbance * disturbance;
  const double surprise = UtilizationOf(serving, tail) - expected;
  spread = std::max(spread, surprise * surprise / kOutlier);
  for (const TaskRef& task : aDisturbing) {
    PairEffect& pair = PairOf(interference, StepOf(task).mImage, step.mImage);
    const double pressure = PressureOf(aRunner, task);
    const double gain = pair.mVariance * pressure / spread;
    pair.mMean = std::max(0.0, pair.mMean + gain * surprise);
    pair.mVariance *= 1 - gain * pressure;
  }
  if (!aDisturbing.empty()) {
    NoteSensitivity(interference, step.mImage);
  }
  Correct(step.mLoad, surprise, spread, aNow);
}

/// Rise of the serving image's utilization that tasks of an image are feared to
/// cause for each share of the processors.
double
FearedEffect(const Dispatcher& aDispatcher,
             std::uint32_t aDisturbing,
             std::uint32_t aServing,
             MonotonicTime aNow)
{
  const PairEffect pair =
    KnownPair(aDispatcher.mInterference, aDisturbing, aServing, aNow);
  return pair.mMean + kFear * std::sqrt(pair.mVariance);
}

} // namespace

std::uint32_t
ImageIndex(Interference& aInterference, std::string_view aImage)
{
  const auto next = static_cast<std::uint32_t>(aInterference.mIndexes.size());
  const auto [entry, added] =
    aInterference.mIndexes.emplace(std::string(aImage), next);
  if (added) {
    aInterference.mServing.emplace_back();
  }
  return entry->second;
}

InterferenceRecord
RecordOf(const Interference& aInterference, MonotonicTime aNow)
{
  InterferenceRecord record;
  std::vector<std::string_view> names(aInterference.mIndexes.size());
  for (const auto& [name, index] : aInterference.mIndexes) {
    names[index] = name;
    const double tail = aInterference.mServing[index].mShortestTail;
    if (tail > 0) {
      record.mImages.push_back({ name, tail });
    }
  }
  for (std::uint32_t i = 0; i < aInterference.mPairs.size(); ++i) {
    for (std::uint32_t j = 0; j < aInterference.mPairs[i].size(); ++j) {
      if (aInterference.mPairs[i][j].mLearnedAt != MonotonicTime{}) {
        const PairEffect pair = KnownPair(aInterference, i, j, aNow);
        record.mEffects.push_back({ std::string(names[i]),
                                    std::string(names[j]),
                                    pair.mMean,
                                    pair.mVariance });
      }
    }
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
    aInterference.mServing[index].mShortestTail = image.mShortestTail;
  }
  for (const InterferenceRecord::Effect& effect : aRecord.mEffects) {
    const std::uint32_t disturbing =
      ImageIndex(aInterference, effect.mDisturbing);
    const std::uint32_t serving = ImageIndex(aInterference, effect.mServing);
    PairOf(aInterference, disturbing, serving) = { effect.mMean,
                                                   effect.mVariance,
                                                   aNow };
    NoteSensitivity(aInterference, serving);
  }
}

double
UtilizationOf(const ServingImage& aImage, double aTail)
{
  return 1 - std::min(1.0, kUnqueuedShare * aImage.mShortestTail / aTail);
}

bool
IsServing(const TaskRef& aTask)
{
  const StepSpec& spec = SpecOf(aTask);
  const Task& task = TaskOf(aTask);
  return spec.mKind == StepKind::Lasting && spec.mTailTarget.count() > 0 &&
         task.mPhase == TaskPhase::Running && task.mLoadFigure > 0;
}

bool
IsLeftover(const TaskRef& aTask)
{
  return SpecOf(aTask).mReservation == Reservation::Leftover;
}

bool
HasSettled(const Task& aTask, MonotonicTime aNow)
{
  return aNow - aTask.mAnsweredAt >= kSettleTime &&
         aNow - aTask.mPaceSentAt >= kSettleTime;
}

double
PressureAt(double aActivity)
{
  return aActivity * aActivity * aActivity;
}

double
PressureOf(const Runner& aRunner, const TaskRef& aTask)
{
  const Task& task = TaskOf(aTask);
  return ShareOf(aRunner, aTask) * task.mPace / 100.0 *
         PressureAt(task.mActivity);
}

void
NoteActivity(const TaskRef& aTask, MonotonicTime aNow)
{
  Task& task = TaskOf(aTask);
  const double asked =
    static_cast<double>(SpecOf(aTask).mAmount.mCores) * task.mPace / 100.0;
  if (!IsLeftover(aTask) || task.mLoadFigure <= 0 || asked <= 0 ||
      !HasSettled(task, aNow)) {
    return;
  }
  task.mActivity = std::clamp(task.mLoadFigure / asked, kLeastActivity, 1.0);
}

void
LearnFromTails(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  if (aRunner.mLasting == 0 || aNow - aRunner.mLearnedAt < kLearnInterval) {
    return;
  }
  aRunner.mLearnedAt = aNow;
  std::vector<TaskRef> disturbing;
  for (const TaskRef& ref : aRunner.mTasks) {
    if (!IsLeftover(ref)) {
      continue;
    }
    if (TaskOf(ref).mPhase != TaskPhase::Running ||
        !HasSettled(TaskOf(ref), aNow)) {
      return; // The tails are of a time before it, or it is about to leave.
    }
    disturbing.push_back(ref);
  }
  if (aNow - aRunner.mLeftoverEndedAt < kSettleTime) {
    return; // The tails are partly of a time with another neighbour.
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    if (IsServing(ref) && aNow - TaskOf(ref).mAnsweredAt >= kSettleTime) {
      LearnFrom(aDispatcher, aRunner, ref, disturbing, aNow);
    }
  }
}

bool
IsStarved(const Runner& aRunner, MonotonicTime aNow)
{
  double asked = 0;
  double used = 0;
  for (const TaskRef& ref : aRunner.mTasks) {
    const Task& task = TaskOf(ref);
    if (!IsLeftover(ref) || task.mPhase != TaskPhase::Running ||
        task.mPace < 100 || !HasSettled(task, aNow)) {
      continue;
    }
    asked += static_cast<double>(SpecOf(ref).mAmount.mCores);
    used += task.mLoadFigure;
  }
  return used < asked * kStarvedShare;
}

void
NoteNeighbour(const Dispatcher& aDispatcher,
              Runner& aRunner,
              const TaskRef& aTask,
              MonotonicTime aNow)
{
  if (!IsLeftover(aTask)) {
    return;
  }
  for (ServingHere& serving : aRunner.mServing) {
    serving.mPresent += FearedRise(aDispatcher, aRunner, aTask, serving, aNow);
  }
}

void
RateLasting(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  aRunner.mServing.clear();
  aRunner.mTailUnknown = false;
  aRunner.mStarved = IsStarved(aRunner, aNow);
  if (aRunner.mLasting == 0) {
    return;
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    const StepSpec& spec = SpecOf(ref);
    if (!IsServing(ref)) {
      aRunner.mTailUnknown =
        aRunner.mTailUnknown ||
        (spec.mKind == StepKind::Lasting && spec.mTailTarget.count() > 0);
      continue;
    }
    Step& step = StepOf(ref);
    const ServingImage& image = aDispatcher.mInterference.mServing[step.mImage];
    auto serving = std::find_if(
      aRunner.mServing.begin(),
      aRunner.mServing.end(),
      [&](const ServingHere& aOther) { return aOther.mStep == &step; });
    if (serving == aRunner.mServing.end()) {
      serving = aRunner.mServing.insert(serving, ServingHere{});
      serving->mStep = &step;
      const LoadTrack track = Advanced(step.mLoad, aNow);
      serving->mAhead = LevelAhead(track, kLookAhead);
      serving->mLater = LevelAhead(track, kPlacementLookAhead);
      serving->mLimit =
        kTargetShare *
        UtilizationOf(image, static_cast<double>(spec.mTailTarget.count()));
    }
    serving->mMeasured = std::max(
      serving->mMeasured, UtilizationOf(image, TaskOf(ref).mLoadFigure));
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    NoteNeighbour(aDispatcher, aRunner, ref, aNow);
  }
}

std::optional<double>
DisturbanceCost(const Dispatcher& aDispatcher,
                const Runner& aRunner,
                const TaskRef& aTask,
                MonotonicTime aNow)
{
  if (aRunner.mTailUnknown) {
    return {};
  }
  const double pressure =
    ShareOf(aRunner, aTask) * PressureAt(kUnknownActivity);
  const double waited =
    std::chrono::duration<double>(aNow - StepOf(aTask).mOpenedAt).count();
  const double tolerated =
    std::min(kToleratedRise,
             kToleratedAtOnce + kToleratedPerSecond * std::max(0.0, waited));
  double cost = 0;
  for (const ServingHere& serving : aRunner.mServing) {
    const double rise = pressure * FearedEffect(aDispatcher,
                                                StepOf(aTask).mImage,
                                                serving.mStep->mImage,
                                                aNow);
    const double total = serving.mPresent + rise;
    if (total > tolerated && serving.mLater + total > serving.mLimit) {
      return {};
    }
    cost = std::max(cost, rise);
  }
  return cost;
}

double
Openness(const Dispatcher& aDispatcher, const Runner& aRunner)
{
  double sensitivity = 0;
  for (const ServingHere& serving : aRunner.mServing) {
    sensitivity = std::max(
      sensitivity,
      aDispatcher.mInterference.mServing[serving.mStep->mImage].mSensitivity);
  }
  return 1 - std::min(1.0, sensitivity);
}

double
FearedRise(const Dispatcher& aDispatcher,
           const Runner& aRunner,
           const TaskRef& aTask,
           const ServingHere& aServing,
           MonotonicTime aNow)
{
  return ShareOf(aRunner, aTask) *
         std::max(PressureAt(TaskOf(aTask).mActivity), kLeastPressure) *
         FearedEffect(
           aDispatcher, StepOf(aTask).mImage, aServing.mStep->mImage, aNow);
}

} // namespace paddle::dispatch
