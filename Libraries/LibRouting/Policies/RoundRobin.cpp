#include <LibKernel/Registry.h>
#include <LibRouting/RoutingPolicy.h>

namespace paddle {

namespace {

/// Baseline: chooses the next runner with a free slot, whatever its load.
std::size_t
ChooseRoundRobin(const RunnerQuestion& aQuestion)
{
  const std::size_t count = aQuestion.mLoads.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (aQuestion.mTurn + i) % count;
    if (IsCandidate(aQuestion, index)) {
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
