#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// A row of the table service. Each write increases its version. Version 0
/// means that the row does not exist.
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/// Requires that a row has exactly this version (0: that it does not exist).
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/// Sets the value of a row, or deletes the row if there is no value.
struct RowWrite
{
  std::string mKey;
  std::optional<std::string> mValue;
};

/// Writes that are committed atomically if every condition holds, and not at
/// all otherwise.
struct TableTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

/// The transaction was committed; the rows it wrote now have this version.
struct Committed
{
  std::uint64_t mVersion = 0;
};

/// A condition did not hold, so nothing was written. mRows are the rows whose
/// version differs from the condition, with their current value and version.
struct Conflict
{
  std::vector<TableRow> mRows;
};

/// Result of a transaction. An Error of kind Unavailable means that nothing was
/// written; kind Unknown means that the outcome could not be determined.
using TransactResult = std::variant<Committed, Conflict, Error>;

/// Interface to the platform's transactional table service. All functions may
/// be called from several threads. Each has its own time-out and returns an
/// error if the service can't be reached.
struct TablePort
{
  /// Returns the rows of the keys; a row that does not exist has version 0.
  std::function<Outcome<std::vector<TableRow>>(std::span<const std::string>)>
    mRead;
  /// Returns all rows whose key starts with the prefix, in key order.
  std::function<Outcome<std::vector<TableRow>>(std::string_view)> mScan;
  /// Commits a transaction at most once. If the answer is lost, the port
  /// determines the outcome from the marker row of the write, see
  /// TransactOnce().
  std::function<TransactResult(const TableTransaction&)> mTransact;
};

} // namespace paddle
