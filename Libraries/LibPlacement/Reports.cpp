#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace {

using namespace placement;

/// @return whether this is the job's current attempt, on its current worker
bool
IsCurrent(const Job& aJob, WorkerIndex aWorker, std::uint32_t aAttempt)
{
  return aJob.mWorker == aWorker && aJob.mRow.mAttempt == aAttempt;
}

/// Adds a slot for a reported task that has none. A task of the previous owner
/// that may go on becomes its job's current attempt; any other one is stopped.
void
AdoptTask(Shard& aShard,
          WorkerIndex aWorker,
          const TaskReport& aTask,
          MonotonicTime aNow,
          Actions& aActions)
{
  Job* job = FindJob(aShard, aTask.mJob);
  const bool adopted = job && job->mPhase == JobPhase::Reconciling &&
                       aTask.mAttempt >= job->mRow.mAttempt;
  TaskSlot slot;
  slot.mJob = aTask.mJob;
  slot.mAttempt = aTask.mAttempt;
  slot.mReserved = aTask.mReserved;
  slot.mDeclared = job ? job->mRow.mSpec.mDeclared : aTask.mReserved;
  slot.mTeam = job ? job->mTeam : nullptr;
  slot.mClass = job ? job->mRow.mSpec.mClass : TaskClass::Batch;
  slot.mToken = aShard.mWorkers[aWorker].mToken;
  TaskSlot& added = AddSlot(aShard, aWorker, std::move(slot), aNow);
  if (adopted) {
    job->mPhase = JobPhase::Running;
    job->mWorker = aWorker;
    job->mRow.mAttempt = aTask.mAttempt;
    job->mStartedAt = aNow;
  }
  if (!adopted || job->mRow.mCancelRequested) {
    StopSlot(aWorker, added, aNow, aActions);
  }
}

/// Updates the team's usage model, and raises the task's reservation to its
/// reported usage as far as the worker has free resources.
void
GrowReservation(Shard& aShard, Worker& aWorker, TaskSlot& aSlot)
{
  const PlacementPolicy& policy = *aShard.mPolicy;
  if (!policy.mAdjustsReservations || !aSlot.mTeam) {
    return;
  }
  policy.mRecordUsage(*aSlot.mTeam, aSlot.mClass, aSlot.mDeclared, aSlot.mUsed);
  const ResourceVector wanted = ElementwiseMax(aSlot.mReserved, aSlot.mUsed);
  const ResourceVector more =
    ElementwiseMin(wanted - aSlot.mReserved, ElementwiseMax(aWorker.mFree, {}));
  aSlot.mReserved += more;
  aSlot.mTeam->mReserved += more;
  aWorker.mFree -= more;
}

/// Continues the termination of a task that still runs: orders the stop after
/// the checkpoint or its time-out, and repeats a stop that had no effect.
void
ContinueTermination(Shard& aShard,
                    WorkerIndex aWorker,
                    TaskSlot& aSlot,
                    MonotonicTime aNow,
                    Actions& aActions)
{
  using Termination = TaskSlot::Termination;
  const PlacementSettings& settings = aShard.mSettings;
  if (aSlot.mTermination == Termination::Checkpointing) {
    const bool checkpointed =
      aSlot.mCheckpoint != aSlot.mCheckpointWhenRequested;
    if (checkpointed ||
        aNow - aSlot.mTerminationSince >= settings.mCheckpointTimeout) {
      StopSlot(aWorker, aSlot, aNow, aActions);
    }
  } else if (aSlot.mTermination == Termination::Stopping &&
             aNow - aSlot.mLastCommandAt >= settings.mCommandRetryInterval) {
    StopSlot(aWorker, aSlot, aNow, aActions);
  }
}

/// Handles the report of one running task.
void
HandleTaskReport(Shard& aShard,
                 WorkerIndex aWorker,
                 const TaskReport& aTask,
                 MonotonicTime aNow,
                 Actions& aActions)
{
  Worker& worker = aShard.mWorkers[aWorker];
  if (!FindSlot(worker, aTask.mJob, aTask.mAttempt)) {
    AdoptTask(aShard, aWorker, aTask, aNow, aActions);
  }
  TaskSlot& slot = *FindSlot(worker, aTask.mJob, aTask.mAttempt);
  slot.mLastListedInReport = worker.mReportCount;
  slot.mReported = true;
  slot.mUsed = aTask.mUsed;
  slot.mCheckpoint = aTask.mCheckpoint;
  slot.mSinceCheckpoint = aTask.mSinceCheckpoint;
  Job* job = FindJob(aShard, aTask.mJob);
  if (job && job->mPhase == JobPhase::Starting &&
      IsCurrent(*job, aWorker, aTask.mAttempt)) {
    job->mPhase = JobPhase::Running;
  }
  GrowReservation(aShard, worker, slot);
  ContinueTermination(aShard, aWorker, slot, aNow, aActions);
}

/// Handles the failure of a job's current attempt: retries the job after a
/// back-off, or holds it if it has failed on enough different workers.
void
HoldOrRetry(Shard& aShard,
            WorkerIndex aWorker,
            Job& aJob,
            const TaskOutcome& aOutcome,
            MonotonicTime aNow,
            Actions& aActions)
{
  constexpr std::uint32_t kMaxRetryDelayS = 60;
  ++aJob.mFailures;
  aJob.mNotBefore =
    aNow + Seconds(std::min(kMaxRetryDelayS, aJob.mFailures * aJob.mFailures));
  ++aShard.mCounters.mFailed;
  auto& failedOn = aJob.mFailedOn;
  if (std::find(failedOn.begin(), failedOn.end(), aWorker) == failedOn.end()) {
    failedOn.push_back(aWorker);
  }
  RecordWorkerFailure(aShard, aWorker, aOutcome.mJob, aNow);
  // A service is never held; it is retried with a growing back-off.
  const bool held = failedOn.size() >= aShard.mSettings.mFailuresToHold &&
                    aJob.mRow.mSpec.mClass != TaskClass::Service;
  if (!held || aJob.mRow.mCancelRequested) {
    CommitNextAttempt(aShard, aJob, aActions);
    return;
  }
  ++aShard.mCounters.mHeld;
  aJob.mRow.mReason = "failed on " + std::to_string(failedOn.size()) +
                      " different workers, last: " + aOutcome.mReason;
  CommitPhase(aShard, aJob, JobPhase::Held, aActions);
}

/// Completes a job whose work is done, also if an earlier attempt did it. Stops
/// the current attempt if another one runs.
void
CompleteJob(Shard& aShard, Job& aJob, MonotonicTime aNow, Actions& aActions)
{
  if (aJob.mPhase == JobPhase::Committing &&
      aJob.mPhaseAfterCommit == JobPhase::Completed) {
    return;
  }
  if (aJob.mWorker) {
    Worker& other = aShard.mWorkers[*aJob.mWorker];
    if (TaskSlot* slot =
          FindSlot(other, aJob.mRow.mSpec.mJob, aJob.mRow.mAttempt)) {
      StopSlot(*aJob.mWorker, *slot, aNow, aActions);
    }
  }
  ++aShard.mCounters.mCompleted;
  CommitPhase(aShard, aJob, JobPhase::Completed, aActions);
}

/// Removes the slot of a task that ended, if there is one.
void
ReleaseSlot(Shard& aShard,
            WorkerIndex aWorker,
            const TaskOutcome& aOutcome,
            MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  const TaskSlot* slot = FindSlot(worker, aOutcome.mJob, aOutcome.mAttempt);
  if (slot) {
    RemoveSlot(aShard,
               aWorker,
               static_cast<std::size_t>(slot - worker.mSlots.data()),
               aNow);
  }
}

/// Sets the job's checkpoint, unless the task made none.
void
StoreCheckpoint(Job& aJob,
                const std::string& aCheckpoint,
                std::uint32_t aAttempt)
{
  if (!aCheckpoint.empty()) {
    aJob.mRow.mCheckpoint = aCheckpoint;
    aJob.mRow.mCheckpointAttempt = aAttempt;
  }
}

/// @return whether a late outcome of an earlier attempt has a checkpoint from
///         which the queued job should resume
bool
HasNewerCheckpoint(const Job& aJob, const TaskOutcome& aOutcome)
{
  return aJob.mPhase == JobPhase::Queued &&
         aOutcome.mAttempt >= aJob.mRow.mCheckpointAttempt &&
         !aOutcome.mCheckpoint.empty() &&
         aOutcome.mCheckpoint != aJob.mRow.mCheckpoint;
}

/// Handles the outcome of a task. It is acknowledged only when the state that
/// follows from it is committed; until then the worker repeats it.
void
HandleOutcome(Shard& aShard,
              WorkerIndex aWorker,
              const TaskOutcome& aOutcome,
              MonotonicTime aNow,
              Actions& aActions)
{
  ReleaseSlot(aShard, aWorker, aOutcome, aNow);
  Job* job = FindJob(aShard, aOutcome.mJob);
  const auto acknowledge = [&] {
    aShard.mWorkers[aWorker].mAcknowledge.emplace_back(aOutcome.mJob,
                                                       aOutcome.mAttempt);
  };
  if (!job) {
    acknowledge(); // The final state of the job is committed.
    return;
  }
  const bool endsJob = aOutcome.mResult == TaskResult::Completed &&
                       job->mRow.mSpec.mClass != TaskClass::Service;
  if (endsJob && job->mPhase != JobPhase::Moving) {
    if (IsCurrent(*job, aWorker, aOutcome.mAttempt)) {
      job->mWorker.reset();
    }
    RecordWorkerSuccess(aShard, aWorker);
    CompleteJob(aShard, *job, aNow, aActions);
    return;
  }
  const bool current = IsCurrent(*job, aWorker, aOutcome.mAttempt) ||
                       (job->mPhase == JobPhase::Reconciling &&
                        aOutcome.mAttempt >= job->mRow.mAttempt);
  if (!current && HasNewerCheckpoint(*job, aOutcome)) {
    StoreCheckpoint(*job, aOutcome.mCheckpoint, aOutcome.mAttempt);
    CommitPhase(aShard, *job, JobPhase::Queued, aActions);
    return;
  }
  if (!current) {
    // The commit under way may be the one for this outcome, and a job that is
    // being moved or reconciled may still need the outcome's checkpoint.
    const bool mayNeedOutcome = job->mPhase == JobPhase::Committing ||
                                job->mPhase == JobPhase::Moving ||
                                job->mPhase == JobPhase::Reconciling;
    if (!mayNeedOutcome) {
      acknowledge();
    }
    return;
  }
  job->mRow.mAttempt = aOutcome.mAttempt;
  StoreCheckpoint(*job, aOutcome.mCheckpoint, aOutcome.mAttempt);
  if (aOutcome.mResult == TaskResult::Failed) {
    HoldOrRetry(aShard, aWorker, *job, aOutcome, aNow, aActions);
    return;
  }
  CommitNextAttempt(aShard, *job, aActions);
}

/// @return whether the worker's latest report proves that the slot's task does
///         not run and can't start any more
bool
IsProvenStopped(const Shard& aShard,
                const Worker& aWorker,
                const TaskSlot& aSlot)
{
  if (aSlot.mLastListedInReport == aWorker.mReportCount) {
    return false;
  }
  if (aSlot.mReported || aSlot.mToken.mBoot != aWorker.mToken.mBoot) {
    return true;
  }
  const std::uint64_t clock = aWorker.mToken.mClockMs;
  // A report of the same millisecond may have been made before the start was
  // accepted.
  if (aSlot.mAcceptedClockMs && clock > *aSlot.mAcceptedClockMs) {
    return true;
  }
  const auto oldest =
    static_cast<std::uint64_t>(aShard.mSettings.mMaxTokenAge.count());
  return clock > aSlot.mToken.mClockMs + oldest;
}

/// Handles a task that is known to run no longer but has no reported outcome: a
/// new attempt is queued from the latest checkpoint reported.
void
HandleLostTask(Shard& aShard,
               WorkerIndex aWorker,
               std::size_t aSlot,
               MonotonicTime aNow,
               Actions& aActions)
{
  const TaskSlot& slot = aShard.mWorkers[aWorker].mSlots[aSlot];
  Job* job = FindJob(aShard, slot.mJob);
  if (job && IsCurrent(*job, aWorker, slot.mAttempt)) {
    StoreCheckpoint(*job, slot.mCheckpoint, slot.mAttempt);
    ++aShard.mCounters.mLost;
    CommitNextAttempt(aShard, *job, aActions);
  }
  RemoveSlot(aShard, aWorker, aSlot, aNow);
}

} // namespace

void
HandleReport(Shard& aShard,
             WorkerIndex aWorker,
             const WorkerReport& aReport,
             MonotonicTime aNow,
             Actions& aActions)
{
  Worker& worker = aShard.mWorkers[aWorker];
  if (worker.mLastReportAt && aReport.mToken < worker.mToken) {
    return; // A later report has arrived first.
  }
  worker.mToken = aReport.mToken;
  worker.mLastReportAt = aNow;
  ++worker.mReportCount;
  worker.mAcknowledge.clear();
  for (const TaskOutcome& outcome : aReport.mOutcomes) {
    HandleOutcome(aShard, aWorker, outcome, aNow, aActions);
  }
  double latencyRatio = 0;
  for (const TaskReport& task : aReport.mTasks) {
    HandleTaskReport(aShard, aWorker, task, aNow, aActions);
    latencyRatio = std::max(latencyRatio, task.mLatencyRatio);
  }
  for (std::size_t i = worker.mSlots.size(); i-- > 0;) {
    if (IsProvenStopped(aShard, worker, worker.mSlots[i])) {
      HandleLostTask(aShard, aWorker, i, aNow, aActions);
    }
  }
  RespondToInterference(aShard, aWorker, latencyRatio, aNow, aActions);
  UpdatePool(aShard, aWorker, aNow);
}

void
HandleStartAnswer(Shard& aShard,
                  WorkerIndex aWorker,
                  std::string_view aJob,
                  std::uint32_t aAttempt,
                  const StartAnswer& aAnswer,
                  MonotonicTime aNow,
                  Actions& aActions)
{
  Worker& worker = aShard.mWorkers[aWorker];
  TaskSlot* slot = FindSlot(worker, aJob, aAttempt);
  if (!slot || slot->mReported) {
    return;
  }
  if (const auto* accepted = std::get_if<StartAccepted>(&aAnswer)) {
    slot->mAcceptedClockMs = accepted->mClockMs;
    return;
  }
  if (std::holds_alternative<StartUnknown>(aAnswer)) {
    return; // A later report shows whether the task runs.
  }
  ++aShard.mCounters.mRejectedStarts;
  RemoveSlot(aShard,
             aWorker,
             static_cast<std::size_t>(slot - worker.mSlots.data()),
             aNow);
  Job* job = FindJob(aShard, aJob);
  if (!job || !IsCurrent(*job, aWorker, aAttempt)) {
    return;
  }
  if (job->mRow.mCancelRequested) {
    CommitPhase(aShard, *job, JobPhase::Cancelled, aActions);
    return;
  }
  // The task never ran, so its attempt number can be used again.
  Enqueue(aShard, *job);
}

namespace {

/// Gives up all tasks of a worker that has not reported for a lease term.
void
HandleSilentWorker(Shard& aShard,
                   WorkerIndex aWorker,
                   MonotonicTime aNow,
                   Actions& aActions)
{
  const Worker& worker = aShard.mWorkers[aWorker];
  const PlacementSettings& settings = aShard.mSettings;
  if (!worker.mLastReportAt || aNow - *worker.mLastReportAt <=
                                 settings.mTaskLease + settings.mLeaseMargin) {
    return;
  }
  // Each lease began at the latest token or an earlier one, so the leases of
  // all tasks on this worker have ended.
  while (!worker.mSlots.empty()) {
    HandleLostTask(aShard, aWorker, worker.mSlots.size() - 1, aNow, aActions);
  }
}

/// After a takeover, queues the jobs that were found on no worker, when every
/// worker has reported or all leases of the previous owner have ended.
void
ReconcileJobs(Shard& aShard, MonotonicTime aNow, Actions& aActions)
{
  const PlacementSettings& settings = aShard.mSettings;
  const bool leasesExpired =
    aNow - aShard.mTakenOverAt > settings.mTaskLease + settings.mLeaseMargin;
  const bool allReported =
    std::all_of(aShard.mWorkers.begin(),
                aShard.mWorkers.end(),
                [](const Worker& aWorker) { return aWorker.mLastReportAt; });
  if (!leasesExpired && !allReported) {
    return;
  }
  aShard.mReconciled = true;
  for (const auto& [name, job] : aShard.mJobs) {
    if (job->mPhase != JobPhase::Reconciling) {
      continue;
    }
    if (!allReported || job->mRow.mCancelRequested) {
      // A worker that has not reported may still report an outcome of this
      // attempt, so its number must not be used again.
      CommitNextAttempt(aShard, *job, aActions);
    } else {
      Enqueue(aShard, *job);
    }
  }
}

} // namespace

void
HandleTick(Shard& aShard, MonotonicTime aNow, Actions& aActions)
{
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    Worker& worker = aShard.mWorkers[i];
    if (worker.mQuarantinedUntil && *worker.mQuarantinedUntil <= aNow) {
      worker.mQuarantinedUntil.reset();
      worker.mOnProbation = true;
    }
    if (!worker.mSlots.empty()) {
      HandleSilentWorker(aShard, i, aNow, aActions);
    }
    UpdatePool(aShard, i, aNow);
  }
  if (!aShard.mReconciled) {
    ReconcileJobs(aShard, aNow, aActions);
  }
  Evacuate(aShard, aNow, aActions);
}

} // namespace paddle
