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

/// A row of the table service. Its version rises with each write; version 0
/// stands for a row that does not exist.
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/// Requires a row to have exactly this version (0: not to exist).
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/// Sets a row's value, or deletes the row if there is none.
struct RowWrite
{
  std::string mKey;
  std::optional<std::string> mValue;
};

/// A set of writes that takes effect as a whole, and only if every condition
/// holds.
struct TableTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

/// The transaction took effect; its rows now have this version.
struct Committed
{
  std::uint64_t mVersion = 0;
};

/// A condition did not hold and nothing was written; holds the rows that
/// differ, as they are now.
struct Conflict
{
  std::vector<TableRow> mRows;
};

/// Error kinds: Unavailable means surely not written, Unknown means that the
/// effect could not be determined.
using TransactResult = std::variant<Committed, Conflict, Error>;

/// Access to the platform's transactional table service. All functions may be
/// called from several threads. Each has its own time-out and returns an
/// error when the service can't be reached.
struct TablePort
{
  /// Reads rows by key; a row that does not exist has version 0.
  std::function<Outcome<std::vector<TableRow>>(std::span<const std::string>)>
    mRead;
  /// Reads all rows whose key starts with the prefix, in key order.
  std::function<Outcome<std::vector<TableRow>>(std::string_view)> mScan;
  /// Commits a transaction. An answer that was lost is settled inside, by
  /// reading the marker row of the write.
  std::function<TransactResult(const TableTransaction&)> mTransact;
};

} // namespace paddle
