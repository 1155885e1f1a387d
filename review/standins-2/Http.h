#pragma once

#include <functional>
#include <map>
#include <string>

/// A small blocking HTTP/1.1 server and client for the review's stand-ins: one
/// thread for each connection.
namespace review {

struct HttpRequest
{
  std::string mMethod;
  std::string mPath;                           ///< Without the query.
  std::map<std::string, std::string> mQuery;   ///< Decoded.
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
};

struct HttpResponse
{
  int mStatus = 200; ///< 0: the connection is reset without an answer.
  std::string mBody;
};

using Handler = std::function<HttpResponse(const HttpRequest&)>;

/// Listens on a free port of 127.0.0.1 and serves until the process ends.
/// @return the port
int
Serve(Handler aHandler);

/// Resets all connections to a port of Serve(), as the end of a process does.
void
ResetConnections(int aPort);

/// @return a free port of 127.0.0.1
int
FreePort();

/// Sends one request on a new connection.
/// @return status 0 if there was no complete answer in time
HttpResponse
Call(int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     int aTimeoutMs);

} // namespace review
