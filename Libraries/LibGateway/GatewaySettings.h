#pragma once

#include <cstddef>
#include <string>

#include <LibLease/LeaseKeeper.h>
#include <LibRouting/KeyMemory.h>
#include <LibRouting/RoutingSettings.h>

namespace paddle {

/// Settings of the gateway; the defaults suit every present deployment.
struct GatewaySettings
{
  Member mSelf;
  std::string mPolicy = "least-outstanding";
  RoutingSettings mRouting;
  KeySettings mKeys;
  /// Arrivals beyond half of it are refused; the rest is kept for the ends of
  /// requests, which must never be refused.
  std::size_t mEventCapacity = 8192;
  std::size_t mRecordCapacity = 65536;
  /// Runner shards per service and data centre. Fixed, because a runner must
  /// not change its shard when others come or go.
  std::uint32_t mShardsPerDataCentre = 8;
  Millis mHostInterval{ 1000 };
  Millis mOwnerInterval{ 50 }; ///< Between looks at the shard ownership.
  Millis mSummaryInterval{ 100 };
  Millis mPeerTimeout{ 300 }; ///< Of RPC calls between gateways.
  Millis mProbeTimeout{ 500 };
  Millis mRecordInterval{ 1000 };
};

} // namespace paddle
