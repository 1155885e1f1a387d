#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace placement {

namespace {

bool
TakesTasks(const Shard& aShard, const Worker& aWorker, MonotonicTime aNow)
{
  if (aWorker.mSpec.mLeaving || !aWorker.mHeardAt ||
      aWorker.mQuarantinedUntil) {
    return false;
  }
  if (aNow - *aWorker.mHeardAt > aShard.mSettings.mOldestTokenToSend) {
    return false;
  }
  if (aWorker.mOnProbation && !aWorker.mSlots.empty()) {
    return false;
  }
  return aWorker.mStep == InterferenceStep::None;
}

std::uint32_t
GateOf(Shard& aShard, const std::string& aName)
{
  for (std::uint32_t i = 0; i < aShard.mDataCentres.size(); ++i) {
    if (aShard.mDataCentres[i].mName == aName) {
      return i;
    }
  }
  DataCentreGate gate;
  gate.mName = aName;
  aShard.mDataCentres.push_back(gate);
  return static_cast<std::uint32_t>(aShard.mDataCentres.size() - 1);
}

std::uint32_t
PoolOf(Shard& aShard, std::uint32_t aDataCentre, bool aAccelerators)
{
  for (std::uint32_t i = 0; i < aShard.mPools.size(); ++i) {
    const Pool& pool = aShard.mPools[i];
    if (pool.mDataCentre == aDataCentre &&
        pool.mAccelerators == aAccelerators) {
      return i;
    }
  }
  aShard.mPools.push_back({ aDataCentre, aAccelerators, 0, {} });
  return static_cast<std::uint32_t>(aShard.mPools.size() - 1);
}

} // namespace

void
UpdatePool(Shard& aShard, WorkerIndex aWorker, MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  const bool wanted = TakesTasks(aShard, worker, aNow);
  const std::int64_t key = worker.mFree.mMilliCores;
  if (wanted && worker.mPoolKey == key) {
    return;
  }
  auto& pool = aShard.mPools[worker.mPool].mByFree;
  if (worker.mPoolKey) {
    pool.erase({ *worker.mPoolKey, aWorker });
    worker.mPoolKey.reset();
  }
  if (wanted) {
    pool.emplace(key, aWorker);
    worker.mPoolKey = key;
  }
}

TaskSlot&
AddSlot(Shard& aShard, WorkerIndex aWorker, TaskSlot aSlot, MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  worker.mFree -= aSlot.mReserved;
  if (aSlot.mTeam) {
    aSlot.mTeam->mUsed += aSlot.mReserved;
  }
  worker.mSlots.push_back(std::move(aSlot));
  UpdatePool(aShard, aWorker, aNow);
  return worker.mSlots.back();
}

void
RemoveSlot(Shard& aShard,
           WorkerIndex aWorker,
           std::size_t aSlot,
           MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  TaskSlot& slot = worker.mSlots[aSlot];
  worker.mFree += slot.mReserved;
  if (slot.mTeam) {
    slot.mTeam->mUsed -= slot.mReserved;
  }
  if (aSlot + 1 != worker.mSlots.size()) {
    slot = std::move(worker.mSlots.back());
  }
  worker.mSlots.pop_back();
  UpdatePool(aShard, aWorker, aNow);
}

TaskSlot*
FindSlot(Worker& aWorker, std::string_view aJob, std::uint32_t aAttempt)
{
  for (TaskSlot& slot : aWorker.mSlots) {
    if (slot.mAttempt == aAttempt && slot.mJob == aJob) {
      return &slot;
    }
  }
  return nullptr;
}

} // namespace placement

using namespace placement;

WorkerIndex
SetWorker(Shard& aShard, const WorkerSpec& aSpec)
{
  const auto found = aShard.mWorkerByName.find(aSpec.mName);
  if (found != aShard.mWorkerByName.end()) {
    aShard.mWorkers[found->second].mSpec.mLeaving = aSpec.mLeaving;
    return found->second;
  }
  const auto index = static_cast<WorkerIndex>(aShard.mWorkers.size());
  Worker worker;
  worker.mSpec = aSpec;
  worker.mFree = aSpec.mCapacity;
  worker.mDataCentre = GateOf(aShard, aSpec.mDataCentre);
  worker.mPool =
    PoolOf(aShard, worker.mDataCentre, aSpec.mCapacity.mAccelerators > 0);
  Pool& pool = aShard.mPools[worker.mPool];
  pool.mLargestCores =
    std::max(pool.mLargestCores, aSpec.mCapacity.mMilliCores);
  aShard.mDataCentres[worker.mDataCentre].mCapacity += aSpec.mCapacity;
  aShard.mCapacity += aSpec.mCapacity;
  aShard.mWorkers.push_back(std::move(worker));
  aShard.mWorkerByName.emplace(aSpec.mName, index);
  return index;
}

void
SetDataCentre(Shard& aShard,
              std::string_view aName,
              bool aInService,
              MonotonicTime aSentAt,
              MonotonicTime aNow)
{
  for (DataCentreGate& gate : aShard.mDataCentres) {
    if (gate.mName != aName) {
      continue;
    }
    if (gate.mProvenAt && *gate.mProvenAt > aSentAt) {
      return; // An older read than the one already known.
    }
    if (gate.mProvenAt && !gate.mInService && aInService) {
      gate.mReturnedAt = aNow;
      gate.mStartedSinceReturn = 0;
    }
    gate.mInService = aInService;
    gate.mProvenAt = aSentAt;
  }
}

bool
GateOpen(const Shard& aShard,
         const DataCentreGate& aGate,
         const Amount& aReserve,
         MonotonicTime aNow)
{
  if (!aGate.mInService || !aGate.mProvenAt ||
      aNow - *aGate.mProvenAt > aShard.mSettings.mOldestProof) {
    return false;
  }
  if (!aGate.mReturnedAt) {
    return true;
  }
  const std::chrono::duration<double> since = aNow - *aGate.mReturnedAt;
  const double share = since.count() * aShard.mSettings.mRampPerSecond;
  return share >= 1 ||
         static_cast<double>(aGate.mStartedSinceReturn +
                             aReserve.mMilliCores) <=
           share * static_cast<double>(aGate.mCapacity.mMilliCores);
}

PollPlan
PlanPoll(const Shard& aShard, WorkerIndex aWorker)
{
  const Worker& worker = aShard.mWorkers[aWorker];
  PollPlan plan;
  plan.mToken = worker.mToken;
  plan.mAcknowledge = worker.mAcknowledge;
  plan.mRenew.reserve(worker.mSlots.size());
  for (const TaskSlot& slot : worker.mSlots) {
    // A task that must stop is not renewed, so that it ends even if the stop
    // never arrives.
    if (slot.mEnding != TaskSlot::Ending::Stop) {
      plan.mRenew.emplace_back(slot.mJob, slot.mAttempt);
    }
  }
  return plan;
}

} // namespace paddle
