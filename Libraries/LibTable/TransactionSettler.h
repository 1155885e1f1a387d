#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include <LibTable/TablePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Single tries to reach the table service, without any repetition.
struct TableTries
{
  /// An error of kind Unavailable or InvalidInput means that this try surely
  /// had no effect; any other kind leaves it open.
  std::function<TransactResult(const TableTransaction&, Millis aTimeout)>
    mTransact;
  std::function<Outcome<std::vector<TableRow>>(std::span<const std::string>,
                                               Millis aTimeout)>
    mRead;
};

/// @return the key of the marker row of a write
std::string
MarkerKey(const std::string& aWriteId);

/// Commits a transaction at most once, although answers may be lost. Adds the
/// marker row of the write; after a lost answer reads it, and sends the
/// transaction again under the same identity where it may yet arrive.
/// @param aWriteId unique among all writes
/// @param aTimeout bound on the whole operation; a try takes at most half of
///        it, so that a try without an answer leaves time for settling
TransactResult
TransactOnce(const TableTries& aTries,
             const TableTransaction& aTransaction,
             const std::string& aWriteId,
             Millis aTimeout);

} // namespace paddle
