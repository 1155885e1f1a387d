#include <LibDispatch/Internal.h>

#include <utility>
#include <vector>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/HeldRunners.h>
#include <LibDispatch/PlacementOrder.h>
#include <LibDispatch/RunnerRating.h>

namespace paddle::dispatch {

namespace {

/// Largest number of long-running tasks that are being moved from leaving
/// runners at the same time. A stop takes up to 900 ms and a runner leaves 2.5
/// s to 4 s after its notice, so that three rounds fit.
constexpr std::size_t kMaxMovesInFlight = 96;

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
  aDispatcher.mHeldForMoves.clear();
  std::size_t moving = 0;
  const std::vector<TaskRef> tasks = TasksOnLeavingRunners(aDispatcher, moving);
  if (tasks.empty() || aNow >= aDispatcher.mStartsUntil) {
    return;
  }
  const BudgetPass budgets(aDispatcher, aNow);
  std::vector<RunnerIndex> candidates = AvailableRunners(aDispatcher, aNow);
  // Tasks that were interrupted need room before those that still run.
  ExcludeHeldRunners(aDispatcher, candidates);
  UnplaceableOfPass unplaceable;
  UnplaceableRequests unholdable; // Those for which no runner can be held.
  bool mayHold = true;
  // What is kept for a task counts as used for those after it.
  std::vector<std::pair<RunnerIndex, Resources>> kept;
  for (const TaskRef& ref : tasks) {
    const QueueSpec* queue = FindQueue(aDispatcher, ref.mJob->mSpec.mQueue);
    if (moving == kMaxMovesInFlight) {
      break;
    }
    // A task of an account above its budget would not start again.
    if (queue == nullptr || !MayRestart(ref)) {
      continue;
    }
    const StepSpec& spec = SpecOf(ref);
    const bool covered = unplaceable.Covers(*ref.mJob, spec, queue->mService);
    const RunnerIndex target = covered ? kNoRunner
                                       : ChooseRunner(aDispatcher,
                                                      candidates,
                                                      ref,
                                                      queue->mService,
                                                      Overcommit::No,
                                                      aNow);
    if (target == kNoRunner) {
      // It works on until there is room, or until its runner leaves.
      if (!covered) {
        unplaceable.Add(*ref.mJob, spec, queue->mService);
      }
      if (!mayHold || unholdable.Covers(spec, queue->mService)) {
        continue;
      }
      const HoldResult result =
        HoldRunnerForMove(aDispatcher, candidates, ref, queue->mService, aNow);
      mayHold = result != HoldResult::LimitReached;
      if (result == HoldResult::NoneSuits) {
        unholdable.Add(spec, queue->mService);
      }
      continue;
    }
    const Resources& demand = spec.mDemand;
    aDispatcher.mRunners[target].mReserved += demand;
    kept.emplace_back(target, demand);
    ++moving;
    BeginStop(aDispatcher, ref, StopCause::Moved, aNow, aActions);
  }
  for (const auto& [runner, demand] : kept) {
    aDispatcher.mRunners[runner].mReserved -= demand;
  }
}

} // namespace paddle::dispatch
