#pragma once

#include <cstddef>
#include <cstdint>

#include <LibTime/Time.h>

namespace paddle {

/// Constants of the routing decisions. Tests and benchmarks may change them.
struct RoutingSettings
{
  /// Number of consecutive failures on new connections after which a runner
  /// gets no requests until a probe succeeds.
  std::uint32_t mFailuresUntilSuspect = 3;
  Millis mProbeInterval{ 500 }; ///< Between probes of a failing runner.
  std::uint32_t mMaxTries = 3;  ///< The first try and at most two retries.
  /// Longest time from the assignment of a slot until the request is sent. It
  /// equals the time-out for connecting.
  Millis mMaxSendDelay{ 500 };
  /// Bound on the waiting requests of a service, because each of them occupies
  /// an HTTP thread.
  std::size_t mMaxWaitingRequests = 100;
  /// A peer sends its summary every 100 ms. An older summary than this is
  /// ignored.
  Millis mMaxSummaryAge{ 500 };
  /// Weight of a new answer in the exponentially decayed mean latencies.
  double mLatencySmoothing = 0.1;
};

/// Limits of a service, which its document sets.
struct ServiceLimits
{
  std::uint32_t mSlotsPerRunner = 8;
  std::uint32_t mConnectionsPerRunner = 64;
  std::uint32_t mWatchSlotsPerRunner = 2; ///< Part of mSlotsPerRunner.
  Millis mLongestRun{ 4000 }; ///< Longest run of a short request at a runner.
  Millis mLongestWatch{ 120000 }; ///< Longest run of a watch at a runner.
};

} // namespace paddle
