#include <LibRouting/RunnerTable.h>

#include <algorithm>

namespace paddle {

namespace {

/// The number of slots that may be used now at a runner.
struct ShardAllowance
{
  std::uint32_t mSlots = 0;
  std::uint32_t mWatchSlots = 0;
};

/// @return the slots that may be used now at each runner of a shard
ShardAllowance
AllowanceOf(const ShardState& aShard,
            const ServiceLimits& aLimits,
            MonotonicTime aNow)
{
  if (!aShard.mOwned || aNow < aShard.mShortRequestsEndBy) {
    return {};
  }
  const std::uint32_t slots =
    std::min(aLimits.mSlotsPerRunner, aLimits.mConnectionsPerRunner);
  const std::uint32_t watches = std::min(slots, aLimits.mWatchSlotsPerRunner);
  if (aNow < aShard.mWatchesEndBy) {
    return { slots - watches, 0 };
  }
  return { slots, watches };
}

/// @return the slots that may be used now at a runner: none if it is not
///         usable, else those of its shard
ShardAllowance
AllowanceOf(const RoutingState& aState,
            const ServiceState& aService,
            const Runner& aRunner,
            MonotonicTime aNow)
{
  if (!aRunner.mListed || aRunner.mLeaving || aRunner.mSuspect) {
    return {};
  }
  const auto shard = aState.mShards.find(aRunner.mShard);
  if (shard == aState.mShards.end()) {
    return {};
  }
  return AllowanceOf(shard->second, aService.mLimits, aNow);
}

/// @return the index of the entry of a runner: its own entry if there is one,
///         else an unused or a new one
std::size_t
FindOrAddRunner(ServiceState& aService, const std::string& aName)
{
  std::size_t unused = kNoRunner;
  for (std::size_t i = 0; i < aService.mRunners.size(); ++i) {
    const Runner& runner = aService.mRunners[i];
    if (runner.mName == aName) {
      return i;
    }
    // Requests in flight still refer to an entry with slots in use.
    if (!runner.mListed && !runner.mProbeInProgress &&
        aService.mLoads[i].mSlotsInUse == 0) {
      unused = i;
    }
  }
  if (unused == kNoRunner) {
    aService.mRunners.emplace_back();
    aService.mLoads.emplace_back();
    unused = aService.mRunners.size() - 1;
  }
  aService.mRunners[unused] = Runner{};
  aService.mRunners[unused].mName = aName;
  aService.mLoads[unused] = RunnerLoad{};
  return unused;
}

} // namespace

void
RefreshUsableSlots(RoutingState& aState,
                   ServiceState& aService,
                   MonotonicTime aNow)
{
  for (std::size_t i = 0; i < aService.mRunners.size(); ++i) {
    const ShardAllowance allowance =
      AllowanceOf(aState, aService, aService.mRunners[i], aNow);
    aService.mLoads[i].mUsableSlots =
      static_cast<std::uint16_t>(allowance.mSlots);
    aService.mLoads[i].mUsableWatchSlots =
      static_cast<std::uint16_t>(allowance.mWatchSlots);
  }
}

void
RefreshAllUsableSlots(RoutingState& aState, MonotonicTime aNow)
{
  for (ServiceState& service : aState.mServices) {
    RefreshUsableSlots(aState, service, aNow);
  }
}

void
UpdateRunners(RoutingState& aState, const ServiceListed& aEvent)
{
  std::size_t index = FindService(aState, aEvent.mName);
  if (index == kNoService) {
    index = aState.mServices.size();
    aState.mServices.emplace_back().mName = aEvent.mName;
  }
  ServiceState& service = aState.mServices[index];
  service.mLimits = aEvent.mLimits;
  // Known runners stay marked as listed until all entries are assigned, so that
  // a new runner does not get the entry of another one in the list.
  std::vector<bool> listed(service.mRunners.size() + aEvent.mRunners.size());
  for (const ListedRunner& entry : aEvent.mRunners) {
    const std::size_t at = FindOrAddRunner(service, entry.mName);
    listed[at] = true;
    Runner& runner = service.mRunners[at];
    runner.mListed = true;
    runner.mHost = entry.mHost;
    runner.mPort = entry.mPort;
    runner.mShard = entry.mShard;
    runner.mLeaving = entry.mLeaving;
  }
  for (std::size_t i = 0; i < service.mRunners.size(); ++i) {
    service.mRunners[i].mListed = listed[i];
  }
}

void
TakeSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind)
{
  RunnerLoad& load = aState.mServices[aRunner.mService].mLoads[aRunner.mRunner];
  ++load.mSlotsInUse;
  if (aKind == RouteKind::Watch) {
    ++load.mWatchSlotsInUse;
  }
}

void
ReleaseSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind)
{
  RunnerLoad& load = aState.mServices[aRunner.mService].mLoads[aRunner.mRunner];
  --load.mSlotsInUse;
  if (aKind == RouteKind::Watch) {
    --load.mWatchSlotsInUse;
  }
}

void
ReleaseExpiredHolds(RoutingState& aState, MonotonicTime aNow)
{
  std::erase_if(aState.mSlotHolds, [&](const SlotHold& aHold) {
    if (aNow < aHold.mUntil) {
      return false;
    }
    ReleaseSlot(aState, aHold.mRunner, aHold.mKind);
    return true;
  });
}

} // namespace paddle
