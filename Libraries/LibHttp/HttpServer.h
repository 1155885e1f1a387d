#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <LibHttp/HttpMessage.h>

namespace paddle {

/// Answers one request; called from several threads at once.
using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

struct HttpServerSettings
{
  std::vector<Endpoint> mListen;
  unsigned mMaxThreads = 200; ///< One thread per request in progress.
};

/// An HTTP server on given addresses. The destructor stops it; use
/// StopAndDrain() first where requests in flight must be completed.
class HttpServer
{
public:
  /// Starts to listen and to serve in background threads.
  static Outcome<std::unique_ptr<HttpServer>> Start(
    const HttpServerSettings& aSettings,
    HttpHandler aHandler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return number of requests whose handler has not returned
  [[nodiscard]] unsigned InFlight() const;

  /// Waits until no request is in flight, at most @p aLimit, then stops
  /// serving. Requests that arrive while waiting are still handled.
  /// @return whether everything in flight was completed
  bool StopAndDrain(Millis aLimit);

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace paddle
