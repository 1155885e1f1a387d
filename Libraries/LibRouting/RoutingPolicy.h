#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <LibDocument/ServiceDocument.h>

namespace paddle {

/// The load of one runner. It is small and stored contiguously, because each
/// decision scans all runners of a service.
struct RunnerLoad
{
  /// Slots that requests may use; 0 while the runner must not get a request.
  std::uint16_t mUsableSlots = 0;
  std::uint16_t mUsableWatchSlots = 0; ///< Slots that watches may use.
  std::uint16_t mSlotsInUse = 0;       ///< Includes the slots of watches.
  std::uint16_t mWatchSlotsInUse = 0;
  float mLatencyUs = 0; ///< Decayed mean latency of answers.
};

/// @return whether the runner has a free slot for a request of this kind
inline bool
HasFreeSlot(const RunnerLoad& aLoad, RouteKind aKind)
{
  return aLoad.mSlotsInUse < aLoad.mUsableSlots &&
         (aKind == RouteKind::Short ||
          aLoad.mWatchSlotsInUse < aLoad.mUsableWatchSlots);
}

/// Index that means that there is no runner.
inline constexpr std::size_t kNoRunner = static_cast<std::size_t>(-1);

/// The input of a policy for the choice of one runner.
struct RunnerQuery
{
  std::span<const RunnerLoad> mLoads;
  RouteKind mKind = RouteKind::Short;
  std::uint64_t mQueryNumber = 0; ///< Increases with each query to a service.
  std::span<const std::size_t> mTriedRunners; ///< Runners that failed it.
};

/// @return whether the runner at @p aIndex may be chosen: it has a free slot
///         and has not failed this request
inline bool
IsCandidate(const RunnerQuery& aQuery, std::size_t aIndex)
{
  if (!HasFreeSlot(aQuery.mLoads[aIndex], aQuery.mKind)) {
    return false;
  }
  for (const std::size_t tried : aQuery.mTriedRunners) {
    if (tried == aIndex) {
      return false;
    }
  }
  return true;
}

/// Plug-in that chooses the runner for a request.
struct RoutingPolicy
{
  /// @return the index of a candidate, or kNoRunner if there is none
  std::size_t (*mChoose)(const RunnerQuery&) = nullptr;
};

} // namespace paddle
