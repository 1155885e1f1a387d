#pragma once

#include <map>
#include <string>
#include <thread>

#include <LibBase/Ring.h>
#include <LibGateway/GatewayPorts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/IdempotencyKeyStore.h>
#include <LibGateway/RoutingThread.h>
#include <LibHttp/HttpClient.h>
#include <LibRpc/RpcServer.h>

namespace paddle {

/// Exchanges summaries of free slots with the other gateways, and calls
/// IdempotencyKeyStore::Maintain(). Runs one thread. Of each pair of gateways,
/// the one whose name sorts first makes the call. The call carries its own
/// summary, and the answer carries that of the other.
class PeerExchange
{
public:
  PeerExchange(const GatewaySettings& aSettings,
               const GatewayPorts& aPorts,
               HttpClient& aClient,
               RoutingThread& aRouting,
               IdempotencyKeyStore& aKeys);
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
  IdempotencyKeyStore& mKeys;
  /// When a peer that did not answer may be called again, by incarnation.
  std::map<std::string, MonotonicTime> mBackOffUntil;
  Ring<int> mStop{ 1 }; ///< It is always empty; closing it stops the thread.
  std::thread mThread;
};

} // namespace paddle
