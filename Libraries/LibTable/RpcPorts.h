#pragma once

#include <memory>
#include <vector>

#include <LibHttp/HttpClient.h>
#include <LibTable/HostList.h>
#include <LibTable/ObjectPort.h>
#include <LibTable/TablePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Addresses of the platform's services, and how long a call may take.
struct PlatformSettings
{
  Endpoint mTable;         ///< Address of the table service.
  Endpoint mObjects;       ///< Address of the object store.
  Endpoint mHosts;         ///< Address of the host list.
  Millis mTimeout{ 1000 }; ///< How long one call of a port may take.
};

/// Creates a port that calls the methods table.read, table.scan and
/// table.transact of the table service over JSON-RPC.
/// @param aClient must outlive the port
TablePort
MakeRpcTablePort(HttpClient& aClient, const PlatformSettings& aSettings);

/// Creates a port that calls the methods object.put, object.read and
/// object.list of the object store over JSON-RPC.
/// @param aClient must outlive the port
ObjectPort
MakeRpcObjectPort(HttpClient& aClient, const PlatformSettings& aSettings);

/// Creates a port that calls the method hosts.list over JSON-RPC.
/// @param aClient must outlive the port
HostListPort
MakeRpcHostListPort(HttpClient& aClient, const PlatformSettings& aSettings);

} // namespace paddle
