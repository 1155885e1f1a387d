#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <LibDocument/ServiceDocument.h>

namespace paddle {

/// What the choice of a runner depends on. Kept small and contiguous, because
/// every decision scans all runners of a service.
struct RunnerLoad
{
  std::uint16_t mUsableSlots = 0; ///< 0 while the runner must get no request.
  std::uint16_t mUsableWatchSlots = 0;
  std::uint16_t mInUse = 0;   ///< Slots in use, watches among them.
  std::uint16_t mWatches = 0; ///< Slots in use by watches.
  float mLatencyUs = 0;       ///< Decayed mean of recent answers.
};

/// @return whether a request of this kind fits into the runner's free slots
inline bool
CanTake(const RunnerLoad& aLoad, RouteKind aKind)
{
  return aLoad.mInUse < aLoad.mUsableSlots &&
         (aKind == RouteKind::Short ||
          aLoad.mWatches < aLoad.mUsableWatchSlots);
}

/// Index that stands for "no runner".
inline constexpr std::size_t kNoRunner = static_cast<std::size_t>(-1);

/// One question to a policy.
struct RunnerQuestion
{
  std::span<const RunnerLoad> mLoads;
  RouteKind mKind = RouteKind::Short;
  std::uint64_t mTurn = 0;             ///< Rises with each question.
  std::span<const std::size_t> mTried; ///< Runners that failed this request.
};

/// @return whether the runner at @p aIndex may be the answer
inline bool
IsCandidate(const RunnerQuestion& aQuestion, std::size_t aIndex)
{
  if (!CanTake(aQuestion.mLoads[aIndex], aQuestion.mKind)) {
    return false;
  }
  for (const std::size_t tried : aQuestion.mTried) {
    if (tried == aIndex) {
      return false;
    }
  }
  return true;
}

/// Plug-in that chooses the runner of a request.
struct RoutingPolicy
{
  /// @return the index of a candidate, or kNoRunner if there is none
  std::size_t (*mChoose)(const RunnerQuestion&) = nullptr;
};

} // namespace paddle
