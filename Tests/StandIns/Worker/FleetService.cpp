#include <StandIns/Worker/FleetService.h>

#include <thread>

#include <LibRpc/RpcServer.h>

namespace paddle {

namespace {

/// How long a request that gets no answer keeps its connection; longer than a
/// scheduler waits for an answer.
constexpr Millis kUnansweredTime{ 1500 };

/// The RPC methods of a worker.
constexpr const char* kWorkerMethods[] = { "worker.report",
                                           "worker.start",
                                           "worker.stop",
                                           "worker.checkpoint",
                                           "worker.throttle" };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

/// @return the part of the User-Agent header after the slash, which names the
///         sender, or empty if there is none
std::string_view
MemberOf(const HttpRequest& aRequest)
{
  const std::string_view agent = FindHeader(aRequest.mHeaders, "User-Agent");
  const auto slash = agent.find('/');
  return slash == std::string_view::npos ? std::string_view()
                                         : agent.substr(slash + 1);
}

/// @return the handler for requests to the worker at @p aAddress
HttpHandler
MakeWorkerHandler(Fleet& aFleet, const std::string& aAddress)
{
  RpcMethods methods;
  for (const char* method : kWorkerMethods) {
    methods[method] = [&aFleet, aAddress, method = std::string(method)](
                        const Json::Value& aParameters) {
      return aFleet.Call(aAddress, method, aParameters, Now());
    };
  }
  methods["standin.fault"] = [&aFleet](const Json::Value& aParameters) {
    return aFleet.ApplyFault(aParameters, Now());
  };
  methods["standin.stats"] =
    [&aFleet](const Json::Value& aParameters) -> Outcome<Json::Value> {
    return aFleet.Stats(aParameters, Now());
  };
  return MakeRpcHandler(methods);
}

/// Serves a request under the injected faults of its worker. Requests of
/// standin.fault and standin.stats are served without faults.
HttpReply
HandleWithFaults(Fleet& aFleet,
                 const std::string& aAddress,
                 const HttpHandler& aHandler,
                 const HttpRequest& aRequest)
{
  if (aRequest.mBody.find("\"standin.") != std::string::npos) {
    return aHandler(aRequest);
  }
  const Fleet::FaultEffects effects =
    aFleet.FaultEffectsOf(aAddress, MemberOf(aRequest), Now());
  if (effects.mSilent) {
    std::this_thread::sleep_for(kUnansweredTime);
    return HttpReply{ 503, {}, "silent\n" };
  }
  std::this_thread::sleep_for(effects.mDelay);
  HttpReply reply = aHandler(aRequest);
  if (effects.mLoseAnswer) {
    std::this_thread::sleep_for(kUnansweredTime);
    return HttpReply{ 503, {}, "lost\n" };
  }
  return reply;
}

} // namespace

HttpHandler
MakeFleetHandler(Fleet& aFleet)
{
  auto handlers = std::make_shared<std::map<std::string, HttpHandler>>();
  auto mutex = std::make_shared<std::mutex>();
  return [&aFleet, handlers, mutex](const HttpRequest& aRequest) {
    const std::string address(FindHeader(aRequest.mHeaders, "Host"));
    HttpHandler handler;
    {
      const std::lock_guard lock(*mutex);
      HttpHandler& workerHandler = (*handlers)[address];
      if (!workerHandler) {
        workerHandler = MakeWorkerHandler(aFleet, address);
      }
      handler = workerHandler;
    }
    return HandleWithFaults(aFleet, address, handler, aRequest);
  };
}

Outcome<std::unique_ptr<HttpServer>>
ServeFleet(Fleet& aFleet, const std::vector<HostEntry>& aHosts)
{
  HttpServerSettings settings;
  for (const HostEntry& host : aHosts) {
    if (host.mKind == HostKind::Worker) {
      settings.mListen.push_back(host.mAddress);
    }
  }
  return HttpServer::Start(settings, MakeFleetHandler(aFleet));
}

} // namespace paddle
