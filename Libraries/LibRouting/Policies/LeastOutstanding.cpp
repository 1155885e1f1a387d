#include <LibKernel/Registry.h>
#include <LibRouting/RoutingPolicy.h>

#include <bit>
#include <limits>

namespace paddle {

namespace {

/// Rank of a runner; the runner with the lowest score is chosen.
using Score = std::uint64_t;

/// Score of a runner that must not be chosen.
constexpr Score kNotACandidate = std::numeric_limits<Score>::max();

/// The runner with the lowest score so far.
struct Best
{
  Score mScore = kNotACandidate;
  std::size_t mIndex = kNoRunner;
};

/// @return the score of a runner, which orders runners by slots in use and then
///         by recent latency. Floats that are not negative have the same order
///         as their bits.
template<RouteKind Kind>
Score
ScoreOf(const RunnerLoad& aLoad)
{
  const Score score = (Score{ aLoad.mSlotsInUse } << 32) |
                      std::bit_cast<std::uint32_t>(aLoad.mLatencyUs);
  return HasFreeSlot(aLoad, Kind) ? score : kNotACandidate;
}

/// Scans a range of runners without a branch that depends on their load. With
/// such branches a request at 200 runners took 1.5 us of processor time, and
/// without them 0.7 us (program measure-routing).
template<RouteKind Kind>
void
Scan(std::span<const RunnerLoad> aLoads,
     std::size_t aBegin,
     std::size_t aEnd,
     Best& aBest)
{
  Score score = aBest.mScore;
  std::size_t best = aBest.mIndex;
  for (std::size_t i = aBegin; i < aEnd; ++i) {
    const Score candidate = ScoreOf<Kind>(aLoads[i]);
    const bool less = candidate < score;
    score = less ? candidate : score;
    best = less ? i : best;
  }
  aBest = { score, best };
}

/// Scans all runners except those that have failed the request. Few requests
/// need this slower scan.
template<RouteKind Kind>
void
ScanUntried(const RunnerQuery& aQuery, std::size_t aBegin, Best& aBest)
{
  const std::size_t count = aQuery.mLoads.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (aBegin + i) % count;
    const Score score = ScoreOf<Kind>(aQuery.mLoads[index]);
    if (score < aBest.mScore && IsCandidate(aQuery, index)) {
      aBest = { score, index };
    }
  }
}

/// Chooses the runner with the lowest score. The scan starts at another runner
/// for each query, so that requests spread over runners with equal scores.
template<RouteKind Kind>
std::size_t
Choose(const RunnerQuery& aQuery)
{
  const std::size_t count = aQuery.mLoads.size();
  const std::size_t begin = count == 0 ? 0 : aQuery.mQueryNumber % count;
  Best best;
  if (aQuery.mTriedRunners.empty()) {
    Scan<Kind>(aQuery.mLoads, begin, count, best);
    Scan<Kind>(aQuery.mLoads, 0, begin, best);
  } else {
    ScanUntried<Kind>(aQuery, begin, best);
  }
  return best.mIndex;
}

/// Chooses the runner with the fewest slots in use and, among those, the lowest
/// recent latency.
std::size_t
ChooseLeastOutstanding(const RunnerQuery& aQuery)
{
  return aQuery.mKind == RouteKind::Watch ? Choose<RouteKind::Watch>(aQuery)
                                          : Choose<RouteKind::Short>(aQuery);
}

const Registration<RoutingPolicy> kLeastOutstanding("least-outstanding",
                                                    RoutingPolicy{
                                                      ChooseLeastOutstanding });

} // namespace

} // namespace paddle
