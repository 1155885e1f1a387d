#pragma once

#include <json/value.h>

#include <LibTime/Outcome.h>
#include <StandIns/Platform/PlatformService.h>

namespace paddle {

/// Answers standin.fault. The parameters hold one member per fault:
/// "outage" {"on"}, "delay" {"ms"}, "loseAnswers" {"count"},
/// "cutFrom" {"members", "mode": "refuse" or "silent"},
/// "host" {"name", "state": "live", "leaving" or "removed"} and
/// "addHost", an entry in the format of hosts.list.
Outcome<Json::Value>
ApplyFault(Platform& aPlatform, const Json::Value& aParameters);

/// Answers standin.stats: reads, rowsRead, writes, conflicts, objectReads,
/// objectWrites, bytesIn, bytesOut, seconds since the start, and the bytes
/// per second over that time.
Json::Value
PlatformStats(const Platform& aPlatform);

} // namespace paddle
