#pragma once

#include <memory>
#include <string_view>

#include <LibBase/Metrics.h>
#include <LibGateway/GatewayPorts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibRpc/RpcServer.h>

namespace paddle {

/// One gateway without its HTTP server. It receives parsed requests of callers
/// and peers, routes them to runners, and returns the replies.
class Gateway
{
public:
  /// Creates a gateway and starts its threads.
  /// @return an error if no routing policy is registered under the name in
  ///         the settings
  static Outcome<std::unique_ptr<Gateway>> Start(GatewaySettings aSettings,
                                                 GatewayPorts aPorts);

  /// Stops the threads and waits for abandoned watches. No other request may
  /// be in flight.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Answers one request of a caller or a peer, including those for health
  /// and metrics. RPC calls go to Methods() instead.
  HttpReply Handle(const HttpRequest& aRequest);

  /// @return the RPC methods that peers call
  [[nodiscard]] RpcMethods Methods();

  /// @return whether no work of a shard is in flight, see
  ///         LeaseKeeper::SetQuiescent()
  [[nodiscard]] bool Quiescent(std::string_view aShard) const;

  /// Begins the shutdown: the health page reports "leaving" from now on, and
  /// all watches are answered at once with a request to watch again. Other
  /// requests are still served.
  void StartLeaving();

  /// Refuses all requests that arrive from now on; none of them is run.
  void RefuseRequests();

  /// @return the number of watches that runners still hold after
  ///         StartLeaving() has answered their callers
  [[nodiscard]] unsigned AbandonedWatches() const;

private:
  struct State;
  explicit Gateway(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace paddle
