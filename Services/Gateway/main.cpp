#include "CommandLine.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <LibBase/JsonReader.h>
#include <LibBase/Log.h>
#include <LibBase/ProcessSignals.h>
#include <LibConfig/ConfigFollower.h>
#include <LibDocument/DaemonSettings.h>
#include <LibGateway/Gateway.h>
#include <LibHttp/HttpServer.h>
#include <LibLease/LeaseKeeper.h>
#include <LibRpc/RpcClient.h>
#include <LibTable/RpcPorts.h>

using namespace paddle;

namespace {

/// The interval of polls of the configuration.
constexpr Millis kConfigPollMs{ 1000 };

/// Requests are still served for this time after the health page has begun to
/// report "leaving". In the meantime the load balancer notices it and sends new
/// requests to other gateways.
constexpr Millis kLoadBalancerGraceMs{ 2000 };

/// The longest wait for requests in flight; no short request runs that long.
constexpr Millis kRequestDrainTimeoutMs{ 30000 };

/// The longest wait for the hand-over of all shards.
constexpr Millis kHandOverTimeoutMs{ 10000 };

/// After the hand-over, the new owners of the key shards can fetch the keys
/// from this process for this time.
constexpr Millis kKeyFetchGraceMs{ 1000 };

/// @return an incarnation that differs from those of earlier processes: the
///         wall-clock time in microseconds
std::string
MakeIncarnation()
{
  return std::to_string(std::chrono::duration_cast<Micros>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count());
}

/// @return ports that are bound to the lease, the configuration and the
///         platform's services
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

/// Logs that SIGHUP has no effect: documents are followed without it.
void
RefuseReload()
{
  LogEvent(LogLevel::Warning,
           "reload_refused",
           { { "cause", "settings are read at the start only" } });
}

/// Ends the service without failing requests: lets the load balancer send
/// requests elsewhere, hands the shards over, and waits for requests in flight.
void
ShutDownGracefully(Gateway& aGateway, HttpServer& aServer, LeaseKeeper& aLease)
{
  LogEvent(LogLevel::Info, "leaving", {});
  aGateway.StartLeaving();
  std::this_thread::sleep_for(kLoadBalancerGraceMs);
  aGateway.RefuseRequests();
  const bool handedOver = aLease.Leave(kHandOverTimeoutMs);
  std::this_thread::sleep_for(kKeyFetchGraceMs);
  const bool drained = aServer.DrainAndStop(kRequestDrainTimeoutMs);
  LogEvent(LogLevel::Info,
           "left",
           { { "handed_over", handedOver ? "yes" : "no" },
             { "drained", drained ? "yes" : "no" },
             { "watches_at_runners", aGateway.AbandonedWatches() } });
}

/// Prints an error for the user.
/// @return the exit code of the process
int
PrintError(const Error& aError)
{
  std::cerr << aError.mMessage << '\n';
  return EXIT_FAILURE;
}

/// Runs the gateway until SIGTERM or SIGINT arrives.
/// @param aSignals the signals that WaitForStopSignal() receives
/// @return the exit code of the process if the gateway can't start
int
Serve(DaemonSettings aSettings, const sigset_t& aSignals)
{
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
    return PrintError(ErrorOf(started));
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
    return PrintError(ErrorOf(server));
  }
  LogEvent(LogLevel::Info,
           "serving",
           { { "address", ToText(aSettings.mSelf.mAddress) } });
  WaitForStopSignal(aSignals, RefuseReload);
  ShutDownGracefully(gateway, *ValueOf(server), lease);
  // Threads may still wait for watches at runners whose callers have their
  // answers already. The destructors would wait for these threads, so the
  // process exits without running them.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const sigset_t signals = BlockDaemonSignals();
  const auto file = ReadCommandLine(aCount, aArguments);
  if (!Succeeded(file)) {
    return PrintError(ErrorOf(file));
  }
  const auto text = ReadJsonFile(ValueOf(file));
  if (!Succeeded(text)) {
    return PrintError(ErrorOf(text));
  }
  const auto settings = ParseDaemonSettings(ValueOf(file), ValueOf(text).mText);
  if (!Succeeded(settings)) {
    return PrintError(ErrorOf(settings));
  }
  return Serve(ValueOf(settings), signals);
}
