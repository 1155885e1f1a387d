#pragma once

#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibTable/TablePort.h>

namespace paddle {

/// How often a table was used.
struct TableCounters
{
  std::uint64_t mReads = 0; ///< Reads and scans.
  std::uint64_t mRowsRead = 0;
  std::uint64_t mWrites = 0; ///< Transactions that took effect.
  std::uint64_t mConflicts = 0;
};

/// A transactional table in memory. All rows that a transaction writes get
/// its version, which rises by one with each transaction, so that a row that
/// is deleted and written again never gets an earlier version. Safe for use
/// from several threads.
class MemoryTable
{
public:
  std::vector<TableRow> Read(std::span<const std::string> aKeys);

  /// @return all rows whose key starts with the prefix, in key order
  std::vector<TableRow> Scan(std::string_view aPrefix);

  /// @return Committed or Conflict, never an error
  TransactResult Transact(const TableTransaction& aTransaction);

  [[nodiscard]] TableCounters Counters() const;

private:
  TableRow RowOf(const std::string& aKey) const;

  mutable std::mutex mMutex;
  std::map<std::string, TableRow, std::less<>> mRows;
  std::uint64_t mVersion = 0;
  TableCounters mCounters;
};

} // namespace paddle
