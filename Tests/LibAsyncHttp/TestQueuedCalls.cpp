// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <LibAsyncHttp/HttpPool.h>
#include <LibTime/BootClock.h>
#include <Support/ScriptedPeer.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(QueuedCalls)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  std::vector<std::string> mTargets; ///< Of the requests received.
  ScriptedPeer mPeer{ mLoop, [this](const std::string& aRequest, std::size_t) {
                       const std::size_t begin = aRequest.find(' ') + 1;
                       mTargets.push_back(aRequest.substr(
                         begin, aRequest.find(' ', begin) - begin));
                     } };
  HttpPool mPool{ mLoop, mDeadlines, mPeer.Address(), 1 };
  std::vector<std::string> mNotSent; ///< Targets of calls that were not sent.

  HttpCall MakeCall(const std::string& aTarget)
  {
    HttpCall call{ "GET", aTarget, {}, {}, Seconds(60) };
    call.mCheckAnswer = [](const HttpAnswer&, AnswerHistory&) {
      return AnswerOrigin::Own;
    };
    return call;
  }

  void Send(HttpCall aCall)
  {
    const std::string target = aCall.mTarget;
    mPool.Send(std::move(aCall), [this, target](const HttpAnswer& aAnswer) {
      if (aAnswer.mFailure == CallFailure::NotSent) {
        mNotSent.push_back(target);
      }
    });
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  /// Answers the latest request and waits for the next one.
  void AnswerAndAwaitNext()
  {
    const std::size_t before = mTargets.size();
    mPeer.Send(0, ScriptedPeer::Answer("{}"));
    RunUntil([&] { return mTargets.size() > before; });
  }
};

// Guards against an order that is sent seconds after the decision although it
// has become wrong meanwhile, such as the start of a task whose job was
// cancelled.
TEST(QueuedCalls, DoesNotSendACallThatIsNotWantedAnyMore)
{
  bool wanted = true;
  Send(MakeCall("/first"));
  HttpCall start = MakeCall("/start");
  start.mStillWanted = [&] { return wanted; };
  Send(std::move(start));
  Send(MakeCall("/last"));
  RunUntil([&] { return mTargets.size() == 1; });
  wanted = false;
  AnswerAndAwaitNext();
  LONGS_EQUAL(2, mTargets.size());
  STRCMP_EQUAL("/last", mTargets[1].c_str());
  LONGS_EQUAL(1, mNotSent.size());
  STRCMP_EQUAL("/start", mNotSent[0].c_str());
}

// Guards against the same while the connection is being opened.
TEST(QueuedCalls, DoesNotSendAnUnwantedCallOnANewConnection)
{
  HttpCall start = MakeCall("/start");
  start.mStillWanted = [] { return false; };
  Send(std::move(start));
  LONGS_EQUAL(0, mNotSent.size());
  RunUntil([&] { return !mNotSent.empty(); });
  Send(MakeCall("/next"));
  RunUntil([&] { return !mTargets.empty(); });
  STRCMP_EQUAL("/next", mTargets[0].c_str());
  LONGS_EQUAL(1, mPeer.Connections());
}

// Guards against an answer that has arrived in time and is thrown away because
// this process reads it late: the peer's work is undone and done again, which
// makes the process even later.
TEST(QueuedCalls, TakesAnAnswerThatArrivedBeforeTheTimeWasOver)
{
  bool answered = false;
  HttpCall call = MakeCall("/start");
  call.mTimeout = Millis(50);
  mPool.Send(std::move(call), [&](const HttpAnswer& aAnswer) {
    answered = aAnswer.mFailure == CallFailure::None;
  });
  RunUntil([&] { return mTargets.size() == 1; });
  mPeer.Send(0, ScriptedPeer::Answer("{}"));
  mDeadlines.Expire(BootTime() + Millis(100));
  RunUntil([&] { return answered; });
  Send(MakeCall("/next"));
  RunUntil([&] { return mTargets.size() == 2; });
  LONGS_EQUAL(1, mPeer.Connections());
}

// Guards against a call that never ends because its peer sends single bytes.
TEST(QueuedCalls, GivesUpAnAnswerThatIsTooLate)
{
  std::optional<CallFailure> failure;
  HttpCall call = MakeCall("/start");
  call.mTimeout = Millis(0);
  mPool.Send(std::move(call),
             [&](const HttpAnswer& aAnswer) { failure = aAnswer.mFailure; });
  RunUntil([&] { return mTargets.size() == 1; });
  mPeer.Send(0, "HTTP/1.1 200 OK\r\n");
  mDeadlines.Expire(BootTime() + Millis(50));
  CHECK_FALSE(failure.has_value());
  RunUntil([&] {
    mDeadlines.Expire(BootTime() + Millis(50));
    return failure.has_value();
  });
  CHECK_TRUE(*failure == CallFailure::NoAnswer);
}

// Guards against a stop order that waits behind all start orders to its runner.
TEST(QueuedCalls, SendsUrgentCallsFirst)
{
  Send(MakeCall("/first"));
  Send(MakeCall("/start"));
  for (const char* target : { "/stop1", "/stop2" }) {
    HttpCall stop = MakeCall(target);
    stop.mUrgent = true;
    Send(std::move(stop));
  }
  RunUntil([&] { return mTargets.size() == 1; });
  AnswerAndAwaitNext();
  AnswerAndAwaitNext();
  AnswerAndAwaitNext();
  STRCMP_EQUAL("/stop1", mTargets[1].c_str());
  STRCMP_EQUAL("/stop2", mTargets[2].c_str());
  STRCMP_EQUAL("/start", mTargets[3].c_str());
}
