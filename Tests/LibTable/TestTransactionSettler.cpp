#include <string>

#include <LibTable/TransactionSettler.h>
#include <StandIns/Platform/MemoryTable.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// What a call returns if its answer was lost.
const Error kLostAnswer{ ErrorKind::Unknown, "no answer" };

/// @return a transaction that writes a row if it has version @p aVersion
TableTransaction
Put(const std::string& aKey, std::uint64_t aVersion)
{
  return { { { aKey, aVersion } }, { { aKey, std::string("x") } } };
}

} // namespace

/// Commits to a table in memory. Tests replace mCalls to lose requests or
/// answers.
TEST_GROUP(TransactionSettler)
{
  MemoryTable mTable;
  SingleTableCalls mCalls;
  int mSent = 0; ///< Number of times that the transaction was sent.

  void setup() override
  {
    mCalls.mTransact = [this](const TableTransaction& aTransaction, Millis) {
      ++mSent;
      return mTable.Transact(aTransaction);
    };
    mCalls.mRead = [this](std::span<const std::string> aKeys, Millis) {
      return mTable.Read(aKeys);
    };
  }
};

// Guards against giving up a write whose first delivery never arrived: without
// a marker row, it must be sent again.
TEST(TransactionSettler, ResendsWriteThatDidNotArrive)
{
  mCalls.mTransact = [this](const TableTransaction& aTransaction,
                            Millis) -> TransactResult {
    return ++mSent == 1 ? TransactResult(kLostAnswer)
                        : mTable.Transact(aTransaction);
  };
  const TransactResult result =
    TransactOnce(mCalls, Put("a", 0), "id", Millis(5000));
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  LONGS_EQUAL(2, mSent);
}

// Guards against a write that is committed twice, or reported as a conflict, if
// the delayed first attempt arrives just before the second.
TEST(TransactionSettler, ReportsDelayedFirstAttemptAsCommitted)
{
  TableTransaction first;
  mCalls.mTransact = [&](const TableTransaction& aTransaction,
                         Millis) -> TransactResult {
    if (++mSent == 1) {
      first = aTransaction;
      return kLostAnswer;
    }
    mTable.Transact(first);
    return mTable.Transact(aTransaction);
  };
  const TransactResult result = TransactOnce(
    mCalls, { {}, { { "a", std::string("x") } } }, "id", Millis(5000));
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  CHECK_EQUAL(1U, mTable.Counters().mWrites);
}

// Guards against retrying a write until the time-out although its condition no
// longer holds: the answer was lost, and another writer changed the row.
TEST(TransactionSettler, ReportsConflictIfConditionNoLongerHolds)
{
  mCalls.mTransact = [this](const TableTransaction&, Millis) -> TransactResult {
    ++mSent;
    mTable.Transact(Put("a", 0));
    return kLostAnswer;
  };
  const TransactResult result =
    TransactOnce(mCalls, Put("a", 0), "id", Millis(5000));
  CHECK_TRUE(std::holds_alternative<Conflict>(result));
  LONGS_EQUAL(1, mSent);
}

// Guards against reporting that nothing was written (kind Unavailable) because
// a later attempt was refused, although the first may have been committed.
TEST(TransactionSettler, ReportsUnknownIfServiceFailsAfterLostAnswer)
{
  mCalls.mTransact = [this](const TableTransaction&, Millis) -> TransactResult {
    return ++mSent == 1 ? kLostAnswer : Error{ ErrorKind::Unavailable, "down" };
  };
  const TransactResult result =
    TransactOnce(mCalls, Put("a", 0), "id", Millis(100));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unknown);
}

// Guards against reporting an unknown outcome for a first attempt that was
// refused, so that nothing can have been written.
TEST(TransactionSettler, ReportsFirstRefusalAsUnavailable)
{
  mCalls.mTransact = [](const TableTransaction&, Millis) -> TransactResult {
    return Error{ ErrorKind::Unavailable, "refused" };
  };
  const TransactResult result =
    TransactOnce(mCalls, Put("a", 0), "id", Millis(5000));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unavailable);
}
