#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>

namespace paddle {

namespace {

/// Chooses the first worker with room. The first-fit policy reserves what was
/// declared and evicts a batch task on any interference; it is the baseline for
/// comparisons with other policies.
std::optional<WorkerIndex>
ChooseFirst(const Shard& aShard,
            const Job& aJob,
            const ResourceVector& aReservation,
            MonotonicTime aNow)
{
  for (WorkerIndex i = 0; i < aShard.mWorkers.size(); ++i) {
    if (MayPlace(aShard, aJob, aShard.mWorkers[i], aReservation, aNow)) {
      return i;
    }
  }
  return std::nullopt;
}

const Registration<PlacementPolicy> kFirstFit(
  "first-fit",
  { [](const Shard&, const Job& aJob) { return aJob.mRow.mSpec.mDeclared; },
    ChooseFirst,
    [](Team&, TaskClass, const ResourceVector&, const ResourceVector&) {},
    false,
    InterferenceResponse::EvictImmediately });

} // namespace

} // namespace paddle
