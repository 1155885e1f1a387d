#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace placement {

namespace {

/// @return whether new tasks may be placed on the worker, by its own state
bool
TakesTasks(const Shard& aShard, const Worker& aWorker, MonotonicTime aNow)
{
  if (aWorker.mSpec.mLeaving || !aWorker.mLastReportAt ||
      aWorker.mQuarantinedUntil) {
    return false;
  }
  if (aNow - *aWorker.mLastReportAt > aShard.mSettings.mMaxTokenAgeToSend) {
    return false;
  }
  if (aWorker.mOnProbation && !aWorker.mSlots.empty()) {
    return false;
  }
  return aWorker.mInterferenceStep == InterferenceStep::None;
}

/// @return the index of the data centre, which is added if it is not known yet
std::uint32_t
FindOrAddDataCentre(Shard& aShard, const std::string& aName)
{
  for (std::uint32_t i = 0; i < aShard.mDataCentres.size(); ++i) {
    if (aShard.mDataCentres[i].mName == aName) {
      return i;
    }
  }
  DataCentreStatus dataCentre;
  dataCentre.mName = aName;
  aShard.mDataCentres.push_back(dataCentre);
  return static_cast<std::uint32_t>(aShard.mDataCentres.size() - 1);
}

/// @return the index of the pool, which is added if it does not exist yet
std::uint32_t
FindOrAddPool(Shard& aShard, std::uint32_t aDataCentre, bool aAccelerators)
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
  auto& pool = aShard.mPools[worker.mPool].mWorkersByFreeMilliCores;
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
    aSlot.mTeam->mReserved += aSlot.mReserved;
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
    slot.mTeam->mReserved -= slot.mReserved;
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
  worker.mDataCentre = FindOrAddDataCentre(aShard, aSpec.mDataCentre);
  worker.mPool = FindOrAddPool(
    aShard, worker.mDataCentre, aSpec.mCapacity.mAccelerators > 0);
  Pool& pool = aShard.mPools[worker.mPool];
  pool.mLargestWorkerMilliCores =
    std::max(pool.mLargestWorkerMilliCores, aSpec.mCapacity.mMilliCores);
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
  for (DataCentreStatus& dataCentre : aShard.mDataCentres) {
    if (dataCentre.mName != aName) {
      continue;
    }
    if (dataCentre.mConfirmedAt && *dataCentre.mConfirmedAt > aSentAt) {
      return; // The latest read known was sent after this one.
    }
    if (dataCentre.mConfirmedAt && !dataCentre.mInService && aInService) {
      dataCentre.mReturnedAt = aNow;
      dataCentre.mMilliCoresStartedSinceReturn = 0;
    }
    dataCentre.mInService = aInService;
    dataCentre.mConfirmedAt = aSentAt;
  }
}

bool
AllowsStart(const Shard& aShard,
            const DataCentreStatus& aDataCentre,
            const ResourceVector& aReservation,
            MonotonicTime aNow)
{
  if (!aDataCentre.mInService || !aDataCentre.mConfirmedAt ||
      aNow - *aDataCentre.mConfirmedAt > aShard.mSettings.mMaxConfirmationAge) {
    return false;
  }
  if (!aDataCentre.mReturnedAt) {
    return true;
  }
  const std::chrono::duration<double> since = aNow - *aDataCentre.mReturnedAt;
  const double share = since.count() * aShard.mSettings.mRampSharePerSecond;
  return share >= 1 ||
         static_cast<double>(aDataCentre.mMilliCoresStartedSinceReturn +
                             aReservation.mMilliCores) <=
           share * static_cast<double>(aDataCentre.mCapacity.mMilliCores);
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
    // The lease of a task that is being stopped isn't renewed, so that the task
    // ends even if the stop never arrives.
    if (slot.mTermination != TaskSlot::Termination::Stopping) {
      plan.mRenew.emplace_back(slot.mJob, slot.mAttempt);
    }
  }
  return plan;
}

} // namespace paddle
