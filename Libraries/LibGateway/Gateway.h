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

/// One gateway without its server: everything between a request and its
/// answer.
class Gateway
{
public:
  /// Starts the gateway's threads.
  /// @return an error if no policy has the name in the settings
  static Outcome<std::unique_ptr<Gateway>> Start(GatewaySettings aSettings,
                                                 GatewayPorts aPorts);

  /// Stops the threads. No request may be in flight but abandoned watches.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Answers callers and peers, except on the path of RPC.
  HttpReply Handle(const HttpRequest& aRequest);

  /// The RPC methods that peers call.
  [[nodiscard]] RpcMethods Methods();

  /// See LeaseKeeper::SetQuiescent().
  [[nodiscard]] bool Quiescent(std::string_view aShard) const;

  /// From now on the health page says "leaving", and watches get a complete
  /// answer. Other requests are still served.
  void StartLeaving();

  /// From now on requests are refused, not run.
  void RefuseRequests();

  /// @return the number of watches that runners still hold although their
  ///         callers have an answer
  [[nodiscard]] unsigned AbandonedWatches() const;

private:
  struct State;
  explicit Gateway(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace paddle
