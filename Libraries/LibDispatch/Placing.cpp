#include <LibDispatch/Internal.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/HeldRunners.h>
#include <LibDispatch/IdleJobs.h>
#include <LibDispatch/PlacementOrder.h>
#include <LibDispatch/RunnerRating.h>
#include <LibDispatch/TaskStarts.h>

namespace paddle::dispatch {

namespace {

/// With more waiting steps than this, passes are spaced out: one costs some
/// milliseconds then, and each answer of a runner gives cause for one. Without
/// that, an owner with 2,000 waiting steps spent 0.8 of a core on passes.
constexpr std::size_t kLargeBacklog = 64;
/// Shortest intervals between two passes, and between two over all runners,
/// beside a large backlog. Tasks run for half a second and longer.
constexpr Millis kPassInterval{ 20 };
constexpr Millis kFullPassInterval{ 50 };
/// Passes over single runners use a placement order of up to this age. Whether
/// jobs can still meet their deadlines changes more slowly.
constexpr Millis kOrderInterval{ 100 };

/// Records for each runner whether start orders to its data centre are
/// answered.
void
UpdateStartReach(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::map<std::string_view, StartReach> reaches;
  bool anyHard = false;
  for (const auto& [name, contact] : aDispatcher.mStartContacts) {
    const StartReach reach = ReachOf(contact, aNow);
    reaches.emplace(name, reach);
    anyHard = anyHard || reach >= StartReach::LatelyUnanswered;
  }
  if (!anyHard && !aDispatcher.mAnyHardToReach) {
    return;
  }
  aDispatcher.mAnyHardToReach = anyHard;
  for (Runner& runner : aDispatcher.mRunners) {
    const auto found = reaches.find(runner.mSpec.mDataCentre);
    runner.mStartReach = !anyHard                 ? StartReach::Answered
                         : found != reaches.end() ? found->second
                                                  : StartReach::Unproven;
  }
}

/// Notes that a pass over all runners has found no room for a task of the step.
void
NoteNoRoom(Step& aStep, MonotonicTime aNow)
{
  if (!aStep.mNoRoomSince) {
    aStep.mNoRoomSince = aNow;
  }
  aStep.mNoRoomAt = aNow;
}

} // namespace

void
PlaceWaiting(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions)
{
  AttributeEnds(aDispatcher, aNow, aActions);
  if (aNow >= aDispatcher.mStartsUntil) {
    aDispatcher.mPlacementDue = true;
    return;
  }
  if (std::exchange(aDispatcher.mAttemptsUnchecked, false)) {
    FailExhaustedJobs(aDispatcher, aNow, aActions);
  }
  OrderLimit& limit = aDispatcher.mOrderLimit;
  UpdateOrderLimit(limit, aDispatcher.mUnansweredStarts, aNow);
  if (!aDispatcher.mWaitingSteps.empty() &&
      aDispatcher.mUnansweredStarts >= limit.mLimit) {
    limit.mReached = true;
    aDispatcher.mPlacementDue = true;
    return; // An answer, or the next tick, makes up for it.
  }
  if (aNow < aDispatcher.mPassesPausedUntil) {
    return; // A later call, or the next tick, makes up for it.
  }
  // If runs have ended and nothing else has changed, only their runners are
  // considered.
  const bool largeBacklog = aDispatcher.mWaitingSteps.size() > kLargeBacklog;
  if (largeBacklog && aNow - aDispatcher.mPassedAt < kPassInterval) {
    return; // A later call, or the next tick, makes up for it.
  }
  const bool full =
    aDispatcher.mPlacementDue &&
    (!largeBacklog || aNow - aDispatcher.mFullPassAt >= kFullPassInterval);
  std::vector<RunnerIndex> candidates =
    full ? AvailableRunners(aDispatcher, aNow)
         : std::exchange(aDispatcher.mFreedRunners, {});
  std::optional<BudgetPass> budgets;
  if (!aDispatcher.mWaitingSteps.empty() && (full || !candidates.empty())) {
    budgets.emplace(aDispatcher, aNow);
  }
  if (candidates.empty() || aDispatcher.mWaitingSteps.empty()) {
    if (full) {
      for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
        if (!PassOverForBudget(entry, aNow) &&
            entry.mKind == StepKind::LongRunning) {
          NoteNoRoom(StepOf(entry), aNow);
        }
      }
    }
    aDispatcher.mPlacementDue =
      aDispatcher.mPlacementDue && !aDispatcher.mWaitingSteps.empty();
    return;
  }
  aDispatcher.mPassedAt = aNow;
  if (full) {
    aDispatcher.mPlacementDue = false;
    aDispatcher.mFullPassAt = aNow;
    aDispatcher.mFreedRunners.clear();
  } else {
    // A runner on which several runs have ended is listed for each of them.
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()),
                     candidates.end());
  }
  UpdateStartReach(aDispatcher, aNow);
  for (const RunnerIndex index : candidates) {
    SummarizeServingLoad(aDispatcher, aDispatcher.mRunners[index], aNow);
  }
  std::uint32_t started = 0;
  UnplaceableOfPass unplaceable;
  if (full) {
    aDispatcher.mHeldRunners.clear();
  }
  // The interrupted steps come first and may use the held runners.
  bool heldExcluded = false;
  if (full || aNow - aDispatcher.mPlacementOrderAt >= kOrderInterval) {
    aDispatcher.mPlacementOrder = PlacementOrder(aDispatcher, aNow);
    aDispatcher.mPlacementOrderAt = aNow;
  }
  for (const WaitingStep& entry : aDispatcher.mPlacementOrder) {
    if (!aDispatcher.mWaitingSteps.contains(entry)) {
      continue; // The step has been placed, or its job has ended.
    }
    Job& job = *entry.mJob;
    const QueueSpec* queue = FindQueue(aDispatcher, job.mSpec.mQueue);
    if (queue == nullptr || job.mTakenAt > aDispatcher.mUncontestedUntil) {
      continue;
    }
    const StepSpec& spec = job.mSpec.mSteps[entry.mStep];
    Step& step = StepOf(entry);
    const bool interrupted = HasInterruptedTask(aDispatcher, entry);
    if (!interrupted && !heldExcluded) {
      heldExcluded = true;
      ExcludeHeldRunners(aDispatcher, candidates);
      started += StartOverdueJobs(aDispatcher, candidates, aNow, aActions);
      ExcludeHeldRunners(aDispatcher, candidates);
      if (!aDispatcher.mWaitingSteps.contains(entry)) {
        continue;
      }
    }
    if (PassOverForBudget(entry, aNow)) {
      continue;
    }
    const bool mayHold = full && interrupted && !spec.mGang &&
                         spec.mReservation == Reservation::Reserved;
    const auto noteNoRoom = [&] {
      if (full) {
        NoteNoRoom(step, aNow);
      }
      const std::size_t held = mayHold ? HoldRunnersFor(aDispatcher,
                                                        candidates,
                                                        entry,
                                                        queue->mService,
                                                        step.mTasks.size(),
                                                        aNow)
                                       : 0;
      if (interrupted) {
        KeepBudget(entry, held, aNow);
      }
    };
    if (unplaceable.Covers(job, spec, queue->mService)) {
      noteNoRoom();
      continue;
    }
    if (spec.mGang) {
      if (StartGang(aDispatcher,
                    candidates,
                    entry,
                    queue->mService,
                    Overcommit::No,
                    aNow,
                    aActions)) {
        started += static_cast<std::uint32_t>(step.mTasks.size());
        step.mNoRoomAt = {};
      } else {
        step.mNoRoomAt = full ? aNow : step.mNoRoomAt;
        if (interrupted) {
          KeepBudget(entry, 0, aNow);
        }
      }
    } else {
      for (std::uint32_t i = 0;
           i < step.mTasks.size() && step.mWaitingTasks > 0 &&
           aDispatcher.mUnansweredStarts < limit.mLimit;
           ++i) {
        if (step.mTasks[i].mPhase != TaskPhase::Waiting ||
            MayRunUnseen(aDispatcher, step.mTasks[i])) {
          continue;
        }
        if (PassOverForBudget(entry, aNow)) {
          break;
        }
        const TaskRef ref{ &job, entry.mOccurrence, entry.mStep, i };
        const RunnerIndex runner = ChooseRunner(
          aDispatcher, candidates, ref, queue->mService, Overcommit::No, aNow);
        if (runner == kNoRunner) {
          unplaceable.Add(job, spec, queue->mService);
          noteNoRoom();
          break;
        }
        Start(aDispatcher, ref, runner, aDispatcher.mNextRun++, aNow, aActions);
        AddNeighbourLoad(aDispatcher, aDispatcher.mRunners[runner], ref, aNow);
        step.mNoRoomSince.reset();
        step.mNoRoomAt = {};
        ++started;
      }
    }
    UpdateWaiting(aDispatcher, job, entry.mOccurrence, entry.mStep);
    // A gang may exceed the limit, because it starts as a whole.
    if (aDispatcher.mUnansweredStarts >= limit.mLimit) {
      limit.mReached = true;
      aDispatcher.mPlacementDue = true;
      return;
    }
    if (started >= aDispatcher.mSettings.mMaxStartsPerPass) {
      aDispatcher.mPlacementDue = true;
      return;
    }
  }
  if (full) {
    ExcludeHeldRunners(aDispatcher, candidates);
    StartIdleJobs(aDispatcher, candidates, aNow, aActions);
  }
}

} // namespace paddle::dispatch
