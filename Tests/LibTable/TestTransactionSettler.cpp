#include <string>

#include <LibTable/TransactionSettler.h>
#include <StandIns/Platform/MemoryTable.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const Error kLost{ ErrorKind::Unknown, "no answer" };

TableTransaction
Put(const std::string& aKey, std::uint64_t aVersion)
{
  return { { { aKey, aVersion } }, { { aKey, std::string("x") } } };
}

} // namespace

TEST_GROUP(TransactionSettler)
{
  MemoryTable mTable;
  TableTries mTries;
  int mSent = 0;

  void setup() override
  {
    mTries.mTransact = [this](const TableTransaction& aTransaction, Millis) {
      ++mSent;
      return mTable.Transact(aTransaction);
    };
    mTries.mRead = [this](std::span<const std::string> aKeys, Millis) {
      return mTable.Read(aKeys);
    };
  }
};

// Guards against giving up a write whose first try never arrived.
TEST(TransactionSettler, ResendsTryThatDidNotArrive)
{
  mTries.mTransact = [this](const TableTransaction& aTransaction,
                            Millis) -> TransactResult {
    return ++mSent == 1 ? TransactResult(kLost) : mTable.Transact(aTransaction);
  };
  const TransactResult result =
    TransactOnce(mTries, Put("a", 0), "id", Millis(5000));
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  LONGS_EQUAL(2, mSent);
}

// Guards against a second effect when a delayed first try arrives before its
// repetition.
TEST(TransactionSettler, CountsDelayedFirstTryAsCommitted)
{
  TableTransaction first;
  mTries.mTransact = [&](const TableTransaction& aTransaction,
                         Millis) -> TransactResult {
    if (++mSent == 1) {
      first = aTransaction;
      return kLost;
    }
    mTable.Transact(first);
    return mTable.Transact(aTransaction);
  };
  const TransactResult result = TransactOnce(
    mTries, { {}, { { "a", std::string("x") } } }, "id", Millis(5000));
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  CHECK_EQUAL(1U, mTable.Counters().mWrites);
}

// Guards against waiting for a write whose condition no longer holds.
TEST(TransactionSettler, ReportsConflictIfConditionNoLongerHolds)
{
  mTries.mTransact = [this](const TableTransaction&, Millis) -> TransactResult {
    ++mSent;
    mTable.Transact(Put("a", 0));
    return kLost;
  };
  const TransactResult result =
    TransactOnce(mTries, Put("a", 0), "id", Millis(5000));
  CHECK_TRUE(std::holds_alternative<Conflict>(result));
  LONGS_EQUAL(1, mSent);
}

// Guards against "surely not written" after an earlier try may have arrived.
TEST(TransactionSettler, StaysUnknownIfServiceDisappearsAfterLostAnswer)
{
  mTries.mTransact = [this](const TableTransaction&, Millis) -> TransactResult {
    return ++mSent == 1 ? kLost : Error{ ErrorKind::Unavailable, "down" };
  };
  const TransactResult result =
    TransactOnce(mTries, Put("a", 0), "id", Millis(100));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unknown);
}

// Guards against an answer "unknown" for a try that surely did not arrive.
TEST(TransactionSettler, ReportsFirstRefusalAsUnavailable)
{
  mTries.mTransact = [](const TableTransaction&, Millis) -> TransactResult {
    return Error{ ErrorKind::Unavailable, "refused" };
  };
  const TransactResult result =
    TransactOnce(mTries, Put("a", 0), "id", Millis(5000));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unavailable);
}
