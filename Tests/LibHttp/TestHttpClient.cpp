#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibRpc/RpcClient.h>
#include <LibRpc/RpcServer.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint16_t kPort = 17311;
constexpr Millis kTimeout{ 2000 };

/// Starts a server on kPort of the loopback address.
std::unique_ptr<HttpServer>
StartServer(HttpHandler aHandler)
{
  auto server =
    HttpServer::Start({ { { "127.0.0.1", kPort } }, 20 }, std::move(aHandler));
  CHECK_TRUE(Succeeded(server));
  return std::move(ValueOf(server));
}

/// @return a socket that listens on kPort of the loopback address
int
Listen()
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK_EQUAL(
    0, bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address));
  CHECK_EQUAL(0, listen(listener, 8));
  return listener;
}

/// A server that answers the first request it reads, and none of the later
/// ones. It counts these, to show how often a request without an answer is
/// sent.
class SingleReplyPeer
{
public:
  /// What the server does with the connection after it has read a later
  /// request. StaySilent keeps it open.
  enum class OnLaterRequest
  {
    Close,
    StaySilent
  };

  explicit SingleReplyPeer(
    OnLaterRequest aOnLaterRequest = OnLaterRequest::Close)
    : mOnLaterRequest(aOnLaterRequest)
    , mListener(Listen())
  {
    mThread = std::thread([this] { Serve(); });
  }

  /// Stops the server.
  /// @return the number of requests that arrived after the answered one
  int StopAndCountLaterRequests()
  {
    shutdown(mListener, SHUT_RDWR);
    mThread.join();
    close(mListener);
    return mLaterRequests;
  }

private:
  /// Accepts connections until the listening socket is shut down.
  void Serve()
  {
    for (;;) {
      const int connection = accept(mListener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      ServeConnection(connection);
      close(connection);
    }
  }

  /// Reads requests until the connection is closed. Each read is taken for one
  /// request, because the requests of these tests are short.
  void ServeConnection(int aConnection)
  {
    char buffer[4096];
    while (read(aConnection, buffer, sizeof buffer) > 0) {
      if (mAnswered) {
        ++mLaterRequests;
        if (mOnLaterRequest == OnLaterRequest::Close) {
          return;
        }
        continue;
      }
      mAnswered = true;
      const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                "Connection: keep-alive\r\n\r\nok";
      CHECK_EQUAL(static_cast<ssize_t>(reply.size()),
                  write(aConnection, reply.data(), reply.size()));
    }
  }

  OnLaterRequest mOnLaterRequest;
  int mListener;
  bool mAnswered = false;
  int mLaterRequests = 0;
  std::thread mThread;
};

/// A server that sends the bytes that a test makes of each request. It closes
/// the connection after an empty text.
class ScriptedServer
{
public:
  using Script = std::function<std::string(const std::string& aRequest)>;

  /// @param aRepeatAfter time after which an answer is sent once more; zero: it
  ///                     is not repeated
  ScriptedServer(Script aScript, Millis aRepeatAfter)
    : mScript(std::move(aScript))
    , mRepeatAfter(aRepeatAfter)
    , mListener(Listen())
  {
    mAcceptor = std::thread([this] { Accept(); });
  }

  /// Stops the server. All clients must have closed their connections.
  ~ScriptedServer()
  {
    shutdown(mListener, SHUT_RDWR);
    mAcceptor.join();
    for (std::thread& connection : mConnections) {
      connection.join();
    }
    close(mListener);
  }

private:
  void Accept()
  {
    for (;;) {
      const int connection = accept(mListener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      mConnections.emplace_back([this, connection] { Serve(connection); });
    }
  }

  /// Each read is taken for one request, because the requests of these tests
  /// are short.
  void Serve(int aConnection)
  {
    char buffer[4096];
    ssize_t count = 0;
    while ((count = read(aConnection, buffer, sizeof buffer)) > 0) {
      const std::string answer =
        mScript(std::string(buffer, static_cast<std::size_t>(count)));
      send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
      if (mRepeatAfter > Millis(0)) {
        std::this_thread::sleep_for(mRepeatAfter);
        send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
      } else {
        break;
      }
    }
    close(aConnection);
  }

  Script mScript;
  Millis mRepeatAfter;
  int mListener;
  std::thread mAcceptor;
  std::vector<std::thread> mConnections;
};

/// For peers that answer each request once.
AnswerOrigin
IsOwn(const HttpReply&)
{
  return AnswerOrigin::Own;
}

std::string
WholeAnswer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_GROUP(HttpClient){};

// Guards against the answer of another request: a peer sends each answer once
// more, late, on a connection that the next request uses.
TEST(HttpClient, TakesNoRepeatedAnswerForThatOfTheNextRequest)
{
  const ScriptedServer server(
    [](const std::string& aRequest) {
      return WholeAnswer(aRequest.substr(4, aRequest.find(" HTTP") - 4));
    },
    Millis(20));
  HttpClient client({});
  for (int i = 0; i < 5; ++i) {
    const std::string path = "/" + std::to_string(i);
    const auto check = [&](const HttpReply& aReply) {
      return aReply.mBody == path ? AnswerOrigin::Own : AnswerOrigin::Earlier;
    };
    for (const ReplyCheck& used : { ReplyCheck(check), ReplyCheck() }) {
      const auto reply = client.Execute({ "127.0.0.1", kPort },
                                        { "GET", path, "", {}, "" },
                                        kTimeout,
                                        ConnectionUse::Reusable,
                                        used);
      CHECK_TRUE(Succeeded(reply));
      STRCMP_EQUAL(path.c_str(), ValueOf(reply).mBody.c_str());
      std::this_thread::sleep_for(Millis(40));
    }
  }
}

// Guards against a part of an answer that is taken for the whole.
TEST(HttpClient, TakesNoPartOfAnAnswerForTheWhole)
{
  for (const char* answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1234",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12",
         "HTTP/1.1 200 OK\r\n\r\n1234",
         "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n1234",
         "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n12",
         "HTTP/1.1 200 OK\r\nContent-Le" }) {
    const ScriptedServer server([&](const std::string&) { return answer; },
                                Millis(0));
    HttpClient client({});
    const auto reply = client.Execute(
      { "127.0.0.1", kPort }, HttpRequest{}, kTimeout, ConnectionUse::Fresh);
    CHECK_FALSE_TEXT(Succeeded(reply), answer);
  }
}

// Guards against trailers that are buffered without a bound, and against an
// exception of the parser, whose lengths of fields have 16 bits.
TEST(HttpClient, TakesNoAnswerWithTrailersOfExcessiveLength)
{
  std::string fields;
  while (fields.size() < 200'000) {
    fields += "name: value\r\n";
  }
  for (const std::string& trailers :
       { fields, "a: " + std::string(100'000, 'b') + "\r\n" }) {
    const ScriptedServer server(
      [&](const std::string&) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
               trailers + "\r\n";
      },
      Millis(0));
    HttpClient client({});
    const auto reply = client.Execute(
      { "127.0.0.1", kPort }, HttpRequest{}, kTimeout, ConnectionUse::Fresh);
    CHECK_FALSE(Succeeded(reply));
  }
}

// Guards against a client that ends the process when there is no file
// descriptor left for another connection.
TEST(HttpClient, FailsWithoutFileDescriptors)
{
  rlimit before{};
  CHECK_EQUAL(0, getrlimit(RLIMIT_NOFILE, &before));
  HttpClient client({});
  for (const rlim_t free : { 0, 1, 2, 3 }) {
    const int next = dup(0);
    close(next);
    const rlimit few{ static_cast<rlim_t>(next) + free, before.rlim_max };
    CHECK_EQUAL(0, setrlimit(RLIMIT_NOFILE, &few));
    const auto reply = client.Execute(
      { "127.0.0.1", kPort }, HttpRequest{}, kTimeout, ConnectionUse::Fresh);
    CHECK_EQUAL(0, setrlimit(RLIMIT_NOFILE, &before));
    CHECK_FALSE(Succeeded(reply));
    CHECK_TRUE(ErrorOf(reply).mState == SendState::NotSent);
  }
}

// Guards against a request that is reported as possibly run although the
// connection was refused and no byte of it was sent.
TEST(HttpClient, ReportsRefusedConnectionAsNotSent)
{
  HttpClient client({});
  const auto reply = client.Execute(
    { "127.0.0.1", kPort }, HttpRequest{}, kTimeout, ConnectionUse::Fresh);
  CHECK_FALSE(Succeeded(reply));
  CHECK_TRUE(ErrorOf(reply).mState == SendState::NotSent);
}

// Guards against methods, paths, queries, headers or bodies that arrive
// changed, on new connections and on reused ones.
TEST(HttpClient, CarriesPathQueryHeadersAndBody)
{
  const auto server = StartServer([](const HttpRequest& aRequest) {
    return HttpReply{ 201,
                      { { "Paddle-Echo",
                          std::string(FindHeader(aRequest.mHeaders, "a-b")) } },
                      aRequest.mMethod + " " + aRequest.mPath + "?" +
                        aRequest.mQuery + " " + aRequest.mBody };
  });
  HttpClient client({});
  HttpRequest request{
    "POST", "/a b%/c", "x=1&y=%20", { { "A-B", "v" } }, "line\nline"
  };
  for (const ConnectionUse use : { ConnectionUse::Reusable,
                                   ConnectionUse::Reusable,
                                   ConnectionUse::Fresh }) {
    const auto reply =
      client.Execute({ "127.0.0.1", kPort }, request, kTimeout, use);
    CHECK_TRUE(Succeeded(reply));
    LONGS_EQUAL(201, ValueOf(reply).mStatus);
    STRCMP_EQUAL("POST /a b%/c?x=1&y=%20 line\nline",
                 ValueOf(reply).mBody.c_str());
    STRCMP_EQUAL(
      "v",
      std::string(FindHeader(ValueOf(reply).mHeaders, "paddle-echo")).c_str());
  }
}

// Guards against the HTTP library sending a request twice if the peer closes
// the connection after it has read the request. On a fresh connection the peer
// must receive it once.
TEST(HttpClient, SendsOnceOnFreshConnectionThatIsClosedAfterReading)
{
  SingleReplyPeer peer;
  const Endpoint endpoint{ "127.0.0.1", kPort };
  {
    HttpClient client({});
    CHECK_TRUE(Succeeded(
      client.Execute(endpoint, HttpRequest{}, kTimeout, ConnectionUse::Fresh)));
    HttpRequest order{ "POST", "/order", "", {}, "one" };
    const auto reply =
      client.Execute(endpoint, order, kTimeout, ConnectionUse::Fresh);
    CHECK_FALSE(Succeeded(reply));
    CHECK_TRUE(ErrorOf(reply).mState == SendState::Unknown);
  }
  LONGS_EQUAL(1, peer.StopAndCountLaterRequests());
}

// Guards against an idempotent request that fails because the peer has closed
// the connection that it was sent on. The peer may have read it before, so this
// also shows why a request that must not arrive twice needs Fresh.
TEST(HttpClient, SendsAgainIfAReusedConnectionIsClosed)
{
  SingleReplyPeer peer;
  const Endpoint endpoint{ "127.0.0.1", kPort };
  {
    HttpClient client({});
    CHECK_TRUE(Succeeded(client.Execute(
      endpoint, HttpRequest{}, kTimeout, ConnectionUse::Reusable, IsOwn)));
    HttpRequest order{ "POST", "/order", "", {}, "one" };
    CHECK_FALSE(Succeeded(client.Execute(
      endpoint, order, kTimeout, ConnectionUse::Reusable, IsOwn)));
  }
  LONGS_EQUAL(2, peer.StopAndCountLaterRequests());
}

// Guards against a request that takes two slots of a runner because it is sent
// twice: a request without an answer in time must arrive once.
TEST(HttpClient, SendsUnansweredRequestOnce)
{
  for (const ConnectionUse use :
       { ConnectionUse::Fresh, ConnectionUse::Reusable }) {
    SingleReplyPeer peer(SingleReplyPeer::OnLaterRequest::StaySilent);
    const Endpoint endpoint{ "127.0.0.1", kPort };
    {
      HttpClient client({});
      CHECK_TRUE(Succeeded(
        client.Execute(endpoint, HttpRequest{}, kTimeout, use, IsOwn)));
      const auto reply =
        client.Execute(endpoint, HttpRequest{}, Millis(200), use, IsOwn);
      CHECK_FALSE(Succeeded(reply));
      CHECK_TRUE(ErrorOf(reply).mState == SendState::Unknown);
    }
    LONGS_EQUAL(1, peer.StopAndCountLaterRequests());
  }
}

// Guards against a stop of the server that aborts a request in flight.
TEST(HttpClient, DrainCompletesRequestInFlight)
{
  std::atomic<bool> entered{ false };
  auto server = StartServer([&](const HttpRequest&) {
    entered = true;
    std::this_thread::sleep_for(Millis(200));
    return HttpReply{ 200, {}, "whole" };
  });
  HttpClient client({});
  std::string body;
  std::thread caller([&] {
    const auto reply = client.Execute(
      { "127.0.0.1", kPort }, HttpRequest{}, kTimeout, ConnectionUse::Fresh);
    if (Succeeded(reply)) {
      body = ValueOf(reply).mBody;
    }
  });
  while (!entered) {
    std::this_thread::sleep_for(Millis(1));
  }
  CHECK_TRUE(server->DrainAndStop(Millis(5000)));
  caller.join();
  STRCMP_EQUAL("whole", body.c_str());
}

TEST_GROUP(Rpc){};

// Guards against the result of another call: a peer sends each answer once
// more, late, on a connection that the next call uses.
TEST(Rpc, TakesNoRepeatedAnswerForThatOfTheNextCall)
{
  RpcMethods methods;
  methods["echo"] = [](const Json::Value& aIn) -> Outcome<Json::Value> {
    return aIn;
  };
  const HttpHandler handler = MakeRpcHandler(methods, {});
  const ScriptedServer server(
    [&](const std::string& aRequest) {
      HttpRequest request;
      request.mPath = kRpcPath;
      request.mBody = aRequest.substr(aRequest.find("\r\n\r\n") + 4);
      return WholeAnswer(handler(request).mBody);
    },
    Millis(20));
  HttpClient client({});
  for (int i = 0; i < 5; ++i) {
    Json::Value parameters;
    parameters["call"] = i;
    const auto answer =
      CallRpc(client, { "127.0.0.1", kPort }, "echo", parameters, kTimeout);
    CHECK_TRUE(Succeeded(answer));
    LONGS_EQUAL(i, ValueOf(answer)["call"].asInt());
    std::this_thread::sleep_for(Millis(40));
  }
}

// Guards against results that arrive changed, and errors whose kind is lost
// between processes. A refused connection must be reported as Unavailable.
TEST(Rpc, CarriesResultsAndErrorKinds)
{
  RpcMethods methods;
  methods["echo"] = [](const Json::Value& aIn) -> Outcome<Json::Value> {
    return aIn;
  };
  methods["conflict"] = [](const Json::Value&) -> Outcome<Json::Value> {
    return Error{ ErrorKind::Conflict, "version 3 is newer" };
  };
  const auto server = StartServer(MakeRpcHandler(methods));
  HttpClient client({});
  Json::Value parameters(Json::objectValue);
  parameters["x"] = 7;
  const Endpoint endpoint{ "127.0.0.1", kPort };
  const auto echoed = CallRpc(client, endpoint, "echo", parameters, kTimeout);
  CHECK_TRUE(Succeeded(echoed));
  LONGS_EQUAL(7, ValueOf(echoed)["x"].asInt());
  const auto refused =
    CallRpc(client, endpoint, "conflict", parameters, kTimeout);
  CHECK_TRUE(ErrorOf(refused).mKind == ErrorKind::Conflict);
  const auto absent =
    CallRpc(client, { "127.0.0.1", kPort + 1 }, "echo", parameters, kTimeout);
  CHECK_TRUE(ErrorOf(absent).mKind == ErrorKind::Unavailable);
}
