#include <StandIns/Runner/RunnerControl.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace paddle {

namespace {

Json::Value
ToJson(const RunnerCounts& aCounts)
{
  Json::Value json(Json::objectValue);
  json["total"] = static_cast<Json::UInt64>(aCounts.mBegunRequests);
  json["health"] = static_cast<Json::UInt64>(aCounts.mHealthRequests);
  json["inProgress"] = aCounts.mInProgress;
  json["highestInProgress"] = aCounts.mHighestInProgress;
  json["slotViolations"] = static_cast<Json::UInt64>(aCounts.mSlotViolations);
  json["openConnections"] = aCounts.mOpenConnections;
  json["highestConnections"] = aCounts.mHighestOpenConnections;
  json["connectionViolations"] =
    static_cast<Json::UInt64>(aCounts.mConnectionViolations);
  json["whileLeaving"] =
    static_cast<Json::UInt64>(aCounts.mRequestsWhileLeaving);
  json["latestWhileLeavingMs"] =
    static_cast<Json::Int64>(aCounts.mLatestRequestWhileLeaving.count());
  return json;
}

/// Adds the counts of a runner to those of all runners. A highest or latest
/// value becomes the maximum over the runners.
void
AddTo(RunnerCounts& aSum, const RunnerCounts& aCounts)
{
  aSum.mBegunRequests += aCounts.mBegunRequests;
  aSum.mHealthRequests += aCounts.mHealthRequests;
  aSum.mInProgress += aCounts.mInProgress;
  aSum.mHighestInProgress =
    std::max(aSum.mHighestInProgress, aCounts.mHighestInProgress);
  aSum.mSlotViolations += aCounts.mSlotViolations;
  aSum.mOpenConnections += aCounts.mOpenConnections;
  aSum.mHighestOpenConnections =
    std::max(aSum.mHighestOpenConnections, aCounts.mHighestOpenConnections);
  aSum.mConnectionViolations += aCounts.mConnectionViolations;
  aSum.mRequestsWhileLeaving += aCounts.mRequestsWhileLeaving;
  aSum.mLatestRequestWhileLeaving = std::max(
    aSum.mLatestRequestWhileLeaving, aCounts.mLatestRequestWhileLeaving);
}

/// @return how often requests with the key were run
std::uint64_t
RunCountOf(const RunCountsByKey& aRunCounts, const std::string& aKey)
{
  const auto found = aRunCounts.find(aKey);
  return found == aRunCounts.end() ? 0 : found->second;
}

/// Serves standin.stats.
Json::Value
Stats(const RunnerFleet& aFleet, const Json::Value& aParameters)
{
  Json::Value result(Json::objectValue);
  RunnerCounts sum;
  for (const RunnerState* runner : aFleet.mRunners) {
    result["runners"][runner->mName] = ToJson(runner->mCounts);
    AddTo(sum, runner->mCounts);
  }
  result["all"] = ToJson(sum);
  Json::UInt64 repeatedKeys = 0;
  for (const auto& [key, runs] : *aFleet.mRunCounts) {
    repeatedKeys += runs > 1 ? 1 : 0;
  }
  result["keys"] = static_cast<Json::UInt64>(aFleet.mRunCounts->size());
  result["doubledKeys"] = repeatedKeys;
  result["runs"] = Json::objectValue;
  for (const Json::Value& key : aParameters["keys"]) {
    result["runs"][key.asString()] =
      static_cast<Json::UInt64>(RunCountOf(*aFleet.mRunCounts, key.asString()));
  }
  return result;
}

/// Serves standin.fault.
Outcome<Json::Value>
Fault(const RunnerFleet& aFleet, const Json::Value& aParameters)
{
  const std::string name = aParameters.get("runner", "*").asString();
  const std::string kind = aParameters["fault"].asString();
  const auto fault = ParseRunnerFault(kind);
  if (!fault && kind != "clear") {
    return Error{ ErrorKind::InvalidInput, "no fault is named " + kind };
  }
  const ActiveFault active{ aParameters.get("factor", 1.0).asDouble(),
                            aParameters
                              .get("count",
                                   static_cast<Json::UInt64>(
                                     std::numeric_limits<std::uint64_t>::max()))
                              .asUInt64() };
  unsigned matched = 0;
  for (RunnerState* runner : aFleet.mRunners) {
    if (name != "*" && name != runner->mName) {
      continue;
    }
    ++matched;
    if (fault) {
      SetFault(*runner, *fault, active, std::chrono::steady_clock::now());
    } else {
      ClearFaults(*runner);
    }
    aFleet.mFaultsChanged(*runner);
  }
  if (matched == 0) {
    return Error{ ErrorKind::NotFound, "no runner is named " + name };
  }
  Json::Value result(Json::objectValue);
  result["runners"] = matched;
  return result;
}

} // namespace

RpcMethods
MakeRunnerMethods(const RunnerFleet& aFleet)
{
  RpcMethods methods;
  methods["standin.stats"] =
    [aFleet](const Json::Value& aParameters) -> Outcome<Json::Value> {
    return Stats(aFleet, aParameters);
  };
  methods["standin.fault"] = [aFleet](const Json::Value& aParameters) {
    return Fault(aFleet, aParameters);
  };
  return methods;
}

} // namespace paddle
