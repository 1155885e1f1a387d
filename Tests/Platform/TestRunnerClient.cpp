// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <optional>
#include <string>
#include <vector>

#include <LibTime/BootClock.h>
#include <Support/ScriptedPeer.h>

#include "../../platform/RunnerClient.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// A runner on the loopback address that answers renewals, and notes up to
/// which end each of them acknowledges its ends.
class FakeRunner
{
public:
  explicit FakeRunner(boost::asio::io_context& aLoop)
    : mPeer(aLoop,
            [this](const std::string& aRequest, std::size_t aConnection) {
              Answer(aConnection, aRequest);
            })
  {
  }

  [[nodiscard]] std::string Address() const { return mPeer.Address(); }

  /// Ends all connections, as a restart does.
  void CloseConnections()
  {
    for (std::size_t i = 0; i < mPeer.Connections(); ++i) {
      mPeer.Close(i);
    }
  }

  std::vector<std::string> mAcknowledged; ///< Texts of last_seen, in order.
  std::int64_t mBorn = 1;                 ///< Identifies its process.
  std::string mFinished;                  ///< Rows of the ends in its lists.
  bool mHealthy = true;                   ///< Otherwise the status is 503.
  bool mTellsClock = true;
  bool mKeepsConnections = true;

private:
  void Answer(std::size_t aConnection, const std::string& aRequest)
  {
    const std::string member = "\"last_seen\":";
    const std::size_t at = aRequest.find(member) + member.size();
    mAcknowledged.push_back(
      aRequest.substr(at, aRequest.find_first_of(",}", at) - at));
    mClockMs += 10;
    const std::string clock = R"({"clock_ms":)" + std::to_string(mClockMs);
    const std::string body =
      mHealthy ? clock + R"(,"born":)" + std::to_string(mBorn) +
                   R"(,"running":[],"finished":[)" + mFinished + "]}"
      : mTellsClock ? clock + "}"
                    : "{}";
    mPeer.Send(
      aConnection,
      ScriptedPeer::Answer(body,
                           mHealthy ? "200 OK" : "503 Service Unavailable",
                           mKeepsConnections ? "" : "Connection: close\r\n"));
  }

  ScriptedPeer mPeer;
  std::int64_t mClockMs = 1000;
};

} // namespace

TEST_GROUP(RunnerClient)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  FakeRunner mRunner{ mLoop };
  platform::RunnerClient mClient{ mLoop, mDeadlines, [](const std::string&) {
                                 } };
  RunnerPort mPort = mClient.Port();

  /// Sends a renewal that acknowledges the ends of a process.
  /// @return its result
  RunnerResult Renew(std::int64_t aAcknowledgedEnd = 7,
                     std::int64_t aProcess = 1)
  {
    RenewalOrder order;
    order.mFencingToken = 3;
    order.mAcknowledgedEnd = aAcknowledgedEnd;
    order.mAcknowledgedProcess = aProcess;
    std::optional<RunnerResult> result;
    mPort.mRenew(
      { mRunner.Address(), "i-1" }, order, [&](const RenewalOutcome& aOutcome) {
        result = aOutcome.mResult;
      });
    while (!result) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
      mDeadlines.Expire(BootTime());
    }
    return *result;
  }

  /// Replaces the runner's process, and sends renewals until the new one has
  /// answered the first.
  void Restart(std::int64_t aBorn)
  {
    mRunner.mBorn = aBorn;
    mRunner.CloseConnections();
    const std::size_t received = mRunner.mAcknowledged.size();
    while (mRunner.mAcknowledged.size() == received) {
      Renew(); // The first one is sent on the connection that has ended.
    }
  }

  void CheckAcknowledged(const char* aTexts)
  {
    std::string texts;
    for (const std::string& text : mRunner.mAcknowledged) {
      texts += (texts.empty() ? "" : " ") + text;
    }
    STRCMP_EQUAL(aTexts, texts.c_str());
  }
};

// Guards against ends that a restarted runner forgets unread, because a renewal
// carries the number of an end of its former process: their tasks would run
// again although they are done.
TEST(RunnerClient, ARenewalAcknowledgesNothingToAnUnknownProcess)
{
  Renew();
  Renew();
  mRunner.CloseConnections();
  while (Renew() != RunnerResult::Done) {
    // The renewal was sent on the connection that has ended.
  }
  Renew();
  CheckAcknowledged("0 7 0 7");
}

// Guards against taking the process for known by an answer that does not tell
// which one it is.
TEST(RunnerClient, AnUnhealthyRunnerDoesNotTellItsProcess)
{
  mRunner.mHealthy = false;
  Renew();
  Renew();
  mRunner.mHealthy = true;
  Renew();
  Renew();
  CheckAcknowledged("0 0 0 7");
}

// Guards against ends that are never acknowledged to a runner that closes each
// connection after its answer.
TEST(RunnerClient, ARunnerThatClosesConnectionsIsKnownByItsAnswers)
{
  mRunner.mKeepsConnections = false;
  Renew();
  Renew();
  Renew();
  CheckAcknowledged("0 7 7");
}

// Guards against ends that a restarted runner forgets unread although it has
// been heard: its report may not have been used, because the host's clock was
// set back before the restart, and the owner still counts the ends of the
// former process.
TEST(RunnerClient, AProcessIsAcknowledgedNoEndOfAnotherOne)
{
  Renew();
  Renew();
  Restart(0);
  Renew();
  Renew();
  CheckAcknowledged("0 7 0 0 0");
}

// Guards against ends that are never acknowledged to a restarted runner.
TEST(RunnerClient, ARestartedRunnerIsAcknowledgedItsOwnEnds)
{
  Renew();
  Restart(2);
  Renew(3, 2);
  // The owner has planned this one before it heard of the new process.
  Renew(7, 1);
  CheckAcknowledged("0 0 3 0");
}

// Guards against acknowledging ends of the former process to one whose list
// can't be read, so that its own ends are not known.
TEST(RunnerClient, AnUnreadableListMakesNoProcessAcknowledged)
{
  Renew();
  Renew();
  mRunner.mFinished = R"([1,"no name of a task",1,"done",""])";
  Restart(2);
  CHECK_TRUE(Renew() == RunnerResult::Unknown);
  CheckAcknowledged("0 7 0 0");
}

// Guards against acknowledging ends on a new connection after an answer that
// can't be told from that of another call, and for which the former connection
// was closed.
TEST(RunnerClient, AnAnswerOfUnprovedOriginEndsTheKnowledgeOfTheProcess)
{
  Renew();
  Renew();
  mRunner.mHealthy = false;
  mRunner.mTellsClock = false;
  Renew();
  mRunner.mHealthy = true;
  mRunner.mBorn = 2;
  Renew();
  CheckAcknowledged("0 7 7 0");
}

// Guards against acknowledging the ends of a runner that shuts down to its next
// process: a server closes the connections that it has kept until then.
TEST(RunnerClient, ARunnerThatEndsAKeptConnectionIsNotKnown)
{
  Renew();
  Renew();
  mRunner.mKeepsConnections = false;
  Renew();
  mRunner.mKeepsConnections = true;
  mRunner.mBorn = 2;
  Renew();
  CheckAcknowledged("0 7 7 0");
}
