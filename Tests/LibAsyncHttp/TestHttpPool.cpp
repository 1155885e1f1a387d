// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibAsyncHttp/HttpPool.h>
#include <LibTime/BootClock.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Requests for it are never answered.
constexpr const char* kUnanswered = "/unanswered";
/// Requests for it are answered in parts, by Peer::SendPart().
constexpr const char* kInParts = "/in-parts";
constexpr std::string_view kPartsHeader =
  "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";

/// An HTTP server on the loopback address. Its connections can fall silent:
/// they stay open, but what arrives on them is ignored.
class Peer
{
public:
  explicit Peer(boost::asio::io_context& aLoop)
    : mLoop(aLoop)
    , mAcceptor(aLoop,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    Accept();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  /// Holds answers back until so many requests have arrived.
  void HoldUntil(std::size_t aRequests) { mHoldUntil = aRequests; }

  /// Silences all connections that are open now.
  void SilenceConnections()
  {
    for (const ConnectionPtr& connection : mConnections) {
      connection->mSilent = true;
    }
  }

  /// Sends a part of the answer to the last request for kInParts.
  void SendPart(std::string_view aPart)
  {
    error_code ignored; // The client may have closed the connection.
    boost::asio::write(mInParts->mSocket, boost::asio::buffer(aPart), ignored);
  }

  /// @return the number of connections accepted so far
  [[nodiscard]] std::size_t Connections() const { return mConnections.size(); }
  /// @return the number of requests received so far, answered or not
  [[nodiscard]] std::size_t Requests() const { return mRequests; }
  /// @return the number of requests received on silent connections
  [[nodiscard]] std::size_t Ignored() const { return mIgnored; }

private:
  struct Connection
  {
    explicit Connection(boost::asio::io_context& aLoop)
      : mSocket(aLoop)
    {
    }
    tcp::socket mSocket;
    std::array<char, 1024> mBuffer{};
    std::string mIncoming;
    bool mSilent = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    auto connection = std::make_shared<Connection>(mLoop);
    mAcceptor.async_accept(connection->mSocket,
                           [this, connection](error_code aError) {
                             if (!aError) {
                               mConnections.push_back(connection);
                               Read(connection);
                               Accept();
                             }
                           });
  }

  void Read(const ConnectionPtr& aConnection)
  {
    aConnection->mSocket.async_read_some(
      boost::asio::buffer(aConnection->mBuffer),
      [this, aConnection](error_code aError, std::size_t aCount) {
        if (aError) {
          return;
        }
        aConnection->mIncoming.append(aConnection->mBuffer.data(), aCount);
        if (aConnection->mIncoming.ends_with("\r\n\r\n")) {
          Handle(aConnection, std::exchange(aConnection->mIncoming, {}));
        }
        Read(aConnection);
      });
  }

  void Handle(const ConnectionPtr& aConnection, const std::string& aRequest)
  {
    ++mRequests;
    if (aConnection->mSilent) {
      ++mIgnored;
    } else if (aRequest.find(kInParts) != std::string::npos) {
      mInParts = aConnection;
    } else if (aRequest.find(kUnanswered) == std::string::npos) {
      mHeld.push_back(aConnection);
    }
    if (mRequests < mHoldUntil) {
      return;
    }
    for (const ConnectionPtr& connection : std::exchange(mHeld, {})) {
      boost::asio::write(connection->mSocket, boost::asio::buffer(kAnswer));
    }
  }

  boost::asio::io_context& mLoop;
  tcp::acceptor mAcceptor;
  std::vector<ConnectionPtr> mConnections;
  std::vector<ConnectionPtr> mHeld; ///< Connections that await an answer.
  ConnectionPtr mInParts;           ///< Of the last request for kInParts.
  std::size_t mRequests = 0;
  std::size_t mIgnored = 0;
  std::size_t mHoldUntil = 0;
};

} // namespace

TEST_GROUP(HttpPool)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  Peer mPeer{ mLoop };
  HttpPool mPool{ mLoop, mDeadlines, mPeer.Address(), 8 };

  /// A call and its answer, once there is one.
  using Answer = std::shared_ptr<std::optional<HttpAnswer>>;

  Answer Send(HttpCall aCall)
  {
    // This peer answers each request once.
    aCall.mCheckAnswer = [](const HttpAnswer&, AnswerHistory&) {
      return AnswerOrigin::Own;
    };
    auto answer = std::make_shared<std::optional<HttpAnswer>>();
    mPool.Send(std::move(aCall),
               [answer](HttpAnswer aAnswer) { *answer = std::move(aAnswer); });
    return answer;
  }

  Answer Send(const std::string& aTarget, Millis aTimeout)
  {
    return Send({ "GET", aTarget, {}, {}, aTimeout });
  }

  /// Runs the loop until the condition holds.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  void Await(const Answer& aAnswer)
  {
    RunUntil([&] { return aAnswer->has_value(); });
  }

  /// Opens connections by calls that are under way at the same time, and waits
  /// until all of them are answered.
  void OpenConnections(std::size_t aCount)
  {
    mPeer.HoldUntil(mPeer.Requests() + aCount);
    std::vector<Answer> answers;
    for (std::size_t i = 0; i < aCount; ++i) {
      answers.push_back(Send("/", Seconds(60)));
    }
    for (const Answer& answer : answers) {
      Await(answer);
    }
    UNSIGNED_LONGS_EQUAL(aCount, mPeer.Connections());
  }

  /// Sends a call and waits until the peer has received it.
  Answer SendUnanswered(HttpCall aCall)
  {
    const std::size_t received = mPeer.Requests();
    Answer answer = Send(std::move(aCall));
    RunUntil([&] { return mPeer.Requests() > received; });
    return answer;
  }

  /// Sends a call whose answer arrives in parts.
  Answer SendForParts(Millis aTimeout, const TransferTimeouts& aTransfer)
  {
    HttpCall call{ "GET", kInParts, {}, {}, aTimeout };
    call.mTransferTimeouts = aTransfer;
    return SendUnanswered(std::move(call));
  }

  /// Sends a part of the answer, and waits until the pool has read it: another
  /// call is answered after it.
  void SendPart(std::string_view aPart)
  {
    mPeer.SendPart(aPart);
    Await(Send("/", Seconds(60)));
  }

  /// Expires the calls whose time-outs end within the given time from now.
  void Expire(Millis aWithin)
  {
    mDeadlines.Expire(BootTime() + aWithin);
  }
};

// Guards against a call that is repeated on one silent connection after the
// other, each time until its time-out. Nodes missed configurations for 6 s, and
// refused requests as an older version says.
TEST(HttpPool, ACallAfterASilentConnectionTakesANewOne)
{
  OpenConnections(3);
  mPeer.SilenceConnections();
  const Answer first = SendUnanswered({ "GET", "/first", {}, {}, Seconds(1) });
  Expire(Seconds(2));
  CHECK_TRUE((*first)->mFailure == CallFailure::NoAnswer);
  const Answer second = Send("/second", Seconds(1));
  RunUntil([&] { return second->has_value() || mPeer.Ignored() == 2; });
  CHECK_TRUE(second->has_value());
  LONGS_EQUAL(200, (*second)->mStatus);
  UNSIGNED_LONGS_EQUAL(4, mPeer.Connections());
}

// Guards against a repetition that is sent at once, by the handler of the call
// without an answer, and still meets a silent connection.
TEST(HttpPool, ARepetitionByTheHandlerTakesANewConnection)
{
  OpenConnections(3);
  mPeer.SilenceConnections();
  Answer repetition;
  mPool.Send({ "GET", "/first", {}, {}, Seconds(1) }, [&](const HttpAnswer&) {
    repetition = Send("/second", Seconds(60));
  });
  RunUntil([&] { return mPeer.Ignored() == 1; });
  Expire(Seconds(2));
  RunUntil([&] { return repetition->has_value() || mPeer.Ignored() == 2; });
  CHECK_TRUE(repetition->has_value());
  LONGS_EQUAL(200, (*repetition)->mStatus);
}

// Guards against a call on a connection that fell silent while nobody used it.
// A wait for changes on such a connection was noticed only after its time-out.
TEST(HttpPool, AConnectionThatWasIdleForTooLongIsNotUsed)
{
  HttpPool pool(mLoop, mDeadlines, mPeer.Address(), 8, Millis(0));
  const auto call = [&] {
    auto answer = std::make_shared<std::optional<HttpAnswer>>();
    pool.Send({ "GET", "/", {}, {}, Seconds(60) },
              [answer](HttpAnswer aAnswer) { *answer = std::move(aAnswer); });
    return answer;
  };
  Await(call());
  mPeer.SilenceConnections();
  const MonotonicTime idleSince = BootTime();
  RunUntil([&] { return BootTime() - idleSince > Millis(2); });
  const Answer next = call();
  RunUntil([&] { return next->has_value() || mPeer.Ignored() == 1; });
  CHECK_TRUE(next->has_value());
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
}

// Guards against closing connections that work, because one call got no answer.
// Each new connection to a runner has a cost.
TEST(HttpPool, ConnectionsThatAnswerMeanwhileAreKept)
{
  OpenConnections(2);
  const Answer unanswered =
    SendUnanswered({ "GET", kUnanswered, {}, {}, Seconds(1) });
  Await(Send("/other", Seconds(60)));
  Expire(Seconds(2));
  CHECK_TRUE((*unanswered)->mFailure == CallFailure::NoAnswer);
  const Answer next = Send("/next", Seconds(60));
  Await(next);
  LONGS_EQUAL(200, (*next)->mStatus);
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
}

// Guards against a long poll that waits out its own time-out on a silent
// connection, although a later call has already shown that the peer's
// connections are silent. Accepted jobs waited for up to 4 s.
TEST(HttpPool, ALongPollEndsWhenALaterCallGetsNoAnswer)
{
  OpenConnections(3);
  mPeer.SilenceConnections();
  HttpCall call{ "GET", "/changes", {}, {}, Seconds(60) };
  call.mLongPoll = true;
  const Answer longPoll = SendUnanswered(call);
  const Answer order =
    SendUnanswered({ "POST", "/order", {}, {}, Seconds(60) });
  const Answer read = SendUnanswered({ "GET", "/read", {}, {}, Seconds(1) });
  Expire(Seconds(2));
  CHECK_TRUE((*read)->mFailure == CallFailure::NoAnswer);
  CHECK_TRUE(longPoll->has_value());
  CHECK_TRUE((*longPoll)->mFailure == CallFailure::NoAnswer);
  // The sender of an order decides itself how long it waits.
  CHECK_FALSE(order->has_value());
}

// Guards against a peer that is slow for one call, and whose long polls are
// broken off and repeated each time: a long poll that is sent after that call
// goes on.
TEST(HttpPool, ALongPollSentAfterAnUnansweredCallGoesOn)
{
  OpenConnections(2);
  const Answer unanswered =
    SendUnanswered({ "GET", kUnanswered, {}, {}, Seconds(1) });
  HttpCall call{ "GET", kUnanswered, {}, {}, Seconds(60) };
  call.mLongPoll = true;
  const Answer longPoll = SendUnanswered(call);
  Expire(Seconds(2));
  CHECK_TRUE(unanswered->has_value());
  CHECK_FALSE(longPoll->has_value());
}

// Guards against one call that is slow on a connection that works, and that
// ends the long polls on all others. A store that answers reads after their
// time-out could keep a node from learning of changes.
TEST(HttpPool, ALongPollGoesOnIfAnOlderConnectionAnswersMeanwhile)
{
  OpenConnections(3);
  HttpCall call{ "GET", kUnanswered, {}, {}, Seconds(60) };
  call.mLongPoll = true;
  const Answer longPoll = SendUnanswered(call);
  const Answer slow =
    SendUnanswered({ "GET", kUnanswered, {}, {}, Seconds(1) });
  Await(Send("/other", Seconds(60)));
  UNSIGNED_LONGS_EQUAL(3, mPeer.Connections());
  Expire(Seconds(2));
  CHECK_TRUE(slow->has_value());
  CHECK_FALSE(longPoll->has_value());
}

// Guards against taking an answer on a new connection as a sign that the older
// ones work: when all open connections fall silent, new ones still answer.
TEST(HttpPool, ALongPollEndsAlthoughANewConnectionAnswers)
{
  OpenConnections(2);
  mPeer.SilenceConnections();
  HttpCall call{ "GET", "/changes", {}, {}, Seconds(60) };
  call.mLongPoll = true;
  const Answer longPoll = SendUnanswered(call);
  const Answer read = SendUnanswered({ "GET", "/read", {}, {}, Seconds(1) });
  Await(Send("/other", Seconds(60)));
  UNSIGNED_LONGS_EQUAL(3, mPeer.Connections());
  Expire(Seconds(2));
  CHECK_TRUE(read->has_value());
  CHECK_TRUE(longPoll->has_value());
}

// Guards against a large answer over a slow link that is broken off while it
// arrives. Each repetition was broken off as well, and 18 nodes kept a link
// between regions full for 40 s without getting the configuration.
TEST(HttpPool, AnAnswerThatMakesProgressIsNotBrokenOff)
{
  const Answer answer = SendForParts(Seconds(1), { Seconds(10), Seconds(60) });
  SendPart(kPartsHeader);
  const std::string part(25000, 'x');
  for (int i = 0; i < 4; ++i) {
    Expire(Seconds(9));
    CHECK_FALSE(answer->has_value());
    SendPart(part);
  }
  Await(answer);
  LONGS_EQUAL(200, (*answer)->mStatus);
  UNSIGNED_LONGS_EQUAL(100000, (*answer)->mBody.size());
  UNSIGNED_LONGS_EQUAL(kPartsHeader.size() + 100000, (*answer)->mReceivedBytes);
}

// Guards against a time-out for the transfer that also delays the end of a call
// whose answer never begins.
TEST(HttpPool, ACallWithoutAFirstByteEndsAtItsTimeout)
{
  const Answer answer = SendForParts(Seconds(1), { Seconds(10), Seconds(60) });
  Expire(Seconds(2));
  CHECK_TRUE(answer->has_value());
  CHECK_TRUE((*answer)->mFailure == CallFailure::NoAnswer);
}

// Guards against a connection that falls silent in the middle of an answer and
// is noticed only at the end of the whole time for the transfer, and against
// the next call on a connection that is silent too.
TEST(HttpPool, AnAnswerThatStallsInTheMiddleIsBrokenOff)
{
  const Answer answer = SendForParts(Seconds(60), { Seconds(10), Seconds(60) });
  // Two more connections are heard after that call was sent.
  mPeer.HoldUntil(mPeer.Requests() + 2);
  const Answer first = Send("/", Seconds(60));
  Await(Send("/", Seconds(60)));
  Await(first);
  // One of them is heard after the last part, and is busy from then on.
  SendPart(kPartsHeader);
  SendPart("begin");
  SendUnanswered({ "GET", kUnanswered, {}, {}, Seconds(60) });
  mPeer.SilenceConnections();
  UNSIGNED_LONGS_EQUAL(3, mPeer.Connections());
  Expire(Seconds(11));
  CHECK_TRUE(answer->has_value());
  CHECK_TRUE((*answer)->mFailure == CallFailure::NoAnswer);
  // The log tells a broken-off answer from one that never began.
  UNSIGNED_LONGS_EQUAL(kPartsHeader.size() + 5, (*answer)->mReceivedBytes);
  const Answer next = Send("/next", Seconds(60));
  RunUntil([&] { return next->has_value() || mPeer.Ignored() == 1; });
  CHECK_TRUE(next->has_value());
}

// Guards against a wait for changes whose large answer is broken off when a
// small call gets no answer over the same full link: the node reads all of it
// again. Its own time-out for a stall applies.
TEST(HttpPool, ALongPollWhoseAnswerArrivesGoesOn)
{
  HttpCall call{ "GET", kInParts, {}, {}, Seconds(60) };
  call.mLongPoll = true;
  call.mTransferTimeouts = { Seconds(10), Seconds(60) };
  const Answer longPoll = SendUnanswered(call);
  SendPart(kPartsHeader);
  const Answer small =
    SendUnanswered({ "GET", kUnanswered, {}, {}, Seconds(1) });
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
  Expire(Seconds(2));
  CHECK_TRUE(small->has_value());
  CHECK_FALSE(longPoll->has_value());
  Expire(Seconds(11));
  CHECK_TRUE(longPoll->has_value());
}

// Guards against a peer that holds a connection for ever by sending a byte now
// and then, and against taking this as a sign of silent connections.
TEST(HttpPool, AnAnswerThatTricklesIsBrokenOff)
{
  OpenConnections(2);
  const Answer answer = SendForParts(Seconds(60), { Seconds(60), Millis(100) });
  mPeer.SendPart(kPartsHeader);
  // The answer has 100,000 bytes, of which one arrives each millisecond.
  for (int i = 0; i < 2000 && !answer->has_value(); ++i) {
    mPeer.SendPart("x");
    mLoop.restart();
    mLoop.run_for(Millis(1));
    Expire(Millis(0));
  }
  CHECK_TRUE(answer->has_value());
  CHECK_TRUE((*answer)->mFailure == CallFailure::NoAnswer);
  Await(Send("/next", Seconds(60)));
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
}
