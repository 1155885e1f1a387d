#pragma once

#include <string>
#include <string_view>

#include <LibBase/Log.h>
#include <LibLease/LeaseKeeper.h>
#include <LibTable/RpcPorts.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Settings that every daemon (gateway or scheduler) reads from its settings
/// file at start. The file is JSON with comments and has these fields:
/// member, dataCentre, region, listen, platform {table, objects, hosts,
/// timeoutMs}, logLevel, routingPolicy, placementPolicy,
/// lease {termMs, renewIntervalMs, foreignTakeoverWaitMs}.
struct DaemonSettings
{
  /// This process. The daemon sets the role; the incarnation is set when the
  /// process starts.
  Member mSelf;
  PlatformSettings mPlatform; ///< Addresses and time-out of the platform.
  LogLevel mLogLevel = LogLevel::Info;
  LeaseSettings mLease;
  std::string mRoutingPolicy = "least-outstanding";
  std::string mPlacementPolicy = "learned";
};

/// Parses and validates the settings of a process as a whole.
/// @param aFile name used in errors
/// @return the settings, or all problems, see ParseServiceDocument()
Outcome<DaemonSettings>
ParseDaemonSettings(std::string_view aFile, std::string_view aText);

} // namespace paddle
