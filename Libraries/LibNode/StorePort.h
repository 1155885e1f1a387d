#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// A row of the platform's store. Rows of one part are written one transaction
/// after the other.
struct StoreRow
{
  std::string mTable;
  std::string mPart;
  std::string mKey;
  std::string mValue;
  std::int64_t mVersion = 0; ///< 0: the row does not exist.
  bool mRemoved = false;     ///< Only in changes.
};

/// A row and the version that it must have for a transaction to apply.
struct StoreCheck
{
  std::string mTable;
  std::string mPart;
  std::string mKey;
  std::int64_t mVersion = 0; ///< 0: the row must not exist.
};

struct StoreKey
{
  std::string mTable;
  std::string mPart;
  std::string mKey;
};

/// Applied as a whole or not at all. At most 100 entries.
struct StoreTransaction
{
  std::vector<StoreCheck> mChecks;
  std::vector<StoreRow> mPuts; ///< Versions are ignored.
  std::vector<StoreKey> mRemovals;
};

enum class StoreResult
{
  Stored,
  Conflict, ///< A check failed and nothing was done.
  NotDone,  ///< The store refused or was not reached; nothing was done.
  Unknown   ///< No answer: done, or done later if its checks still hold.
};

struct TransactionOutcome
{
  StoreResult mResult = StoreResult::Unknown;
  std::int64_t mVersion = 0;      ///< Of the rows written, when stored.
  std::vector<StoreRow> mCurrent; ///< The checked rows, after a conflict.
};

enum class ReadResult
{
  Read,
  Forgotten, ///< The history that a follower asked for is gone.
  Failed
};

struct ReadOutcome
{
  ReadResult mResult = ReadResult::Failed;
  std::vector<StoreRow> mRows;
  bool mMore = false;
  std::int64_t mVersion = 0; ///< Newest version of the store at the reading.
};

using TransactionHandler = std::function<void(TransactionOutcome)>;
using ReadHandler = std::function<void(ReadOutcome)>;

/// The calls to the platform's store. Each calls its handler exactly once,
/// later.
struct StorePort
{
  std::function<void(StoreTransaction, Millis aTimeout, TransactionHandler)>
    mTransact;
  /// Reads the rows of a table's part with keys from @p aFrom on and before
  /// @p aTo; empty texts leave that side open.
  std::function<void(std::string aTable,
                     std::string aPart,
                     std::string aFrom,
                     std::string aTo,
                     ReadHandler)>
    mRead;
  /// Waits for changes of a table, in any part, after a version.
  std::function<
    void(std::string aTable, std::int64_t aAfter, Millis aWait, ReadHandler)>
    mFollow;
};

} // namespace paddle
