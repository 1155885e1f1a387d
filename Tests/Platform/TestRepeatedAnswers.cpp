// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <functional>
#include <optional>
#include <string>

#include <LibTime/BootClock.h>
#include <Support/ScriptedPeer.h>

#include "../../platform/RunnerClient.h"
#include "../../platform/StoreClient.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

std::string
RowsAnswer(const std::string& aKey, int aVersion, int aClockMs)
{
  return ScriptedPeer::Answer(
    R"({"rows":[{"table":"jobs","part":"p","key":")" + aKey +
    R"(","value":"","ver":)" + std::to_string(aVersion) +
    R"(}],"has_more":false,"ver":)" + std::to_string(aVersion) +
    R"(,"now_ms":)" + std::to_string(aClockMs) + "}");
}

} // namespace

TEST_GROUP(PlatformAnswers)
{
  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  std::size_t mRequests = 0;
  std::size_t mLastConnection = 0; ///< Of the latest request.
  ScriptedPeer mPeer{ mLoop, [this](const std::string&, std::size_t aNumber) {
                       ++mRequests;
                       mLastConnection = aNumber;
                     } };
  platform::StoreClient mStore{ mLoop, mDeadlines, mPeer.Address(),
                                [] {}, [] {},      [](const std::string&) {} };
  StorePort mStorePort = mStore.Port();
  platform::RunnerClient mRunner{ mLoop, mDeadlines, [](const std::string&) {
                                 } };
  RunnerPort mRunnerPort = mRunner.Port();

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  /// Waits for the next request and answers it.
  void AnswerNext(std::size_t aReceived, std::string_view aBytes)
  {
    RunUntil([&] { return mRequests > aReceived; });
    mPeer.Send(mLastConnection, aBytes);
  }

  /// Reads the row of a job.
  ReadOutcome Read(const std::string& aJob, std::string_view aBytes)
  {
    std::optional<ReadOutcome> outcome;
    const std::size_t received = mRequests;
    mStorePort.mRead("jobs", "p", aJob, aJob + '\0', [&](ReadOutcome aRead) {
      outcome = std::move(aRead);
    });
    AnswerNext(received, aBytes);
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  TransactionOutcome Transact(std::string_view aBytes)
  {
    std::optional<TransactionOutcome> outcome;
    const std::size_t received = mRequests;
    StoreTransaction transaction;
    transaction.mPuts.push_back({ "jobs", "p", "a", "v" });
    mStorePort.mTransact(
      std::move(transaction), Seconds(60), [&](TransactionOutcome aOutcome) {
        outcome = std::move(aOutcome);
      });
    AnswerNext(received, aBytes);
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  RunnerResult Start(std::string_view aBytes)
  {
    std::optional<RunnerResult> result;
    const std::size_t received = mRequests;
    mRunnerPort.mStart({ mPeer.Address(), "i-1" },
                       {},
                       [&](RunnerResult aResult) { result = aResult; });
    AnswerNext(received, aBytes);
    RunUntil([&] { return result.has_value(); });
    return *result;
  }
};

// Guards against the state of another job in the answer to a client: the store
// sends the answer to a read once more, after the next read was sent.
TEST(PlatformAnswers, AReadDropsARepetitionOfTheReadBefore)
{
  LONGS_EQUAL(1, Read("a", RowsAnswer("a", 1, 10)).mVersion);
  const ReadOutcome read =
    Read("b", RowsAnswer("a", 1, 10) + RowsAnswer("b", 2, 20));
  LONGS_EQUAL(2, read.mVersion);
  STRCMP_EQUAL("b", read.mRows[0].mKey.c_str());
  UNSIGNED_LONGS_EQUAL(1, mPeer.Connections());
}

// Guards against rows that a read does not ask for, whatever the clock says.
TEST(PlatformAnswers, AReadDropsRowsOfAnotherRead)
{
  const ReadOutcome read =
    Read("b", RowsAnswer("a", 1, 10) + RowsAnswer("b", 2, 20));
  STRCMP_EQUAL("b", read.mRows[0].mKey.c_str());
}

// Guards against a transaction that counts as stored because of the answer to
// the one before: a job would be accepted that the store does not have.
TEST(PlatformAnswers, ATransactionDropsARepetitionOfTheOneBefore)
{
  const std::string stored = ScriptedPeer::Answer(R"({"ver":5,"now_ms":10})");
  CHECK_TRUE(Transact(stored).mResult == StoreResult::Stored);
  const std::string conflict = ScriptedPeer::Answer(
    R"({"rows":[],"ver":6,"now_ms":20})", "412 Precondition Failed");
  CHECK_TRUE(Transact(stored + conflict).mResult == StoreResult::Conflict);
  // A refusal has no reading of the clock, so its connection is not used again.
  const std::string refused =
    ScriptedPeer::Answer("", "503 Service Unavailable");
  CHECK_TRUE(Transact(refused).mResult == StoreResult::NotApplied);
  CHECK_TRUE(Transact(stored).mResult == StoreResult::Stored);
  UNSIGNED_LONGS_EQUAL(2, mPeer.Connections());
}

// Guards against a task that counts as started because of the answer to another
// order, or as refused, so that it would be started twice.
TEST(PlatformAnswers, AStartDropsARepetitionOfTheOrderBefore)
{
  const std::string started = ScriptedPeer::Answer(R"({"clock_ms":10})");
  CHECK_TRUE(Start(started) == RunnerResult::Done);
  const std::string noRoom =
    ScriptedPeer::Answer(R"({"clock_ms":20,"reason":"room"})", "409 Conflict");
  CHECK_TRUE(Start(started + noRoom) == RunnerResult::NotEnoughCapacity);
  UNSIGNED_LONGS_EQUAL(1, mPeer.Connections());
}

// Guards against an answer that is not whole: the second copy of an answer
// begins in the middle of the first, which is then as long as it says.
TEST(PlatformAnswers, ACopyWithinAnAnswerMakesItUnreadable)
{
  const std::string stored = ScriptedPeer::Answer(R"({"ver":5,"now_ms":10})");
  const std::string mixed = stored.substr(0, stored.size() - 5) + stored;
  CHECK_TRUE(Transact(mixed).mResult == StoreResult::Unknown);
  CHECK_TRUE(Read("a", mixed).mResult == ReadResult::Failed);
  const std::string started = ScriptedPeer::Answer(R"({"clock_ms":10})");
  CHECK_TRUE(Start(started.substr(0, started.size() - 5) + started) ==
             RunnerResult::Unknown);
}

// Guards against renewals that are never answered across a full link: each one
// opened a connection, and was given up before its answer could arrive.
TEST(PlatformAnswers, OpeningAConnectionTakesNoTimeFromARenewal)
{
  constexpr Millis kOpening{ 20 };
  RenewalOrder order;
  order.mLongPollTimeout = Seconds(60);
  const MonotonicTime sentAt = BootTime();
  std::optional<RenewalOutcome> outcome;
  mRunnerPort.mRenew(
    { mPeer.Address(), "i-1" }, order, [&](const RenewalOutcome& aOutcome) {
      outcome = aOutcome;
    });
  // The loop learns only then that the connection is open.
  while (BootTime() < sentAt + kOpening) {
  }
  RunUntil([&] { return mRequests > 0; });
  mDeadlines.Expire(sentAt + order.mLongPollTimeout + Millis(700) + kOpening -
                    Millis(1));
  CHECK_FALSE(outcome.has_value());
  mDeadlines.Expire(BootTime() + order.mLongPollTimeout + Seconds(1));
  CHECK_TRUE(outcome.has_value());
  CHECK_TRUE(outcome->mResult == RunnerResult::Unknown);
}
