#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// A row of the platform's store. The store applies the transactions on a
/// partition one after the other.
struct StoreRow
{
  std::string mTable;
  std::string mPartition;
  std::string mKey;
  std::string mValue;
  std::int64_t mVersion = 0; ///< 0: the row does not exist.
  bool mRemoved = false;     ///< Only set in the results of mWaitForChanges.
};

/// A row and the version that it must have for a transaction to apply.
struct StoreCheck
{
  std::string mTable;
  std::string mPartition;
  std::string mKey;
  std::int64_t mVersion = 0; ///< 0: the row must not exist.
};

/// Identifies a row of the store.
struct StoreKey
{
  std::string mTable;
  std::string mPartition;
  std::string mKey;
};

/// Changes that the store applies as a whole or not at all. It takes at most
/// 100 entries (checks, puts and removals).
struct StoreTransaction
{
  std::vector<StoreCheck> mChecks;
  std::vector<StoreRow> mPuts; ///< Rows to write; their versions are ignored.
  std::vector<StoreKey> mRemovals;
};

enum class StoreResult
{
  Stored,
  Conflict,   ///< A check failed and nothing was applied.
  NotApplied, ///< The store refused or was not reached; nothing was applied.
              ///< The same transaction may succeed later.
  /// The store rejected the transaction as such, and always will: it exceeds a
  /// bound, for example. Nothing was applied.
  Rejected,
  /// There was no answer. The transaction was applied, or it may still be
  /// applied later if its checks hold by then.
  Unknown
};

struct TransactionOutcome
{
  StoreResult mResult = StoreResult::Unknown;
  std::int64_t mVersion = 0; ///< Version of the rows written, if stored.
  /// After a conflict: the checked rows as they are now.
  std::vector<StoreRow> mCurrent;
  /// Reading of the store's clock in milliseconds; 0: the answer had none.
  std::int64_t mClockMs = 0;
};

enum class ReadResult
{
  Read,
  /// The store no longer has the changes after the version that was given to
  /// mWaitForChanges.
  HistoryGone,
  Failed
};

struct ReadOutcome
{
  ReadResult mResult = ReadResult::Failed;
  std::vector<StoreRow> mRows;
  bool mMore = false;        ///< There are rows after the last one of mRows.
  std::int64_t mVersion = 0; ///< Newest version in the store at the read.
  /// Reading of the store's clock in milliseconds; 0: the answer had none.
  std::int64_t mClockMs = 0;
  /// Bytes of the answer that have arrived, also of one that was broken off.
  std::size_t mReceivedBytes = 0;
  /// Longest time until the first byte that the read had; 0: not known.
  Millis mFirstByteTimeout{ 0 };
};

using TransactionHandler = std::function<void(TransactionOutcome)>;
using ReadHandler = std::function<void(ReadOutcome)>;

/// The calls to the platform's store. Each function calls its handler exactly
/// once, after it has returned.
struct StorePort
{
  std::function<void(StoreTransaction, Millis aTimeout, TransactionHandler)>
    mTransact;
  /// Reads the rows in one partition of a table whose keys are not before
  /// @p aFrom and are before @p aTo. An empty text leaves that side unbounded.
  std::function<void(std::string aTable,
                     std::string aPartition,
                     std::string aFrom,
                     std::string aTo,
                     ReadHandler)>
    mRead;
  /// Waits at most @p aWait for changes of a table after version @p aAfter, in
  /// any partition.
  std::function<
    void(std::string aTable, std::int64_t aAfter, Millis aWait, ReadHandler)>
    mWaitForChanges;
};

/// Reads the rows in one partition of a table page by page; the store returns
/// at most 500 rows or 1 MB at once.
/// @param aFrom first key; empty: no bound
/// @param aTo   first key that is not read; empty: no bound
/// @param aDone called with the rows of all pages, the lowest version of a
/// page,
///              from which on no change is missed, and the clock of the last
///              page; or with a failed read if any page fails. mMore is only
///              set if the store announced more rows after a page without rows.
void
ReadAllPages(const StorePort& aStore,
             const std::string& aTable,
             const std::string& aPartition,
             const std::string& aFrom,
             const std::string& aTo,
             ReadHandler aDone);

} // namespace paddle
