#include <LibDispatch/Internal.h>

#include <algorithm>
#include <string>
#include <utility>

#include <LibDispatch/FencingTokens.h>
#include <LibDispatch/PreferredRacks.h>
#include <LibDispatch/Speculation.h>

namespace paddle::dispatch {

namespace {

/// Largest number of ends in one report of a runner. If a report has as many,
/// there may be more.
constexpr std::size_t kMaxEndsPerReport = 500;
/// Time within which a start order leaves this process, or is given up. One
/// attempt takes 0.9 s.
constexpr Millis kLatestSend{ 1000 };

/// @return whether that is the run with this number of the task
bool
IsRun(const OrphanRun& aOrphan, const TaskName& aTask, std::int64_t aRun)
{
  return aOrphan.mRun == aRun &&
         FormatTaskName(aOrphan.mTask) == FormatTaskName(aTask);
}

/// @return the use of the job's account, or null if it has none
AccountUse*
UseOfJob(Dispatcher& aDispatcher, const Job& aJob)
{
  return aJob.mSpec.mAccount.empty()
           ? nullptr
           : &aDispatcher.mAccountUse[aJob.mSpec.mAccount];
}

/// Removes a task from its runner and from the resources in use there.
void
RemoveFromRunner(Dispatcher& aDispatcher,
                 const TaskRef& aTask,
                 MonotonicTime aNow)
{
  Task& task = TaskOf(aTask);
  Runner& runner = aDispatcher.mRunners[task.mRunner];
  const StepSpec& spec = SpecOf(aTask);
  const Resources amount = ReservedResources(spec);
  runner.mReserved -= amount;
  if (AccountUse* use = UseOfJob(aDispatcher, *aTask.mJob)) {
    use->mReserved -= amount;
    if (spec.mKind == StepKind::LongRunning) {
      use->mLongRunning -= spec.mDemand;
    }
    if (spec.mReservation == Reservation::BestEffort) {
      use->mBestEffortMilliCores -= spec.mDemand.mMilliCores;
    }
  }
  if (spec.mReservation == Reservation::BestEffort) {
    runner.mBestEffortMilliCores -= spec.mDemand.mMilliCores;
    if (std::exchange(task.mOvercommitted, false)) {
      runner.mOvercommittedMilliCores -= spec.mDemand.mMilliCores;
    }
    runner.mBestEffortEndedAt = aNow;
  }
  if (spec.mKind == StepKind::LongRunning) {
    --runner.mLongRunningTasks;
    aDispatcher.mLongRunningRunnerCount -=
      runner.mLongRunningTasks == 0 ? 1 : 0;
    runner.mLongRunningMilliCores -= amount.mMilliCores;
  }
  if (task.mPhase == TaskPhase::Starting) {
    CountUnansweredStart(aDispatcher, runner, -1);
  }
  std::erase(runner.mTasks, aTask);
  NoteRoomLeft(aDispatcher, aTask, aNow);
  aDispatcher.mFreedRunners.push_back(task.mRunner);
  task.mRunner = kNoRunner;
  if (--aTask.mJob->mActiveRuns == 0) {
    aTask.mJob->mIdleSince = aNow;
  }
}

/// Marks a job failed and stops its runs.
void
FailJob(Dispatcher& aDispatcher,
        Job& aJob,
        MonotonicTime aNow,
        Actions& aActions)
{
  ++aDispatcher.mCounters.mJobsFailed;
  EndJob(aDispatcher, aJob, JobPhase::Failed, aNow, aActions);
  aDispatcher.mCommitUrgent = true;
}

/// @param aFailed the failed runs of a task that have been counted
/// @return whether this one is among them
bool
WasCounted(const std::vector<std::int64_t>& aFailed, std::int64_t aRun)
{
  const auto listed =
    std::find_if(aFailed.begin(), aFailed.end(), [](std::int64_t aOther) {
      return aOther != kUnlistedRun;
    });
  if (listed != aFailed.begin() && listed != aFailed.end() && aRun <= *listed) {
    return true;
  }
  return std::find(listed, aFailed.end(), aRun) != aFailed.end();
}

/// Counts a failed run, unless it has been counted before. The job fails if the
/// task may not be tried again.
void
CountFailure(Dispatcher& aDispatcher,
             const TaskRef& aTask,
             std::int64_t aRun,
             MonotonicTime aNow,
             Actions& aActions)
{
  Job& job = *aTask.mJob;
  const StepSpec& spec = SpecOf(aTask);
  if (spec.mKind == StepKind::LongRunning || job.mPhase != JobPhase::Active) {
    return;
  }
  Step& step = StepOf(aTask);
  // The failures of a gang are counted for its first member.
  std::vector<std::int64_t>& failed =
    step.mTasks[spec.mGang ? 0 : aTask.mIndex].mFailedRuns;
  if (WasCounted(failed, aRun)) {
    return;
  }
  failed.push_back(aRun);
  ++aDispatcher.mCounters.mFailed;
  MarkDirty(aDispatcher, job);
  const QueueSpec* queue = FindQueue(aDispatcher, job.mSpec.mQueue);
  if (queue == nullptr) {
    aDispatcher.mAttemptsUnchecked = true;
  } else if (failed.size() >= queue->mMaxAttempts) {
    FailJob(aDispatcher, job, aNow, aActions);
  }
}

/// @return whether a task of an unfinished occurrence has failed as often as
///         its queue allows
bool
HasExhaustedTask(const Job& aJob, std::uint32_t aMaxAttempts)
{
  const auto exhausted = [&](const Task& aTask) {
    return !IsDone(aTask) && aTask.mFailedRuns.size() >= aMaxAttempts;
  };
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      const std::vector<Task>& tasks = occurrence.mSteps[i].mTasks;
      if (aJob.mSpec.mSteps[i].mKind == StepKind::Finite &&
          std::any_of(tasks.begin(), tasks.end(), exhausted)) {
        return true;
      }
    }
  }
  return false;
}

/// Removes an occurrence of a repeated job that has ended, unless tasks of it
/// are on runners. Each occurrence has its own tasks.
void
EraseEndedOccurrence(Job& aJob, std::uint32_t aNumber)
{
  const Occurrence& occurrence = aJob.mOccurrences.at(aNumber);
  if (aJob.mSpec.mOccurrences == 0 ||
      occurrence.mStepsDone < occurrence.mSteps.size()) {
    return;
  }
  const bool idle = std::all_of(
    occurrence.mSteps.begin(), occurrence.mSteps.end(), [](const Step& aStep) {
      return std::all_of(
        aStep.mTasks.begin(), aStep.mTasks.end(), [](const Task& aTask) {
          return aTask.mRunner == kNoRunner;
        });
    });
  if (idle) {
    aJob.mOccurrences.erase(aNumber);
  }
}

/// Advances the occurrence and the job after a task of a finite step is done.
void
AdvanceJob(Dispatcher& aDispatcher, const TaskRef& aTask, MonotonicTime aNow)
{
  Job& job = *aTask.mJob;
  Occurrence& occurrence = job.mOccurrences.at(aTask.mOccurrence);
  Step& step = occurrence.mSteps[aTask.mStep];
  if (step.mDoneTasks < step.mTasks.size()) {
    return;
  }
  ++occurrence.mStepsDone;
  if (occurrence.mStepsDone < occurrence.mSteps.size()) {
    MarkReadySteps(aDispatcher, job, aTask.mOccurrence, aNow);
    return;
  }
  ++job.mOccurrencesDone;
  if (job.mOccurrencesDone == std::max(1U, job.mSpec.mOccurrences)) {
    job.mPhase = JobPhase::Completed;
    ++aDispatcher.mCounters.mJobsCompleted;
  }
  EraseEndedOccurrence(job, aTask.mOccurrence);
  aDispatcher.mCommitUrgent = true;
}

/// Marks a task done. A run that may still go on is stopped, and keeps its
/// resources until it has ended.
/// @param aRun number of the run that is done; those of a gang end together
void
MarkDone(Dispatcher& aDispatcher,
         const TaskRef& aTask,
         std::int64_t aRun,
         MonotonicTime aNow,
         Actions& aActions)
{
  Task& task = TaskOf(aTask);
  if (IsDone(task)) {
    return;
  }
  Step& step = StepOf(aTask);
  ++step.mDoneTasks;
  if (task.mRunner != kNoRunner && task.mRun != aRun) {
    if (task.mPhase != TaskPhase::Stopping) {
      BeginStop(aDispatcher, aTask, StopCause::TaskDone, aNow, aActions);
    }
    task.mStopCause = StopCause::TaskDone;
    return;
  }
  if (task.mRunner != kNoRunner) {
    RemoveFromRunner(aDispatcher, aTask, aNow);
  } else {
    --step.mWaitingTasks;
  }
  task.mPhase = TaskPhase::Done;
}

/// Marks a task of a finite step done, or all tasks of its gang, and advances
/// its job. The job and its occurrence may be removed.
/// @param aRun number of the run that is done
void
CompleteTask(Dispatcher& aDispatcher,
             const TaskRef& aTask,
             std::int64_t aRun,
             MonotonicTime aNow,
             Actions& aActions)
{
  Job& job = *aTask.mJob;
  ++aDispatcher.mCounters.mDone;
  MarkDirty(aDispatcher, job);
  if (SpecOf(aTask).mGang) {
    for (std::uint32_t i = 0; i < StepOf(aTask).mTasks.size(); ++i) {
      MarkDone(aDispatcher,
               { aTask.mJob, aTask.mOccurrence, aTask.mStep, i },
               aRun,
               aNow,
               aActions);
    }
  } else {
    MarkDone(aDispatcher, aTask, aRun, aNow, aActions);
  }
  UpdateWaiting(aDispatcher, job, aTask.mOccurrence, aTask.mStep);
  AdvanceJob(aDispatcher, aTask, aNow);
}

/// Logs an end as done or failed that is not that of the task's latest run, or
/// of a task that is done.
void
LogUnexpectedEnd(const Dispatcher& aDispatcher,
                 std::string_view aEvent,
                 const Runner& aRunner,
                 const EndEntry& aEnd,
                 const TaskRef& aTask)
{
  if (aEnd.mKind != EndKind::Done && aEnd.mKind != EndKind::Failed) {
    return; // Most of the others were ordered here.
  }
  const Task& task = TaskOf(aTask);
  Emit(
    aDispatcher,
    aEvent,
    aTask.mJob,
    "task=" + FormatTaskName(aEnd.mTask) + " run=" + std::to_string(aEnd.mRun) +
      " end=" + (aEnd.mKind == EndKind::Done ? "done" : "failed") +
      " runner=" + aRunner.mSpec.mId +
      " latest_run=" + std::to_string(task.mRun) + " latest_runner=" +
      (task.mRunner == kNoRunner
         ? "none"
         : aDispatcher.mRunners[task.mRunner].mSpec.mId) +
      " phase=" + std::string(NameOf(task.mPhase)) + " stored=" +
      (aTask.mJob->mChangeSequence <= aDispatcher.mStoredThrough ? "1" : "0"));
}

/// Applies one end that a runner reports. What it says holds for the task
/// whichever of its runs has ended, and whatever the task's phase: the task is
/// done, or has failed once more. Only the end of the latest run also tells
/// that the task must run again.
void
ApplyEnd(Dispatcher& aDispatcher,
         RunnerIndex aRunner,
         const EndEntry& aEnd,
         MonotonicTime aNow,
         Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  std::erase_if(runner.mOrphans, [&](const OrphanRun& aOrphan) {
    return IsRun(aOrphan, aEnd.mTask, aEnd.mRun);
  });
  const TaskRef ref = FindTask(aDispatcher, aEnd.mTask);
  if (ref.mJob == nullptr) {
    return;
  }
  Task& task = TaskOf(ref);
  const bool present = task.mRunner == aRunner && task.mRun == aEnd.mRun;
  if (task.mPhase == TaskPhase::Elsewhere) {
    // All runs had ended here, or their leases had, before the task was handed
    // over.
    LogUnexpectedEnd(aDispatcher, "end_of_task_elsewhere", runner, aEnd, ref);
    return;
  }
  if (IsDone(task)) {
    LogUnexpectedEnd(aDispatcher, "end_superfluous", runner, aEnd, ref);
    if (present) {
      EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
    }
    return;
  }
  if (!present && aEnd.mKind == EndKind::Done &&
      SpecOf(ref).mKind == StepKind::Finite) {
    // The first run to finish counts, whatever has become of a later one: once
    // the end is acknowledged, no owner hears of it again.
    LogUnexpectedEnd(aDispatcher, "other_run_done", runner, aEnd, ref);
    if (ref.mJob->mPhase != JobPhase::Active) {
      return; // Its runs are being stopped, and nothing of it is started.
    }
    ref.mJob->mBegan = true;
    UpdateRunnerHealth(
      aDispatcher, runner, ref.mJob->mSpec.mId, RunOutcome::Done, aNow);
    CompleteTask(aDispatcher, ref, aEnd.mRun, aNow, aActions);
    return;
  }
  // The ends of several runs arrive in any order, because they are on different
  // runners.
  const bool latest =
    present || aEnd.mRun > task.mRun ||
    (aEnd.mRun == task.mRun && task.mPhase == TaskPhase::Waiting);
  if (!latest) {
    LogUnexpectedEnd(aDispatcher, "end_of_former_run", runner, aEnd, ref);
    if (aEnd.mKind == EndKind::Failed) {
      CountFailure(aDispatcher, ref, aEnd.mRun, aNow, aActions);
    }
    return;
  }
  if (!present && task.mRunner != kNoRunner) {
    // The end is that of a later run than the one that is known. The earlier
    // one has ended as well, unless copies of the task may run.
    GiveUpRun(aDispatcher, ref, aNow, aActions);
  }
  task.mRun = std::max(task.mRun, aEnd.mRun);
  ref.mJob->mBegan = true;
  const RunOutcome outcome = aEnd.mKind == EndKind::Done ? RunOutcome::Done
                             : aEnd.mKind == EndKind::Failed
                               ? RunOutcome::Failed
                               : RunOutcome::Interrupted;
  // A finite task fails its job after a few attempts; a long-running one goes
  // on, and would close one runner after the other.
  const bool causedByTask =
    outcome == RunOutcome::Failed &&
    task.mEarlyFailures >= aDispatcher.mSettings.mFailuresToQuarantine;
  if (outcome != RunOutcome::Interrupted && !causedByTask) {
    UpdateRunnerHealth(aDispatcher, runner, ref.mJob->mSpec.mId, outcome, aNow);
  }
  EndRun(
    aDispatcher, ref, outcome, aEnd.mRun, aEnd.mCheckpoint, aNow, aActions);
}

/// @return whether this owner may yet learn of a task that it does not know:
///         its occurrence has not begun here, or its job was accepted so late
///         that it has not been read
bool
MayBecomeKnown(const Dispatcher& aDispatcher,
               const TaskName& aTask,
               MonotonicTime aReportedAt)
{
  const auto found = aDispatcher.mJobs.find(aTask.mJob);
  if (found == aDispatcher.mJobs.end()) {
    return aReportedAt >= aDispatcher.mJobsKnownAsOf;
  }
  const Job& job = *found->second;
  return job.mPhase == JobPhase::Active &&
         aTask.mOccurrence >= job.mOccurrencesBegun &&
         aTask.mOccurrence < job.mSpec.mOccurrences &&
         aTask.mStep < job.mSpec.mSteps.size() &&
         aTask.mIndex < job.mSpec.mSteps[aTask.mStep].mTaskCount;
}

/// Begins the occurrences of which a runner reports runs.
void
BeginReportedOccurrences(Dispatcher& aDispatcher,
                         const RunnerReport& aReport,
                         MonotonicTime aNow)
{
  const auto begin = [&](const TaskName& aTask) {
    const auto found = aDispatcher.mJobs.find(aTask.mJob);
    if (found != aDispatcher.mJobs.end() &&
        aTask.mOccurrence >= found->second->mOccurrencesBegun) {
      BeginOccurrencesThrough(
        aDispatcher, *found->second, aTask.mOccurrence, aNow);
    }
  };
  for (const EndEntry& end : aReport.mEnds) {
    begin(end.mTask);
  }
  for (const RunningEntry& entry : aReport.mRunning) {
    begin(entry.mTask);
  }
}

/// Applies an end that a runner reports, and notes which commit stores it.
/// @return the number of that commit, see UnstoredEnd::mCommitSequence, and the
///         job's arrival number
UnstoredEnd
ApplyAndNoteEnd(Dispatcher& aDispatcher,
                RunnerIndex aRunner,
                const EndEntry& aEnd,
                MonotonicTime aNow,
                Actions& aActions)
{
  ApplyEnd(aDispatcher, aRunner, aEnd, aNow, aActions);
  // An end that changes nothing may be superfluous only because of changes
  // that are not stored yet. A later owner would need the end without them.
  const auto job = aDispatcher.mJobs.find(aEnd.mTask.mJob);
  if (job == aDispatcher.mJobs.end()) {
    return { aEnd.mNumber, 0, 0 };
  }
  return { aEnd.mNumber,
           job->second->mChangeSequence,
           job->second->mArrivalNumber };
}

/// Marks a task running whose runner has accepted the start order.
void
MarkStarted(Dispatcher& aDispatcher, const TaskRef& aTask, MonotonicTime aNow)
{
  Task& task = TaskOf(aTask);
  CountUnansweredStart(aDispatcher, aDispatcher.mRunners[task.mRunner], -1);
  task.mPhase = TaskPhase::Running;
  task.mStartUnanswered = false;
  aTask.mJob->mBegan = true;
  NoteStarted(aDispatcher, aTask, aNow);
  if (task.mInterruptedAt) {
    Emit(aDispatcher,
         "task_restarted",
         aTask.mJob,
         "task=" + FormatTaskName(NameOf(aTask)) +
           " run=" + std::to_string(task.mRun) + " runner=" +
           aDispatcher.mRunners[task.mRunner].mSpec.mId + " waited_ms=" +
           std::to_string(
             std::chrono::duration_cast<Millis>(aNow - *task.mInterruptedAt)
               .count()));
    task.mInterruptedAt.reset();
  }
  task.mStartAnsweredAt = aNow;
  task.mProgressChangedAt = aNow;
}

/// Applies one run that a runner reports as running.
/// @param aOrphans where it is added if no task accounts for it
void
ApplyRunning(Dispatcher& aDispatcher,
             RunnerIndex aRunner,
             const RunningEntry& aEntry,
             std::vector<OrphanRun>& aOrphans,
             MonotonicTime aNow,
             Actions& aActions)
{
  const TaskRef ref = FindTask(aDispatcher, aEntry.mTask);
  if (ref.mJob != nullptr) {
    Task& task = TaskOf(ref);
    if (task.mRunner != aRunner || task.mRun != aEntry.mRun) {
      if (aEntry.mRun > task.mRun && task.mRunner != kNoRunner &&
          !IsDone(task)) {
        // As for the end of a later run. A runner has one run of a task.
        if (task.mRunner == aRunner) {
          EndRun(
            aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
        } else {
          GiveUpRun(aDispatcher, ref, aNow, aActions);
        }
      }
      if (AdoptRun(aDispatcher, aRunner, ref, aEntry.mRun, aNow)) {
        MarkSeen(ref);
        task.mReported = true;
        return;
      }
    } else {
      MarkSeen(ref);
      task.mReported = true;
      if (task.mPhase == TaskPhase::Starting) {
        MarkStarted(aDispatcher, ref, aNow);
      }
      if (task.mProgressPercent != aEntry.mProgressPercent) {
        task.mProgressPercent = aEntry.mProgressPercent;
        task.mProgressChangedAt = aNow;
      }
      task.mReportedLoad = aEntry.mReportedLoad;
      if (!aEntry.mCheckpoint.empty()) {
        task.mCheckpoint = aEntry.mCheckpoint;
      }
      return;
    }
  }
  const std::vector<OrphanRun>& known = aDispatcher.mRunners[aRunner].mOrphans;
  for (const OrphanRun& orphan : known) {
    if (IsRun(orphan, aEntry.mTask, aEntry.mRun)) {
      aOrphans.push_back(orphan);
      return;
    }
  }
  aOrphans.push_back({ aEntry.mTask, aEntry.mRun, aEntry.mCheckpoint, {} });
}

/// Throttles an overcommitted task whose run has just begun.
void
OrderFirstPace(Dispatcher& aDispatcher,
               const TaskRef& aTask,
               MonotonicTime aNow,
               Actions& aActions)
{
  const Task& task = TaskOf(aTask);
  if (task.mOvercommitted && task.mPhase == TaskPhase::Running) {
    OrderPace(
      aDispatcher, aTask, kFirstOvercommittedPacePercent, aNow, aActions);
  }
}

/// @return whether a task on a runner on probation started after the quarantine
///         began and has run for so long that the runner can't be faulty
bool
HasLasted(const DispatchSettings& aSettings,
          const Runner& aRunner,
          const TaskRef& aTask,
          MonotonicTime aNow)
{
  const Task& task = TaskOf(aTask);
  if (task.mPhase != TaskPhase::Running || !task.mReported ||
      task.mStartedAt <= aRunner.mQuarantinedAt) {
    return false;
  }
  const MonotonicTime::duration time = aNow - task.mStartAnsweredAt;
  return SpecOf(aTask).mKind == StepKind::LongRunning
           ? time >= aSettings.mLongestProbation
           : task.mPacePercent > 0 && time >= aSettings.mProbationTime;
}

/// Ends a runner's probation if a long-running task that started after the
/// quarantine began works well there, or if another task has lasted there. A
/// long-running task never ends as done and a finite one may run for minutes,
/// while the runner gets no other task.
void
EndProbation(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  if (!aRunner.mOnProbation) {
    return;
  }
  constexpr int kFullProgressPercent =
    100; // Reported by a long-running task that works.
  const auto workingTask = std::find_if(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aTask) {
      const Task& task = TaskOf(aTask);
      return SpecOf(aTask).mKind == StepKind::LongRunning &&
             task.mPhase == TaskPhase::Running &&
             task.mProgressPercent == kFullProgressPercent &&
             task.mStartedAt > aRunner.mQuarantinedAt &&
             aNow - task.mProgressChangedAt >=
               aDispatcher.mSettings.mProbationTime;
    });
  if (workingTask != aRunner.mTasks.end()) {
    UpdateRunnerHealth(aDispatcher,
                       aRunner,
                       workingTask->mJob->mSpec.mId,
                       RunOutcome::Done,
                       aNow);
    aDispatcher.mPlacementDue = true;
    Emit(aDispatcher,
         "runner_trusted",
         workingTask->mJob,
         "runner=" + aRunner.mSpec.mId + " cause=lasting_task_at_work");
    return;
  }
  const auto lastingTask = std::find_if(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aTask) {
      return HasLasted(aDispatcher.mSettings, aRunner, aTask, aNow);
    });
  if (lastingTask == aRunner.mTasks.end()) {
    return;
  }
  // The failures still count until a run succeeds: the next ones lead to a
  // longer quarantine, and other runners are preferred.
  aRunner.mOnProbation = false;
  aDispatcher.mPlacementDue = true;
  Emit(aDispatcher,
       "runner_trusted",
       lastingTask->mJob,
       "runner=" + aRunner.mSpec.mId + " cause=lasting_task");
}

/// Marks the tasks of all steps before that of a run as done: the run was only
/// started after their ends, some of which may have been lost with an earlier
/// owner. If they ran again, they would run beside the steps that follow them.
void
MarkPredecessorsDone(Dispatcher& aDispatcher,
                     const TaskRef& aTask,
                     MonotonicTime aNow)
{
  Job& job = *aTask.mJob;
  if (job.mHomeShard) {
    return; // The home shard keeps the other steps.
  }
  const std::vector<StepSpec>& specs = job.mSpec.mSteps;
  Occurrence& occurrence = job.mOccurrences.at(aTask.mOccurrence);
  // Predecessors have lower numbers, so one pass finds them all.
  std::vector<bool> precedes(specs.size(), false);
  precedes[aTask.mStep] = true;
  bool changed = false;
  for (std::uint32_t i = aTask.mStep + 1; i-- > 0;) {
    if (!precedes[i]) {
      continue;
    }
    for (const std::uint32_t before : specs[i].mPredecessors) {
      precedes[before] = true;
    }
    Step& step = occurrence.mSteps[i];
    if (i == aTask.mStep || step.mDoneTasks == step.mTasks.size()) {
      continue;
    }
    const std::uint32_t doneBefore = step.mDoneTasks;
    for (Task& task : step.mTasks) {
      if (task.mPhase == TaskPhase::Waiting) {
        task.mPhase = TaskPhase::Done;
        --step.mWaitingTasks;
        ++step.mDoneTasks;
      }
    }
    Emit(aDispatcher,
         "step_inferred_done",
         &job,
         "step=" + std::to_string(i) +
           " tasks=" + std::to_string(step.mDoneTasks - doneBefore) +
           " seen=" + FormatTaskName(NameOf(aTask)));
    occurrence.mStepsDone += step.mDoneTasks == step.mTasks.size() ? 1 : 0;
    UpdateWaiting(aDispatcher, job, aTask.mOccurrence, i);
    changed = true;
  }
  if (changed) {
    MarkDirty(aDispatcher, job);
    MarkReadySteps(aDispatcher, job, aTask.mOccurrence, aNow);
  }
}

/// Keeps the runs that are not listed as running any more, but whose ends a
/// later report may bring.
/// @param aOrphans the listed ones, to which they are added
void
KeepUnlistedOrphans(const std::vector<OrphanRun>& aKnown,
                    std::vector<OrphanRun>& aOrphans)
{
  for (const OrphanRun& known : aKnown) {
    const bool listed = std::any_of(
      aOrphans.begin(), aOrphans.end(), [&](const OrphanRun& aOrphan) {
        return IsRun(aOrphan, known.mTask, known.mRun);
      });
    if (!listed) {
      aOrphans.push_back(known);
    }
  }
}

/// Ends the runs of tasks that the runner reports neither as running nor as
/// ended.
void
ReleaseUnlisted(Dispatcher& aDispatcher,
                RunnerIndex aRunner,
                const RunnerReport& aReport,
                MonotonicTime aSentAt,
                MonotonicTime aNow,
                Actions& aActions)
{
  if (aReport.mEnds.size() >= kMaxEndsPerReport) {
    return;
  }
  const Runner& runner = aDispatcher.mRunners[aRunner];
  std::vector<TaskRef> unlisted;
  for (const TaskRef& ref : runner.mTasks) {
    const Task& task = TaskOf(ref);
    // Stop orders may get no answer while renewals do, which extend the leases
    // of other runs for ever.
    const bool startLeaseEnded =
      task.mStartLeaseEndMs > 0 && aReport.mClockMs > task.mStartLeaseEndMs;
    // After a restart of the runner, the lease in the order is of its former
    // process and does not tell until when the new one may carry it out.
    const bool startOrderExpired =
      startLeaseEnded || RejectsStartOrder(runner, task) ||
      aSentAt - task.mStartedAt >
        kLatestSend + aDispatcher.mSettings.mLongestOrderDelay;
    const bool settled =
      (task.mPhase == TaskPhase::Running && task.mStartAnsweredAt < aSentAt) ||
      (task.mPhase == TaskPhase::Stopping &&
       (startOrderExpired ||
        (task.mStopAnsweredAt && *task.mStopAnsweredAt < aSentAt)));
    if (!settled) {
      continue;
    }
    const bool listed =
      std::any_of(aReport.mRunning.begin(),
                  aReport.mRunning.end(),
                  [&](const RunningEntry& aEntry) {
                    return aEntry.mRun == task.mRun &&
                           aEntry.mTask.mIndex == ref.mIndex &&
                           aEntry.mTask.mStep == ref.mStep &&
                           aEntry.mTask.mOccurrence == ref.mOccurrence &&
                           aEntry.mTask.mJob == ref.mJob->mSpec.mId;
                  });
    if (!listed) {
      unlisted.push_back(ref);
    }
  }
  for (const TaskRef& ref : unlisted) {
    Emit(aDispatcher,
         "run_not_listed",
         ref.mJob,
         "task=" + FormatTaskName(NameOf(ref)) +
           " runner=" + aDispatcher.mRunners[aRunner].mSpec.mId);
    EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
  }
}

} // namespace

void
AttributeEnds(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions)
{
  if (aDispatcher.mUnattributedEndCount == 0) {
    return;
  }
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    Runner& runner = aDispatcher.mRunners[i];
    const std::size_t before = runner.mUnattributedEnds.size();
    std::erase_if(
      runner.mUnattributedEnds, [&](const UnattributedEnd& aUnattributed) {
        const EndEntry& end = aUnattributed.mEnd;
        if (MayBecomeKnown(aDispatcher, end.mTask, aUnattributed.mReportedAt)) {
          return false;
        }
        const auto unstored =
          std::find_if(runner.mUnstoredEnds.begin(),
                       runner.mUnstoredEnds.end(),
                       [&](const UnstoredEnd& aUnstored) {
                         return aUnstored.mNumber == end.mNumber;
                       });
        *unstored = ApplyAndNoteEnd(aDispatcher, i, end, aNow, aActions);
        return true;
      });
    const std::size_t after = runner.mUnattributedEnds.size();
    aDispatcher.mUnattributedEndCount -= before - after;
    if (after < before) {
      AcknowledgeStored(aDispatcher, runner);
    }
  }
}

void
FailExhaustedJobs(Dispatcher& aDispatcher,
                  MonotonicTime aNow,
                  Actions& aActions)
{
  std::vector<Job*> exhausted;
  for (const auto& [id, job] : aDispatcher.mJobs) {
    const QueueSpec* queue = FindQueue(aDispatcher, job->mSpec.mQueue);
    if (job->mPhase == JobPhase::Active && queue != nullptr &&
        HasExhaustedTask(*job, queue->mMaxAttempts)) {
      exhausted.push_back(job.get());
    }
  }
  for (Job* job : exhausted) {
    Emit(aDispatcher, "attempts_exhausted", job, {});
    FailJob(aDispatcher, *job, aNow, aActions);
  }
}

Resources
ReservedResources(const StepSpec& aSpec)
{
  Resources amount = aSpec.mDemand;
  if (aSpec.mReservation == Reservation::BestEffort) {
    amount.mMilliCores = 0;
  }
  return amount;
}

void
CountUnansweredStart(Dispatcher& aDispatcher, Runner& aRunner, int aChange)
{
  aRunner.mUnansweredStarts += static_cast<std::uint32_t>(aChange);
  aDispatcher.mUnansweredStarts += static_cast<std::uint32_t>(aChange);
}

bool
AdoptRun(Dispatcher& aDispatcher,
         RunnerIndex aRunner,
         const TaskRef& aTask,
         std::int64_t aRun,
         MonotonicTime aNow)
{
  Task& task = TaskOf(aTask);
  Job& job = *aTask.mJob;
  if (job.mPhase != JobPhase::Active || job.mHeld ||
      task.mPhase != TaskPhase::Waiting || aRun < task.mRun) {
    return false;
  }
  Step& step = StepOf(aTask);
  task.mPhase = TaskPhase::Running;
  task.mRun = aRun;
  task.mStartedAt = aNow;
  task.mStartAnsweredAt = aNow;
  task.mStartLeaseEndMs = 0;
  task.mProgressChangedAt = aNow;
  task.mPacePercent = 100;
  task.mPaceConfirmed = false;
  --step.mWaitingTasks;
  step.mReady = true;
  job.mBegan = true;
  AssignToRunner(aDispatcher, aRunner, aTask);
  UpdateWaiting(aDispatcher, job, aTask.mOccurrence, aTask.mStep);
  MarkPredecessorsDone(aDispatcher, aTask, aNow);
  return true;
}

void
AssignToRunner(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               const TaskRef& aTask)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  const StepSpec& spec = SpecOf(aTask);
  const Resources amount = ReservedResources(spec);
  runner.mReserved += amount;
  if (AccountUse* use = UseOfJob(aDispatcher, *aTask.mJob)) {
    use->mReserved += amount;
    if (spec.mKind == StepKind::LongRunning) {
      use->mLongRunning += spec.mDemand;
    }
    if (spec.mReservation == Reservation::BestEffort) {
      use->mBestEffortMilliCores += spec.mDemand.mMilliCores;
    }
  }
  if (spec.mReservation == Reservation::BestEffort) {
    runner.mBestEffortMilliCores += spec.mDemand.mMilliCores;
  }
  if (spec.mKind == StepKind::LongRunning) {
    aDispatcher.mLongRunningRunnerCount +=
      runner.mLongRunningTasks == 0 ? 1 : 0;
    ++runner.mLongRunningTasks;
    runner.mLongRunningMilliCores += amount.mMilliCores;
  }
  runner.mTasks.push_back(aTask);
  TaskOf(aTask).mRunner = aRunner;
  NoteAssigned(aDispatcher, aTask);
  ++aTask.mJob->mActiveRuns;
}

void
EndRun(Dispatcher& aDispatcher,
       const TaskRef& aTask,
       RunOutcome aOutcome,
       std::int64_t aRun,
       std::string_view aCheckpoint,
       MonotonicTime aNow,
       Actions& aActions)
{
  Task& task = TaskOf(aTask);
  Job& job = *aTask.mJob;
  const StepSpec& spec = SpecOf(aTask);
  Step& step = StepOf(aTask);
  const RunnerIndex runner = task.mRunner;
  const bool done = IsDone(task);
  if (runner != kNoRunner) {
    RemoveFromRunner(aDispatcher, aTask, aNow);
    if (task.mPhase != TaskPhase::Waiting && !done) {
      ++step.mWaitingTasks;
    }
  }
  task.mPhase = done ? TaskPhase::Done : TaskPhase::Waiting;
  task.mReported = false;
  task.mStopCause = StopCause::None;
  task.mStopAnsweredAt.reset();
  task.mOverTargetSince.reset();
  task.mProgressPercent = -1;
  const bool newCheckpoint =
    !aCheckpoint.empty() && task.mCheckpoint != aCheckpoint;
  if (newCheckpoint) {
    task.mCheckpoint = aCheckpoint;
  }
  if (job.mPhase != JobPhase::Active) {
    EraseIfFinished(aDispatcher, job);
    return;
  }
  if (done) {
    EraseEndedOccurrence(job, aTask.mOccurrence);
    return;
  }
  if (newCheckpoint) {
    MarkDirty(aDispatcher, job);
  }
  const bool finite = spec.mKind == StepKind::Finite;
  if (aOutcome == RunOutcome::Done && finite) {
    NoteDuration(aDispatcher, aTask, runner, aNow);
    CompleteTask(aDispatcher, aTask, aRun, aNow, aActions);
    return;
  }
  if (aOutcome == RunOutcome::Failed && finite) {
    task.mFailedOn = runner;
    CountFailure(aDispatcher, aTask, aRun, aNow, aActions);
    if (job.mPhase != JobPhase::Active) {
      return;
    }
  } else {
    ++aDispatcher.mCounters.mStopped;
    // A start that failed does not restart the count.
    if (!finite && !task.mInterruptedAt) {
      task.mInterruptedAt = aNow;
    }
    task.mFailedOn = aOutcome == RunOutcome::Failed ? runner : kNoRunner;
    // Faulty runners fail tasks within a second.
    const bool early =
      aOutcome == RunOutcome::Failed &&
      aNow - task.mStartAnsweredAt < aDispatcher.mSettings.mProbationTime;
    task.mEarlyFailures = early ? task.mEarlyFailures + 1 : 0;
  }
  UpdateWaiting(aDispatcher, job, aTask.mOccurrence, aTask.mStep);
}

void
BeginStop(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          StopCause aCause,
          MonotonicTime aNow,
          Actions& aActions)
{
  Task& task = TaskOf(aTask);
  if (task.mPhase == TaskPhase::Starting) {
    CountUnansweredStart(aDispatcher, aDispatcher.mRunners[task.mRunner], -1);
  }
  task.mPhase = TaskPhase::Stopping;
  task.mStopCause = aCause;
  task.mStopSentAt = aNow;
  task.mStopAnsweredAt.reset();
  aActions.push_back(StopTask{ task.mRunner, NameOf(aTask), task.mRun });
  Emit(aDispatcher,
       "task_stop",
       aTask.mJob,
       "task=" + FormatTaskName(NameOf(aTask)) +
         " run=" + std::to_string(task.mRun) +
         " runner=" + aDispatcher.mRunners[task.mRunner].mSpec.mId + " cause=" +
         (aCause == StopCause::StartUnanswered ? "no_answer"
          : aCause == StopCause::Cancelled     ? "cancelled"
          : aCause == StopCause::TaskDone      ? "task_done"
                                               : "moved"));
}

void
EndAllRuns(Dispatcher& aDispatcher,
           Runner& aRunner,
           MonotonicTime aNow,
           Actions& aActions)
{
  const std::vector<TaskRef> tasks = aRunner.mTasks;
  for (const TaskRef& ref : tasks) {
    ++aDispatcher.mCounters.mLost;
    Emit(aDispatcher,
         "run_lost",
         ref.mJob,
         "task=" + FormatTaskName(NameOf(ref)) +
           " runner=" + aRunner.mSpec.mId);
    EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
  }
  aRunner.mOrphans.clear();
}

void
HandleReport(Dispatcher& aDispatcher,
             RunnerIndex aRunner,
             const RunnerReport& aReport,
             MonotonicTime aSentAt,
             MonotonicTime aNow,
             Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  if (aReport.mIncarnation < runner.mSpec.mIncarnation) {
    // A late answer of a former process, or the host's clock was set back
    // before the restart. Renewals to such a process must extend no lease.
    HandleNoReport(aDispatcher, aRunner, aNow);
    return;
  }
  if (aReport.mIncarnation > runner.mSpec.mIncarnation) {
    ResetRunner(aDispatcher, aRunner, aReport.mIncarnation, aNow, aActions);
  }
  if (runner.mPhase != RunnerPhase::Live) {
    runner.mPhase = RunnerPhase::Live;
    runner.mInherited = false;
    aDispatcher.mPlacementDue = true;
  }
  if (aReport.mClockMs < runner.mClockMs) {
    // This answer is older than one that arrived first on another connection.
    return;
  }
  runner.mSilent = false;
  runner.mEndsAwaited = false;
  runner.mRecordNotAdopted = false;
  runner.mClockMs = aReport.mClockMs;
  runner.mClockReadAt = aNow;
  runner.mClockRequestedAt = aSentAt;
  if (runner.mHighestLeaseMs == 0 &&
      (!aReport.mRunning.empty() || !runner.mTasks.empty())) {
    // An earlier owner, or an order to the runner's former process, has granted
    // the leases of these runs, so they may last as long as any lease.
    runner.mHighestLeaseMs =
      aReport.mClockMs + LongestEarlierLease(aDispatcher, runner, aNow).count();
  }
  NoteTokenSeen(aDispatcher, aRunner, aReport, aNow);
  UpdateLeaseExpiry(aDispatcher, runner);

  BeginReportedOccurrences(aDispatcher, aReport, aNow);
  for (const EndEntry& end : aReport.mEnds) {
    if (end.mNumber <= runner.mHighestAppliedEnd) {
      continue;
    }
    runner.mHighestAppliedEnd = end.mNumber;
    if (MayBecomeKnown(aDispatcher, end.mTask, aNow)) {
      Emit(aDispatcher,
           "end_unattributed",
           nullptr,
           "task=" + FormatTaskName(end.mTask) + " run=" +
             std::to_string(end.mRun) + " runner=" + runner.mSpec.mId);
      runner.mUnattributedEnds.push_back({ end, aNow });
      ++aDispatcher.mUnattributedEndCount;
      runner.mUnstoredEnds.push_back({ end.mNumber, kNoCommit, 0 });
      continue;
    }
    runner.mUnstoredEnds.push_back(
      ApplyAndNoteEnd(aDispatcher, aRunner, end, aNow, aActions));
  }
  AcknowledgeStored(aDispatcher, runner);

  std::vector<OrphanRun> orphans;
  for (const RunningEntry& entry : aReport.mRunning) {
    const bool starting = IsStarting(aDispatcher, entry.mTask, entry.mRun);
    ApplyRunning(aDispatcher, aRunner, entry, orphans, aNow, aActions);
    if (starting) {
      // The answer to the start order may be late, or lost.
      OrderFirstPace(
        aDispatcher, FindTask(aDispatcher, entry.mTask), aNow, aActions);
    }
  }
  EndProbation(aDispatcher, runner, aNow);
  if (aReport.mEnds.size() >= kMaxEndsPerReport) {
    KeepUnlistedOrphans(runner.mOrphans, orphans);
  }
  runner.mOrphans = std::move(orphans);
  for (OrphanRun& orphan : runner.mOrphans) {
    if (aNow - orphan.mStopSentAt >= aDispatcher.mSettings.mStopRetryInterval) {
      orphan.mStopSentAt = aNow;
      aActions.push_back(StopTask{ aRunner, orphan.mTask, orphan.mRun });
    }
  }
  ReleaseUnlisted(aDispatcher, aRunner, aReport, aSentAt, aNow, aActions);
  AdjustPace(aDispatcher, aRunner, aNow, aActions);
}

bool
IsStarting(Dispatcher& aDispatcher, const TaskName& aTask, std::int64_t aRun)
{
  const TaskRef ref = FindTask(aDispatcher, aTask);
  return ref.mJob != nullptr && TaskOf(ref).mRun == aRun &&
         TaskOf(ref).mPhase == TaskPhase::Starting;
}

void
HandleStartResult(Dispatcher& aDispatcher,
                  RunnerIndex aRunner,
                  const TaskName& aTask,
                  std::int64_t aRun,
                  StartResult aResult,
                  Millis aTime,
                  MonotonicTime aNow,
                  Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  if (aResult != StartResult::Withdrawn) {
    CountStartContact(aDispatcher, runner, aResult, aNow);
  }
  if (aResult == StartResult::Started || aResult == StartResult::Unknown) {
    ObserveAnswer(aDispatcher.mOrderLimit, aTime);
  }
  const TaskRef ref = FindTask(aDispatcher, aTask);
  if (ref.mJob == nullptr) {
    return;
  }
  Task& task = TaskOf(ref);
  if (task.mRunner != aRunner || task.mRun != aRun) {
    return;
  }
  task.mStartUnanswered =
    aResult == StartResult::Unknown || aResult == StartResult::NotSent;
  const bool stopping = task.mPhase == TaskPhase::Stopping;
  switch (aResult) {
    case StartResult::Started:
      if (task.mPhase == TaskPhase::Starting) {
        MarkStarted(aDispatcher, ref, aNow);
        OrderFirstPace(aDispatcher, ref, aNow, aActions);
      }
      return;
    case StartResult::Unknown:
      ++aDispatcher.mCounters.mUnanswered;
      if (task.mPhase == TaskPhase::Starting) {
        BeginStop(aDispatcher, ref, StopCause::StartUnanswered, aNow, aActions);
      }
      return;
    case StartResult::Withdrawn:
      EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
      return;
    case StartResult::Unhealthy:
      UpdateRunnerHealth(
        aDispatcher, runner, ref.mJob->mSpec.mId, RunOutcome::Failed, aNow);
      runner.mAvoidUntil = std::max(
        runner.mAvoidUntil, aNow + aDispatcher.mSettings.mUnhealthyBackOff);
      break;
    case StartResult::Refused:
    case StartResult::NotSent:
      runner.mAvoidUntil = std::max(
        runner.mAvoidUntil, aNow + aDispatcher.mSettings.mRefusalBackOff);
      break;
  }
  ++aDispatcher.mCounters.mRejected;
  if (!stopping || ref.mJob->mPhase != JobPhase::Active ||
      task.mPhase == TaskPhase::Stopping) {
    EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
  }
}

void
HandleStopAnswered(Dispatcher& aDispatcher,
                   RunnerIndex aRunner,
                   const TaskName& aTask,
                   std::int64_t aRun,
                   MonotonicTime aNow)
{
  const TaskRef ref = FindTask(aDispatcher, aTask);
  if (ref.mJob == nullptr) {
    return;
  }
  Task& task = TaskOf(ref);
  if (task.mRunner == aRunner && task.mRun == aRun &&
      task.mPhase == TaskPhase::Stopping && !task.mStopAnsweredAt) {
    task.mStopAnsweredAt = aNow;
  }
}

void
HandlePaceUnconfirmed(Dispatcher& aDispatcher,
                      const TaskName& aTask,
                      std::int64_t aRun)
{
  const TaskRef ref = FindTask(aDispatcher, aTask);
  if (ref.mJob != nullptr && TaskOf(ref).mRun == aRun) {
    TaskOf(ref).mPaceConfirmed = false;
  }
}

} // namespace paddle::dispatch
