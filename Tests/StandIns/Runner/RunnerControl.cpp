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
  json["total"] = static_cast<Json::UInt64>(aCounts.mTotal);
  json["health"] = static_cast<Json::UInt64>(aCounts.mHealth);
  json["inProgress"] = aCounts.mInProgress;
  json["highestInProgress"] = aCounts.mHighestInProgress;
  json["slotViolations"] = static_cast<Json::UInt64>(aCounts.mSlotViolations);
  json["openConnections"] = aCounts.mOpen;
  json["highestConnections"] = aCounts.mHighestOpen;
  json["connectionViolations"] =
    static_cast<Json::UInt64>(aCounts.mConnectionViolations);
  json["whileLeaving"] = static_cast<Json::UInt64>(aCounts.mWhileLeaving);
  json["latestWhileLeavingMs"] =
    static_cast<Json::Int64>(aCounts.mLatestWhileLeaving.count());
  return json;
}

/// Adds up counts; the highest values are maxima over the runners.
void
AddTo(RunnerCounts& aSum, const RunnerCounts& aCounts)
{
  aSum.mTotal += aCounts.mTotal;
  aSum.mHealth += aCounts.mHealth;
  aSum.mInProgress += aCounts.mInProgress;
  aSum.mHighestInProgress =
    std::max(aSum.mHighestInProgress, aCounts.mHighestInProgress);
  aSum.mSlotViolations += aCounts.mSlotViolations;
  aSum.mOpen += aCounts.mOpen;
  aSum.mHighestOpen = std::max(aSum.mHighestOpen, aCounts.mHighestOpen);
  aSum.mConnectionViolations += aCounts.mConnectionViolations;
  aSum.mWhileLeaving += aCounts.mWhileLeaving;
  aSum.mLatestWhileLeaving =
    std::max(aSum.mLatestWhileLeaving, aCounts.mLatestWhileLeaving);
}

std::uint64_t
RunsOf(const RunLedger& aLedger, const std::string& aKey)
{
  const auto found = aLedger.find(aKey);
  return found == aLedger.end() ? 0 : found->second;
}

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
  Json::UInt64 doubled = 0;
  for (const auto& [key, runs] : *aFleet.mLedger) {
    doubled += runs > 1 ? 1 : 0;
  }
  result["keys"] = static_cast<Json::UInt64>(aFleet.mLedger->size());
  result["doubledKeys"] = doubled;
  result["runs"] = Json::objectValue;
  for (const Json::Value& key : aParameters["keys"]) {
    result["runs"][key.asString()] =
      static_cast<Json::UInt64>(RunsOf(*aFleet.mLedger, key.asString()));
  }
  return result;
}

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
