// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <functional>
#include <string>
#include <vector>

#include <LibAsyncHttp/HttpPool.h>
#include <LibTime/BootClock.h>
#include <Support/ScriptedPeer.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(PeerIdentity)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  std::vector<std::string> mBodies; ///< Received, in order.
  ScriptedPeer mPeer{ mLoop, [this](const std::string& aRequest, std::size_t) {
                       mBodies.push_back(
                         aRequest.substr(aRequest.find("\r\n\r\n") + 4));
                     } };
  HttpPool mPool{ mLoop, mDeadlines, mPeer.Address(), 2 };
  std::size_t mAnswers = 0;
  std::int64_t mClockMs = 0;

  /// Sends a call whose body is "own" for the process 1.
  /// @param aPeer the process that its answer tells
  void Send(std::int64_t aPeer)
  {
    HttpCall call{ "POST", "/", {}, "own", Seconds(60) };
    call.mBodyForOthers = BodyForOthers{ 1, "other" };
    call.mCheckAnswer = [this, aPeer](const HttpAnswer&,
                                      AnswerHistory& aHistory) {
      aHistory.mPeerIdentity = aPeer;
      return CheckPeerClock(++mClockMs, aHistory);
    };
    mPool.Send(std::move(call), [this](const HttpAnswer&) { ++mAnswers; });
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  /// Lets the peer answer the call that it has received on a connection, and
  /// the connection rest.
  void Answer(std::size_t aConnection)
  {
    const std::size_t answered = mAnswers;
    mPeer.Send(aConnection, ScriptedPeer::Answer("{}"));
    RunUntil([&] { return mAnswers > answered; });
    const MonotonicTime answeredAt = BootTime();
    RunUntil([&] { return BootTime() - answeredAt > Millis(5); });
  }

  void CheckReceived(const std::vector<std::string>& aBodies)
  {
    RunUntil([&] { return mBodies.size() >= aBodies.size(); });
    CHECK_TRUE(aBodies == mBodies);
  }
};

// Guards against sending what is meant for one process to another, which a new
// connection may lead to while an earlier one is still open.
TEST(PeerIdentity, IsThatOfTheAnswersOnTheConnection)
{
  Send(1);
  CheckReceived({ "other" });
  Answer(0);
  Send(1);
  CheckReceived({ "other", "own" });
  Send(1); // The first connection is in use.
  CheckReceived({ "other", "own", "other" });
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
}

// Guards against taking any identified process for the one that a call is
// meant for.
TEST(PeerIdentity, IsComparedWithThatOfTheCall)
{
  Send(2);
  CheckReceived({ "other" });
  Answer(0);
  Send(1);
  CheckReceived({ "other", "other" });
  Answer(0);
  Send(1);
  CheckReceived({ "other", "other", "own" });
  UNSIGNED_LONGS_EQUAL(1, mPeer.Connections());
}
