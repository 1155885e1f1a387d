#pragma once

#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibTable/TablePort.h>

namespace paddle {

/// Counts of the operations on a table, reported by standin.stats.
struct TableCounters
{
  std::uint64_t mReads = 0;     ///< Calls of Read() and Scan().
  std::uint64_t mRowsRead = 0;  ///< Rows returned by reads and scans.
  std::uint64_t mWrites = 0;    ///< Transactions that took effect.
  std::uint64_t mConflicts = 0; ///< Transactions whose conditions failed.
};

/// The transactional table of the platform stand-in, held in memory. One
/// version counter serves the whole table: each committed transaction
/// increments it and gives the new version to all rows that it writes.
/// Therefore a row that is deleted and written again never gets an earlier
/// version. Safe for use from several threads.
class MemoryTable
{
public:
  /// @return one row per key, in the order of the keys; a row that does not
  ///         exist has version 0 and an empty value
  std::vector<TableRow> Read(std::span<const std::string> aKeys);

  /// @return all rows whose key starts with the prefix, in key order
  std::vector<TableRow> Scan(std::string_view aPrefix);

  /// Applies all writes if every condition holds, and none otherwise.
  /// @return Committed, or Conflict with the present rows of the conditions
  ///         that failed; never an error
  TransactResult Transact(const TableTransaction& aTransaction);

  [[nodiscard]] TableCounters Counters() const;

private:
  /// @return the row, or a row of version 0 if it does not exist. The caller
  ///         holds mMutex.
  TableRow RowOf(const std::string& aKey) const;

  mutable std::mutex mMutex;
  std::map<std::string, TableRow, std::less<>> mRows;
  /// Version of the latest committed transaction.
  std::uint64_t mVersion = 0;
  TableCounters mCounters;
};

} // namespace paddle
