#include <LibKernel/Registry.h>
#include <LibRouting/RoutingPolicy.h>

namespace paddle {

namespace {

/// Chooses the next runner with a free slot, whatever its load. This policy is
/// the baseline that other policies are compared with.
std::size_t
ChooseRoundRobin(const RunnerQuery& aQuery)
{
  const std::size_t count = aQuery.mLoads.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (aQuery.mQueryNumber + i) % count;
    if (IsCandidate(aQuery, index)) {
      return index;
    }
  }
  return kNoRunner;
}

const Registration<RoutingPolicy> kRoundRobin("round-robin",
                                              RoutingPolicy{
                                                ChooseRoundRobin });

} // namespace

} // namespace paddle
