#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// An address to connect to or to listen on; the host is an IP number.
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "ADDRESS:PORT".
Outcome<Endpoint>
ParseEndpoint(std::string_view aText);

/// @return "ADDRESS:PORT"
std::string
ToText(const Endpoint& aEndpoint);

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// @return the value of a header, compared without regard to case, or empty
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mQuery;
  HttpHeaders mHeaders;
  std::string mBody;
};

struct HttpReply
{
  unsigned mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

} // namespace paddle
