#include <StandIns/Caller/Accounting.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include <LibRpc/RpcClient.h>

namespace paddle {

namespace {

constexpr Millis kCallTimeout{ 10000 };
constexpr Millis kIdlePollInterval{ 50 };
/// Idempotency keys per RPC, so that the bodies stay below 100 KB.
constexpr std::size_t kKeysPerCall = 2000;

Outcome<Json::Value>
AskStats(HttpClient& aClient,
         const Endpoint& aRunner,
         const Json::Value& aParameters)
{
  return CallRpc(aClient, aRunner, "standin.stats", aParameters, kCallTimeout);
}

/// Polls the runners until they have no request in progress or the time is up.
/// @return the latest statistics
Outcome<Json::Value>
WaitUntilIdle(HttpClient& aClient, const Endpoint& aRunner, Millis aIdleTimeout)
{
  const MonotonicTime end = std::chrono::steady_clock::now() + aIdleTimeout;
  for (;;) {
    auto stats = AskStats(aClient, aRunner, Json::Value(Json::objectValue));
    if (!Succeeded(stats) ||
        ValueOf(stats)["all"]["inProgress"].asUInt() == 0 ||
        std::chrono::steady_clock::now() > end) {
      return stats;
    }
    std::this_thread::sleep_for(kIdlePollInterval);
  }
}

/// Adds one order to the report.
/// @param aRuns how often the order was run
void
CompareOrder(const OrderRecord& aOrder,
             std::uint64_t aRuns,
             AccountingReport& aReport)
{
  const bool reportedNotRun = aOrder.mResult == CallResult::Refused ||
                              aOrder.mResult == CallResult::NotSent;
  aReport.mAnsweredNotRun +=
    aOrder.mResult == CallResult::Answered && aRuns == 0;
  aReport.mRunThoughRefused +=
    reportedNotRun && !aOrder.mSomeTryMayHaveRun && aRuns > 0;
  aReport.mRunRepeatedly += aRuns > 1;
}

} // namespace

Outcome<AccountingReport>
CompareWithRunners(const std::vector<OrderRecord>& aOrders,
                   const Endpoint& aRunner,
                   Millis aIdleTimeout)
{
  HttpClient client({});
  auto idle = WaitUntilIdle(client, aRunner, aIdleTimeout);
  if (!Succeeded(idle)) {
    return ErrorOf(idle);
  }
  AccountingReport report;
  const Json::Value& all = ValueOf(idle)["all"];
  report.mSlotViolations = all["slotViolations"].asUInt64();
  report.mConnectionViolations = all["connectionViolations"].asUInt64();
  report.mHighestInProgress = all["highestInProgress"].asUInt();
  report.mHighestConnections = all["highestConnections"].asUInt();
  for (std::size_t first = 0; first < aOrders.size(); first += kKeysPerCall) {
    const std::size_t last = std::min(first + kKeysPerCall, aOrders.size());
    Json::Value parameters(Json::objectValue);
    for (std::size_t i = first; i < last; ++i) {
      parameters["keys"].append(aOrders[i].mKey);
    }
    auto stats = AskStats(client, aRunner, parameters);
    if (!Succeeded(stats)) {
      return ErrorOf(stats);
    }
    for (std::size_t i = first; i < last; ++i) {
      CompareOrder(
        aOrders[i], ValueOf(stats)["runs"][aOrders[i].mKey].asUInt64(), report);
    }
  }
  return report;
}

} // namespace paddle
