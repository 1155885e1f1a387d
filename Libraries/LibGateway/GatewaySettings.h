#pragma once

#include <cstddef>
#include <string>

#include <LibLease/LeaseKeeper.h>
#include <LibRouting/KeyMemory.h>
#include <LibRouting/RoutingSettings.h>

namespace paddle {

/// Settings of one gateway.
struct GatewaySettings
{
  Member mSelf; ///< This gateway as the other members see it.
  /// Name under which the routing policy is registered.
  std::string mPolicy = "least-outstanding";
  RoutingSettings mRouting;
  KeySettings mKeys;
  /// Number of events that the queue of the routing thread can hold. New
  /// requests may fill half of it; the other half is reserved for events that
  /// end a request, which must never be dropped.
  std::size_t mEventCapacity = 8192;
  /// Number of decision records that may wait until they are stored.
  std::size_t mRecordCapacity = 65536;
  /// Number of runner shards per service and data centre. The number is
  /// fixed, because a runner must not change its shard when other runners are
  /// added or removed.
  std::uint32_t mShardsPerDataCentre = 8;
  Millis mHostListInterval{ 1000 }; ///< Between reads of the host list.
  Millis mOwnershipInterval{ 50 };  ///< Between checks of shard ownership.
  Millis mSummaryInterval{ 100 };   ///< Between summaries sent to peers.
  Millis mPeerTimeout{ 300 };       ///< Of an RPC call between gateways.
  Millis mProbeTimeout{ 500 };      ///< Of one health probe of a runner.
  Millis mRecordInterval{ 1000 };   ///< Between stores of decision records.
};

} // namespace paddle
