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
  Millis mHostListInterval{ 1000 }; ///< Interval of reads of the host list.
  Millis mOwnershipInterval{ 50 };  ///< Interval of checks of shard ownership.
  Millis mSummaryInterval{ 100 };   ///< Interval of exchanges with peers.
  Millis mPeerTimeout{ 300 };       ///< Time-out of an RPC call to a peer.
  Millis mProbeTimeout{ 500 };      ///< Time-out of a health probe.
  Millis mRecordInterval{ 1000 };   ///< Interval of stores of records.
};

} // namespace paddle
