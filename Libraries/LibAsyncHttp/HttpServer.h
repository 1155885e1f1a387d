#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <LibAsyncHttp/Deadlines.h>
#include <LibAsyncHttp/HttpTypes.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Limits on what a caller may send.
struct HttpLimits
{
  std::uint32_t mHeaderBytes = 16384;
  std::uint64_t mBodyBytes = 262144;
  /// For a whole request, from its first byte.
  Millis mRequestTimeout{ 3000 };
  /// For the first byte of the next request.
  Millis mIdleTimeout{ 15000 };
  /// Half of the descriptors of the smallest machine; the rest is for runners.
  std::size_t mConnections = 2000;
};

using IncomingHandler = std::function<void(HttpIncoming, ReplyHandler)>;

/// An HTTP/1.1 server on one event loop. Requests of one connection are handled
/// one after another; what can't be framed is refused and the connection
/// closed.
class AsyncHttpServer
{
public:
  AsyncHttpServer(boost::asio::io_context& aLoop,
                  Deadlines& aDeadlines,
                  const HttpLimits& aLimits,
                  IncomingHandler aHandler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  /// @param aAddress IPv4 address and port
  /// @return an error if the address can't be listened on
  [[nodiscard]] Outcome<Done> Listen(const std::string& aAddress);

  /// Closes idle connections and each other one after its answer. New
  /// connections are still served, because the balancer may send some.
  void Drain();

  void SetLimits(const HttpLimits& aLimits);

  /// @return requests that are being handled
  [[nodiscard]] std::size_t Active() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
