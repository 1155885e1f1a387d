#pragma once

#include <LibHttp/HttpServer.h>
#include <StandIns/Worker/Fleet.h>

namespace paddle {

/// @return a handler that serves each worker at its own address, told by the
///         Host header, and standin.fault and standin.stats at all of them
/// @param aFleet must outlive the handler
HttpHandler
MakeFleetHandler(Fleet& aFleet);

/// Starts to serve all workers of a host list.
/// @param aFleet must outlive the server
Outcome<std::unique_ptr<HttpServer>>
ServeFleet(Fleet& aFleet, const std::vector<HostEntry>& aHosts);

} // namespace paddle
