#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include <LibTable/TablePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Calls to the table service that are sent once, without retries.
struct SingleTableCalls
{
  /// Sends a transaction. An error of kind Unavailable or InvalidInput means
  /// that this call had no effect; with any other kind it may have had one.
  std::function<TransactResult(const TableTransaction&, Millis aTimeout)>
    mTransact;
  /// Returns the rows of the keys; a row that does not exist has version 0.
  std::function<Outcome<std::vector<TableRow>>(std::span<const std::string>,
                                               Millis aTimeout)>
    mRead;
};

/// @return the key of the marker row of a write. The row is written by the same
///         transaction, so it exists if and only if the write was committed
///         (until the marker is deleted, see WriteMarkers).
std::string
MarkerKey(const std::string& aWriteId);

/// Commits a transaction at most once, although answers may be lost. Adds a
/// marker row to the transaction, with the condition that it does not exist
/// yet. After a lost answer, reads the marker row. If it does not exist and the
/// conditions still hold, sends the transaction again with the same marker, so
/// that only one of the deliveries can be committed.
/// @param aWriteId unique among all writes; identifies the marker row
/// @param aTimeout limit of the whole operation. One attempt takes at most half
///        of it, so that time is left to determine the outcome of an attempt
///        that got no answer.
/// @return the result; an error of kind Unknown if the outcome could not be
///         determined within the time-out
TransactResult
TransactOnce(const SingleTableCalls& aCalls,
             const TableTransaction& aTransaction,
             const std::string& aWriteId,
             Millis aTimeout);

} // namespace paddle
