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
