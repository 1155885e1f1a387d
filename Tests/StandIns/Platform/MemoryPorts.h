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

/// Makes a port that uses a table in the same process, without faults.
/// @param aTable must outlive the port
TablePort
MakeMemoryTablePort(MemoryTable& aTable);

/// Makes a port that uses a table in the same process and meets the faults.
/// A lost answer is reported as Unknown, an outage or a cut as Unavailable.
/// @param aTable  must outlive the port
/// @param aFaults must outlive the port
/// @param aMember the member that uses the port, for cuts
TablePort
MakeMemoryTablePort(MemoryTable& aTable,
                    PlatformFaults& aFaults,
                    const std::string& aMember);

/// @param aObjects must outlive the port
ObjectPort
MakeMemoryObjectPort(MemoryObjects& aObjects);

/// @param aHosts must outlive the port
HostListPort
MakeMemoryHostListPort(MemoryHosts& aHosts);

} // namespace paddle
