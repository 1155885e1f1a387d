#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <LibNode/StorePort.h>

namespace paddle {

/// Bounds beyond which the store rejects a transaction, however often it is
/// sent. The defaults are those of the platform's pages.
struct StoreLimits
{
  std::size_t mRowBytes = 65536; ///< Of a row's value.
  std::size_t mNameBytes = 200;  ///< Of a table, partition or key.
  std::size_t mEntries = 100;    ///< Checks, puts and removals together.
  /// Of the whole message, in which values are encoded in base64.
  std::size_t mMessageBytes = 1000000;
};

/// Which bound a transaction exceeds, and by which row.
struct LimitViolation
{
  std::string mBound; ///< Name of the bound for the log, "row_bytes".
  /// Table and key of the row that exceeds it; empty if it is the transaction.
  std::string mRow;
  std::size_t mSize = 0;
  std::size_t mLimit = 0;
};

/// @return the bytes that the message of a transaction takes at most
std::size_t
MessageBytes(const StoreTransaction& aTransaction);

/// @return the first bound that the transaction exceeds, if any
std::optional<LimitViolation>
FindLimitViolation(const StoreTransaction& aTransaction,
                   const StoreLimits& aLimits);

/// What the parts of a transaction take together.
struct TransactionSize
{
  std::size_t mEntries = 0;
  std::size_t mMessageBytes = 0;
};

/// Counts a part of a transaction, unless the whole would then exceed a bound.
/// @param aPart exceeds no bound itself; the first part is always counted
/// @return whether it was counted
bool
CountPart(TransactionSize& aSize,
          const StoreTransaction& aPart,
          const StoreLimits& aLimits);

/// @return fields of the form key=value for the log
std::string
FormatLimitViolation(const LimitViolation& aViolation);

} // namespace paddle
