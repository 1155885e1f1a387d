#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <LibAsyncHttp/ConnectionBudget.h>
#include <LibAsyncHttp/Deadlines.h>
#include <LibAsyncHttp/HttpTypes.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Limits on what one caller may send. MessageReader has those that follow from
/// them, and ConnectionBudget those on all callers together.
struct HttpLimits
{
  /// Of the header fields, and of the trailers behind a chunked body.
  std::uint32_t mHeaderBytes = 16384;
  std::uint64_t mBodyBytes = 262144;
  /// Time for a request to arrive completely after its first byte, and for its
  /// response to be written. It starts anew whenever bytes of the body arrive.
  Millis mRequestTimeout{ 3000 };
  /// Time that a connection may stay open without a byte of the next request.
  Millis mIdleTimeout{ 15000 };
};

/// Handles one request. It must call the ReplyHandler once, now or later.
using IncomingRequestHandler =
  std::function<void(HttpIncomingRequest, ReplyHandler)>;

/// An HTTP/1.1 server on one event loop. It handles the requests of one
/// connection one after another. It answers input that is no request within the
/// limits with an error status and closes the connection; the handler is only
/// called for complete requests.
class AsyncHttpServer
{
public:
  /// @param aBudget shared by all servers of the process; without one, the
  ///                server has one of its own
  AsyncHttpServer(boost::asio::io_context& aLoop,
                  Deadlines& aDeadlines,
                  const HttpLimits& aLimits,
                  IncomingRequestHandler aHandler,
                  std::shared_ptr<ConnectionBudget> aBudget = nullptr);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  /// Starts to accept connections.
  /// @param aAddress IPv4 address and port
  /// @return an error if the address can't be listened on
  [[nodiscard]] Outcome<Done> Listen(const std::string& aAddress);

  /// Closes idle connections now and every other connection after its next
  /// response. The server still accepts new connections, because the load
  /// balancer may not have noticed yet that this process is shutting down.
  void Drain();

  /// Changes the limits. Size limits apply from the next request of each
  /// connection on, and time-outs from the next deadline that is set.
  void SetLimits(const HttpLimits& aLimits);

  /// @return number of requests that the handler has not replied to yet
  [[nodiscard]] std::size_t Active() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
