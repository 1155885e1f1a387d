#include <LibNode/StoreLimits.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// @return a transaction with rows of this size
StoreTransaction
RowsOf(std::size_t aRows, std::size_t aBytes)
{
  StoreTransaction transaction;
  for (std::size_t i = 0; i < aRows; ++i) {
    transaction.mPuts.push_back({ "progress-0",
                                  "shard-0",
                                  "job/" + std::to_string(i),
                                  std::string(aBytes, 'x'),
                                  0,
                                  false });
  }
  return transaction;
}

std::string
ViolationOf(const StoreTransaction& aTransaction)
{
  const auto violation = FindLimitViolation(aTransaction, {});
  return violation ? FormatLimitViolation(*violation) : std::string();
}

} // namespace

TEST_GROUP(StoreLimits){};

// Guards against a rejected transaction whose log line does not say which row
// is too large, how large it is, and what the bound is.
TEST(StoreLimits, NamesTheRowThatIsTooLarge)
{
  STRCMP_EQUAL("", ViolationOf(RowsOf(1, 65536)).c_str());
  STRCMP_EQUAL("bound=row_bytes row=progress-0/job/0 size=65537 limit=65536",
               ViolationOf(RowsOf(1, 65537)).c_str());
}

// Guards against a transaction that is rejected as a whole although each of its
// rows is small enough.
TEST(StoreLimits, CountsEntriesAndTheEncodedMessage)
{
  STRCMP_EQUAL("", ViolationOf(RowsOf(100, 10)).c_str());
  STRCMP_EQUAL("bound=entries size=101 limit=100",
               ViolationOf(RowsOf(101, 10)).c_str());
  STRCMP_EQUAL("", ViolationOf(RowsOf(12, 60000)).c_str());
  CHECK_TRUE(ViolationOf(RowsOf(13, 60000)).starts_with("bound=message_bytes"));
}

// Guards against a commit of many jobs with large rows that exceeds the bytes
// or the entries of a transaction: the store rejected it each time.
TEST(StoreLimits, SplitsACommitByBytesAndEntries)
{
  for (const std::size_t bytes : { 65536, 30000, 100, 0 }) {
    const StoreLimits limits{ .mEntries = 98, .mMessageBytes = 998000 };
    std::vector<StoreTransaction> commit(1);
    TransactionSize size;
    for (std::size_t job = 0; job < 60; ++job) {
      StoreTransaction part = RowsOf(1, bytes);
      part.mPuts[0].mKey += "/" + std::to_string(job);
      if (bytes == 0) {
        part.mRemovals.resize(3); // As at the end of a job.
      }
      if (!CountPart(size, part, limits)) {
        size = {};
        CHECK_TRUE(CountPart(size, part, limits));
        commit.emplace_back();
      }
      StoreTransaction& last = commit.back();
      last.mPuts.push_back(part.mPuts[0]);
      last.mRemovals.resize(last.mRemovals.size() + part.mRemovals.size());
    }
    std::size_t jobs = 0;
    for (StoreTransaction& transaction : commit) {
      jobs += transaction.mPuts.size();
      transaction.mChecks.push_back({ "progress-0", "shard-0", "chain", 17 });
      transaction.mPuts.push_back(
        { "progress-0", "shard-0", "chain", std::string(300, 'x'), 0, false });
      STRCMP_EQUAL("", ViolationOf(transaction).c_str());
    }
    LONGS_EQUAL(60, jobs);
    // 24 ends, 98 small rows, 24 rows of 40,000 and 11 of 87,384 bytes each.
    LONGS_EQUAL(bytes == 0       ? 3
                : bytes == 100   ? 1
                : bytes == 30000 ? 3
                                 : 6,
                commit.size());
  }
}
