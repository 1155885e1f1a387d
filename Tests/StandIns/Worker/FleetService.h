#pragma once

#include <LibHttp/HttpServer.h>
#include <StandIns/Worker/Fleet.h>

namespace paddle {

/// @param aFleet must outlive the handler
/// @return a handler that serves the workers' methods, standin.fault and
///         standin.stats at the addresses of all workers; the Host header of a
///         request says which worker it is for
HttpHandler
MakeFleetHandler(Fleet& aFleet);

/// Starts a server that listens at the addresses of all workers of a host list.
/// @param aFleet must outlive the server
/// @param aHosts the host list; entries that are not workers are ignored
Outcome<std::unique_ptr<HttpServer>>
ServeFleet(Fleet& aFleet, const std::vector<HostEntry>& aHosts);

} // namespace paddle
