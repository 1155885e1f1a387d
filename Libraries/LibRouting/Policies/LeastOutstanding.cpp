#include <LibKernel/Registry.h>
#include <LibRouting/RoutingPolicy.h>

namespace paddle {

namespace {

/// Chooses the runner with the least outstanding work, then the lowest recent
/// latency. The scan starts at the turn, so that equal runners take turns.
std::size_t
ChooseLeastOutstanding(const RunnerQuestion& aQuestion)
{
  const std::size_t count = aQuestion.mLoads.size();
  std::size_t best = kNoRunner;
  std::size_t index = count == 0 ? 0 : aQuestion.mTurn % count;
  for (std::size_t i = 0; i < count; ++i, ++index) {
    if (index == count) {
      index = 0;
    }
    if (!IsCandidate(aQuestion, index)) {
      continue;
    }
    if (best == kNoRunner) {
      best = index;
      continue;
    }
    const RunnerLoad& load = aQuestion.mLoads[index];
    const RunnerLoad& least = aQuestion.mLoads[best];
    if (load.mInUse < least.mInUse ||
        (load.mInUse == least.mInUse && load.mLatencyUs < least.mLatencyUs)) {
      best = index;
    }
  }
  return best;
}

const Registration<RoutingPolicy> kLeastOutstanding("least-outstanding",
                                                    RoutingPolicy{
                                                      ChooseLeastOutstanding });

} // namespace

} // namespace paddle
