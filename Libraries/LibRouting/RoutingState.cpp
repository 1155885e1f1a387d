#include <LibRouting/RoutingState.h>

#include <algorithm>

namespace paddle {

std::size_t
FindService(const RoutingState& aState, std::string_view aName)
{
  for (std::size_t i = 0; i < aState.mServices.size(); ++i) {
    if (aState.mServices[i].mName == aName) {
      return i;
    }
  }
  return kNoService;
}

PeerFree
FreeSlots(const ServiceState& aService)
{
  PeerFree free;
  for (const RunnerLoad& load : aService.mLoads) {
    if (load.mInUse >= load.mUsableSlots) {
      continue;
    }
    const auto slots =
      static_cast<std::uint32_t>(load.mUsableSlots - load.mInUse);
    free.mSlots += slots;
    if (load.mWatches < load.mUsableWatchSlots) {
      free.mWatchSlots +=
        std::min<std::uint32_t>(slots, load.mUsableWatchSlots - load.mWatches);
    }
  }
  return free;
}

bool
IsQuiescent(const RoutingState& aState,
            std::string_view aShard,
            MonotonicTime aNow)
{
  // This counts while the keeper withholds the shard for a hand-over too, so
  // mOwned doesn't matter.
  const auto shard = aState.mShards.find(aShard);
  if (shard != aState.mShards.end() && aNow < shard->second.mShortsFreeFrom) {
    return false;
  }
  for (const ServiceState& service : aState.mServices) {
    for (std::size_t i = 0; i < service.mRunners.size(); ++i) {
      if (service.mRunners[i].mShard == aShard &&
          service.mLoads[i].mInUse > service.mLoads[i].mWatches) {
        return false;
      }
    }
  }
  return true;
}

} // namespace paddle
