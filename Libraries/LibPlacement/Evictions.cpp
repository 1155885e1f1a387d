#include <algorithm>
#include <vector>

#include <LibPlacement/Internal.h>
#include <LibPlacement/Shard.h>

namespace paddle::placement {

void
StopSlot(WorkerIndex aWorker,
         TaskSlot& aSlot,
         MonotonicTime aNow,
         Actions& aActions)
{
  if (aSlot.mTermination != TaskSlot::Termination::Stopping) {
    aSlot.mTermination = TaskSlot::Termination::Stopping;
    aSlot.mTerminationSince = aNow;
  }
  aSlot.mLastCommandAt = aNow;
  aActions.emplace_back(StopTask{ aWorker, aSlot.mJob, aSlot.mAttempt });
}

void
EvictSlot(Shard& aShard,
          WorkerIndex aWorker,
          TaskSlot& aSlot,
          MonotonicTime aNow,
          Actions& aActions)
{
  if (Job* job = FindJob(aShard, aSlot.mJob)) {
    job->mPhase = JobPhase::Evicting;
  }
  aSlot.mTermination = TaskSlot::Termination::Checkpointing;
  aSlot.mCheckpointWhenRequested = aSlot.mCheckpoint;
  aSlot.mTerminationSince = aNow;
  aSlot.mLastCommandAt = aNow;
  ++aShard.mCounters.mEvictions;
  aActions.emplace_back(CheckpointTask{ aWorker, aSlot.mJob, aSlot.mAttempt });
}

bool
HasEvictionBudget(Team& aTeam, MonotonicTime aNow)
{
  const std::chrono::duration<double, std::ratio<3600>> since =
    aNow - aTeam.mEvictionsUpdatedAt;
  aTeam.mEvictionsLeft =
    std::min(aTeam.mEvictionsPerHour,
             aTeam.mEvictionsLeft + since.count() * aTeam.mEvictionsPerHour);
  aTeam.mEvictionsUpdatedAt = aNow;
  return aTeam.mEvictionsLeft >= 1;
}

bool
SpendEvictionBudget(Team& aTeam, MonotonicTime aNow)
{
  if (!HasEvictionBudget(aTeam, aNow)) {
    return false;
  }
  aTeam.mEvictionsLeft -= 1;
  return true;
}

double
LostCoreSeconds(const TaskSlot& aSlot)
{
  return std::chrono::duration<double>(aSlot.mSinceCheckpoint).count() *
         static_cast<double>(aSlot.mReserved.mMilliCores) / 1000;
}

namespace {

/// @return the slots of batch tasks that may be evicted for a service by their
///         state and their teams' budgets, in ascending order of the work lost
std::vector<std::size_t>
EvictableSlots(Worker& aWorker, MonotonicTime aNow)
{
  std::vector<std::size_t> slots;
  for (std::size_t i = 0; i < aWorker.mSlots.size(); ++i) {
    const TaskSlot& slot = aWorker.mSlots[i];
    if (slot.mReported && slot.mTeam && slot.mClass != TaskClass::Service &&
        slot.mTermination == TaskSlot::Termination::None &&
        HasEvictionBudget(*slot.mTeam, aNow)) {
      slots.push_back(i);
    }
  }
  std::sort(
    slots.begin(), slots.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return LostCoreSeconds(aWorker.mSlots[aLeft]) <
             LostCoreSeconds(aWorker.mSlots[aRight]);
    });
  return slots;
}

/// The evictions that make room on one worker.
struct PreemptionPlan
{
  std::vector<std::size_t> mSlots; ///< Indices in Worker::mSlots.
  double mLostCoreSeconds = 0;
};

/// @return the evictions after which @p aNeeded fits on the worker; nothing if
///         it would not fit
std::optional<PreemptionPlan>
PlanPreemption(Worker& aWorker,
               const ResourceVector& aNeeded,
               MonotonicTime aNow)
{
  PreemptionPlan plan;
  ResourceVector free = aWorker.mFree;
  for (const TaskSlot& slot : aWorker.mSlots) {
    if (slot.mTermination != TaskSlot::Termination::None) {
      free += slot.mReserved; // Its task is being terminated already.
    }
  }
  for (const std::size_t slot : EvictableSlots(aWorker, aNow)) {
    if (Fits(aNeeded, free)) {
      break;
    }
    free += aWorker.mSlots[slot].mReserved;
    plan.mLostCoreSeconds += LostCoreSeconds(aWorker.mSlots[slot]);
    plan.mSlots.push_back(slot);
  }
  if (!Fits(aNeeded, free)) {
    return std::nullopt;
  }
  return plan;
}

/// How long a worker is reserved for the service that evictions make room for.
/// This is long enough for a checkpoint, a stop and its commit.
constexpr Seconds kPreemptionReservation{ 15 };

/// Reserves the worker for the job.
void
ReserveWorker(Worker& aWorker, Job& aJob, MonotonicTime aUntil)
{
  aWorker.mReservedFor = aJob.mRow.mSpec.mJob;
  aWorker.mReservedUntil = aUntil;
  aJob.mWorkerReservedUntil = aUntil;
}

/// @return whether the worker may be reserved for the job: it takes new tasks,
///         the job could run there, and it isn't reserved already
bool
CanReserveWorker(const Shard& aShard,
                 const Worker& aWorker,
                 const Job& aJob,
                 MonotonicTime aNow)
{
  const DataCentreStatus& dataCentre = aShard.mDataCentres[aWorker.mDataCentre];
  return aWorker.mPoolKey && CouldEverRun(aWorker.mSpec, aJob.mRow.mSpec) &&
         dataCentre.mInService &&
         (aWorker.mReservedFor.empty() || aWorker.mReservedUntil <= aNow);
}

} // namespace

void
PreemptBatch(Shard& aShard, Job& aJob, MonotonicTime aNow, Actions& aActions)
{
  if (aJob.mWorkerReservedUntil && *aJob.mWorkerReservedUntil > aNow) {
    return;
  }
  std::optional<WorkerIndex> best;
  PreemptionPlan bestPlan;
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    Worker& worker = aShard.mWorkers[i];
    if (!CanReserveWorker(aShard, worker, aJob, aNow)) {
      continue;
    }
    auto plan = PlanPreemption(worker, aJob.mRow.mSpec.mDeclared, aNow);
    if (plan && (!best || plan->mLostCoreSeconds < bestPlan.mLostCoreSeconds)) {
      best = i;
      bestPlan = std::move(*plan);
    }
  }
  if (!best) {
    return;
  }
  Worker& worker = aShard.mWorkers[*best];
  ReserveWorker(worker, aJob, aNow + kPreemptionReservation);
  for (const std::size_t slot : bestPlan.mSlots) {
    if (SpendEvictionBudget(*worker.mSlots[slot].mTeam, aNow)) {
      EvictSlot(aShard, *best, worker.mSlots[slot], aNow, aActions);
    }
  }
}

void
ReserveWorkerForStarvedJob(Shard& aShard, Job& aJob, MonotonicTime aNow)
{
  // The tasks that run on the worker are not evicted, so they need time to end.
  constexpr Seconds kStarvedJobReservation{ 600 };
  if ((aJob.mWorkerReservedUntil && *aJob.mWorkerReservedUntil > aNow) ||
      aShard.mNextReservationAt > aNow) {
    return;
  }
  Worker* best = nullptr;
  for (Worker& worker : aShard.mWorkers) {
    if (CanReserveWorker(aShard, worker, aJob, aNow) &&
        (!best || worker.mFree.mMilliCores > best->mFree.mMilliCores)) {
      best = &worker;
    }
  }
  if (best) {
    ReserveWorker(*best, aJob, aNow + kStarvedJobReservation);
    // The interval keeps waiting jobs from reserving all workers of the shard.
    aShard.mNextReservationAt = aNow + aShard.mSettings.mReserveWorkerAfter;
  }
}

void
Evacuate(Shard& aShard, MonotonicTime aNow, Actions& aActions)
{
  struct Candidate
  {
    WorkerIndex mWorker;
    std::size_t mSlot;
    TaskClass mClass;
    MonotonicTime mDue;
  };
  std::vector<Candidate> candidates;
  std::size_t beingEvicted = 0;
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    const Worker& worker = aShard.mWorkers[i];
    const DataCentreStatus& dataCentre =
      aShard.mDataCentres[worker.mDataCentre];
    const bool out = dataCentre.mConfirmedAt && !dataCentre.mInService;
    if (!out && !worker.mSpec.mLeaving) {
      continue;
    }
    for (std::size_t s = 0; s < worker.mSlots.size(); ++s) {
      const TaskSlot& slot = worker.mSlots[s];
      const Job* job = FindJob(aShard, slot.mJob);
      if (slot.mTermination != TaskSlot::Termination::None) {
        ++beingEvicted;
      } else if (slot.mReported && job) {
        candidates.push_back(
          { i,
            s,
            slot.mClass,
            job->mAcceptedAt + job->mRow.mSpec.mExpectedTime });
      }
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return std::pair(aLeft.mClass, aLeft.mDue) <
                     std::pair(aRight.mClass, aRight.mDue);
            });
  for (const Candidate& candidate : candidates) {
    if (beingEvicted++ >= aShard.mSettings.mMaxConcurrentEvacuations) {
      return;
    }
    EvictSlot(aShard,
              candidate.mWorker,
              aShard.mWorkers[candidate.mWorker].mSlots[candidate.mSlot],
              aNow,
              aActions);
  }
}

} // namespace paddle::placement
