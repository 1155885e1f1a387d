#include <StandIns/Runner/RunnerServer.h>

#include <StandIns/Runner/Answer.h>
#include <StandIns/Runner/RunnerControl.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <optional>

namespace paddle {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Reply = http::response<http::string_body>;

/// Connections that may wait to be accepted, per listening socket.
constexpr int kBacklog = 1024;

tcp::endpoint
ToAsioEndpoint(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort };
}

std::string
Text(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

Reply
MakeReply(const Request& aRequest, std::string aBody)
{
  Reply reply(http::status::ok, aRequest.version());
  reply.keep_alive(aRequest.keep_alive());
  reply.body() = std::move(aBody);
  reply.prepare_payload();
  return reply;
}

/// Counts a connection as open for as long as this object exists.
class OpenConnection
{
public:
  explicit OpenConnection(RunnerState& aRunner)
    : mRunner(aRunner)
  {
    CountOpenedConnection(mRunner);
  }
  ~OpenConnection() { --mRunner.mCounts.mOpenConnections; }
  OpenConnection(const OpenConnection&) = delete;
  OpenConnection& operator=(const OpenConnection&) = delete;

private:
  RunnerState& mRunner;
};

} // namespace

struct RunnerServer::State
{
  struct Listener
  {
    RunnerState& mRunner;
    Endpoint mAddress;
    std::optional<tcp::acceptor> mAcceptor;
  };

  // The order of these members matters: the runners must outlive the context,
  // whose destructor destroys coroutines that refer to them, and the context
  // must outlive the listening sockets, which refer to it.
  std::vector<std::unique_ptr<RunnerState>> mRunners;
  RunCountsByKey mRunCounts;
  HttpHandler mControl;
  asio::io_context mContext{ 1 };
  asio::signal_set mSignals{ mContext, SIGTERM, SIGINT };
  std::vector<std::unique_ptr<Listener>> mListeners;

  void Add(const RunnerHost& aHost, const RunnerOptions& aOptions);
  void Listen(Listener& aListener);
  void UpdateListening(RunnerState& aRunner);
  asio::awaitable<void> Accept(Listener& aListener);
  asio::awaitable<void> Serve(RunnerState& aRunner, tcp::socket aSocket);
  asio::awaitable<bool> AnswerRequest(RunnerState& aRunner,
                                      tcp::socket& aSocket,
                                      const Request& aRequest);
  asio::awaitable<void> RunRequest(RunnerState& aRunner,
                                   const Request& aRequest);
  asio::awaitable<void> ReadUntilClosed(tcp::socket& aSocket);
  std::string AnswerControlRequest(const Request& aRequest) const;
};

void
RunnerServer::State::Add(const RunnerHost& aHost, const RunnerOptions& aOptions)
{
  auto runner = std::make_unique<RunnerState>();
  runner->mName = aHost.mName;
  runner->mLimits = aOptions.mLimits;
  runner->mTimes = aOptions.mTimes;
  runner->mRandom.seed(aOptions.mSeed + mRunners.size());
  auto listener = std::make_unique<Listener>(
    Listener{ *runner, aHost.mAddress, std::nullopt });
  Listen(*listener);
  mRunners.push_back(std::move(runner));
  mListeners.push_back(std::move(listener));
}

void
RunnerServer::State::Listen(Listener& aListener)
{
  const tcp::endpoint endpoint = ToAsioEndpoint(aListener.mAddress);
  tcp::acceptor acceptor(mContext, endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(kBacklog);
  aListener.mAcceptor.emplace(std::move(acceptor));
  asio::co_spawn(mContext, Accept(aListener), asio::detached);
}

/// Closes the listening socket of a runner that refuses connections, and opens
/// it again once the fault has ended.
void
RunnerServer::State::UpdateListening(RunnerState& aRunner)
{
  const bool refuses = aRunner.mFaults.contains(RunnerFault::Refuse);
  for (const auto& listener : mListeners) {
    if (&listener->mRunner != &aRunner) {
      continue;
    }
    if (refuses && listener->mAcceptor->is_open()) {
      listener->mAcceptor->close();
    } else if (!refuses && !listener->mAcceptor->is_open()) {
      Listen(*listener);
    }
  }
}

asio::awaitable<void>
RunnerServer::State::Accept(Listener& aListener)
{
  tcp::acceptor& acceptor = *aListener.mAcceptor;
  try {
    for (;;) {
      tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
      socket.set_option(tcp::no_delay(true));
      asio::co_spawn(
        mContext, Serve(aListener.mRunner, std::move(socket)), asio::detached);
    }
  } catch (const boost::system::system_error&) {
    // UpdateListening() closed the listening socket to refuse connections.
  }
}

/// Serves the requests of a connection one after another until it is closed.
asio::awaitable<void>
RunnerServer::State::Serve(RunnerState& aRunner, tcp::socket aSocket)
{
  const OpenConnection open(aRunner);
  boost::beast::flat_buffer buffer;
  try {
    for (;;) {
      Request request;
      co_await http::async_read(aSocket, buffer, request, use_awaitable);
      const bool keepOpen = co_await AnswerRequest(aRunner, aSocket, request);
      if (!keepOpen || !request.keep_alive()) {
        boost::system::error_code ignored;
        aSocket.shutdown(tcp::socket::shutdown_both, ignored);
        co_return;
      }
    }
  } catch (const boost::system::system_error&) {
    // The peer closed the connection.
  }
}

/// Serves a request under the runner's faults.
/// @return whether the connection can carry another request
asio::awaitable<bool>
RunnerServer::State::AnswerRequest(RunnerState& aRunner,
                                   tcp::socket& aSocket,
                                   const Request& aRequest)
{
  const std::string target = Text(aRequest.target());
  if (target == kRpcPath) {
    Reply reply = MakeReply(aRequest, AnswerControlRequest(aRequest));
    co_await http::async_write(aSocket, reply, use_awaitable);
    co_return true;
  }
  const bool health = target == "/health";
  if (health) {
    ++aRunner.mCounts.mHealthRequests;
  } else {
    co_await RunRequest(aRunner, aRequest);
  }
  if (ConsumeFault(aRunner, RunnerFault::Silent)) {
    co_await ReadUntilClosed(aSocket);
    co_return false;
  }
  if (ConsumeFault(aRunner, RunnerFault::CloseAfterRead)) {
    co_return false;
  }
  RunnerAnswer answer{ aRunner.mName,
                       Text(aRequest["Paddle-Request-Id"]),
                       Text(aRequest["Idempotency-Key"]),
                       target,
                       aRequest.body() };
  if (!health && ConsumeFault(aRunner, RunnerFault::WrongId)) {
    answer.mRequestId = "another-" + answer.mRequestId;
    answer.mBody = "another request's body";
  }
  Reply reply = MakeReply(aRequest, EncodeAnswer(answer));
  reply.set("Paddle-Request-Id", answer.mRequestId);
  if (!health && ConsumeFault(aRunner, RunnerFault::Truncated)) {
    // The header announces the length of the whole body, but only half of the
    // body follows.
    std::string body = std::move(reply.body());
    reply.body().clear();
    http::response_serializer<http::string_body> serializer(reply);
    co_await http::async_write_header(aSocket, serializer, use_awaitable);
    body.resize(body.size() / 2);
    co_await asio::async_write(aSocket, asio::buffer(body), use_awaitable);
    co_return false;
  }
  co_await http::async_write(aSocket, reply, use_awaitable);
  co_return true;
}

/// Simulates the run of a request: counts it and waits for its service time. A
/// request whose connection breaks meanwhile runs to its end, as may happen on
/// a real runner.
asio::awaitable<void>
RunnerServer::State::RunRequest(RunnerState& aRunner, const Request& aRequest)
{
  BeginRequest(aRunner, std::chrono::steady_clock::now());
  const std::string key = Text(aRequest["Idempotency-Key"]);
  if (!key.empty()) {
    ++mRunCounts[key];
  }
  asio::steady_timer timer(mContext);
  timer.expires_after(NextServiceTime(aRunner, Text(aRequest.target())));
  co_await timer.async_wait(use_awaitable);
  EndRequest(aRunner);
}

/// Reads and discards data until the peer closes the connection, which makes
/// the read throw.
asio::awaitable<void>
RunnerServer::State::ReadUntilClosed(tcp::socket& aSocket)
{
  char discarded[1024];
  for (;;) {
    co_await aSocket.async_read_some(asio::buffer(discarded), use_awaitable);
  }
}

/// Serves a JSON-RPC request for standin.fault or standin.stats.
/// @return the body of the answer
std::string
RunnerServer::State::AnswerControlRequest(const Request& aRequest) const
{
  HttpRequest request{ "POST", kRpcPath, "", {}, aRequest.body() };
  return mControl(request).mBody;
}

RunnerServer::RunnerServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

RunnerServer::~RunnerServer() = default;

Outcome<std::unique_ptr<RunnerServer>>
RunnerServer::Start(const std::vector<RunnerHost>& aHosts,
                    const RunnerOptions& aOptions)
{
  auto state = std::make_unique<State>();
  State* raw = state.get();
  RunnerFleet fleet;
  for (const RunnerHost& host : aHosts) {
    try {
      state->Add(host, aOptions);
    } catch (const boost::system::system_error& e) {
      return Error{ ErrorKind::Unavailable,
                    "can't listen on " + ToText(host.mAddress) + ": " +
                      e.what() };
    }
    fleet.mRunners.push_back(state->mRunners.back().get());
  }
  fleet.mRunCounts = &state->mRunCounts;
  fleet.mFaultsChanged = [raw](RunnerState& aRunner) {
    raw->UpdateListening(aRunner);
  };
  state->mControl = MakeRpcHandler(MakeRunnerMethods(fleet));
  return std::unique_ptr<RunnerServer>(new RunnerServer(std::move(state)));
}

void
RunnerServer::Run()
{
  mState->mSignals.async_wait(
    [this](const boost::system::error_code& aError, int) {
      if (!aError) {
        Stop();
      }
    });
  mState->mContext.run();
}

void
RunnerServer::Stop()
{
  mState->mContext.stop();
}

} // namespace paddle
