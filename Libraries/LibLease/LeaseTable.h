#pragma once

#include <LibLeaseCore/LeaseActions.h>
#include <LibTable/TablePort.h>

namespace paddle {

/// Commits a transaction of the lease decisions.
LeaseWriteResult
ExecuteWrite(const TablePort& aTable, const WriteLeaseRows& aAction);

/// Reads one part of the lease rows. A malformed row is logged and left out.
Outcome<LeaseRows>
ExecuteRead(const TablePort& aTable, const ReadLeaseRows& aAction);

} // namespace paddle
