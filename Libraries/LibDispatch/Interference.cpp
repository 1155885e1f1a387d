#include <LibDispatch/Internal.h>

#include <algorithm>

namespace paddle::dispatch {

namespace {

/// Tail over target above which tasks without reservation are slowed down. The
/// figure is half a second old, so it is acted on before the target is reached.
constexpr double kSlowAbove = 0.85;
/// Tail over target below which they are sped up again.
constexpr double kSpeedBelow = 0.6;
/// Steps of pace in percent.
constexpr int kSpeedStep = 20;
/// Time between two changes on one runner: the age of the tail figure and the
/// time that a pace takes to act.
constexpr Millis kPaceInterval{ 450 };

/// @return the highest tail over target among the runner's lasting tasks, or
///         nothing if none has reported one
std::optional<double>
WorstTail(const Runner& aRunner)
{
  std::optional<double> worst;
  for (const TaskRef& ref : aRunner.mTasks) {
    const StepSpec& spec = SpecOf(ref);
    const Task& task = TaskOf(ref);
    if (spec.mKind != StepKind::Lasting || spec.mTailTarget.count() == 0 ||
        task.mPhase != TaskPhase::Running || task.mLoadFigure <= 0) {
      continue;
    }
    const double ratio = static_cast<double>(task.mLoadFigure) /
                         static_cast<double>(spec.mTailTarget.count());
    worst = std::max(worst.value_or(0), ratio);
  }
  return worst;
}

} // namespace

bool
MayDisturb(const Dispatcher& aDispatcher,
           const Runner& aRunner,
           const StepSpec& aSpec)
{
  (void)aSpec;
  (void)aDispatcher;
  const std::optional<double> worst = WorstTail(aRunner);
  if (!worst || *worst > kSpeedBelow) {
    return false;
  }
  const auto beside = std::count_if(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [](const TaskRef& aTask) {
      return SpecOf(aTask).mReservation == Reservation::Leftover;
    });
  return beside < 3;
}

void
AdjustPace(Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           MonotonicTime aNow,
           Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  if (runner.mLasting == 0 || runner.mLeftoverCores == 0 ||
      aNow - runner.mPacedAt < kPaceInterval) {
    return;
  }
  const std::optional<double> worst = WorstTail(runner);
  if (!worst || (*worst <= kSlowAbove && *worst >= kSpeedBelow)) {
    return;
  }
  const bool slower = *worst > kSlowAbove;
  for (const TaskRef& ref : runner.mTasks) {
    Task& task = TaskOf(ref);
    if (SpecOf(ref).mReservation != Reservation::Leftover ||
        task.mPhase != TaskPhase::Running) {
      continue;
    }
    const int pace = slower ? (*worst > 1 ? 0 : task.mPace / 2)
                            : std::min(100, task.mPace + kSpeedStep);
    if (pace == task.mPace) {
      continue;
    }
    runner.mPacedAt = aNow;
    task.mPace = static_cast<std::uint8_t>(pace);
    ++aDispatcher.mCounters.mPaceOrders;
    aActions.push_back(PaceTask{
      aRunner, NameOf(ref), task.mRun, static_cast<std::uint8_t>(pace) });
  }
}

} // namespace paddle::dispatch
