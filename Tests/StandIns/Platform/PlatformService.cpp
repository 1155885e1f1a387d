#include <StandIns/Platform/PlatformService.h>

#include <LibRpc/RpcServer.h>
#include <LibTable/HostJson.h>
#include <LibTable/TableJson.h>
#include <StandIns/Platform/FaultMethods.h>
#include <json/json.h>
#include <string>
#include <thread>

namespace paddle {

namespace {

/// Longest time for which a request of a silently partitioned member stays
/// without an answer. It is longer than any time-out of the platform's clients,
/// and short enough that the waiting requests don't use up the server's
/// threads.
constexpr Millis kMaxUnansweredTime{ 3000 };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

Error
Unavailable()
{
  return Error{ ErrorKind::Unavailable, "the platform is unavailable" };
}

Outcome<Json::Value>
ReadRows(Platform& aPlatform, const Json::Value& aParameters)
{
  const auto keys = ParseKeys(aParameters);
  if (!Succeeded(keys)) {
    return Error{ ErrorKind::InvalidInput, ErrorOf(keys).mMessage };
  }
  return RowsToJson(aPlatform.mTable.Read(ValueOf(keys)));
}

Outcome<Json::Value>
ScanRows(Platform& aPlatform, const Json::Value& aParameters)
{
  return RowsToJson(aPlatform.mTable.Scan(aParameters["prefix"].asString()));
}

Outcome<Json::Value>
Transact(Platform& aPlatform, const Json::Value& aParameters)
{
  const auto transaction = ParseTransaction(aParameters);
  if (!Succeeded(transaction)) {
    return Error{ ErrorKind::InvalidInput, ErrorOf(transaction).mMessage };
  }
  const TransactResult result = aPlatform.mTable.Transact(ValueOf(transaction));
  if (std::holds_alternative<Committed>(result) &&
      aPlatform.mFaults.ConsumeLostAnswer()) {
    return Error{ ErrorKind::Internal, "the answer was lost" };
  }
  return TransactResultToJson(result);
}

Outcome<Json::Value>
StoreObject(Platform& aPlatform, const Json::Value& aParameters)
{
  aPlatform.mObjects.Store(aParameters["name"].asString(),
                           aParameters["body"].asString());
  return Json::Value(Json::objectValue);
}

Outcome<Json::Value>
ReadObject(Platform& aPlatform, const Json::Value& aParameters)
{
  const auto body = aPlatform.mObjects.Read(aParameters["name"].asString());
  if (!Succeeded(body)) {
    return ErrorOf(body);
  }
  Json::Value result(Json::objectValue);
  result["body"] = ValueOf(body);
  return result;
}

Outcome<Json::Value>
ListObjects(Platform& aPlatform, const Json::Value& aParameters)
{
  Json::Value result(Json::objectValue);
  result["names"] = Json::Value(Json::arrayValue);
  for (const std::string& name :
       aPlatform.mObjects.List(aParameters["prefix"].asString())) {
    result["names"].append(name);
  }
  return result;
}

Outcome<Json::Value>
ListHosts(Platform& aPlatform, const Json::Value&)
{
  Json::Value result(Json::objectValue);
  result["hosts"] = HostsToJson(aPlatform.mHosts.List(Now()));
  return result;
}

using PlatformMethod = Outcome<Json::Value> (*)(Platform&, const Json::Value&);

/// @return the method with the injected delay and outage in front of it
RpcMethod
WithFaults(Platform& aPlatform, PlatformMethod aMethod)
{
  return [&aPlatform,
          aMethod](const Json::Value& aParameters) -> Outcome<Json::Value> {
    const Millis delay = aPlatform.mFaults.Delay();
    if (delay > Millis(0)) {
      std::this_thread::sleep_for(delay);
    }
    // MakePlatformHandler() handles the partition, because only the HTTP
    // request names its sender.
    if (aPlatform.mFaults.Outage()) {
      return Unavailable();
    }
    return aMethod(aPlatform, aParameters);
  };
}

RpcMethods
PlatformMethods(Platform& aPlatform)
{
  RpcMethods methods;
  methods["table.read"] = WithFaults(aPlatform, ReadRows);
  methods["table.scan"] = WithFaults(aPlatform, ScanRows);
  methods["table.transact"] = WithFaults(aPlatform, Transact);
  methods["object.put"] = WithFaults(aPlatform, StoreObject);
  methods["object.read"] = WithFaults(aPlatform, ReadObject);
  methods["object.list"] = WithFaults(aPlatform, ListObjects);
  methods["hosts.list"] = WithFaults(aPlatform, ListHosts);
  methods["standin.fault"] = [&aPlatform](const Json::Value& aParameters) {
    return ApplyFault(aPlatform, aParameters);
  };
  methods["standin.stats"] = [&aPlatform](const Json::Value&) {
    return Outcome<Json::Value>(PlatformStats(aPlatform));
  };
  return methods;
}

/// @return the member that the User-Agent header "savorypaddle/MEMBER" names,
///         or empty if the header has another form
std::string_view
SenderOf(const HttpRequest& aRequest)
{
  constexpr std::string_view kPrefix = "savorypaddle/";
  const std::string_view agent = FindHeader(aRequest.mHeaders, "User-Agent");
  return agent.starts_with(kPrefix) ? agent.substr(kPrefix.size())
                                    : std::string_view();
}

/// Blocks while the sender is silently partitioned, at most for
/// kMaxUnansweredTime.
void
HoldWhilePartitioned(const Platform& aPlatform, std::string_view aSender)
{
  const MonotonicTime end = Now() + kMaxUnansweredTime;
  while (Now() < end && aPlatform.mFaults.HandlingInPartition(aSender) ==
                          RequestHandling::Silent) {
    std::this_thread::sleep_for(Millis(20));
  }
}

} // namespace

HttpHandler
MakePlatformHandler(Platform& aPlatform)
{
  HttpHandler rpc = MakeRpcHandler(PlatformMethods(aPlatform));
  return [&aPlatform, rpc](const HttpRequest& aRequest) -> HttpReply {
    const std::string_view sender = SenderOf(aRequest);
    if (!sender.empty()) {
      const RequestHandling handling =
        aPlatform.mFaults.HandlingInPartition(sender);
      if (handling == RequestHandling::Silent) {
        HoldWhilePartitioned(aPlatform, sender);
        return HttpReply{ 503, {}, "cut off\n" };
      }
      if (handling == RequestHandling::Refuse) {
        return HttpReply{ 503, {}, "cut off\n" };
      }
    }
    aPlatform.mBytesIn += aRequest.mBody.size();
    HttpReply reply = rpc(aRequest);
    aPlatform.mBytesOut += reply.mBody.size();
    return reply;
  };
}

} // namespace paddle
