#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>

namespace paddle {

namespace {

/// The baseline: the first worker with room, reserving what was declared.
/// Evicts on any pressure.
std::optional<WorkerIndex>
ChooseFirst(const Shard& aShard,
            const Job& aJob,
            const Amount& aReserve,
            MonotonicTime aNow)
{
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    if (MayPlace(aShard, aJob, aShard.mWorkers[i], aReserve, aNow)) {
      return i;
    }
  }
  return std::nullopt;
}

const Registration<PlacementPolicy> kFirstFit(
  "first-fit",
  { [](const Shard&, const Job& aJob) { return aJob.mRow.mSpec.mDeclared; },
    ChooseFirst,
    [](Team&, TaskClass, const Amount&, const Amount&) {},
    false,
    PressureAnswer::EvictAtOnce });

} // namespace

} // namespace paddle
