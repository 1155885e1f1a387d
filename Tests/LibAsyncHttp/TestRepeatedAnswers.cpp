// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <LibAsyncHttp/HttpPool.h>
#include <LibTime/BootClock.h>
#include <Support/ScriptedPeer.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// Reads the body as the reading of the peer's clock.
AnswerOrigin
CheckBody(const HttpAnswer& aAnswer, AnswerHistory& aHistory)
{
  return CheckPeerClock(std::stoll(aAnswer.mBody), aHistory);
}

} // namespace

TEST_GROUP(RepeatedAnswers)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  std::size_t mRequests = 0;
  std::size_t mLastConnection = 0; ///< Of the latest request.
  ScriptedPeer mPeer{ mLoop, [this](const std::string&, std::size_t aNumber) {
                       ++mRequests;
                       mLastConnection = aNumber;
                     } };
  HttpPool mPool{ mLoop, mDeadlines, mPeer.Address(), 2 };

  using Answer = std::shared_ptr<std::optional<HttpAnswer>>;

  Answer Send(AnswerCheck aCheck)
  {
    auto answer = std::make_shared<std::optional<HttpAnswer>>();
    HttpCall call{ "GET", "/", {}, {}, Seconds(60) };
    call.mCheckAnswer = std::move(aCheck);
    mPool.Send(std::move(call),
               [answer](HttpAnswer aAnswer) { *answer = std::move(aAnswer); });
    return answer;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  /// Sends a call and waits until the peer has received it.
  Answer SendAndReceive(const AnswerCheck& aCheck = CheckBody)
  {
    const std::size_t received = mRequests;
    Answer answer = Send(aCheck);
    RunUntil([&] { return mRequests > received; });
    return answer;
  }

  /// Sends bytes of the peer on the connection of the latest request, and waits
  /// for the answer to the call.
  /// @return the body, or "none" if the call got no answer
  std::string Receive(const Answer& aAnswer, std::string_view aBytes)
  {
    mPeer.Send(mLastConnection, aBytes);
    RunUntil([&] { return aAnswer->has_value(); });
    return (*aAnswer)->mFailure == CallFailure::None ? (*aAnswer)->mBody
                                                     : "none";
  }

  /// Lets a call be answered, and its connection rest.
  void CompleteCall()
  {
    const Answer answer = SendAndReceive();
    STRCMP_EQUAL("10", Receive(answer, ScriptedPeer::Answer("10")).c_str());
    const MonotonicTime answered = BootTime();
    RunUntil([&] { return BootTime() - answered > Millis(5); });
  }

  /// Lets a call get a whole answer, an answer that is cut short, and no more.
  void CheckNoAnswer(std::string_view aCutAnswer)
  {
    const Answer answer = SendAndReceive();
    mPeer.Send(mLastConnection, aCutAnswer);
    mPeer.Close(mLastConnection);
    RunUntil([&] { return answer->has_value(); });
    CHECK_TRUE((*answer)->mFailure == CallFailure::NoAnswer);
    STRCMP_EQUAL("", (*answer)->mBody.c_str());
  }
};

// Guards against the answer of another call: a peer sends an answer once more
// while the next call on that connection is under way.
TEST(RepeatedAnswers, ARepetitionDuringTheNextCallIsDropped)
{
  CompleteCall();
  const Answer answer = SendAndReceive();
  STRCMP_EQUAL("20",
               Receive(answer,
                       ScriptedPeer::Answer("10") + ScriptedPeer::Answer("10") +
                         ScriptedPeer::Answer("20"))
                 .c_str());
  UNSIGNED_LONGS_EQUAL(1, mPeer.Connections());
}

// Guards against the answer of another call that lies unread in the socket when
// the next call is sent.
TEST(RepeatedAnswers, ARepetitionBeforeTheNextCallIsNotItsAnswer)
{
  CompleteCall();
  mPeer.Send(mLastConnection, ScriptedPeer::Answer("10"));
  const Answer answer = SendAndReceive();
  STRCMP_EQUAL("20", Receive(answer, ScriptedPeer::Answer("20")).c_str());
}

// Guards against losing answers: a call that follows at once, whose answer the
// peer reads in a later millisecond, is sent on the same connection.
TEST(RepeatedAnswers, ConsecutiveCallsShareAConnection)
{
  for (int clock = 1; clock <= 20; ++clock) {
    const Answer answer = SendAndReceive();
    const std::string body = std::to_string(clock);
    STRCMP_EQUAL(body.c_str(),
                 Receive(answer, ScriptedPeer::Answer(body)).c_str());
  }
  UNSIGNED_LONGS_EQUAL(1, mPeer.Connections());
}

// Guards against a call on a connection whose last answer did not show that it
// was its call's own: a second copy could not be told from the next answer.
TEST(RepeatedAnswers, AConnectionWithAnUnprovedAnswerIsClosed)
{
  for (int call = 0; call < 2; ++call) {
    const Answer answer = SendAndReceive(nullptr);
    STRCMP_EQUAL("same", Receive(answer, ScriptedPeer::Answer("same")).c_str());
  }
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
}

// Guards against a part of an answer that is taken for the whole.
TEST(RepeatedAnswers, AnAnswerThatIsNotWholeIsNoAnswer)
{
  CheckNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1234");
  CheckNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4\r\n1234\r\n");
  CheckNoAnswer("HTTP/1.1 200 OK\r\n\r\n1234");
  CheckNoAnswer("HTTP/1.1 200 OK\r\nContent-Le");
  CompleteCall();
  CheckNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1234");
}

// Guards against an answer that ends the process: memory was reserved for any
// length that an answer states, before it was checked.
TEST(RepeatedAnswers, AnAnswerOfAbsurdLengthIsNoAnswer)
{
  for (const char* length :
       { "8388609", "99999999999", "18446744073709551615" }) {
    CheckNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) +
                  "\r\n\r\n1234");
  }
}

// Guards against an answer that is kept without a bound because it does not
// end.
TEST(RepeatedAnswers, AnAnswerWithoutEndIsNoAnswer)
{
  std::string fields;
  while (fields.size() < 30'000) {
    fields += "name: value\r\n";
  }
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& beginning :
       { head, chunked + "0\r\n", chunked + "5;a=" }) {
    // The connection stays open.
    const Answer call = SendAndReceive();
    std::string answer = beginning;
    answer += fields;
    STRCMP_EQUAL("none", Receive(call, answer).c_str());
  }
}
