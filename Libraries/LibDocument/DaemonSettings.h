#pragma once

#include <string>
#include <string_view>

#include <LibBase/Log.h>
#include <LibLease/LeaseKeeper.h>
#include <LibTable/RpcPorts.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Settings that every daemon has. The file is JSON with comments:
/// member, dataCentre, region, listen, platform {table, objects, hosts,
/// timeoutMs}, logLevel, routingPolicy, placementPolicy,
/// lease {termMs, renewIntervalMs, foreignTakeoverWaitMs}.
struct DaemonSettings
{
  Member mSelf; ///< The role is set by the daemon, the incarnation at start.
  PlatformSettings mPlatform;
  LogLevel mLogLevel = LogLevel::Info;
  LeaseSettings mLease;
  std::string mRoutingPolicy = "least-outstanding";
  std::string mPlacementPolicy = "learned";
};

/// Parses and checks settings as a whole, see ParseServiceDocument().
Outcome<DaemonSettings>
ParseDaemonSettings(std::string_view aFile, std::string_view aText);

} // namespace paddle
