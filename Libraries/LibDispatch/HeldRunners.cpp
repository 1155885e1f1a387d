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

/// Number of tasks for which runners are held against surplus tasks in a pass.
/// Each takes a look at all runners. With this number, a pass over 350 full
/// runners takes 2.7 ms beside 2,000 waiting steps, 1.1 ms without accounts.
constexpr std::size_t kMaxTasksForEntitled = 8;

/// Memory of a runner for each of its cores, for comparing demands.
constexpr std::int64_t kMemoryMbPerCore = 4000;

/// Which tasks a held runner does not take.
enum class HeldAgainst : std::uint8_t
{
  AllOthers,
  Surplus
};

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
                   HeldAgainst aAgainst,
                   MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  // Unused processors don't become free for a best-effort task while others
  // take them as well, so only surplus tasks are kept away for their sake.
  const bool forUnused = aAgainst == HeldAgainst::Surplus &&
                         spec.mReservation == Reservation::BestEffort;
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
       *obstacle == Obstacle::Accelerators ||
       (forUnused && *obstacle == Obstacle::TooFewUnusedCores &&
        !runner.mBestEffortStarved));
    if (!full || !suits(runner) ||
        std::find(aHeld.begin(), aHeld.end(), index) != aHeld.end()) {
      continue;
    }
    const std::int64_t free = forUnused ? UnusedMilliCores(runner)
                                        : runner.mSpec.mCapacity.mMilliCores -
                                            runner.mReserved.mMilliCores;
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
  const RunnerIndex runner = ChooseRunnerToHold(aDispatcher,
                                                aCandidates,
                                                held,
                                                aTask,
                                                aService,
                                                HeldAgainst::AllOthers,
                                                aNow);
  if (runner == kNoRunner) {
    return HoldResult::NoneSuits;
  }
  held.push_back(runner);
  return HoldResult::Held;
}

namespace {

/// Adds runners to @p aHeld for up to @p aMostTasks waiting tasks of a step,
/// and no more than the budget of its account allows.
/// @return the number of runners that were added
std::size_t
HoldForStep(const Dispatcher& aDispatcher,
            std::span<const RunnerIndex> aCandidates,
            const WaitingStep& aEntry,
            const std::string& aService,
            std::size_t aMostTasks,
            HeldAgainst aAgainst,
            std::vector<RunnerIndex>& aHeld,
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
    if (aHeld.size() >= most) {
      return tasks;
    }
    const Task& task = step.mTasks[i];
    if (task.mPhase != TaskPhase::Waiting || MayRunUnseen(aDispatcher, task)) {
      continue;
    }
    const TaskRef ref{ aEntry.mJob, aEntry.mOccurrence, aEntry.mStep, i };
    const RunnerIndex runner = ChooseRunnerToHold(
      aDispatcher, aCandidates, aHeld, ref, aService, aAgainst, aNow);
    if (runner == kNoRunner) {
      return tasks;
    }
    aHeld.push_back(runner);
    ++tasks;
  }
  return tasks;
}

/// @return the largest part of a runner that a task of the step needs, where
///         processors and memory are in the ratio that is usual for runners
std::int64_t
SizeOf(const WaitingStep& aEntry)
{
  const Resources& demand = aEntry.mJob->mSpec.mSteps[aEntry.mStep].mDemand;
  return std::max(demand.mMilliCores * kMemoryMbPerCore / 1000,
                  demand.mMemoryMb);
}

} // namespace

std::size_t
HoldRunnersFor(Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates,
               const WaitingStep& aEntry,
               const std::string& aService,
               std::size_t aMostTasks,
               MonotonicTime aNow)
{
  return HoldForStep(aDispatcher,
                     aCandidates,
                     aEntry,
                     aService,
                     aMostTasks,
                     HeldAgainst::AllOthers,
                     aDispatcher.mHeldRunners,
                     aNow);
}

void
HoldRunnersForEntitled(Dispatcher& aDispatcher,
                       std::span<const RunnerIndex> aCandidates,
                       std::span<WaitingStep> aSteps,
                       MonotonicTime aNow)
{
  aDispatcher.mHeldForEntitled.clear();
  std::stable_sort(aSteps.begin(),
                   aSteps.end(),
                   [](const WaitingStep& aFirst, const WaitingStep& aSecond) {
                     return SizeOf(aFirst) > SizeOf(aSecond);
                   });
  std::size_t left = kMaxTasksForEntitled;
  for (const WaitingStep& entry : aSteps) {
    const QueueSpec* queue = FindQueue(aDispatcher, entry.mJob->mSpec.mQueue);
    if (queue == nullptr || left == 0) {
      continue;
    }
    const std::size_t tasks =
      std::min<std::size_t>(left, StepOf(entry).mWaitingTasks);
    left -= tasks;
    HoldForStep(aDispatcher,
                aCandidates,
                entry,
                queue->mService,
                tasks,
                HeldAgainst::Surplus,
                aDispatcher.mHeldForEntitled,
                aNow);
  }
}

SurplusRoom
RoomForSurplus(const Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates)
{
  const std::vector<RunnerIndex>& held = aDispatcher.mHeldForEntitled;
  SurplusRoom room;
  for (const RunnerIndex index : aCandidates) {
    if (std::find(held.begin(), held.end(), index) != held.end()) {
      continue;
    }
    SurplusRoom::Entry entry{ index };
    for (const TaskRef& ref : aDispatcher.mRunners[index].mTasks) {
      if (IsBestEffort(ref) && !IsSurplus(aDispatcher, *ref.mJob)) {
        entry.mEntitledMilliCores += SpecOf(ref).mDemand.mMilliCores;
      }
    }
    room.mEntries.push_back(entry);
  }
  return room;
}

std::vector<RunnerIndex>
RunnersForSurplus(const Dispatcher& aDispatcher,
                  const SurplusRoom& aRoom,
                  const StepSpec& aSpec)
{
  std::vector<RunnerIndex> runners;
  for (const SurplusRoom::Entry& entry : aRoom.mEntries) {
    const Runner& runner = aDispatcher.mRunners[entry.mRunner];
    const std::int64_t usable = UnusedMilliCores(runner) +
                                runner.mBestEffortMilliCores -
                                runner.mOvercommittedMilliCores;
    if (aSpec.mReservation == Reservation::BestEffort ||
        entry.mEntitledMilliCores == 0 ||
        usable - entry.mEntitledMilliCores >= aSpec.mDemand.mMilliCores) {
      runners.push_back(entry.mRunner);
    }
  }
  return runners;
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
