#pragma once

#include <cstddef>
#include <cstdint>

#include <LibTime/Time.h>

namespace paddle {

/// Constants of the routing decisions, in one place for tests and benches.
struct RoutingSettings
{
  std::uint32_t mFailuresUntilSuspect = 3;
  Millis mProbeInterval{ 500 };
  std::uint32_t mMostTries = 3; ///< The first and at most two more.
  /// From the assignment of a slot until the request is sent: the time-out of
  /// a connect.
  Millis mLongestSend{ 500 };
  /// Bound on waiting requests of a service; each holds an HTTP thread.
  std::size_t mMostWaiting = 100;
  /// A summary is sent every 100 ms; one older than this is not trusted.
  Millis mSummaryLifetime{ 500 };
  /// Share of a new answer in the decayed means.
  double mNewLatencyShare = 0.1;
};

/// Limits of a service that come from its document.
struct ServiceLimits
{
  std::uint32_t mSlotsPerRunner = 8;
  std::uint32_t mConnectionsPerRunner = 64;
  std::uint32_t mWatchSlotsPerRunner = 2;
  Millis mLongestRun{ 4000 }; ///< Of a short request at a runner.
  Millis mLongestWatch{ 120000 };
};

} // namespace paddle
