#include <LibTable/HostJson.h>

#include <json/json.h>
#include <string>
#include <utility>

namespace paddle {

namespace {

/// @return the error for a member that is absent or malformed
Error
MalformedMember(const Json::Value& aHost, const char* aMember)
{
  const std::string name = aHost.isObject() && aHost["name"].isString()
                             ? aHost["name"].asString()
                             : "(no name)";
  return Error{ ErrorKind::InvalidInput,
                "host \"" + name + "\": member \"" + aMember +
                  "\" is absent or malformed" };
}

/// String members that every entry must have.
constexpr const char* kRequiredTextMembers[] = { "name",   "kind",
                                                 "state",  "dataCentre",
                                                 "region", "address" };

/// Members that an entry may lack, because they apply to one kind of host only.
constexpr const char* kOptionalTextMembers[] = { "rack", "service" };
constexpr const char* kOptionalNumberMembers[] = { "cores",
                                                   "memoryMb",
                                                   "accelerators" };

/// @return the name of the first member that is absent although required, has
///         the wrong type or an unknown value; null if there is none. The
///         address is only checked to be a string.
const char*
FirstMalformedMember(const Json::Value& aHost)
{
  for (const char* member : kRequiredTextMembers) {
    if (!aHost[member].isString()) {
      return member;
    }
  }
  for (const char* member : kOptionalTextMembers) {
    if (aHost.isMember(member) && !aHost[member].isString()) {
      return member;
    }
  }
  for (const char* member : kOptionalNumberMembers) {
    if (aHost.isMember(member) && !aHost[member].isUInt()) {
      return member;
    }
  }
  const std::string kind = aHost["kind"].asString();
  if (kind != "worker" && kind != "runner") {
    return "kind";
  }
  const std::string state = aHost["state"].asString();
  return state == "live" || state == "leaving" ? nullptr : "state";
}

} // namespace

Outcome<HostEntry>
ParseHost(const Json::Value& aHost)
{
  if (!aHost.isObject()) {
    return Error{ ErrorKind::InvalidInput,
                  "an entry of the host list is not an object" };
  }
  if (const char* malformed = FirstMalformedMember(aHost)) {
    return MalformedMember(aHost, malformed);
  }
  const Outcome<Endpoint> address = ParseEndpoint(aHost["address"].asString());
  if (!Succeeded(address)) {
    return MalformedMember(aHost, "address");
  }
  HostEntry host;
  host.mName = aHost["name"].asString();
  host.mKind =
    aHost["kind"].asString() == "worker" ? HostKind::Worker : HostKind::Runner;
  host.mState =
    aHost["state"].asString() == "live" ? HostState::Live : HostState::Leaving;
  host.mAddress = ValueOf(address);
  host.mDataCentre = aHost["dataCentre"].asString();
  host.mRegion = aHost["region"].asString();
  host.mRack = aHost["rack"].asString();
  host.mService = aHost["service"].asString();
  host.mCores = aHost["cores"].asUInt();
  host.mMemoryMb = aHost["memoryMb"].asUInt();
  host.mAccelerators = aHost["accelerators"].asUInt();
  return host;
}

Outcome<std::vector<HostEntry>>
ParseHosts(const Json::Value& aHosts)
{
  const Json::Value& list = aHosts.isObject() ? aHosts["hosts"] : aHosts;
  if (!list.isArray()) {
    return Error{ ErrorKind::InvalidInput, "the host list is not an array" };
  }
  std::vector<HostEntry> hosts;
  hosts.reserve(list.size());
  for (const Json::Value& item : list) {
    Outcome<HostEntry> host = ParseHost(item);
    if (!Succeeded(host)) {
      return ErrorOf(host);
    }
    hosts.push_back(std::move(ValueOf(host)));
  }
  return hosts;
}

Json::Value
HostToJson(const HostEntry& aHost)
{
  Json::Value out(Json::objectValue);
  out["name"] = aHost.mName;
  out["kind"] = aHost.mKind == HostKind::Worker ? "worker" : "runner";
  out["state"] = aHost.mState == HostState::Live ? "live" : "leaving";
  out["address"] = ToText(aHost.mAddress);
  out["dataCentre"] = aHost.mDataCentre;
  out["region"] = aHost.mRegion;
  out["rack"] = aHost.mRack;
  out["service"] = aHost.mService;
  out["cores"] = aHost.mCores;
  out["memoryMb"] = Json::UInt64(aHost.mMemoryMb);
  out["accelerators"] = aHost.mAccelerators;
  return out;
}

Json::Value
HostsToJson(std::span<const HostEntry> aHosts)
{
  Json::Value hosts(Json::arrayValue);
  for (const HostEntry& host : aHosts) {
    hosts.append(HostToJson(host));
  }
  return hosts;
}

} // namespace paddle
