#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <LibNode/StoreLimits.h>
#include <LibNode/StorePort.h>

namespace paddle {

/// A linearizable table store in memory. Calls are queued until Run(), so that
/// a test decides what happens between a call and its answer.
class FakeStore
{
public:
  StorePort Port();

  /// Serves the calls made so far, and those that their answers lead to. Calls
  /// that wait for changes stay queued if there is no change.
  void Run();

  /// @return the value, or an empty text if the row does not exist
  [[nodiscard]] std::string Value(const std::string& aTable,
                                  const std::string& aKey) const;
  /// @return the number of rows in the table
  [[nodiscard]] std::size_t Rows(const std::string& aTable) const;
  /// @return the number of rows in the table whose keys begin with a prefix
  [[nodiscard]] std::size_t RowsWithPrefix(const std::string& aTable,
                                           const std::string& aPrefix) const;

  /// Number of next transactions that are applied but whose answers are lost.
  int mLoseNextAnswers = 0;
  /// Number of next transactions that get no answer and are only applied by
  /// ApplyDelayed().
  int mDelayNext = 0;
  /// Refuses every call.
  bool mRefuses = false;
  /// Refuses transactions with an entry in this partition, as a slow store does
  /// when the partition's queue is full.
  std::optional<std::string> mRefusedPartition;
  /// Transactions beyond these bounds are rejected.
  StoreLimits mLimits;
  /// Transactions that write a row for whose key this returns true are
  /// rejected.
  std::function<bool(const std::string&)> mRejectsKey;
  int mRejected = 0; ///< Number of transactions that were rejected.
  /// Answers lead to further calls, which Run() serves in further rounds. Their
  /// number is limited, because calls that are refused are repeated without
  /// end. With 1, a call that follows an answer is served by the next Run().
  int mMaxRounds = 50;
  /// Most rows in the answer to a read; the others are on further pages.
  std::size_t mRowsPerRead = SIZE_MAX;
  /// Run() does nothing while this is set.
  bool mPaused = false;
  /// The next call that waits for changes is answered with HistoryGone. Reset
  /// by that answer.
  bool mHistoryGone = false;
  /// Reads are carried out at once, but are only answered by ReleaseReads().
  bool mHoldReads = false;

  /// Applies the transactions that mDelayNext has delayed, if their checks
  /// hold.
  void ApplyDelayed();
  /// Answers the reads that mHoldReads has held back, and resets it.
  void ReleaseReads();

  int mTransactions = 0; ///< Number of transactions received.
  /// Reads the store's clock in milliseconds. Without it, answers have no
  /// reading.
  std::function<std::int64_t()> mClock;

private:
  struct Row
  {
    std::string mValue;
    std::int64_t mVersion = 0;
  };
  /// A call that waits for changes of a table after a version.
  struct WaitingReader
  {
    std::string mTable;
    std::int64_t mAfter = 0;
    ReadHandler mDone;
  };

  /// @return the answer with a reading of the clock
  template<typename Outcome>
  Outcome WithClock(Outcome aOutcome) const;
  TransactionOutcome Apply(const StoreTransaction& aTransaction);
  ReadOutcome Read(const std::string& aTable,
                   const std::string& aPartition,
                   const std::string& aFrom,
                   const std::string& aTo) const;
  void ServeWaitingReaders();

  /// Table, partition and key.
  using RowName = std::tuple<std::string, std::string, std::string>;
  std::map<RowName, Row> mRows;
  std::map<std::string, std::vector<StoreRow>> mHistory; ///< By table.
  std::int64_t mVersion = 0;
  std::deque<std::function<void()>> mCalls;
  std::vector<std::function<void()>> mHeldReads;
  std::vector<StoreTransaction> mDelayed;
  std::vector<WaitingReader> mWaitingReaders;
};

} // namespace paddle
