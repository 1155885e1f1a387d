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
  if (aSlot.mEnding != TaskSlot::Ending::Stop) {
    aSlot.mEnding = TaskSlot::Ending::Stop;
    aSlot.mEndingSince = aNow;
  }
  aSlot.mCommandAt = aNow;
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
  aSlot.mEnding = TaskSlot::Ending::Checkpoint;
  aSlot.mOldCheckpoint = aSlot.mCheckpoint;
  aSlot.mEndingSince = aNow;
  aSlot.mCommandAt = aNow;
  ++aShard.mCounters.mEvictions;
  aActions.emplace_back(CheckpointTask{ aWorker, aSlot.mJob, aSlot.mAttempt });
}

bool
HasEviction(Team& aTeam, MonotonicTime aNow)
{
  const std::chrono::duration<double, std::ratio<3600>> since =
    aNow - aTeam.mEvictionsAt;
  aTeam.mEvictionsLeft =
    std::min(aTeam.mEvictionsPerHour,
             aTeam.mEvictionsLeft + since.count() * aTeam.mEvictionsPerHour);
  aTeam.mEvictionsAt = aNow;
  return aTeam.mEvictionsLeft >= 1;
}

bool
SpendEviction(Team& aTeam, MonotonicTime aNow)
{
  if (!HasEviction(aTeam, aNow)) {
    return false;
  }
  aTeam.mEvictionsLeft -= 1;
  return true;
}

double
LostWork(const TaskSlot& aSlot)
{
  return std::chrono::duration<double>(aSlot.mSinceCheckpoint).count() *
         static_cast<double>(aSlot.mReserved.mMilliCores) / 1000;
}

namespace {

/// Slots of a worker that may be evicted for a service, least lost work first.
std::vector<std::size_t>
Evictable(Worker& aWorker, MonotonicTime aNow)
{
  std::vector<std::size_t> slots;
  for (std::size_t i = 0; i < aWorker.mSlots.size(); ++i) {
    const TaskSlot& slot = aWorker.mSlots[i];
    if (slot.mReported && slot.mTeam && slot.mClass != TaskClass::Service &&
        slot.mEnding == TaskSlot::Ending::No &&
        HasEviction(*slot.mTeam, aNow)) {
      slots.push_back(i);
    }
  }
  std::sort(
    slots.begin(), slots.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return LostWork(aWorker.mSlots[aLeft]) < LostWork(aWorker.mSlots[aRight]);
    });
  return slots;
}

struct RoomPlan
{
  std::vector<std::size_t> mSlots;
  double mLost = 0;
};

/// @return what to evict so that @p aNeeded fits, or nothing if it can't
std::optional<RoomPlan>
PlanRoom(Worker& aWorker, const Amount& aNeeded, MonotonicTime aNow)
{
  RoomPlan plan;
  Amount free = aWorker.mFree;
  for (const TaskSlot& slot : aWorker.mSlots) {
    if (slot.mEnding != TaskSlot::Ending::No) {
      free += slot.mReserved; // On its way out already.
    }
  }
  for (const std::size_t slot : Evictable(aWorker, aNow)) {
    if (Fits(aNeeded, free)) {
      break;
    }
    free += aWorker.mSlots[slot].mReserved;
    plan.mLost += LostWork(aWorker.mSlots[slot]);
    plan.mSlots.push_back(slot);
  }
  if (!Fits(aNeeded, free)) {
    return std::nullopt;
  }
  return plan;
}

/// Long enough for a checkpoint, a stop and its commit.
constexpr Seconds kKeepRoom{ 15 };

void
KeepFor(Worker& aWorker, Job& aJob, MonotonicTime aUntil)
{
  aWorker.mKeptFor = aJob.mRow.mSpec.mJob;
  aWorker.mKeptUntil = aUntil;
  aJob.mKeptUntil = aUntil;
}

bool
MayKeep(const Shard& aShard,
        const Worker& aWorker,
        const Job& aJob,
        MonotonicTime aNow)
{
  const DataCentreGate& gate = aShard.mDataCentres[aWorker.mDataCentre];
  return aWorker.mPoolKey && CouldHold(aWorker.mSpec, aJob.mRow.mSpec) &&
         gate.mInService &&
         (aWorker.mKeptFor.empty() || aWorker.mKeptUntil <= aNow);
}

} // namespace

void
MakeRoom(Shard& aShard, Job& aJob, MonotonicTime aNow, Actions& aActions)
{
  if (aJob.mKeptUntil && *aJob.mKeptUntil > aNow) {
    return;
  }
  std::optional<WorkerIndex> best;
  RoomPlan bestPlan;
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    Worker& worker = aShard.mWorkers[i];
    if (!MayKeep(aShard, worker, aJob, aNow)) {
      continue;
    }
    auto plan = PlanRoom(worker, aJob.mRow.mSpec.mDeclared, aNow);
    if (plan && (!best || plan->mLost < bestPlan.mLost)) {
      best = i;
      bestPlan = std::move(*plan);
    }
  }
  if (!best) {
    return;
  }
  Worker& worker = aShard.mWorkers[*best];
  KeepFor(worker, aJob, aNow + kKeepRoom);
  for (const std::size_t slot : bestPlan.mSlots) {
    if (SpendEviction(*worker.mSlots[slot].mTeam, aNow)) {
      EvictSlot(aShard, *best, worker.mSlots[slot], aNow, aActions);
    }
  }
}

void
KeepWorkerFree(Shard& aShard, Job& aJob, MonotonicTime aNow)
{
  constexpr Seconds kKeepLong{ 600 };
  if ((aJob.mKeptUntil && *aJob.mKeptUntil > aNow) ||
      aShard.mNextKeepAt > aNow) {
    return;
  }
  Worker* best = nullptr;
  for (Worker& worker : aShard.mWorkers) {
    if (MayKeep(aShard, worker, aJob, aNow) &&
        (!best || worker.mFree.mMilliCores > best->mFree.mMilliCores)) {
      best = &worker;
    }
  }
  if (best) {
    KeepFor(*best, aJob, aNow + kKeepLong);
    // One at a time, so that waiting jobs can't empty the whole shard.
    aShard.mNextKeepAt = aNow + aShard.mSettings.mReserveAfter;
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
  std::size_t leaving = 0;
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    const Worker& worker = aShard.mWorkers[i];
    const DataCentreGate& gate = aShard.mDataCentres[worker.mDataCentre];
    const bool out = gate.mProvenAt && !gate.mInService;
    if (!out && !worker.mSpec.mLeaving) {
      continue;
    }
    for (std::size_t s = 0; s < worker.mSlots.size(); ++s) {
      const TaskSlot& slot = worker.mSlots[s];
      const Job* job = FindJob(aShard, slot.mJob);
      if (slot.mEnding != TaskSlot::Ending::No) {
        ++leaving;
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
    if (leaving++ >= aShard.mSettings.mEvacuationsAtOnce) {
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
