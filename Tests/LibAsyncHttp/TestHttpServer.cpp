// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <deque>
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
  AsyncHttpServer mServer{
    mLoop,
    mDeadlines,
    {},
    [this](const HttpIncomingRequest& aRequest, ReplyHandler aReply) {
      mRequests.push_back({ aRequest.mTarget, std::move(aReply) });
    }
  };
  std::string mAddress = FreeAddress(mLoop);
  tcp::socket mClient{ mLoop };

  void setup() override
  {
    CHECK_TRUE(Succeeded(mServer.Listen(mAddress)));
    const auto port = static_cast<unsigned short>(
      std::stoi(mAddress.substr(mAddress.rfind(':') + 1)));
    mClient.connect({ boost::asio::ip::address_v4::loopback(), port });
    mClient.non_blocking(true);
  }

  void Send(const std::string& aTarget)
  {
    const std::string text = "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::write(mClient, boost::asio::buffer(text));
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
