#include <StandIns/Platform/FaultMethods.h>

#include <LibTable/HostJson.h>
#include <json/json.h>
#include <string>
#include <vector>

namespace paddle {

namespace {

/// @return the error with which standin.fault rejects invalid parameters
Error
InvalidFault(const std::string& aWhat)
{
  return Error{ ErrorKind::InvalidInput, "standin.fault: " + aWhat };
}

Outcome<Done>
ApplyPartition(Platform& aPlatform, const Json::Value& aFault)
{
  const std::string mode = aFault.get("mode", "refuse").asString();
  if (mode != "refuse" && mode != "silent") {
    return InvalidFault("mode \"" + mode +
                        "\" is neither \"refuse\" nor \"silent\"");
  }
  std::vector<std::string> members;
  for (const Json::Value& member : aFault["members"]) {
    members.push_back(member.asString());
  }
  aPlatform.mFaults.PartitionMembers(
    members, mode == "silent" ? PartitionMode::Silent : PartitionMode::Refuse);
  return Done{};
}

Outcome<Done>
ApplyHostState(Platform& aPlatform, const Json::Value& aFault)
{
  const MonotonicTime now = std::chrono::steady_clock::now();
  const std::string name = aFault["name"].asString();
  const std::string state = aFault["state"].asString();
  if (state == "removed") {
    return aPlatform.mHosts.Remove(name, now);
  }
  if (state != "live" && state != "leaving") {
    return InvalidFault("state \"" + state +
                        "\" is none of \"live\", \"leaving\" and \"removed\"");
  }
  return aPlatform.mHosts.SetState(
    name, state == "live" ? HostState::Live : HostState::Leaving, now);
}

Outcome<Done>
ApplyHostAddition(Platform& aPlatform, const Json::Value& aFault)
{
  Outcome<HostEntry> host = ParseHost(aFault);
  if (!Succeeded(host)) {
    return ErrorOf(host);
  }
  aPlatform.mHosts.Add(std::move(ValueOf(host)),
                       std::chrono::steady_clock::now());
  return Done{};
}

Outcome<Done>
ApplySingleFault(Platform& aPlatform,
                 const std::string& aName,
                 const Json::Value& aFault)
{
  if (!aFault.isObject()) {
    return InvalidFault("\"" + aName + "\" is not an object");
  }
  if (aName == "outage") {
    aPlatform.mFaults.SetOutage(aFault["on"].asBool());
    return Done{};
  }
  if (aName == "delay") {
    aPlatform.mFaults.SetDelay(Millis(aFault["ms"].asUInt()));
    return Done{};
  }
  if (aName == "loseAnswers") {
    aPlatform.mFaults.LoseAnswers(aFault["count"].asUInt());
    return Done{};
  }
  if (aName == "cutFrom") {
    return ApplyPartition(aPlatform, aFault);
  }
  if (aName == "host") {
    return ApplyHostState(aPlatform, aFault);
  }
  if (aName == "addHost") {
    return ApplyHostAddition(aPlatform, aFault);
  }
  return InvalidFault("there is no fault \"" + aName + "\"");
}

} // namespace

Outcome<Json::Value>
ApplyFault(Platform& aPlatform, const Json::Value& aParameters)
{
  for (const std::string& name : aParameters.getMemberNames()) {
    const Outcome<Done> applied =
      ApplySingleFault(aPlatform, name, aParameters[name]);
    if (!Succeeded(applied)) {
      return ErrorOf(applied);
    }
  }
  return Json::Value(Json::objectValue);
}

Json::Value
PlatformStats(const Platform& aPlatform)
{
  const TableCounters table = aPlatform.mTable.Counters();
  const ObjectCounters objects = aPlatform.mObjects.Counters();
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - aPlatform.mStarted;
  const std::uint64_t bytesIn = aPlatform.mBytesIn.load();
  const std::uint64_t bytesOut = aPlatform.mBytesOut.load();
  Json::Value stats(Json::objectValue);
  stats["reads"] = Json::UInt64(table.mReads);
  stats["rowsRead"] = Json::UInt64(table.mRowsRead);
  stats["writes"] = Json::UInt64(table.mWrites);
  stats["conflicts"] = Json::UInt64(table.mConflicts);
  stats["objectReads"] = Json::UInt64(objects.mReads);
  stats["objectWrites"] = Json::UInt64(objects.mWrites);
  stats["bytesIn"] = Json::UInt64(bytesIn);
  stats["bytesOut"] = Json::UInt64(bytesOut);
  stats["seconds"] = elapsed.count();
  stats["bytesInPerSecond"] = static_cast<double>(bytesIn) / elapsed.count();
  stats["bytesOutPerSecond"] = static_cast<double>(bytesOut) / elapsed.count();
  return stats;
}

} // namespace paddle
