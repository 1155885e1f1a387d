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

PeerFreeSlots
FreeSlots(const ServiceState& aService)
{
  PeerFreeSlots free;
  for (const RunnerLoad& load : aService.mLoads) {
    if (load.mSlotsInUse >= load.mUsableSlots) {
      continue;
    }
    const auto slots =
      static_cast<std::uint32_t>(load.mUsableSlots - load.mSlotsInUse);
    free.mSlots += slots;
    if (load.mWatchSlotsInUse < load.mUsableWatchSlots) {
      free.mWatchSlots += std::min<std::uint32_t>(
        slots, load.mUsableWatchSlots - load.mWatchSlotsInUse);
    }
  }
  return free;
}

bool
IsQuiescent(const RoutingState& aState,
            std::string_view aShard,
            MonotonicTime aNow)
{
  // The lease keeper reports the shard as not owned while it waits for this
  // function before a hand-over, so mOwned does not matter here.
  const auto shard = aState.mShards.find(aShard);
  if (shard != aState.mShards.end() &&
      aNow < shard->second.mShortRequestsEndBy) {
    return false;
  }
  for (const ServiceState& service : aState.mServices) {
    for (std::size_t i = 0; i < service.mRunners.size(); ++i) {
      if (service.mRunners[i].mShard == aShard &&
          service.mLoads[i].mSlotsInUse > service.mLoads[i].mWatchSlotsInUse) {
        return false;
      }
    }
  }
  return true;
}

} // namespace paddle
