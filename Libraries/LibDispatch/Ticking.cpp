#include <LibDispatch/Internal.h>

#include <algorithm>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/PreferredRacks.h>
#include <LibDispatch/Speculation.h>

namespace paddle::dispatch {

namespace {

/// Interval of the log events that say why steps wait.
constexpr Seconds kExplainInterval{ 2 };
/// Largest number of awaited runners that are logged one by one at a time.
constexpr std::size_t kMaxExplainedRunners = 20;
/// Longest interval between two placement passes over all runners.
constexpr Millis kPlaceInterval{ 150 };

/// @return whether a silent runner whose leases have ended may hold the ends of
///         tasks that were done, so that starting these again would run them
///         twice. A run that goes on until its lease ends shows as lapsed; if
///         all runs may have ended before, only the runner's report tells.
bool
MayHoldUnheardEnds(const Dispatcher& aDispatcher,
                   const Runner& aRunner,
                   MonotonicTime aNow)
{
  // NOTE: The record of an earlier owner holds all runs of a runner that has
  // not answered this one; they are started elsewhere after one lease.
  const bool heard = aRunner.mClockMs > 0;
  if (aRunner.mPhase != RunnerPhase::Live || !heard ||
      !WasRecentlyListed(aRunner, aNow) ||
      aNow >=
        aRunner.mLeasesExpireAt + aDispatcher.mSettings.mUnheardEndsWait) {
    return false;
  }
  bool mayBeDone = false;
  for (const TaskRef& ref : aRunner.mTasks) {
    if (SpecOf(ref).mKind == StepKind::LongRunning) {
      if (TaskOf(ref).mPhase == TaskPhase::Running) {
        return false;
      }
    } else if (ref.mJob->mPhase == JobPhase::Active) {
      mayBeDone = true;
    }
  }
  return mayBeDone;
}

/// Ends the long-running runs of a runner whose leases have ended. They are
/// never done, so that nothing speaks against starting their tasks elsewhere.
void
EndLongRunningRuns(Dispatcher& aDispatcher,
                   const Runner& aRunner,
                   MonotonicTime aNow,
                   Actions& aActions)
{
  const std::vector<TaskRef> tasks = aRunner.mTasks;
  for (const TaskRef& ref : tasks) {
    if (SpecOf(ref).mKind == StepKind::LongRunning) {
      ++aDispatcher.mCounters.mLost;
      EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
    }
  }
}

/// Ends the runs of runners that have been silent until all their leases have
/// ended.
void
ExpireSilentRunners(Dispatcher& aDispatcher,
                    MonotonicTime aNow,
                    Actions& aActions)
{
  // Another owner that has claimed the shard since the last stored renewal may
  // have extended the leases that had not ended by then.
  const MonotonicTime uncontested = std::min(aNow, aDispatcher.mRenewedAt);
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    Runner& runner = aDispatcher.mRunners[i];
    const bool silent = (runner.mPhase == RunnerPhase::Live &&
                         (!runner.mTasks.empty() || !runner.mOrphans.empty()) &&
                         runner.mLeasesExpireAt <= uncontested) ||
                        (runner.mPhase == RunnerPhase::AwaitingReport &&
                         uncontested > runner.mLeasesExpireAt &&
                         uncontested > EarlierLeasesEnd(aDispatcher, i));
    if (!silent) {
      continue;
    }
    if (MayHoldUnheardEnds(aDispatcher, runner, aNow)) {
      if (!runner.mEndsAwaited) {
        runner.mEndsAwaited = true;
        Emit(aDispatcher,
             "runner_ends_awaited",
             nullptr,
             "runner=" + runner.mSpec.mId +
               " tasks=" + std::to_string(runner.mTasks.size()));
      }
      EndLongRunningRuns(aDispatcher, runner, aNow, aActions);
      continue;
    }
    runner.mEndsAwaited = false;
    runner.mPhase = RunnerPhase::LeaseExpired;
    Emit(aDispatcher,
         "runner_lapsed",
         nullptr,
         "runner=" + runner.mSpec.mId +
           " tasks=" + std::to_string(runner.mTasks.size()));
    EndAllRuns(aDispatcher, runner, aNow, aActions);
  }
}

/// Sends stop orders again that have had no effect yet.
void
RepeatStops(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions)
{
  for (const Runner& runner : aDispatcher.mRunners) {
    for (const TaskRef& ref : runner.mTasks) {
      Task& task = TaskOf(ref);
      if (task.mPhase == TaskPhase::Stopping &&
          aNow - task.mStopSentAt >= aDispatcher.mSettings.mStopRetryInterval) {
        task.mStopSentAt = aNow;
        aActions.push_back(StopTask{ task.mRunner, NameOf(ref), task.mRun });
      }
    }
  }
}

/// Stops the members of a gang whose other members have ended for a while. The
/// gang starts again as a whole, so it would wait for them without bound.
void
StopIncompleteGangs(Dispatcher& aDispatcher,
                    MonotonicTime aNow,
                    Actions& aActions)
{
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    if (!entry.mJob->mSpec.mSteps[entry.mStep].mGang) {
      continue;
    }
    Step& step = StepOf(entry);
    const bool unseen = std::any_of(
      step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
        return MayRunUnseen(aDispatcher, aTask);
      });
    if (unseen || step.mWaitingTasks == step.mTasks.size()) {
      step.mIncompleteSince.reset();
      continue;
    }
    const bool startedSince = std::any_of(
      step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
        return aTask.mPhase != TaskPhase::Waiting && step.mIncompleteSince &&
               aTask.mStartedAt > *step.mIncompleteSince;
      });
    if (!step.mIncompleteSince || startedSince) {
      step.mIncompleteSince = aNow;
    }
    if (aNow - *step.mIncompleteSince <
        aDispatcher.mSettings.mIncompleteGangTime) {
      continue;
    }
    for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
      if (step.mTasks[i].mPhase == TaskPhase::Running) {
        BeginStop(aDispatcher,
                  { entry.mJob, entry.mOccurrence, entry.mStep, i },
                  StopCause::Moved,
                  aNow,
                  aActions);
      }
    }
  }
}

/// Logs how much of the capacity of the shard is in use.
void
EmitCapacity(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  const ShardCapacity capacity = AvailableCapacity(aDispatcher, aNow);
  std::int64_t bestEffort = 0;
  std::int64_t bestEffortUsed = 0;
  std::size_t tasks = 0;
  for (const Runner& runner : aDispatcher.mRunners) {
    bestEffort += runner.mBestEffortMilliCores;
    tasks += runner.mTasks.size();
    for (const TaskRef& ref : runner.mTasks) {
      bestEffortUsed += IsBestEffort(ref) ? TaskOf(ref).mReportedLoad : 0;
    }
  }
  std::size_t waiting = 0;
  MonotonicTime idleSince = aNow;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    waiting += StepOf(entry).mWaitingTasks;
    if (entry.mJob->mActiveRuns == 0) {
      idleSince = std::min(idleSince, entry.mJob->mIdleSince);
    }
  }
  const std::string surplus =
    aDispatcher.mAccounts.empty()
      ? ""
      : " surplus_jobs=" + std::to_string(aDispatcher.mCounters.mSurplusJobs) +
          " surplus_starts=" +
          std::to_string(aDispatcher.mCounters.mSurplusStarts);
  Emit(aDispatcher,
       "room",
       nullptr,
       "total=" + std::to_string(capacity.mTotalMilliCores) +
         " free=" + std::to_string(capacity.mFreeMilliCores) +
         " unreserved=" + std::to_string(bestEffort) +
         " unreserved_used=" + std::to_string(bestEffortUsed) +
         " memory_mb=" + std::to_string(capacity.mTotalMemoryMb) +
         " memory_reserved_mb=" + std::to_string(capacity.mReservedMemoryMb) +
         " tasks=" + std::to_string(tasks) +
         " waiting=" + std::to_string(waiting) +
         " jobs=" + std::to_string(aDispatcher.mJobs.size()) +
         " idle_late=" + std::to_string(CountIdleLateJobs(aDispatcher, aNow)) +
         " longest_idle_ms=" +
         std::to_string(
           std::chrono::duration_cast<Millis>(aNow - idleSince).count()) +
         " overcommitted=" +
         std::to_string(aDispatcher.mCounters.mOvercommittedStarts) +
         " overdue=" + std::to_string(aDispatcher.mCounters.mOverdueStarts) +
         surplus);
}

/// Logs for which runners the dispatcher waits before it starts tasks elsewhere
/// that may still run there: for how long at most, and by which rule.
void
ExplainAwaitedRunners(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::size_t awaited = 0;
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    const Runner& runner = aDispatcher.mRunners[i];
    std::string_view rule;
    MonotonicTime until = runner.mLeasesExpireAt;
    if (runner.mPhase == RunnerPhase::AwaitingReport && runner.mInherited) {
      const MonotonicTime end = EarlierLeasesEnd(aDispatcher, i);
      rule = end == runner.mExtendedLeasesExpireAt ? "former_process"
                                                   : "earlier_owner";
      until = std::max(until, end);
    } else if (runner.mPhase == RunnerPhase::Live && runner.mSilent &&
               !runner.mTasks.empty()) {
      rule = runner.mEndsAwaited    ? "unheard_ends"
             : runner.mClockMs == 0 ? "record"
                                    : "own_lease";
      if (runner.mEndsAwaited) {
        until += aDispatcher.mSettings.mUnheardEndsWait;
      }
    } else {
      continue;
    }
    if (++awaited > kMaxExplainedRunners) {
      continue;
    }
    Emit(aDispatcher,
         "runner_awaited",
         nullptr,
         "runner=" + runner.mSpec.mId + " rule=" + std::string(rule) +
           " remaining_ms=" +
           std::to_string(
             std::chrono::duration_cast<Millis>(until - aNow).count()) +
           " tasks=" +
           (runner.mPhase == RunnerPhase::AwaitingReport
              ? "any"
              : std::to_string(runner.mTasks.size())) +
           " listed=" + (runner.mListed ? "1" : "0"));
  }
  if (awaited > 0) {
    Emit(aDispatcher,
         "runners_awaited",
         nullptr,
         "runners=" + std::to_string(awaited) +
           " recovered=" + (aDispatcher.mRecovered ? "1" : "0"));
  }
}

/// Completes the recovery after a takeover as soon as every inherited runner
/// has answered, or the leases of earlier owners have ended.
void
CheckRecovered(Dispatcher& aDispatcher)
{
  if (aDispatcher.mRecovered) {
    return;
  }
  const auto awaitingReport =
    std::count_if(aDispatcher.mRunners.begin(),
                  aDispatcher.mRunners.end(),
                  [](const Runner& aRunner) {
                    return aRunner.mPhase == RunnerPhase::AwaitingReport &&
                           aRunner.mInherited;
                  });
  if (awaitingReport > 0) {
    return;
  }
  aDispatcher.mRecovered = true;
  aDispatcher.mPlacementDue = true;
  for (const auto& [id, job] : aDispatcher.mJobs) {
    job->mInherited = false;
  }
  // Runners whose wait has ended have left the phase AwaitingReport by now.
  const auto unheard =
    std::count_if(aDispatcher.mRunners.begin(),
                  aDispatcher.mRunners.end(),
                  [](const Runner& aRunner) { return aRunner.mInherited; });
  Emit(aDispatcher,
       "shard_recovered",
       nullptr,
       "jobs=" + std::to_string(aDispatcher.mJobs.size()) +
         " cause=" + (unheard > 0 ? "leases_ended" : "all_answered") +
         " unheard=" + std::to_string(unheard));
}

} // namespace

void
HandleTick(Dispatcher& aDispatcher,
           MonotonicTime aNow,
           std::int64_t aUnixMs,
           Actions& aActions)
{
  ExpireSilentRunners(aDispatcher, aNow, aActions);
  CopyTasksOfSilentRunners(aDispatcher, aNow, aActions);
  RepeatStops(aDispatcher, aNow, aActions);
  CheckRecovered(aDispatcher);
  for (const auto& [id, job] : aDispatcher.mJobs) {
    if (job->mSpec.mOccurrences > job->mOccurrencesBegun) {
      BeginOccurrences(aDispatcher, *job, aUnixMs, aNow);
    }
  }
  if (aNow - aDispatcher.mPlacedAt >= kPlaceInterval) {
    // Runners become available again when their back-off ends, which no event
    // shows.
    aDispatcher.mPlacedAt = aNow;
    aDispatcher.mPlacementDue = true;
    MoveFromLeavingRunners(aDispatcher, aNow, aActions);
    StopIncompleteGangs(aDispatcher, aNow, aActions);
  }
  PlaceWaiting(aDispatcher, aNow, aActions);
  LogAccountWaits(aDispatcher, aNow);
  if (aNow - aDispatcher.mExplainedAt >= kExplainInterval) {
    aDispatcher.mExplainedAt = aNow;
    ExplainWaiting(aDispatcher, aNow);
    ExplainAwaitedRunners(aDispatcher, aNow);
    EmitCapacity(aDispatcher, aNow);
    EmitPlaceWaits(aDispatcher);
  }
}

} // namespace paddle::dispatch
