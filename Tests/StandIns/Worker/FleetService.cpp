#include <StandIns/Worker/FleetService.h>

#include <thread>

#include <LibRpc/RpcServer.h>

namespace paddle {

namespace {

/// Longer than a scheduler waits for an answer.
constexpr Millis kSilence{ 1500 };

constexpr const char* kMethods[] = { "worker.report",
                                     "worker.start",
                                     "worker.stop",
                                     "worker.checkpoint",
                                     "worker.throttle" };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

std::string_view
MemberOf(const HttpRequest& aRequest)
{
  const std::string_view agent = FindHeader(aRequest.mHeaders, "User-Agent");
  const auto slash = agent.find('/');
  return slash == std::string_view::npos ? std::string_view()
                                         : agent.substr(slash + 1);
}

HttpHandler
MakeHandlerFor(Fleet& aFleet, const std::string& aAddress)
{
  RpcMethods methods;
  for (const char* method : kMethods) {
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

/// Applies the faults of a worker around its handler. Faults and statistics
/// of the stand-in itself are never disturbed.
HttpReply
HandleWithFaults(Fleet& aFleet,
                 const std::string& aAddress,
                 const HttpHandler& aHandler,
                 const HttpRequest& aRequest)
{
  if (aRequest.mBody.find("\"standin.") != std::string::npos) {
    return aHandler(aRequest);
  }
  const Fleet::Treatment treatment =
    aFleet.TreatmentOf(aAddress, MemberOf(aRequest), Now());
  if (treatment.mSilent) {
    std::this_thread::sleep_for(kSilence);
    return HttpReply{ 503, {}, "silent\n" };
  }
  std::this_thread::sleep_for(treatment.mDelay);
  HttpReply reply = aHandler(aRequest);
  if (treatment.mLoseAnswer) {
    std::this_thread::sleep_for(kSilence);
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
      HttpHandler& kept = (*handlers)[address];
      if (!kept) {
        kept = MakeHandlerFor(aFleet, address);
      }
      handler = kept;
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
