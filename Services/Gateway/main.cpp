#include "CommandLine.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <LibBase/JsonReader.h>
#include <LibBase/Log.h>
#include <LibConfig/ConfigFollower.h>
#include <LibDocument/DaemonSettings.h>
#include <LibGateway/Gateway.h>
#include <LibHttp/HttpServer.h>
#include <LibLease/LeaseKeeper.h>
#include <LibRpc/RpcClient.h>
#include <LibTable/RpcPorts.h>

using namespace paddle;

namespace {

constexpr Millis kConfigPollMs{ 1000 };

/// The balancer sees "leaving" on the health page and sends elsewhere, while
/// requests are still served.
constexpr Millis kBalancerGraceMs{ 2000 };

/// Longer than any short request.
constexpr Millis kDrainMs{ 30000 };
constexpr Millis kHandOverMs{ 10000 };

/// New owners of key shards fetch the keys from this process.
constexpr Millis kFetchGraceMs{ 1000 };

std::string
MakeIncarnation()
{
  return std::to_string(std::chrono::duration_cast<Micros>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count());
}

GatewayPorts
MakePorts(LeaseKeeper& aLease,
          ConfigFollower& aConfig,
          HttpClient& aClient,
          const PlatformSettings& aPlatform)
{
  GatewayPorts ports;
  ports.mOwns = [&aLease](std::string_view aShard) {
    return aLease.Owns(aShard);
  };
  ports.mOwnerOf = [&aLease](std::string_view aShard) {
    return aLease.OwnerOf(aShard);
  };
  ports.mSuccessor = [&aLease] { return aLease.SuccessorOfSelf(); };
  ports.mMembers = [&aLease] { return aLease.Members("gateway"); };
  ports.mSetShards = [&aLease](std::vector<ShardSpec> aShards) {
    aLease.SetShards(std::move(aShards));
  };
  ports.mConfiguration = [&aConfig] { return aConfig.Current(); };
  ports.mHosts = MakeRpcHostListPort(aClient, aPlatform);
  ports.mObjects = MakeRpcObjectPort(aClient, aPlatform);
  return ports;
}

/// Blocks the signals in all threads started later, so that Wait() gets them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void
LeaveOrderly(Gateway& aGateway, HttpServer& aServer, LeaseKeeper& aLease)
{
  LogEvent(LogLevel::Info, "leaving", {});
  aGateway.StartLeaving();
  std::this_thread::sleep_for(kBalancerGraceMs);
  aGateway.RefuseRequests();
  const bool handedOver = aLease.Leave(kHandOverMs);
  std::this_thread::sleep_for(kFetchGraceMs);
  const bool drained = aServer.DrainAndStop(kDrainMs);
  LogEvent(LogLevel::Info,
           "left",
           { { "handed_over", handedOver ? "yes" : "no" },
             { "drained", drained ? "yes" : "no" },
             { "watches_at_runners", aGateway.AbandonedWatches() } });
}

int
Fail(const Error& aError)
{
  std::cerr << aError.mMessage << '\n';
  return EXIT_FAILURE;
}

int
Serve(DaemonSettings aSettings)
{
  const sigset_t signals = BlockStopSignals();
  StartLogging(aSettings.mSelf.mName, aSettings.mLogLevel);
  aSettings.mSelf.mRole = "gateway";
  aSettings.mSelf.mIncarnation = MakeIncarnation();
  HttpClientSettings clientSettings;
  clientSettings.mUserAgent = "savorypaddle/" + aSettings.mSelf.mName;
  HttpClient client(clientSettings);
  ConfigFollower config(MakeRpcTablePort(client, aSettings.mPlatform),
                        kConfigPollMs);
  LeaseKeeper lease(
    aSettings.mLease,
    aSettings.mSelf,
    MakeRpcTablePort(client, aSettings.mPlatform),
    [&client](
      const Endpoint& aPeer, const Json::Value& aParameters, Millis aTimeout) {
      return CallRpc(client, aPeer, "lease.promise", aParameters, aTimeout);
    });
  GatewaySettings gatewaySettings;
  gatewaySettings.mSelf = aSettings.mSelf;
  gatewaySettings.mPolicy = aSettings.mRoutingPolicy;
  auto started = Gateway::Start(
    gatewaySettings, MakePorts(lease, config, client, aSettings.mPlatform));
  if (!Succeeded(started)) {
    return Fail(ErrorOf(started));
  }
  Gateway& gateway = *ValueOf(started);
  lease.SetQuiescent(
    [&gateway](std::string_view aShard) { return gateway.Quiescent(aShard); });
  RpcMethods methods = gateway.Methods();
  methods["lease.promise"] = [&lease](const Json::Value& aParameters) {
    return lease.HandlePromise(aParameters);
  };
  auto server = HttpServer::Start(
    { { aSettings.mSelf.mAddress } },
    MakeRpcHandler(methods, [&gateway](const HttpRequest& aRequest) {
      return gateway.Handle(aRequest);
    }));
  if (!Succeeded(server)) {
    return Fail(ErrorOf(server));
  }
  LogEvent(LogLevel::Info,
           "serving",
           { { "address", ToText(aSettings.mSelf.mAddress) } });
  int signal = 0;
  sigwait(&signals, &signal);
  LeaveOrderly(gateway, *ValueOf(server), lease);
  // Threads may still hold watches whose callers have their answers; the
  // destructors would wait for them.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto file = ReadCommandLine(aCount, aArguments);
  if (!Succeeded(file)) {
    return Fail(ErrorOf(file));
  }
  const auto text = ReadJsonFile(ValueOf(file));
  if (!Succeeded(text)) {
    return Fail(ErrorOf(text));
  }
  const auto settings = ParseDaemonSettings(ValueOf(file), ValueOf(text).mText);
  if (!Succeeded(settings)) {
    return Fail(ErrorOf(settings));
  }
  return Serve(ValueOf(settings));
}
