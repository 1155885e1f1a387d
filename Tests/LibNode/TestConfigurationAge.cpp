#include <set>
#include <string>
#include <utility>

#include "ClusterSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// Longest delay before a read that has failed several times, and a tick.
constexpr Millis kLongestDelay{ 1375 };

/// @return how often the text occurs in the lines that @p aLog has collected
std::size_t
Count(const EventLog& aLog, const std::string& aText)
{
  std::size_t count = 0;
  const std::string& lines = aLog.Pending();
  for (std::size_t at = lines.find(aText); at != std::string::npos;
       at = lines.find(aText, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_GROUP(ConfigurationAge)
{
  EventLog mLog{ "test", {} };
  OperatorStateHandler mHandler; ///< Of the read that waits for its answer.
  MonotonicTime mSentAt;         ///< When that read was sent.
  int mReads = 0;
  std::string mName; ///< Of the node.
  ClusterSimulation mCluster;

  /// Starts a node whose reads of the operator's state are answered by
  /// Answer(), and lets it send the first one.
  void Begin(const std::string& aName = "a")
  {
    mName = aName;
    mCluster.StartNode(mName);
    NodeContext& context = mCluster.mNodes.at(mName).mContext;
    context.mLog = &mLog;
    context.mDirectory.mReadOperatorState = [this](Millis,
                                                   OperatorStateHandler aDone) {
      mHandler = std::move(aDone);
      mSentAt = mCluster.mNow;
      ++mReads;
    };
    mCluster.AdvanceTime(Millis(25));
  }

  /// Answers the read that was sent last after @p aTime.
  /// @param aVersion  of the configuration that was read; 0: none
  /// @param aReceived bytes of the answer that have arrived
  /// @param aFirstByte time-out until the first byte
  void Answer(Millis aTime,
              ReadResult aResult,
              std::int64_t aVersion = 0,
              std::size_t aReceived = 0,
              Millis aFirstByte = Millis(0))
  {
    mCluster.AdvanceTime(aTime);
    OperatorState state;
    state.mReceivedBytes = aReceived;
    state.mFirstByteTimeout = aFirstByte;
    if (aVersion > 0) {
      state.mConfiguration = Configuration{ aVersion, {}, {} };
    }
    std::exchange(mHandler, {})(aResult, std::move(state));
  }

  /// Lets the node send the next read.
  /// @param aAtMost time within which it does so; 225 ms and a tick are the
  ///                longest delay after a success or after one failure
  /// @return the time until it was sent
  Millis AwaitRead(Millis aAtMost = Millis(250))
  {
    const int reads = mReads;
    const MonotonicTime from = mCluster.mNow;
    while (mReads == reads && mCluster.mNow - from < aAtMost) {
      mCluster.AdvanceTime(Millis(25));
    }
    CHECK_TRUE(mReads > reads);
    return std::chrono::duration_cast<Millis>(mCluster.mNow - from);
  }

  Node& TheNode()
  {
    return *mCluster.mNodes.at(mName).mNode;
  }

  /// @return the age in milliseconds; -1 if there is none
  std::int64_t Age()
  {
    const ConfigurationCopy copy = TheNode().ConfigurationInForce();
    return copy.mAge ? copy.mAge->count() : -1;
  }

  /// @return the time since the read that was sent last, in milliseconds
  std::int64_t SinceSending() const
  {
    return std::chrono::duration_cast<Millis>(mCluster.mNow - mSentAt).count();
  }
};

// Guards against an age that counts from the answer: a version that was stored
// while the answer was under way may be missing in the copy.
TEST(ConfigurationAge, CountsFromTheSendingOfTheAnsweredRead)
{
  Begin();
  LONGS_EQUAL(-1, Age());
  Answer(Millis(2000), ReadResult::Read, 7);
  LONGS_EQUAL(2000, SinceSending());
  LONGS_EQUAL(2000, Age());
  LONGS_EQUAL(7, TheNode().ConfigurationInForce().mVersion);
}

// Guards against a read without an answer that makes the copy look newer.
TEST(ConfigurationAge, KeepsCountingWhenAReadFails)
{
  for (const ReadResult result :
       { ReadResult::Failed, ReadResult::HistoryGone }) {
    Begin();
    Answer(Millis(0), ReadResult::Read, 7);
    AwaitRead();
    const std::int64_t before = Age();
    Answer(Millis(3000), result);
    LONGS_EQUAL(before + 3000, Age());
    LONGS_EQUAL(7, TheNode().ConfigurationInForce().mVersion);
  }
}

// Guards against a version in force whose line does not tell that the copy
// before it was old, and whether the read was slow.
TEST(ConfigurationAge, TellsTheAgeBeforeANewVersion)
{
  Begin();
  Answer(Millis(100), ReadResult::Read, 7);
  LONGS_EQUAL(
    1, Count(mLog, "version=7 routes=0 since_confirmed_ms=none read_ms=100\n"));
  AwaitRead();
  Answer(Millis(3000), ReadResult::Failed);
  AwaitRead();
  const std::int64_t before = Age();
  Answer(Millis(50), ReadResult::Read, 9);
  LONGS_EQUAL(1,
              Count(mLog,
                    "version=9 routes=0 since_confirmed_ms=" +
                      std::to_string(before + 50) + " read_ms=50\n"));
}

// Guards against failed reads that leave no line, or whose line confuses a
// silent store with one that has dropped its history, or with a large answer
// that was broken off, or hides how long the node has waited.
TEST(ConfigurationAge, TellsWhyAReadFailed)
{
  Begin();
  Answer(Millis(1200), ReadResult::Failed, 0, 654321, Millis(2400));
  LONGS_EQUAL(1,
              Count(mLog,
                    "event=operator_read_failed cause=failed read_ms=1200 "
                    "received_bytes=654321 first_byte_ms=2400 version=0 "
                    "configuration_age_ms=none\n"));
  AwaitRead();
  Answer(Millis(0), ReadResult::Read, 7);
  AwaitRead();
  const std::int64_t before = Age();
  Answer(Millis(25), ReadResult::HistoryGone);
  LONGS_EQUAL(
    1,
    Count(mLog,
          "event=operator_read_failed cause=history_gone read_ms=25 "
          "received_bytes=0 first_byte_ms=0 version=7 configuration_age_ms=" +
            std::to_string(before + 25) + "\n"));
}

// Guards against an owner that starts tasks on runners that have left, without
// a line that says that its list of runners is old.
TEST(ConfigurationAge, TellsThatTheListOfRunnersIsOld)
{
  Begin();
  std::function<void(std::optional<std::vector<dispatch::RunnerSpec>>)> handler;
  mCluster.mNodes.at(mName).mContext.mDirectory.mReadRunners =
    [&](const auto& aDone) { handler = aDone; };
  const auto answer = [&](bool aSucceeds, Millis aAfter) {
    for (int i = 0; i < 200 && !handler; ++i) {
      mCluster.AdvanceTime(Millis(25));
    }
    mCluster.AdvanceTime(aAfter);
    const auto done = std::exchange(handler, {});
    CHECK_TRUE(done != nullptr);
    done(aSucceeds ? std::optional(std::vector<dispatch::RunnerSpec>(3))
                   : std::nullopt);
  };
  answer(true, Millis(0));
  answer(true, Millis(0));
  LONGS_EQUAL(0, Count(mLog, "event=runner_read"));
  answer(false, Millis(1200));
  LONGS_EQUAL(1, Count(mLog, "event=runner_read_failed read_ms=1200"));
  LONGS_EQUAL(1, Count(mLog, "runners=3\n"));
  answer(true, Millis(1500));
  LONGS_EQUAL(1, Count(mLog, "event=runner_read_slow read_ms=1500"));
}

// Guards against notices about a calm node. If each wait takes 2 s, its copy is
// older than 3 s before each answer without a change.
TEST(ConfigurationAge, IsNotStaleWhileAllReadsAreAnswered)
{
  Begin();
  Answer(Millis(0), ReadResult::Read, 7);
  for (int i = 0; i < 5; ++i) {
    AwaitRead();
    Answer(Millis(2000), ReadResult::Read);
  }
  AwaitRead();
  mCluster.AdvanceTime(Millis(1900));
  CHECK_TRUE(Age() > 3000);
  LONGS_EQUAL(0, Count(mLog, "event=configuration_stale"));
  LONGS_EQUAL(0, Count(mLog, "event=configuration_current"));
}

// Guards against a stale copy without a notice, and against one at each tick or
// at each further failure.
TEST(ConfigurationAge, IsReportedOnceWhileReadsFail)
{
  Begin();
  Answer(Millis(0), ReadResult::Read, 7);
  AwaitRead();
  for (int i = 0; i < 3; ++i) {
    Answer(Millis(3000), ReadResult::Failed);
    AwaitRead(kLongestDelay);
  }
  LONGS_EQUAL(1, Count(mLog, "event=configuration_stale version=7"));
  LONGS_EQUAL(0, Count(mLog, "event=configuration_current"));
  Answer(Millis(0), ReadResult::Read, 9);
  LONGS_EQUAL(1, Count(mLog, "event=configuration_stale"));
  LONGS_EQUAL(1, Count(mLog, "event=configuration_current stale_ms="));
  AwaitRead();
  LONGS_EQUAL(1, Count(mLog, "event=configuration_current"));
}

// Guards against a stale copy without a notice while a read neither succeeds
// nor fails.
TEST(ConfigurationAge, IsStaleWhileAReadHangs)
{
  Begin();
  Answer(Millis(0), ReadResult::Read, 7);
  AwaitRead();
  mCluster.AdvanceTime(Millis(3000));
  LONGS_EQUAL(0, Count(mLog, "event=configuration_stale"));
  mCluster.AdvanceTime(Millis(1000));
  LONGS_EQUAL(1, Count(mLog, "event=configuration_stale"));
}

// Guards against a large read that fails at all nodes and is repeated by them
// each 150 ms, so that it fills the link for ever, and against a delay that
// stays long when reads succeed again.
TEST(ConfigurationAge, RepeatsAFailedReadLessOftenEachTime)
{
  Begin();
  Millis before{ 0 };
  Millis sum{ 0 };
  for (int i = 0; i < 6; ++i) {
    Answer(Millis(0), ReadResult::Failed);
    const Millis delay = AwaitRead(i == 0 ? Millis(250) : kLongestDelay);
    CHECK_TRUE(delay >= before);
    before = delay;
    sum += delay;
  }
  CHECK_TRUE(sum >= Millis(150 + 300 + 600 + 3 * 900));
  Answer(Millis(0), ReadResult::Read, 7);
  AwaitRead();
  Answer(Millis(0), ReadResult::Failed);
  AwaitRead(Millis(250));
}

// Guards against nodes that repeat a large read in step after it has failed at
// all of them: each would get its share of the link only, and fail again.
TEST(ConfigurationAge, NodesRepeatFailedReadsAtDifferentTimes)
{
  std::set<Millis> delays;
  for (const char* name : { "a-1", "a-2", "b-1", "b-2", "c-1", "c-2" }) {
    Begin(name);
    for (int i = 0; i < 3; ++i) {
      Answer(Millis(0), ReadResult::Failed);
      AwaitRead(kLongestDelay);
    }
    Answer(Millis(0), ReadResult::Failed);
    delays.insert(AwaitRead(kLongestDelay));
    mCluster.KillNode(name);
  }
  // Of the steps of 25 ms between 900 ms and 1350 ms.
  CHECK_TRUE(delays.size() >= 4);
}

// Guards against a client whose host or path adds fields or lines to the log,
// or fills it.
TEST(ConfigurationAge, KeepsTextsOfClientsInTheirFields)
{
  RefusedRequest request;
  request.mStatus = 404;
  request.mCause = RefusalCause::UnknownRoute;
  request.mMethod = std::string_view("GET");
  request.mHost = std::string_view("a\nevent=x \xff\"b");
  const std::string path = "/" + std::string(5000, 'p');
  request.mPath = path;
  const std::string fields = FormatRefusedRequest(request, { 7, Millis(1234) });
  STRCMP_EQUAL(("status=404 cause=unknown_route method=GET "
                "host=\"a?event=x ?\\\"b\" path=/" +
                std::string(119, 'p') +
                "... version=7 configuration_age_ms=1234")
                 .c_str(),
               fields.c_str());
}

// Guards against a flood of refused requests that displaces all other lines:
// the rate limit has to apply to them.
TEST(ConfigurationAge, LimitsTheRateOfRefusals)
{
  Begin();
  for (int i = 0; i < 2000; ++i) {
    TheNode().LogRefusal({});
  }
  CHECK_TRUE(Count(mLog, "event=request_refused") <= 600);
  CHECK_TRUE(mLog.Dropped() >= 1400);
}
