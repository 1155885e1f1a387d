#pragma once

#include <string>

#include <LibTable/HostList.h>
#include <LibTable/ObjectPort.h>
#include <LibTable/TablePort.h>
#include <StandIns/Platform/MemoryHosts.h>
#include <StandIns/Platform/MemoryObjects.h>
#include <StandIns/Platform/MemoryTable.h>
#include <StandIns/Platform/PlatformFaults.h>

namespace paddle {

/// Makes a port that accesses a table in the same process directly, without
/// injected faults.
/// @param aTable must outlive the port
TablePort
MakeMemoryTablePort(MemoryTable& aTable);

/// Makes a port that accesses a table in the same process directly, under the
/// injected faults. A lost answer is reported as an error of kind Unknown, an
/// outage or a partition as one of kind Unavailable.
/// @param aTable  must outlive the port
/// @param aFaults must outlive the port
/// @param aMember name of the member that uses the port; it decides whether
///                the partition applies
TablePort
MakeMemoryTablePort(MemoryTable& aTable,
                    PlatformFaults& aFaults,
                    const std::string& aMember);

/// Makes a port that accesses an object store in the same process directly.
/// @param aObjects must outlive the port
ObjectPort
MakeMemoryObjectPort(MemoryObjects& aObjects);

/// Makes a port that accesses a host list in the same process directly.
/// @param aHosts must outlive the port
HostListPort
MakeMemoryHostListPort(MemoryHosts& aHosts);

} // namespace paddle
