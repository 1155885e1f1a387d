#include <LibRouting/RunnerTable.h>

#include <algorithm>

namespace paddle {

namespace {

/// What a shard allows at each of its runners now.
struct ShardAllowance
{
  std::uint32_t mSlots = 0;
  std::uint32_t mWatchSlots = 0;
};

ShardAllowance
AllowanceOf(const ShardState& aShard,
            const ServiceLimits& aLimits,
            MonotonicTime aNow)
{
  if (!aShard.mOwned || aNow < aShard.mShortsFreeFrom) {
    return {};
  }
  const std::uint32_t slots =
    std::min(aLimits.mSlotsPerRunner, aLimits.mConnectionsPerRunner);
  const std::uint32_t watches = std::min(slots, aLimits.mWatchSlotsPerRunner);
  if (aNow < aShard.mWatchesFreeFrom) {
    return { slots - watches, 0 };
  }
  return { slots, watches };
}

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

/// @return the entry of a runner: its own, else a free one, else a new one
std::size_t
EntryFor(ServiceState& aService, const std::string& aName)
{
  std::size_t unused = kNoRunner;
  for (std::size_t i = 0; i < aService.mRunners.size(); ++i) {
    const Runner& runner = aService.mRunners[i];
    if (runner.mName == aName) {
      return i;
    }
    // An entry with slots in use is still referred to by its requests.
    if (!runner.mListed && !runner.mProbing && aService.mLoads[i].mInUse == 0) {
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
  // Known runners stay listed until all entries are assigned, so that a new
  // runner doesn't get the entry of one that is listed too.
  std::vector<bool> listed(service.mRunners.size() + aEvent.mRunners.size());
  for (const ListedRunner& entry : aEvent.mRunners) {
    const std::size_t at = EntryFor(service, entry.mName);
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
  ++load.mInUse;
  if (aKind == RouteKind::Watch) {
    ++load.mWatches;
  }
}

void
FreeSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind)
{
  RunnerLoad& load = aState.mServices[aRunner.mService].mLoads[aRunner.mRunner];
  --load.mInUse;
  if (aKind == RouteKind::Watch) {
    --load.mWatches;
  }
}

void
ReleaseHolds(RoutingState& aState, MonotonicTime aNow)
{
  std::erase_if(aState.mHolds, [&](const SlotHold& aHold) {
    if (aNow < aHold.mUntil) {
      return false;
    }
    FreeSlot(aState, aHold.mRunner, aHold.mKind);
    return true;
  });
}

} // namespace paddle
