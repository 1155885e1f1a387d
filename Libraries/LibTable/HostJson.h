#pragma once

#include <json/value.h>
#include <span>
#include <vector>

#include <LibTable/HostList.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Parses one entry in the format of hosts.list.
Outcome<HostEntry>
ParseHost(const Json::Value& aHost);

/// Parses a list of entries in the format of hosts.list.
/// @param aHosts the list, or an object that holds it as "hosts", as the answer
///               of hosts.list does
/// @return the entries, or an error that names the first malformed one
Outcome<std::vector<HostEntry>>
ParseHosts(const Json::Value& aHosts);

Json::Value
HostToJson(const HostEntry& aHost);

Json::Value
HostsToJson(std::span<const HostEntry> aHosts);

} // namespace paddle
