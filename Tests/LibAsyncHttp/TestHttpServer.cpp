// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <string>

#include <LibAsyncHttp/HttpServer.h>
#include <LibTime/BootClock.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using boost::asio::ip::tcp;

namespace {

struct ReceivedRequest
{
  std::string mTarget;
  std::string mBody;
  ReplyHandler mReply;
};

/// @return an address on the loopback interface at which nothing listens
std::string
FreeAddress(boost::asio::io_context& aLoop)
{
  const tcp::acceptor acceptor(aLoop,
                               { boost::asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

TEST_GROUP(HttpServer)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  std::deque<ReceivedRequest> mRequests;
  std::shared_ptr<ConnectionBudget> mBudget =
    std::make_shared<ConnectionBudget>(BudgetLimits{ kMinBudgetBytes, 3 });
  AsyncHttpServer mServer{
    mLoop,
    mDeadlines,
    {},
    [this](const HttpIncomingRequest& aRequest, ReplyHandler aReply) {
      mRequests.push_back(
        { aRequest.mTarget, aRequest.mBody, std::move(aReply) });
    },
    mBudget
  };
  std::string mAddress = FreeAddress(mLoop);
  tcp::socket mClient{ mLoop };

  void setup() override
  {
    CHECK_TRUE(Succeeded(mServer.Listen(mAddress)));
    Connect(mClient);
  }

  void Connect(tcp::socket & aClient)
  {
    const auto port = static_cast<unsigned short>(
      std::stoi(mAddress.substr(mAddress.rfind(':') + 1)));
    aClient.connect({ boost::asio::ip::address_v4::loopback(), port });
    aClient.non_blocking(true);
  }

  void Send(const std::string& aTarget)
  {
    SendText("GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }

  /// Sends bytes while the loop runs, until all are sent, or the server does
  /// not read for a while or has closed the connection.
  /// @return number of bytes sent
  std::size_t SendText(const std::string& aText)
  {
    std::size_t sent = 0;
    for (int idleTurns = 0; sent < aText.size() && idleTurns < 10;) {
      boost::system::error_code error;
      const std::size_t count = mClient.write_some(
        boost::asio::buffer(aText.data() + sent, aText.size() - sent), error);
      sent += count;
      mLoop.restart();
      const bool idle = mLoop.run_one_for(Millis(10)) == 0;
      idleTurns = idle && count == 0 ? idleTurns + 1 : 0;
      if (error && error != boost::asio::error::would_block) {
        break;
      }
    }
    return sent;
  }

  void RunUntilRequests(std::size_t aCount)
  {
    while (mRequests.size() < aCount) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  void Reply(std::size_t aRequest)
  {
    mRequests[aRequest].mReply(
      { 200, "text/plain", mRequests[aRequest].mTarget, {} });
  }

  /// Replies to the first request after a number of turns of the loop.
  void ReplyAfter(std::size_t aTurns)
  {
    boost::asio::post(mLoop, [this, aTurns] {
      if (aTurns == 0) {
        Reply(0);
      } else {
        ReplyAfter(aTurns - 1);
      }
    });
  }

  /// Runs the loop until nothing happens any more.
  /// @return all bytes that the client has received
  std::string Receive()
  {
    std::string received;
    for (;;) {
      mLoop.restart();
      const bool idle = mLoop.run_one_for(Millis(50)) == 0;
      std::array<char, 4096> buffer{};
      boost::system::error_code error;
      const std::size_t count =
        mClient.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), count);
      if (idle && count == 0) {
        return received;
      }
    }
  }
};

// Guards against a request that is handled once more, and answered twice, if
// the next one on its connection arrives while the response is being written,
// as after a freeze of the process. All later answers would be off by one.
TEST(HttpServer, HandlesEachPipelinedRequestOnce)
{
  // The reply comes a number of turns of the loop after the second request, so
  // that in one of the variations the read of that request completes between
  // the reply and the end of its write.
  for (std::size_t turns = 0; turns < 4; ++turns) {
    mRequests.clear();
    Send("/first");
    RunUntilRequests(1);
    Send("/second");
    ReplyAfter(turns);
    RunUntilRequests(2);
    STRCMP_EQUAL("/second", mRequests[1].mTarget.c_str());
    Reply(1);
    const std::string received = Receive();
    const std::size_t first = received.find("/first");
    const std::size_t second = received.find("/second");
    CHECK_TRUE(first != std::string::npos && second != std::string::npos);
    CHECK_TRUE(first < second);
    CHECK_TRUE(received.find("/first", first + 1) == std::string::npos);
    LONGS_EQUAL(2, mRequests.size());
  }
}

// Guards against a pipelined request that is lost because the client shuts down
// its sending side while the response before it is being written.
TEST(HttpServer, AnswersAPipelinedRequestAfterTheClientHasShutDown)
{
  Send("/first");
  RunUntilRequests(1);
  Send("/second");
  mClient.shutdown(tcp::socket::shutdown_send);
  Reply(0);
  RunUntilRequests(2);
  Reply(1);
  const std::string received = Receive();
  CHECK_TRUE(received.find("/first") < received.find("/second"));
  CHECK_TRUE(received.find("/second") != std::string::npos);
}

// Guards against a refusal that the client does not get, because the connection
// is closed while it still sends, and against a part of a request that runs.
TEST(HttpServer, AnswersARequestBeyondTheLimitsOnceAndReadsNoMore)
{
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::string fields;
  while (fields.size() < 100'000) {
    fields += "name: value\r\n";
  }
  const std::pair<const char*, std::string> refused[] = {
    { "HTTP/1.1 413 ", head + "Content-Length: 300000\r\n\r\n" + fields },
    { "HTTP/1.1 431 ", head + fields },
    { "HTTP/1.1 431 ", chunked + "0\r\n" + fields },
    { "HTTP/1.1 400 ", chunked + "1;a=" + std::string(100'000, 'b') },
    { "HTTP/1.1 400 ", "no request\r\n\r\n" + fields }
  };
  for (const auto& [status, text] : refused) {
    SendText(text);
    const std::string received = Receive();
    CHECK_TRUE(received.starts_with(status));
    CHECK_TRUE(received.find("HTTP/1.1", 1) == std::string::npos);
    mClient.close();
    Connect(mClient);
  }
  LONGS_EQUAL(0, mRequests.size());
  LONGS_EQUAL(1, mBudget->mCounts.mBodyTooLong);
  LONGS_EQUAL(2, mBudget->mCounts.mHeadTooLong);
  LONGS_EQUAL(2, mBudget->mCounts.mMalformed);
}

// Guards against input behind a request that is buffered until the request is
// handled, and against requests that are lost because reading has paused.
TEST(HttpServer, ReadsLittleWhileARequestIsHandledAndAllOfItAfterwards)
{
  constexpr std::size_t kBodyBytes = 262'144;
  std::string text = "GET /0 HTTP/1.1\r\nHost: a\r\n\r\n";
  constexpr int kRequests = 40;
  for (int i = 1; i <= kRequests; ++i) {
    text +=
      "POST /" + std::to_string(i) +
      " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBodyBytes) +
      "\r\n\r\n" + std::string(kBodyBytes, 'b');
  }
  std::size_t sent = SendText(text);
  CHECK_TRUE(sent < text.size());
  CHECK_TRUE(mBudget->BufferedBytes() < 40'000);
  for (int i = 0; i <= kRequests; ++i) {
    while (mRequests.size() <= static_cast<std::size_t>(i)) {
      sent += SendText(text.substr(sent));
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
    STRCMP_EQUAL(("/" + std::to_string(i)).c_str(),
                 mRequests[i].mTarget.c_str());
    LONGS_EQUAL(i == 0 ? 0 : kBodyBytes, mRequests[i].mBody.size());
    mRequests[i].mBody.clear();
    Reply(i);
    Receive();
  }
  CHECK_TRUE(mBudget->mCounts == BudgetCounts{});
}

// Guards against idle connections that keep new ones out.
TEST(HttpServer, ANewConnectionTakesThePlaceOfAnIdleOne)
{
  std::deque<tcp::socket> others;
  for (int i = 0; i < 3; ++i) {
    Receive();
    Connect(others.emplace_back(mLoop));
  }
  Receive();
  CHECK_TRUE(mBudget->Connections() == 3);
  std::array<char, 1> buffer{};
  boost::system::error_code error;
  mClient.read_some(boost::asio::buffer(buffer), error);
  CHECK_TRUE(error == boost::asio::error::eof);
}

// Guards against requests that together take more than the host's memory while
// they are handled. The answer says that the request has not run.
TEST(HttpServer, RefusesARequestThatCannotBeHandledBesideOthers)
{
  const std::string body(60'000, 'b');
  const std::string text = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
  SendText(text);
  RunUntilRequests(1);
  tcp::socket first = std::exchange(mClient, tcp::socket(mLoop));
  Connect(mClient);
  SendText(text);
  const std::string received = Receive();
  CHECK_TRUE(received.starts_with("HTTP/1.1 503 "));
  CHECK_TRUE(received.find("Retry-After: ") != std::string::npos);
  LONGS_EQUAL(1, mRequests.size());
  // The request goes on being handled without its connection.
  first.close();
  SendText(text);
  CHECK_TRUE(Receive().starts_with("HTTP/1.1 503 "));
  Reply(0);
  SendText(text);
  RunUntilRequests(2);
}
