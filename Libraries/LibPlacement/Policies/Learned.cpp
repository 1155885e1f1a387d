#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>

namespace paddle {

namespace {

/// The maximum number of workers examined from either end of a pool. It bounds
/// the time of one placement.
constexpr int kMaxWorkersTried = 32;

/// @return the usage that the team's model expects, but at least what the job
///         declares
ResourceVector
ReserveLearned(const Shard&, const Job& aJob)
{
  const JobSpec& spec = aJob.mRow.mSpec;
  const UsageModel& model =
    aJob.mTeam->mUsageModels[static_cast<std::size_t>(spec.mClass)];
  return ElementwiseMax(spec.mDeclared, ExpectedUsage(model, spec.mDeclared));
}

/// Chooses the worker with the fewest free cores that has room, so that room
/// for large tasks is left on other workers. If the first workers lack another
/// resource, those with the most free cores are tried.
/// @return the worker, or nothing if no worker that was tried has room
std::optional<WorkerIndex>
ChooseInPool(const Shard& aShard,
             const Pool& aPool,
             const Job& aJob,
             const ResourceVector& aReservation,
             MonotonicTime aNow)
{
  const auto mayPlace = [&](WorkerIndex aWorker) {
    return MayPlace(aShard, aJob, aShard.mWorkers[aWorker], aReservation, aNow);
  };
  const std::int64_t cores =
    std::min(aReservation.mMilliCores, aPool.mLargestWorkerMilliCores);
  const auto lowest = aPool.mWorkersByFreeMilliCores.lower_bound({ cores, 0 });
  auto candidate = lowest;
  for (int i = 0; i < kMaxWorkersTried; ++i, ++candidate) {
    if (candidate == aPool.mWorkersByFreeMilliCores.end()) {
      return std::nullopt;
    }
    if (mayPlace(candidate->second)) {
      return candidate->second;
    }
  }
  candidate = aPool.mWorkersByFreeMilliCores.end();
  for (int i = 0; i < kMaxWorkersTried && candidate != lowest; ++i) {
    --candidate;
    if (mayPlace(candidate->second)) {
      return candidate->second;
    }
  }
  return std::nullopt;
}

/// Chooses the worker with the fewest free cores of those that ChooseInPool()
/// finds. A worker with accelerators is used for a task that needs none only if
/// no other worker has room.
std::optional<WorkerIndex>
ChooseBestFit(const Shard& aShard,
              const Job& aJob,
              const ResourceVector& aReservation,
              MonotonicTime aNow)
{
  std::optional<WorkerIndex> best;
  for (const bool accelerators : { false, true }) {
    if (best || (!accelerators && aReservation.mAccelerators > 0)) {
      continue;
    }
    for (const Pool& pool : aShard.mPools) {
      if (pool.mAccelerators != accelerators ||
          !AllowsStart(
            aShard, aShard.mDataCentres[pool.mDataCentre], {}, aNow)) {
        continue;
      }
      const auto found = ChooseInPool(aShard, pool, aJob, aReservation, aNow);
      if (found && (!best || aShard.mWorkers[*found].mFree.mMilliCores <
                               aShard.mWorkers[*best].mFree.mMilliCores)) {
        best = found;
      }
    }
  }
  return best;
}

const Registration<PlacementPolicy> kLearned(
  "learned",
  { ReserveLearned,
    ChooseBestFit,
    [](Team& aTeam,
       TaskClass aClass,
       const ResourceVector& aDeclared,
       const ResourceVector& aUsed) {
      UpdateUsageModel(
        aTeam.mUsageModels[static_cast<std::size_t>(aClass)], aDeclared, aUsed);
    },
    true,
    InterferenceResponse::EscalateInSteps });

} // namespace

} // namespace paddle
