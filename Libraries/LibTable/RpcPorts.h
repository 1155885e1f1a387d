#pragma once

#include <memory>
#include <vector>

#include <LibHttp/HttpClient.h>
#include <LibTable/HostList.h>
#include <LibTable/ObjectPort.h>
#include <LibTable/TablePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Where the platform's services answer, and how long to wait for them.
struct PlatformSettings
{
  Endpoint mTable;
  Endpoint mObjects;
  Endpoint mHosts;
  Millis mTimeout{ 1000 };
};

/// Makes ports that reach the platform over JSON-RPC with the methods
/// table.read, table.scan, table.transact, object.put, object.read,
/// object.list and hosts.list.
/// @param aClient must outlive the port
TablePort
MakeRpcTablePort(HttpClient& aClient, const PlatformSettings& aSettings);

ObjectPort
MakeRpcObjectPort(HttpClient& aClient, const PlatformSettings& aSettings);

HostListPort
MakeRpcHostListPort(HttpClient& aClient, const PlatformSettings& aSettings);

} // namespace paddle
