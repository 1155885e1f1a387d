#include <LibDispatch/HeldRunners.h>

#include <algorithm>
#include <variant>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/RunnerRating.h>

namespace paddle::dispatch {

namespace {

/// Largest share of the available runners that are kept free for interrupted
/// long-running tasks at the same time: one in this many.
constexpr std::size_t kRunnersPerHeldRunner = 8;

/// A finite task that runs for longer than this, and for longer than this
/// multiple of its estimate, is not expected to end soon.
constexpr Seconds kLongRun{ 30 };
constexpr int kLongRunEstimates = 2;

/// @return whether the task is expected to end by itself before long
bool
EndsSoon(const TaskRef& aTask, MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const MonotonicTime::duration time = aNow - TaskOf(aTask).mStartedAt;
  return spec.mKind == StepKind::Finite &&
         (time < kLongRun ||
          time < kLongRunEstimates * spec.mEstimatedDuration);
}

/// @return the runner on which the least has to end before a task fits that
///         fits nowhere now, or kNoRunner if the task never will
/// @param aHeld runners that are held for other tasks
RunnerIndex
ChooseRunnerToHold(const Dispatcher& aDispatcher,
                   std::span<const RunnerIndex> aCandidates,
                   std::span<const RunnerIndex> aHeld,
                   const TaskRef& aTask,
                   const std::string& aService,
                   MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const auto suits = [&](const Runner& aRunner) {
    Resources lasting;
    for (const TaskRef& ref : aRunner.mTasks) {
      if (!EndsSoon(ref, aNow)) {
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
    const Runner& runner = aDispatcher.mRunners[index];
    const PlacementRating rating =
      RateRunner(aDispatcher, index, aTask, aService, Overcommit::No, aNow);
    const Obstacle* obstacle = std::get_if<Obstacle>(&rating);
    const bool full =
      obstacle != nullptr &&
      (*obstacle == Obstacle::Cores || *obstacle == Obstacle::Memory ||
       *obstacle == Obstacle::Accelerators);
    if (!full || !suits(runner) ||
        std::find(aHeld.begin(), aHeld.end(), index) != aHeld.end()) {
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

} // namespace

HoldResult
HoldRunnerForMove(Dispatcher& aDispatcher,
                  std::span<const RunnerIndex> aCandidates,
                  const TaskRef& aTask,
                  const std::string& aService,
                  MonotonicTime aNow)
{
  std::vector<RunnerIndex>& held = aDispatcher.mHeldForMoves;
  // Where there are few runners, holding one would cost other tasks too much:
  // the task still runs, and may never fit.
  if (held.size() >= aCandidates.size() / kRunnersPerHeldRunner) {
    return HoldResult::LimitReached;
  }
  const RunnerIndex runner =
    ChooseRunnerToHold(aDispatcher, aCandidates, held, aTask, aService, aNow);
  if (runner == kNoRunner) {
    return HoldResult::NoneSuits;
  }
  held.push_back(runner);
  return HoldResult::Held;
}

std::size_t
HoldRunnersFor(Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates,
               const WaitingStep& aEntry,
               const std::string& aService,
               std::size_t aMostTasks,
               MonotonicTime aNow)
{
  const Step& step = StepOf(aEntry);
  const std::size_t most =
    std::max<std::size_t>(1, aCandidates.size() / kRunnersPerHeldRunner);
  const std::size_t mostTasks =
    TasksWithinBudget(*aEntry.mJob,
                      aEntry.mJob->mSpec.mSteps[aEntry.mStep],
                      std::min(aMostTasks, step.mTasks.size()));
  std::size_t tasks = 0;
  for (std::uint32_t i = 0; i < step.mTasks.size() && tasks < mostTasks; ++i) {
    if (aDispatcher.mHeldRunners.size() >= most) {
      return tasks;
    }
    const Task& task = step.mTasks[i];
    if (task.mPhase != TaskPhase::Waiting || MayRunUnseen(aDispatcher, task)) {
      continue;
    }
    const TaskRef ref{ aEntry.mJob, aEntry.mOccurrence, aEntry.mStep, i };
    const RunnerIndex runner = ChooseRunnerToHold(
      aDispatcher, aCandidates, aDispatcher.mHeldRunners, ref, aService, aNow);
    if (runner == kNoRunner) {
      return tasks;
    }
    aDispatcher.mHeldRunners.push_back(runner);
    ++tasks;
  }
  return tasks;
}

void
ExcludeHeldRunners(const Dispatcher& aDispatcher,
                   std::vector<RunnerIndex>& aCandidates)
{
  for (const RunnerIndex held : aDispatcher.mHeldRunners) {
    std::erase(aCandidates, held);
  }
  for (const RunnerIndex held : aDispatcher.mHeldForMoves) {
    std::erase(aCandidates, held);
  }
}

} // namespace paddle::dispatch
