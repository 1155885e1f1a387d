#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibDispatch/Runner.h>
#include <LibNode/StoreClock.h>
#include <LibNode/StoreLimits.h>

namespace paddle {

// The list of the runners that a shard's tasks may use is stored in rows of the
// shard's progress table. While it fits, it is one row, with the records of
// silent runners in their entries. Otherwise records have rows of their own,
// and the entries are spread over several rows. Versions of this program before
// that read only the first row, and leave the others as they are.

/// Key of the first row of the list.
inline constexpr const char* kRunnersKey = "runners";
/// Prefix of the keys of the further rows of the list: "runners/1".
inline constexpr const char* kFurtherRunnersPrefix = "runners/";
/// Prefix of the keys of the records that are not in the list; the id of the
/// runner follows.
inline constexpr const char* kRecordPrefix = "record/";
/// Prefix of the keys of rows with the ends of the leases of runners without a
/// record, which an owner that hands its shard over writes.
inline constexpr const char* kLeaseEndsPrefix = "lease-ends/";
/// Id of an entry in the first row that stands for all entries of the further
/// rows. Its address can't be called, so that an earlier version, which knows
/// only the first row, waits for the leases of earlier owners to end instead of
/// taking the list for complete.
inline constexpr const char* kFurtherRowsId = "further-rows";

/// Incarnations of runners by id.
using RunnerIncarnations = std::map<std::string, std::int64_t>;

/// A record of a runner in a row of its own.
struct RecordRow
{
  std::int64_t mEpoch = 0; ///< Of the owner that wrote it.
  std::int64_t mIncarnation = 0;
  std::vector<dispatch::PossibleRun> mRuns;
  /// Time on the store's clock by which the leases have ended; 0: not known.
  std::int64_t mLeasesEndMs = 0;
  bool mFinal = false; ///< See InheritedRunner::mRecordFinal.
};

/// One of the rows that make up a list.
struct RunnerRow
{
  std::string mText;
  RunnerIncarnations mRunners; ///< The entries of a row of the list.
  std::optional<RecordRow> mRecord;
};

/// All rows that make up a list, by key.
using RunnerRows = std::map<std::string, RunnerRow>;

/// A row to write, or to remove if it is empty.
struct RunnerRowChange
{
  std::string mKey;
  std::optional<RunnerRow> mRow;
};

/// How to replace the stored list.
struct RunnerListPlan
{
  /// Changes for one transaction each, to be stored in this order. A later
  /// owner may read the rows after any of them: a runner is in the list until
  /// the last one is stored if it was in the list before, and each record holds
  /// until then.
  std::vector<std::vector<RunnerRowChange>> mSteps;
  /// Ids of the runners that are not in the list, because an entry exceeds a
  /// row.
  std::vector<std::string> mEntriesLeftOut;
  std::size_t mRecordsLeftOut = 0;   ///< Records that exceed a row.
  std::size_t mLeaseEndsLeftOut = 0; ///< Ends of leases that fit nowhere.
};

/// @return whether the key is that of a row of a list
bool
IsRunnerRow(std::string_view aKey);

/// @return a row as it is read from the store
RunnerRow
ParseRunnerRow(std::string_view aKey, std::string aText);

/// @param aRows         the stored rows
/// @param aRecordsSince see ShardRow::mRecordsSince
/// @return the runners of the list, each once
std::vector<dispatch::InheritedRunner>
InheritedRunners(const RunnerRows& aRows,
                 std::int64_t aRecordsSince,
                 const StoreClock& aClock);

/// @return the incarnations of all runners of the list
RunnerIncarnations
IncarnationsOf(const RunnerRows& aRows);

/// @return those of the runners in the first row
RunnerIncarnations
IncarnationsInFirstRow(const RunnerRows& aRows);

/// Plans how to replace the stored list. No row and no transaction exceeds the
/// limits, and rows that stay as they are are not written.
/// @param aStored  the rows as they are stored
/// @param aRunners the entries of the new list
/// @param aEpoch   the epoch of the owner
/// @param aName    table and partition of the rows; its key is ignored
RunnerListPlan
PlanRunnerList(const RunnerRows& aStored,
               std::span<const dispatch::InheritedRunner> aRunners,
               std::int64_t aEpoch,
               const StoreClock& aClock,
               const StoreKey& aName,
               const StoreLimits& aLimits);

/// Applies a step of a plan to the rows.
void
ApplyChanges(RunnerRows& aRows, std::span<const RunnerRowChange> aChanges);

/// @return the entries of a transaction that makes the changes
StoreTransaction
MakeTransaction(std::span<const RunnerRowChange> aChanges,
                const StoreKey& aName);

} // namespace paddle
