#pragma once

#include <json/value.h>
#include <span>
#include <vector>

#include <LibTable/HostList.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Parses one host entry as the RPC method hosts.list returns it.
/// @return the entry, or an error that names the first malformed member
Outcome<HostEntry>
ParseHost(const Json::Value& aHost);

/// Parses a list of host entries as the RPC method hosts.list returns them.
/// @param aHosts an array of entries, or an object with this array as its
///               member "hosts" (the result of hosts.list)
/// @return the entries, or an error that names the first malformed one
Outcome<std::vector<HostEntry>>
ParseHosts(const Json::Value& aHosts);

/// @return the entry as ParseHost() reads it
Json::Value
HostToJson(const HostEntry& aHost);

/// @return an array of entries as ParseHosts() reads it
Json::Value
HostsToJson(std::span<const HostEntry> aHosts);

} // namespace paddle
