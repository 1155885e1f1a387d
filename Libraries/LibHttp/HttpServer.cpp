#include <LibHttp/HttpServer.h>

#include <atomic>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <exception>
#include <stdexcept>
#include <thread>

#include <LibBase/Log.h>

namespace paddle {

namespace {

using InFlightCount = std::atomic<unsigned>;

/// What the bodies of the requests of one server take, and may take.
struct BodyBudget
{
  std::size_t mMaxBodyBytes = 0;
  std::size_t mMaxBodiesBytes = 0;
  std::atomic<std::size_t> mBytes{ 0 }; ///< Of all requests.
};

/// Ends a request whose body is not taken.
struct BodyRefused : std::runtime_error
{
  explicit BodyRefused(unsigned aStatus)
    : std::runtime_error("body refused")
    , mStatus(aStatus)
  {
  }
  unsigned mStatus;
};

/// cxxtools ends threads beyond this number when they are idle. With 5, a
/// gateway that handled 2,000 requests a second started a new thread for most
/// of them.
constexpr unsigned kMaxIdleThreads = 64;

/// How long the server keeps running after the last handler has returned, so
/// that the reply is still written to the socket.
constexpr Millis kFlushMs{ 50 };

/// Converts a request of cxxtools.
HttpRequest
FromLibrary(const cxxtools::http::Request& aRequest)
{
  HttpRequest request;
  request.mMethod = aRequest.method();
  request.mPath = aRequest.url();
  request.mQuery = aRequest.qparams();
  for (auto it = aRequest.header().begin(); it != aRequest.header().end();
       ++it) {
    request.mHeaders.emplace_back(it->first, it->second);
  }
  request.mBody = aRequest.bodyStr();
  return request;
}

/// Passes one request of cxxtools to the handler, and counts it as in flight.
class HandlerResponder : public cxxtools::http::Responder
{
public:
  HandlerResponder(cxxtools::http::Service& aService,
                   const HttpHandler& aHandler,
                   InFlightCount& aInFlight,
                   BodyBudget& aBodies)
    : Responder(aService)
    , mHandler(aHandler)
    , mInFlight(aInFlight)
    , mBodies(aBodies)
  {
  }
  ~HandlerResponder() override { mBodies.mBytes -= mBodyBytes; }
  HandlerResponder(const HandlerResponder&) = delete;
  HandlerResponder& operator=(const HandlerResponder&) = delete;

  std::size_t readBody(std::istream& aInput) override
  {
    const std::size_t count = Responder::readBody(aInput);
    mBodyBytes += count;
    const std::size_t all = mBodies.mBytes += count;
    if (mBodyBytes > mBodies.mMaxBodyBytes) {
      throw BodyRefused(413);
    }
    if (all > mBodies.mMaxBodiesBytes && all > mBodyBytes) {
      throw BodyRefused(503);
    }
    return count;
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request& aRequest,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    const auto* refused = dynamic_cast<const BodyRefused*>(&aError);
    if (refused == nullptr) {
      Responder::replyError(aOut, aRequest, aReply, aError);
      return;
    }
    // The rest of the body is not read.
    aReply.httpReturn(refused->mStatus, "Error");
    aReply.setHeader("Connection", "close");
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    ++mInFlight;
    const HttpReply answer = Handle(FromLibrary(aRequest));
    aReply.httpReturn(answer.mStatus, answer.mStatus < 400 ? "OK" : "Error");
    for (const auto& [name, value] : answer.mHeaders) {
      aReply.setHeader(name.c_str(), value.c_str());
    }
    aOut << answer.mBody;
    --mInFlight;
  }

private:
  /// @return the handler's reply, or one with status 500 if it throws
  HttpReply Handle(const HttpRequest& aRequest) const
  {
    try {
      return mHandler(aRequest);
    } catch (const std::exception& e) {
      // A handler reports its own failures as replies. An exception comes from
      // a library that it uses, and the client must get a reply then, too.
      LogEvent(LogLevel::Error, "handler_exception", { { "error", e.what() } });
      return HttpReply{ 500, {}, "internal error\n" };
    }
  }

  const HttpHandler& mHandler;
  InFlightCount& mInFlight;
  BodyBudget& mBodies;
  std::size_t mBodyBytes = 0; ///< Received of this request.
};

/// Creates a HandlerResponder for each request, as cxxtools requires.
class HandlerService : public cxxtools::http::Service
{
public:
  HandlerService(HttpHandler aHandler,
                 InFlightCount& aInFlight,
                 BodyBudget& aBodies)
    : mHandler(std::move(aHandler))
    , mInFlight(aInFlight)
    , mBodies(aBodies)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new HandlerResponder(*this, mHandler, mInFlight, mBodies);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  HttpHandler mHandler;
  InFlightCount& mInFlight;
  BodyBudget& mBodies;
};

} // namespace

struct HttpServer::State
{
  explicit State(HttpHandler aHandler)
    : mService(std::move(aHandler), mInFlight, mBodies)
  {
  }

  InFlightCount mInFlight{ 0 };
  BodyBudget mBodies;
  cxxtools::EventLoop mLoop;
  HandlerService mService;
  std::unique_ptr<cxxtools::http::Server> mServer;
  std::thread mThread;
};

HttpServer::HttpServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::~HttpServer()
{
  mState->mLoop.exit();
  if (mState->mThread.joinable()) {
    mState->mThread.join();
  }
}

Outcome<std::unique_ptr<HttpServer>>
HttpServer::Start(const HttpServerSettings& aSettings, HttpHandler aHandler)
{
  auto state = std::make_unique<State>(std::move(aHandler));
  state->mBodies.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  state->mBodies.mMaxBodiesBytes = aSettings.mMaxBodiesBytes;
  state->mServer = std::make_unique<cxxtools::http::Server>(state->mLoop);
  state->mServer->minThreads(std::min(aSettings.mMaxThreads, kMaxIdleThreads));
  state->mServer->maxThreads(aSettings.mMaxThreads);
  state->mServer->addService(cxxtools::Regex(".*"), state->mService);
  for (const Endpoint& endpoint : aSettings.mListen) {
    try {
      state->mServer->listen(endpoint.mHost, endpoint.mPort);
    } catch (const std::exception& e) {
      return Error{ ErrorKind::Unavailable,
                    "can't listen on " + ToText(endpoint) + ": " + e.what() };
    }
  }
  State* raw = state.get();
  raw->mThread = std::thread([raw] {
    try {
      raw->mLoop.run();
    } catch (const std::exception& e) {
      LogEvent(
        LogLevel::Error, "http_server_failed", { { "error", e.what() } });
    }
  });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

unsigned
HttpServer::InFlight() const
{
  return mState->mInFlight.load();
}

bool
HttpServer::DrainAndStop(Millis aLimit)
{
  const MonotonicTime end = std::chrono::steady_clock::now() + aLimit;
  while (InFlight() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(Millis(5));
  }
  const bool drained = InFlight() == 0;
  std::this_thread::sleep_for(kFlushMs);
  mState->mLoop.exit();
  if (mState->mThread.joinable()) {
    mState->mThread.join();
  }
  return drained;
}

} // namespace paddle
