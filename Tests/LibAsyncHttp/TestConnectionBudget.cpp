#include <vector>

#include <LibAsyncHttp/ConnectionBudget.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::size_t kKb = 1024;

/// The time @p aSeconds after the beginning of a test.
MonotonicTime
At(int aSeconds)
{
  return MonotonicTime{ Seconds(1000 + aSeconds) };
}

ConnectionUse
Use(ConnectionPhase aPhase, std::size_t aBytes, int aWaitingSince = 0)
{
  return { aPhase, aBytes, At(aWaitingSince) };
}

} // namespace

TEST_GROUP(ConnectionBudget)
{
  ConnectionBudget mBudget{ { 1000 * kKb, 4 } };
  std::vector<int> mClosed; ///< Numbers of the connections, in order.

  /// Adds a connection of which the test knows the number.
  ConnectionBudget::Id Add(int aNumber, int aTime = 0)
  {
    const auto id =
      mBudget.Add(At(aTime), [this, aNumber] { mClosed.push_back(aNumber); });
    CHECK_TRUE(id.has_value());
    return id.value_or(0);
  }

  void CheckClosed(const std::vector<int>& aNumbers)
  {
    CHECK_TRUE(mClosed == aNumbers);
  }
};

// Guards against a crowd that is disconnected although it is within the limits.
TEST(ConnectionBudget, ClosesNothingWithinTheLimits)
{
  for (int i = 0; i < 4; ++i) {
    mBudget.Update(Add(i), Use(ConnectionPhase::Waiting, 249 * kKb));
  }
  CheckClosed({});
  CHECK_TRUE(mBudget.mCounts == BudgetCounts{});
}

// Guards against small requests that are given up for a large one.
TEST(ConnectionBudget, ClosesTheConnectionThatBuffersMost)
{
  mBudget.Update(Add(1), Use(ConnectionPhase::Waiting, 10 * kKb));
  mBudget.Update(Add(2), Use(ConnectionPhase::Waiting, 600 * kKb));
  mBudget.Update(Add(3), Use(ConnectionPhase::Waiting, 500 * kKb));
  CheckClosed({ 2 });
  LONGS_EQUAL(1, mBudget.mCounts.mClosedForMemory);
  LONGS_EQUAL(512 * kKb, mBudget.BufferedBytes());
}

// Guards against a quick request that is given up for one that has been
// arriving for long.
TEST(ConnectionBudget, ClosesTheOneOfEqualsThatHasWaitedForLongest)
{
  mBudget.Update(Add(1), Use(ConnectionPhase::Waiting, 400 * kKb, 5));
  mBudget.Update(Add(2), Use(ConnectionPhase::Waiting, 400 * kKb, 1));
  mBudget.Update(Add(3), Use(ConnectionPhase::Waiting, 400 * kKb, 9));
  CheckClosed({ 2 });
}

// Guards against requests that have run without an answer to their callers, as
// long as others can be closed.
TEST(ConnectionBudget, ClosesConnectionsWithAHandledRequestLast)
{
  mBudget.Update(Add(1), Use(ConnectionPhase::Handling, 900 * kKb));
  mBudget.Update(Add(2), Use(ConnectionPhase::Waiting, 10 * kKb));
  mBudget.Update(Add(3), Use(ConnectionPhase::Replying, 99 * kKb));
  CheckClosed({ 2, 3 });
  mBudget.Update(Add(4), Use(ConnectionPhase::Handling, 400 * kKb));
  CheckClosed({ 2, 3, 1 });
}

// Guards against clients that cut off the replies to other nodes, which are
// large, by requests that don't end.
TEST(ConnectionBudget, RequestsDoNotPushOutReplies)
{
  mBudget.Update(Add(1), Use(ConnectionPhase::Replying, 450 * kKb));
  for (int i = 2; i <= 4; ++i) {
    mBudget.Update(Add(i), Use(ConnectionPhase::Waiting, 200 * kKb, i));
  }
  CheckClosed({ 2 });
}

// Guards against clients that cut off the requests of others by replies that
// they don't read.
TEST(ConnectionBudget, RepliesDoNotPushOutRequests)
{
  mBudget.Update(Add(1), Use(ConnectionPhase::Waiting, 450 * kKb));
  for (int i = 2; i <= 4; ++i) {
    mBudget.Update(Add(i), Use(ConnectionPhase::Replying, 200 * kKb, i));
  }
  CheckClosed({ 2 });
}

// Guards against idle connections that keep new callers out.
TEST(ConnectionBudget, ANewConnectionTakesThePlaceOfTheOneThatHasWaitedLongest)
{
  for (int i = 0; i < 4; ++i) {
    mBudget.Update(
      Add(i),
      Use(i == 0 ? ConnectionPhase::Handling : ConnectionPhase::Waiting,
          0,
          10 - i));
  }
  Add(5, 20);
  CheckClosed({ 3 });
  LONGS_EQUAL(1, mBudget.mCounts.mClosedForOthers);
}

// Guards against more descriptors than the process has.
TEST(ConnectionBudget, WithoutAWaitingConnectionANewOneIsNotAccepted)
{
  for (int i = 0; i < 4; ++i) {
    mBudget.Update(Add(i), Use(ConnectionPhase::Handling, 0));
  }
  CHECK_FALSE(mBudget.Add(At(1), [] {}).has_value());
  CheckClosed({});
  LONGS_EQUAL(1, mBudget.mCounts.mNotAccepted);
}

// Guards against requests whose handling takes the host's memory, for instance
// while the store is silent, and against a budget that no request passes.
TEST(ConnectionBudget, BoundsTheRequestsBeingHandled)
{
  CHECK_TRUE(mBudget.BeginHandling(5000 * kKb));
  CHECK_FALSE(mBudget.BeginHandling(0));
  mBudget.EndHandling(5000 * kKb);
  CHECK_TRUE(mBudget.BeginHandling(50 * kKb));
  CHECK_FALSE(mBudget.BeginHandling(13 * kKb));
  LONGS_EQUAL(2, mBudget.mCounts.mNotBegun);
  CHECK_TRUE(mBudget.BeginHandling(12 * kKb));
  mBudget.EndHandling(50 * kKb);
  CHECK_TRUE(mBudget.BeginHandling(13 * kKb));
}

// Guards against input behind handled requests for which others are closed.
TEST(ConnectionBudget, ReadsAheadOnlyWithinHalfOfTheLimit)
{
  const ConnectionBudget::Id id = Add(1);
  mBudget.Update(id, Use(ConnectionPhase::Handling, 499 * kKb));
  CHECK_TRUE(mBudget.MayReadAhead());
  mBudget.Update(id, Use(ConnectionPhase::Handling, 500 * kKb));
  CHECK_FALSE(mBudget.MayReadAhead());
}

// Guards against limits that a host does not have, or that nothing passes.
TEST(ConnectionBudget, TakesItsLimitsFromTheHost)
{
  const BudgetLimits none = BudgetOf({}, {});
  LONGS_EQUAL(20UL << 20, none.mBytes);
  LONGS_EQUAL(2000, none.mConnections);
  const BudgetLimits host = BudgetOf(256UL << 20, 4100);
  LONGS_EQUAL(32UL << 20, host.mBytes);
  LONGS_EQUAL(2050, host.mConnections);
  LONGS_EQUAL(kMinBudgetBytes, BudgetOf(1, 1).mBytes);
  LONGS_EQUAL(1, BudgetOf(1, 1).mConnections);
}
