#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace {

using namespace placement;

bool
IsCurrent(const Job& aJob, WorkerIndex aWorker, std::uint32_t aAttempt)
{
  return aJob.mWorker == aWorker && aJob.mRow.mAttempt == aAttempt;
}

/// Takes note of a task that this owner did not start: one of a predecessor,
/// or one that should not run any more.
void
AdoptTask(Shard& aShard,
          WorkerIndex aWorker,
          const TaskReport& aTask,
          MonotonicTime aNow,
          Actions& aActions)
{
  Job* job = FindJob(aShard, aTask.mJob);
  const bool adopted = job && job->mPhase == JobPhase::Doubtful &&
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

/// Lets the reservation follow the use where there is room.
void
FollowUse(Shard& aShard, Worker& aWorker, TaskSlot& aSlot)
{
  const PlacementPolicy& policy = *aShard.mPolicy;
  if (!policy.mFollowsUse || !aSlot.mTeam) {
    return;
  }
  policy.mLearn(*aSlot.mTeam, aSlot.mClass, aSlot.mDeclared, aSlot.mUsed);
  const Amount wanted = Largest(aSlot.mReserved, aSlot.mUsed);
  const Amount more =
    Smallest(wanted - aSlot.mReserved, Largest(aWorker.mFree, {}));
  aSlot.mReserved += more;
  aSlot.mTeam->mUsed += more;
  aWorker.mFree -= more;
}

/// Continues an eviction and repeats commands that had no effect.
void
ContinueEnding(Shard& aShard,
               WorkerIndex aWorker,
               TaskSlot& aSlot,
               MonotonicTime aNow,
               Actions& aActions)
{
  using Ending = TaskSlot::Ending;
  const PlacementSettings& settings = aShard.mSettings;
  if (aSlot.mEnding == Ending::Checkpoint) {
    const bool taken = aSlot.mCheckpoint != aSlot.mOldCheckpoint;
    if (taken || aNow - aSlot.mEndingSince >= settings.mCheckpointLimit) {
      StopSlot(aWorker, aSlot, aNow, aActions);
    }
  } else if (aSlot.mEnding == Ending::Stop &&
             aNow - aSlot.mCommandAt >= settings.mCommandRepeat) {
    StopSlot(aWorker, aSlot, aNow, aActions);
  }
}

void
NoteTask(Shard& aShard,
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
  slot.mSeenIn = worker.mReports;
  slot.mReported = true;
  slot.mUsed = aTask.mUsed;
  slot.mCheckpoint = aTask.mCheckpoint;
  slot.mSinceCheckpoint = aTask.mSinceCheckpoint;
  Job* job = FindJob(aShard, aTask.mJob);
  if (job && job->mPhase == JobPhase::Starting &&
      IsCurrent(*job, aWorker, aTask.mAttempt)) {
    job->mPhase = JobPhase::Running;
  }
  FollowUse(aShard, worker, slot);
  ContinueEnding(aShard, aWorker, slot, aNow, aActions);
}

void
HoldOrRetry(Shard& aShard,
            WorkerIndex aWorker,
            Job& aJob,
            const TaskOutcome& aOutcome,
            MonotonicTime aNow,
            Actions& aActions)
{
  constexpr std::uint32_t kLongestWaitS = 60;
  ++aJob.mFailures;
  aJob.mNotBefore =
    aNow + Seconds(std::min(kLongestWaitS, aJob.mFailures * aJob.mFailures));
  ++aShard.mCounters.mFailed;
  auto& failedOn = aJob.mFailedOn;
  if (std::find(failedOn.begin(), failedOn.end(), aWorker) == failedOn.end()) {
    failedOn.push_back(aWorker);
  }
  BlameWorker(aShard, aWorker, aOutcome.mJob, aNow);
  // A service is never held: it is retried with growing pauses.
  const bool held = failedOn.size() >= aShard.mSettings.mFailuresToHold &&
                    aJob.mRow.mSpec.mClass != TaskClass::Service;
  if (!held || aJob.mRow.mCancelRequested) {
    RecordNextAttempt(aShard, aJob, aActions);
    return;
  }
  ++aShard.mCounters.mHeld;
  aJob.mRow.mReason = "failed on " + std::to_string(failedOn.size()) +
                      " different workers, last: " + aOutcome.mReason;
  Record(aShard, aJob, JobPhase::Held, aActions);
}

/// The job's work is done, whichever attempt did it.
void
EndJob(Shard& aShard, Job& aJob, MonotonicTime aNow, Actions& aActions)
{
  if (aJob.mPhase == JobPhase::Recording &&
      aJob.mAfterCommit == JobPhase::Ended) {
    return;
  }
  if (aJob.mWorker) {
    Worker& other = aShard.mWorkers[*aJob.mWorker];
    if (TaskSlot* slot =
          FindSlot(other, aJob.mRow.mSpec.mJob, aJob.mRow.mAttempt)) {
      StopSlot(*aJob.mWorker, *slot, aNow, aActions);
    }
  }
  ++aShard.mCounters.mEnded;
  Record(aShard, aJob, JobPhase::Ended, aActions);
}

/// Removes the slot of a task that ended, and keeps its latest checkpoint.
void
ReleaseEnded(Shard& aShard,
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

void
KeepCheckpoint(Job& aJob,
               const std::string& aCheckpoint,
               std::uint32_t aAttempt)
{
  if (!aCheckpoint.empty()) {
    aJob.mRow.mCheckpoint = aCheckpoint;
    aJob.mRow.mCheckpointAttempt = aAttempt;
  }
}

/// Whether a late outcome of an earlier attempt has a checkpoint that the
/// waiting job should resume from.
bool
HasNewerCheckpoint(const Job& aJob, const TaskOutcome& aOutcome)
{
  return aJob.mPhase == JobPhase::Queued &&
         aOutcome.mAttempt >= aJob.mRow.mCheckpointAttempt &&
         !aOutcome.mCheckpoint.empty() &&
         aOutcome.mCheckpoint != aJob.mRow.mCheckpoint;
}

void
NoteOutcome(Shard& aShard,
            WorkerIndex aWorker,
            const TaskOutcome& aOutcome,
            MonotonicTime aNow,
            Actions& aActions)
{
  ReleaseEnded(aShard, aWorker, aOutcome, aNow);
  Job* job = FindJob(aShard, aOutcome.mJob);
  const auto acknowledge = [&] {
    aShard.mWorkers[aWorker].mAcknowledge.emplace_back(aOutcome.mJob,
                                                       aOutcome.mAttempt);
  };
  if (!job) {
    acknowledge(); // Its end is committed.
    return;
  }
  const bool endsJob = aOutcome.mResult == TaskResult::Ended &&
                       job->mRow.mSpec.mClass != TaskClass::Service;
  if (endsJob && job->mPhase != JobPhase::Moved) {
    if (IsCurrent(*job, aWorker, aOutcome.mAttempt)) {
      job->mWorker.reset();
    }
    PraiseWorker(aShard, aWorker);
    EndJob(aShard, *job, aNow, aActions);
    return;
  }
  const bool current = IsCurrent(*job, aWorker, aOutcome.mAttempt) ||
                       (job->mPhase == JobPhase::Doubtful &&
                        aOutcome.mAttempt >= job->mRow.mAttempt);
  if (!current && HasNewerCheckpoint(*job, aOutcome)) {
    KeepCheckpoint(*job, aOutcome.mCheckpoint, aOutcome.mAttempt);
    Record(aShard, *job, JobPhase::Queued, aActions);
    return;
  }
  if (!current) {
    // A commit under way may be the one for this outcome, and a doubtful job
    // may yet need its checkpoint.
    const bool unsettled = job->mPhase == JobPhase::Recording ||
                           job->mPhase == JobPhase::Moved ||
                           job->mPhase == JobPhase::Doubtful;
    if (!unsettled) {
      acknowledge();
    }
    return;
  }
  job->mRow.mAttempt = aOutcome.mAttempt;
  KeepCheckpoint(*job, aOutcome.mCheckpoint, aOutcome.mAttempt);
  if (aOutcome.mResult == TaskResult::Failed) {
    HoldOrRetry(aShard, aWorker, *job, aOutcome, aNow, aActions);
    return;
  }
  RecordNextAttempt(aShard, *job, aActions);
}

/// @return whether the report proves that the slot's task does not run and
///         can't start any more
bool
ProvenGone(const Shard& aShard, const Worker& aWorker, const TaskSlot& aSlot)
{
  if (aSlot.mSeenIn == aWorker.mReports) {
    return false;
  }
  if (aSlot.mReported || aSlot.mToken.mBoot != aWorker.mToken.mBoot) {
    return true;
  }
  const std::uint64_t clock = aWorker.mToken.mClockMs;
  // A report of the same millisecond may have been made before the start.
  if (aSlot.mAcceptedClockMs && clock > *aSlot.mAcceptedClockMs) {
    return true;
  }
  const auto oldest =
    static_cast<std::uint64_t>(aShard.mSettings.mOldestToken.count());
  return clock > aSlot.mToken.mClockMs + oldest;
}

void
LoseSlot(Shard& aShard,
         WorkerIndex aWorker,
         std::size_t aSlot,
         MonotonicTime aNow,
         Actions& aActions)
{
  const TaskSlot& slot = aShard.mWorkers[aWorker].mSlots[aSlot];
  Job* job = FindJob(aShard, slot.mJob);
  if (job && IsCurrent(*job, aWorker, slot.mAttempt)) {
    KeepCheckpoint(*job, slot.mCheckpoint, slot.mAttempt);
    ++aShard.mCounters.mLost;
    RecordNextAttempt(aShard, *job, aActions);
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
  if (worker.mHeardAt && aReport.mToken < worker.mToken) {
    return; // Overtaken by a later report.
  }
  worker.mToken = aReport.mToken;
  worker.mHeardAt = aNow;
  ++worker.mReports;
  worker.mAcknowledge.clear();
  for (const TaskOutcome& outcome : aReport.mOutcomes) {
    NoteOutcome(aShard, aWorker, outcome, aNow, aActions);
  }
  double latencyRatio = 0;
  for (const TaskReport& task : aReport.mTasks) {
    NoteTask(aShard, aWorker, task, aNow, aActions);
    latencyRatio = std::max(latencyRatio, task.mLatencyRatio);
  }
  for (std::size_t i = worker.mSlots.size(); i-- > 0;) {
    if (ProvenGone(aShard, worker, worker.mSlots[i])) {
      LoseSlot(aShard, aWorker, i, aNow, aActions);
    }
  }
  AnswerInterference(aShard, aWorker, latencyRatio, aNow, aActions);
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
    return; // A later report settles it.
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
    Record(aShard, *job, JobPhase::Cancelled, aActions);
    return;
  }
  Enqueue(aShard, *job); // It never ran: the attempt is not used up.
}

namespace {

void
LoseSilentWorker(Shard& aShard,
                 WorkerIndex aWorker,
                 MonotonicTime aNow,
                 Actions& aActions)
{
  const Worker& worker = aShard.mWorkers[aWorker];
  const PlacementSettings& settings = aShard.mSettings;
  if (!worker.mHeardAt ||
      aNow - *worker.mHeardAt <= settings.mTaskLease + settings.mLeaseMargin) {
    return;
  }
  // Every lease was counted from a token that is no younger than the latest
  // one, so no task of this worker runs any more.
  while (!worker.mSlots.empty()) {
    LoseSlot(aShard, aWorker, worker.mSlots.size() - 1, aNow, aActions);
  }
}

void
ResolveDoubts(Shard& aShard, MonotonicTime aNow, Actions& aActions)
{
  const PlacementSettings& settings = aShard.mSettings;
  const bool lapsed =
    aNow - aShard.mTakenAt > settings.mTaskLease + settings.mLeaseMargin;
  const bool allHeard =
    std::all_of(aShard.mWorkers.begin(),
                aShard.mWorkers.end(),
                [](const Worker& aWorker) { return aWorker.mHeardAt; });
  if (!lapsed && !allHeard) {
    return;
  }
  aShard.mResolved = true;
  for (const auto& [name, job] : aShard.mJobs) {
    if (job->mPhase != JobPhase::Doubtful) {
      continue;
    }
    if (!allHeard || job->mRow.mCancelRequested) {
      // A worker that was not heard from may return with an outcome of this
      // attempt, so it is used up.
      RecordNextAttempt(aShard, *job, aActions);
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
      LoseSilentWorker(aShard, i, aNow, aActions);
    }
    UpdatePool(aShard, i, aNow);
  }
  if (!aShard.mResolved) {
    ResolveDoubts(aShard, aNow, aActions);
  }
  Evacuate(aShard, aNow, aActions);
}

} // namespace paddle
