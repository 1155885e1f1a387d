#pragma once

#include <json/value.h>

#include <LibTime/Outcome.h>
#include <StandIns/Platform/PlatformService.h>

namespace paddle {

/// Serves the RPC method standin.fault, with which tests inject faults. The
/// parameters hold one member per fault:
/// - "outage" {"on"}: each request fails as unavailable
/// - "delay" {"ms"}: each request is delayed before it takes effect
/// - "loseAnswers" {"count"}: answers of the next transactions are dropped
/// - "cutFrom" {"members", "mode": "refuse" or "silent"}: a network partition
///   from exactly these members
/// - "host" {"name", "state": "live", "leaving" or "removed"}: changes a host
/// - "addHost": adds a host, an entry in the format of hosts.list
/// @return an empty object, or the error of the first fault that is invalid;
///         faults before it in the order of their names stay in force
Outcome<Json::Value>
ApplyFault(Platform& aPlatform, const Json::Value& aParameters);

/// Serves the RPC method standin.stats.
/// @return reads, rowsRead, writes, conflicts, objectReads, objectWrites,
///         bytesIn, bytesOut, the seconds since the start, and the bytes per
///         second over that time
Json::Value
PlatformStats(const Platform& aPlatform);

} // namespace paddle
