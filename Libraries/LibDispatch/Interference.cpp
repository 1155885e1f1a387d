#include <LibDispatch/Interference.h>

#include <LibDispatch/Internal.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// A pair that nothing is known of is expected to disturb a little, with a wide
/// spread: about one pair in three disturbs, by some 2.5 of utilization for
/// each share of the processors.
constexpr double kPriorMean = 0.5;
constexpr double kPriorVariance = 1.5 * 1.5;
/// Disturbance changes within seconds, so knowledge fades back to the prior's
/// spread over about 30 s.
constexpr double kVarianceGrowthPerSecond = kPriorVariance / 30;
/// Spread of a utilization around its mean, from the swing of the load.
constexpr double kUtilizationVariance = 0.17 * 0.17;
/// Tails are figures of the last half second; a runner is learned from at this
/// interval at most, so that samples are nearly independent.
constexpr Millis kLearnInterval{ 400 };
/// A task's figure counts from then on after its start.
constexpr Millis kSettleTime{ 600 };
/// Own loads are averaged over about this many samples.
constexpr double kOwnLoadSamples = 60;
/// The shortest tail is a rounded figure of a busy server; without queueing it
/// would be shorter still.
constexpr double kUnqueuedShare = 0.85;
/// Own load of a serving image before it is known.
constexpr double kAssumedOwnLoad = 0.45;

/// Tail over target above which the worst disturbers are slowed down. The
/// figure is half a second old, so it is acted on before the target is reached.
constexpr double kSlowAbove = 0.85;
/// Tail over target below which they are sped up again.
constexpr double kSpeedBelow = 0.6;
/// Percent by which a pace rises at a time.
constexpr int kSpeedStep = 25;
/// Time between two changes of pace on one runner: the age of the tail figure.
constexpr Millis kPaceInterval{ 450 };
/// What a task uses must agree with its pace from this long after the order:
/// the figure's age and the time that a pace takes to act.
constexpr Millis kPaceCheckAfter{ 1300 };
/// A task below this pace for this long runs on from its checkpoint elsewhere.
constexpr int kLowPace = 30;
constexpr Millis kMoveAfter{ 700 };
/// Use over request below which a runner's tasks without reservation starve.
constexpr double kStarvedShare = 0.75;
/// Over the target for this share of the allowed time, everything that might
/// disturb is halted.
constexpr double kHaltShare = 0.35;
/// Rise of utilization that a new task may be expected to cause.
constexpr double kAllowedRise = 0.09;
/// Standard deviations by which an uncertain pair is feared, or hoped for where
/// it is tried out.
constexpr double kFear = 0.7;
/// Utilization up to which a serving task may get an unknown neighbour.
constexpr double kTrialUtilization = 0.6;
/// Share of the target's utilization that such a trial may be feared to reach.
constexpr double kTrialShare = 0.9;
/// Shares of the disturbers' expected rise that are taken away when a tail is
/// over its target, and when it is near.
constexpr double kTakenWhenOver = 0.6;
constexpr double kTakenWhenNear = 0.25;
/// A smaller rise of utilization is not worth a change of pace.
constexpr double kNegligibleRise = 0.01;

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

PairEffect
KnownPair(const Interference& aInterference,
          std::uint32_t aDisturbing,
          std::uint32_t aServing,
          MonotonicTime aNow)
{
  if (aInterference.mPairs.size() <= aDisturbing ||
      aInterference.mPairs[aDisturbing].size() <= aServing) {
    return { kPriorMean, kPriorVariance, {} };
  }
  PairEffect pair = aInterference.mPairs[aDisturbing][aServing];
  const double age =
    std::chrono::duration<double>(aNow - pair.mLearnedAt).count();
  pair.mVariance =
    std::min(kPriorVariance, pair.mVariance + kVarianceGrowthPerSecond * age);
  return pair;
}

std::uint32_t
ImageOf(const TaskRef& aTask)
{
  return StepOf(aTask).mImage;
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

/// Share of the runner's processors that the task uses at its pace.
double
ShareOf(const Runner& aRunner, const TaskRef& aTask)
{
  const Task& task = TaskOf(aTask);
  // The reported use of the last half second, or what it asked for at first.
  const double cores =
    task.mLoadFigure > 0
      ? static_cast<double>(task.mLoadFigure)
      : static_cast<double>(SpecOf(aTask).mAmount.mCores) * task.mPace / 100.0;
  return cores / static_cast<double>(
                   std::max<std::int64_t>(1, aRunner.mSpec.mCapacity.mCores));
}

double
TailRatio(const TaskRef& aTask)
{
  return static_cast<double>(TaskOf(aTask).mLoadFigure) /
         static_cast<double>(SpecOf(aTask).mTailTarget.count());
}

/// Corrects what is known of the pairs on a runner by one serving task's tail:
/// a Kalman filter that keeps the pairs' variances only.
void
LearnFrom(Dispatcher& aDispatcher,
          const Runner& aRunner,
          const TaskRef& aServing,
          std::span<const TaskRef> aDisturbing,
          MonotonicTime aNow)
{
  Interference& interference = aDispatcher.mInterference;
  const std::uint32_t image = ImageOf(aServing);
  ServingImage& serving = interference.mServing[image];
  const auto tail = static_cast<double>(TaskOf(aServing).mLoadFigure);
  if (serving.mShortestTail == 0 || tail < serving.mShortestTail) {
    serving.mShortestTail = tail;
  }
  const double utilization = UtilizationOf(serving, tail);
  if (aDisturbing.empty()) {
    serving.mSamples = std::min(kOwnLoadSamples, serving.mSamples + 1);
    serving.mOwnLoad += (utilization - serving.mOwnLoad) / serving.mSamples;
    return;
  }
  const double own = serving.mSamples > 5 ? serving.mOwnLoad : kAssumedOwnLoad;
  double expected = own;
  double spread = kUtilizationVariance;
  for (const TaskRef& task : aDisturbing) {
    PairEffect& pair = PairOf(interference, ImageOf(task), image);
    pair = KnownPair(interference, ImageOf(task), image, aNow);
    pair.mLearnedAt = aNow;
    const double share = ShareOf(aRunner, task);
    expected += pair.mMean * share;
    spread += pair.mVariance * share * share;
  }
  const double surprise = utilization - expected;
  for (const TaskRef& task : aDisturbing) {
    PairEffect& pair = PairOf(interference, ImageOf(task), image);
    const double share = ShareOf(aRunner, task);
    const double gain = pair.mVariance * share / spread;
    pair.mMean = std::max(0.0, pair.mMean + gain * surprise);
    pair.mVariance *= 1 - gain * share;
  }
}

void
Learn(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
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
    const Task& task = TaskOf(ref);
    if (task.mPhase != TaskPhase::Running) {
      continue;
    }
    if (aNow - task.mAnsweredAt < kSettleTime) {
      return; // The figures are of a time before it.
    }
    disturbing.push_back(ref);
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    if (IsServing(ref) && aNow - TaskOf(ref).mAnsweredAt >= kSettleTime) {
      LearnFrom(aDispatcher, aRunner, ref, disturbing, aNow);
    }
  }
}

/// Rise of the serving image's utilization that a task is expected to cause at
/// full pace, with some fear of the unknown.
double
FearedRise(const Dispatcher& aDispatcher,
           const Runner& aRunner,
           std::uint32_t aDisturbing,
           std::int64_t aCores,
           std::uint32_t aServing,
           MonotonicTime aNow)
{
  const PairEffect pair =
    KnownPair(aDispatcher.mInterference, aDisturbing, aServing, aNow);
  const double share =
    static_cast<double>(aCores) / static_cast<double>(std::max<std::int64_t>(
                                    1, aRunner.mSpec.mCapacity.mCores));
  return share * (pair.mMean + kFear * std::sqrt(pair.mVariance));
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

double
UtilizationOf(const ServingImage& aImage, double aTail)
{
  return 1 - std::min(1.0, kUnqueuedShare * aImage.mShortestTail / aTail);
}

bool
IsStarved(const Runner& aRunner, MonotonicTime aNow)
{
  double asked = 0;
  double used = 0;
  for (const TaskRef& ref : aRunner.mTasks) {
    const Task& task = TaskOf(ref);
    if (!IsLeftover(ref) || task.mPhase != TaskPhase::Running ||
        task.mPace < 100 || aNow - task.mAnsweredAt < kSettleTime ||
        aNow - task.mPaceSentAt < kSettleTime) {
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
  const bool unseen = aNow - TaskOf(aTask).mStartedAt < kSettleTime;
  for (ServingHere& serving : aRunner.mServing) {
    const double rise = FearedRise(aDispatcher,
                                   aRunner,
                                   ImageOf(aTask),
                                   SpecOf(aTask).mAmount.mCores,
                                   serving.mImage,
                                   aNow);
    serving.mPresent += rise;
    // Neighbours that started just now don't show in the tail yet.
    serving.mUnseen += unseen ? rise : 0;
  }
}

void
RateLasting(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  const Interference& interference = aDispatcher.mInterference;
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
    const std::uint32_t image = ImageOf(ref);
    auto serving = std::find_if(
      aRunner.mServing.begin(),
      aRunner.mServing.end(),
      [&](const ServingHere& aOther) { return aOther.mImage == image; });
    if (serving == aRunner.mServing.end()) {
      serving = aRunner.mServing.insert(serving, ServingHere{});
      serving->mImage = image;
    }
    const ServingImage& known = interference.mServing[image];
    serving->mWorstRatio = std::max(serving->mWorstRatio, TailRatio(ref));
    serving->mUtilization = std::max(
      serving->mUtilization, UtilizationOf(known, TaskOf(ref).mLoadFigure));
    serving->mLimit = std::min(
      serving->mLimit,
      UtilizationOf(known, static_cast<double>(spec.mTailTarget.count())));
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
  const std::uint32_t image = ImageOf(aTask);
  const std::int64_t cores = SpecOf(aTask).mAmount.mCores;
  double cost = 0;
  for (const ServingHere& serving : aRunner.mServing) {
    if (serving.mWorstRatio > kSlowAbove) {
      return {};
    }
    const double rise =
      FearedRise(aDispatcher, aRunner, image, cores, serving.mImage, aNow);
    const bool small = serving.mPresent + rise <= kAllowedRise;
    const bool trial = serving.mUtilization < kTrialUtilization &&
                       serving.mUtilization + serving.mUnseen + rise <
                         serving.mLimit * kTrialShare;
    if (!small && !trial) {
      return {};
    }
    cost = std::max(cost, rise);
  }
  return cost;
}

namespace {

/// What the tails on a runner call for.
struct TailState
{
  double mWorst = 0; ///< Highest tail over target.
  bool mHalt = false;
  std::vector<std::uint32_t> mSuffering; ///< Images near their target.
};

TailState
JudgeTails(const Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  TailState state;
  for (const TaskRef& ref : aRunner.mTasks) {
    if (!IsServing(ref)) {
      continue;
    }
    Task& task = TaskOf(ref);
    const double ratio = TailRatio(ref);
    state.mWorst = std::max(state.mWorst, ratio);
    if (ratio > kSlowAbove) {
      state.mSuffering.push_back(ImageOf(ref));
    }
    if (ratio <= 1) {
      task.mOverTargetSince.reset();
      continue;
    }
    if (!task.mOverTargetSince) {
      task.mOverTargetSince = aNow;
    }
    const auto limit = std::chrono::duration_cast<Millis>(
      aDispatcher.mSettings.mHarmLimit * kHaltShare);
    state.mHalt = state.mHalt || aNow - *task.mOverTargetSince >= limit;
  }
  return state;
}

struct PaceChange
{
  TaskRef mTask;
  int mPace = 100;
};

/// @return the paces that the runner's tasks without reservation should have
std::vector<PaceChange>
WantedPaces(const Dispatcher& aDispatcher,
            const Runner& aRunner,
            const TailState& aTails,
            MonotonicTime aNow)
{
  struct Disturber
  {
    std::size_t mIndex = 0;
    double mRise = 0;
  };
  std::vector<PaceChange> wanted;
  std::vector<Disturber> disturbers;
  double total = 0;
  for (const TaskRef& ref : aRunner.mTasks) {
    const Task& task = TaskOf(ref);
    if (!IsLeftover(ref) || task.mPhase != TaskPhase::Running) {
      continue;
    }
    double rise = 0;
    for (const std::uint32_t serving : aTails.mSuffering) {
      rise = std::max(rise,
                      FearedRise(aDispatcher,
                                 aRunner,
                                 ImageOf(ref),
                                 SpecOf(ref).mAmount.mCores,
                                 serving,
                                 aNow));
    }
    rise *= task.mPace / 100.0;
    total += rise;
    disturbers.push_back({ wanted.size(), rise });
    wanted.push_back({ ref, task.mPace });
  }
  if (aTails.mHalt) {
    for (PaceChange& change : wanted) {
      change.mPace = 0;
    }
    return wanted;
  }
  if (aTails.mSuffering.empty()) {
    for (PaceChange& change : wanted) {
      if (aTails.mWorst < kSpeedBelow) {
        change.mPace = std::min(100, change.mPace + kSpeedStep);
      }
    }
    return wanted;
  }
  // The worst disturbers first, until enough of the rise is taken away. The
  // others go on, because they would disturb as much anywhere.
  std::sort(disturbers.begin(),
            disturbers.end(),
            [](const Disturber& aFirst, const Disturber& aSecond) {
              return aFirst.mRise > aSecond.mRise;
            });
  const bool over = aTails.mWorst > 1;
  const double enough = total * (over ? kTakenWhenOver : kTakenWhenNear);
  double taken = 0;
  for (const Disturber& disturber : disturbers) {
    if (taken >= enough || disturber.mRise < kNegligibleRise) {
      break;
    }
    int& pace = wanted[disturber.mIndex].mPace;
    taken += over ? disturber.mRise : disturber.mRise / 2;
    pace = over ? 0 : pace / 2;
  }
  return wanted;
}

/// @return whether what the task uses contradicts its pace
bool
ContradictsPace(const TaskRef& aTask, MonotonicTime aNow)
{
  const Task& task = TaskOf(aTask);
  if (aNow - task.mPaceSentAt < kPaceCheckAfter) {
    return false;
  }
  const auto asked = static_cast<double>(SpecOf(aTask).mAmount.mCores);
  const double used = task.mLoadFigure / std::max(1.0, asked);
  return !task.mPaceSure || (task.mPace >= 25 && used < 0.02) ||
         (task.mPace == 0 && used > 0.1);
}

} // namespace

void
AdjustPace(Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           MonotonicTime aNow,
           Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  Learn(aDispatcher, runner, aNow);
  if (runner.mLeftoverCores == 0) {
    return;
  }
  const TailState tails = JudgeTails(aDispatcher, runner, aNow);
  const bool mayChange = tails.mHalt || aNow - runner.mPacedAt >= kPaceInterval;
  std::vector<TaskRef> toMove;
  for (const PaceChange& change :
       WantedPaces(aDispatcher, runner, tails, aNow)) {
    const TaskRef& ref = change.mTask;
    Task& task = TaskOf(ref);
    const int pace = mayChange ? change.mPace : task.mPace;
    if (pace >= kLowPace) {
      task.mSlowSince.reset();
    } else if (!task.mSlowSince) {
      task.mSlowSince = aNow;
    } else if (aNow - *task.mSlowSince >= kMoveAfter) {
      toMove.push_back(ref);
      continue;
    }
    if (pace == task.mPace && !ContradictsPace(ref, aNow)) {
      continue;
    }
    if (pace != task.mPace) {
      runner.mPacedAt = aNow;
    }
    task.mPace = static_cast<std::uint8_t>(pace);
    task.mPaceSure = true;
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
