#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>

namespace paddle {

namespace {

/// The most workers looked at from either end of a pool, which bounds the
/// time of one placement.
constexpr int kMostTried = 32;

Amount
ReserveLearned(const Shard&, const Job& aJob)
{
  const JobSpec& spec = aJob.mRow.mSpec;
  const UsageModel& model =
    aJob.mTeam->mUsage[static_cast<std::size_t>(spec.mClass)];
  return Largest(spec.mDeclared, Expected(model, spec.mDeclared));
}

/// The fullest worker that has room, so that large tasks keep finding room;
/// then the emptiest ones, where another resource than processors is scarce.
std::optional<WorkerIndex>
ChooseInPool(const Shard& aShard,
             const Pool& aPool,
             const Job& aJob,
             const Amount& aReserve,
             MonotonicTime aNow)
{
  const auto may = [&](WorkerIndex aWorker) {
    return MayPlace(aShard, aJob, aShard.mWorkers[aWorker], aReserve, aNow);
  };
  const std::int64_t cores =
    std::min(aReserve.mMilliCores, aPool.mLargestCores);
  const auto lowest = aPool.mByFree.lower_bound({ cores, 0 });
  auto candidate = lowest;
  for (int i = 0; i < kMostTried; ++i, ++candidate) {
    if (candidate == aPool.mByFree.end()) {
      return std::nullopt;
    }
    if (may(candidate->second)) {
      return candidate->second;
    }
  }
  candidate = aPool.mByFree.end();
  for (int i = 0; i < kMostTried && candidate != lowest; ++i) {
    --candidate;
    if (may(candidate->second)) {
      return candidate->second;
    }
  }
  return std::nullopt;
}

/// Workers with accelerators are left to tasks that need them, as long as
/// others have room.
std::optional<WorkerIndex>
ChooseBestFit(const Shard& aShard,
              const Job& aJob,
              const Amount& aReserve,
              MonotonicTime aNow)
{
  std::optional<WorkerIndex> best;
  for (const bool accelerators : { false, true }) {
    if (best || (!accelerators && aReserve.mAccelerators > 0)) {
      continue;
    }
    for (const Pool& pool : aShard.mPools) {
      if (pool.mAccelerators != accelerators ||
          !GateOpen(aShard, aShard.mDataCentres[pool.mDataCentre], {}, aNow)) {
        continue;
      }
      const auto found = ChooseInPool(aShard, pool, aJob, aReserve, aNow);
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
       const Amount& aDeclared,
       const Amount& aUsed) {
      Learn(aTeam.mUsage[static_cast<std::size_t>(aClass)], aDeclared, aUsed);
    },
    true,
    PressureAnswer::Stepwise });

} // namespace

} // namespace paddle
