#pragma once

#include <map>
#include <string>
#include <thread>

#include <LibBase/Ring.h>
#include <LibGateway/GatewayPorts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/KeyBook.h>
#include <LibGateway/RoutingThread.h>
#include <LibHttp/HttpClient.h>
#include <LibRpc/RpcServer.h>

namespace paddle {

/// Exchanges summaries of free slots with the other gateways and tends the
/// key shards. Runs one thread. Of each pair of gateways the one with the
/// lower name calls; the call and its answer carry both summaries.
class PeerExchange
{
public:
  PeerExchange(const GatewaySettings& aSettings,
               const GatewayPorts& aPorts,
               HttpClient& aClient,
               RoutingThread& aRouting,
               KeyBook& aKeys);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Answers the RPC method gateway.summary.
  Outcome<Json::Value> HandleSummary(const Json::Value& aParameters);

private:
  void Run();
  void CallPeers();
  [[nodiscard]] Json::Value OwnSummary() const;
  void Report(const Json::Value& aSummary);

  const GatewaySettings& mSettings;
  const GatewayPorts& mPorts;
  HttpClient& mClient;
  RoutingThread& mRouting;
  KeyBook& mKeys;
  std::map<std::string, MonotonicTime> mSkipUntil; ///< Peers that failed.
  Ring<int> mStop{ 1 };
  std::thread mThread;
};

} // namespace paddle
