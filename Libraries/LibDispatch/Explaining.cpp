#include <LibDispatch/Internal.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/PreferredRacks.h>
#include <LibDispatch/RunnerRating.h>

namespace paddle::dispatch {

namespace {

/// Largest number of waiting steps that are explained in the log at a time.
constexpr std::size_t kMaxExplainedSteps = 3;
/// The log explains only steps that have waited for longer than this.
constexpr Millis kExplainAfter{ 2500 };

/// Logs that a step waits for the budget of its account.
void
ExplainBudget(const Dispatcher& aDispatcher,
              const Job& aJob,
              const TaskRef& aTask,
              std::uint32_t aWaiting)
{
  const AccountBudget& budget = *aJob.mBudget;
  Emit(aDispatcher,
       "step_waits",
       &aJob,
       "task=" + FormatTaskName(NameOf(aTask)) +
         " waiting=" + std::to_string(aWaiting) +
         " cause=account_cap account=" + aJob.mSpec.mAccount +
         " demand=" + FormatResources(SpecOf(aTask).mDemand) +
         " use=" + FormatResources(CappedUse(*budget.mUse)) +
         " assumed=" + FormatResources(budget.mAssumed) +
         " budget=" + FormatResources(budget.mBudget) +
         " cap=" + FormatResources(budget.mCap));
}

} // namespace

void
ExplainWaiting(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  for (Runner& runner : aDispatcher.mRunners) {
    SummarizeServingLoad(aDispatcher, runner, aNow);
  }
  std::size_t explained = 0;
  // One step of an account that waits for its budget stands for all of them.
  std::set<const AccountBudget*> budgets;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const Step& step = StepOf(entry);
    const QueueSpec* queue = FindQueue(aDispatcher, entry.mJob->mSpec.mQueue);
    if (aNow - step.mReadySince < kExplainAfter) {
      continue;
    }
    const auto task = std::find_if(
      step.mTasks.begin(), step.mTasks.end(), [](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Waiting;
      });
    if (queue == nullptr || task == step.mTasks.end()) {
      continue;
    }
    const TaskRef ref{ entry.mJob,
                       entry.mOccurrence,
                       entry.mStep,
                       static_cast<std::uint32_t>(task - step.mTasks.begin()) };
    if (!MayStartNext(entry)) {
      if (budgets.size() < kMaxExplainedSteps &&
          budgets.insert(entry.mJob->mBudget).second) {
        ExplainBudget(aDispatcher, *entry.mJob, ref, step.mWaitingTasks);
      }
      continue;
    }
    std::array<std::uint32_t, kObstacleNames.size()> counts{};
    for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
      const PlacementRating rating =
        RateRunner(aDispatcher, i, ref, queue->mService, Overcommit::No, aNow);
      const Obstacle* obstacle = std::get_if<Obstacle>(&rating);
      ++counts[obstacle != nullptr ? static_cast<std::size_t>(*obstacle) : 0];
    }
    std::string details = "task=" + FormatTaskName(NameOf(ref)) +
                          " waiting=" + std::to_string(step.mWaitingTasks);
    if (IsSurplus(aDispatcher, *entry.mJob)) {
      details += " surplus_of=" + entry.mJob->mSpec.mAccount;
    }
    const auto held = std::count_if(
      step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Waiting &&
               MayRunUnseen(aDispatcher, aTask);
      });
    if (held > 0) {
      details += " held=" + std::to_string(held) + " remaining_ms=" +
                 std::to_string(std::chrono::duration_cast<Millis>(
                                  aDispatcher.mEarlierLeasesUntil - aNow)
                                  .count());
    }
    if (WaitsForRack(aDispatcher, entry)) {
      details += " for_rack=" + PreferredRack(ref);
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
      if (counts[i] > 0) {
        details += " ";
        details += kObstacleNames[i];
        details += "=" + std::to_string(counts[i]);
      }
    }
    Emit(aDispatcher, "step_waits", entry.mJob, std::move(details));
    if (++explained == kMaxExplainedSteps) {
      return;
    }
  }
}

} // namespace paddle::dispatch
