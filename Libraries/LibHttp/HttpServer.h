#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include <LibHttp/HttpMessage.h>

namespace paddle {

/// Returns the reply to a request. Several threads call it at the same time.
using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

struct HttpServerSettings
{
  std::vector<Endpoint> mListen; ///< Addresses to listen on.
  unsigned mMaxThreads = 200;    ///< Each request in flight takes one thread.
  /// Largest body of a request, in bytes; a larger one is answered with 413.
  /// The project's own calls take at most 1 MB, a transaction of the table
  /// service.
  std::size_t mMaxBodyBytes = 8UL << 20;
  /// Most bytes of bodies that are being received or handled at the same time;
  /// a request beyond them is answered with 503, unless it is the only one.
  std::size_t mMaxBodiesBytes = 64UL << 20;
};

/// An HTTP server. The destructor stops it; call DrainAndStop() before if
/// requests in flight must be completed.
class HttpServer
{
public:
  /// Starts listening, and handles requests in background threads.
  /// @return the server, or an error if an address can't be listened on
  static Outcome<std::unique_ptr<HttpServer>> Start(
    const HttpServerSettings& aSettings,
    HttpHandler aHandler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the number of requests whose handler has not returned yet
  [[nodiscard]] unsigned InFlight() const;

  /// Waits until no request is in flight, or until @p aLimit has passed, and
  /// then stops the server. Requests that arrive during the wait are handled.
  /// @return whether no request was in flight at the end of the wait
  bool DrainAndStop(Millis aLimit);

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace paddle
