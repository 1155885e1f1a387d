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

/// An address to connect to or to listen on. mHost is an IP address.
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "IP:PORT". The port must not be 0. Of the IP address it is only
/// checked that it is not empty.
Outcome<Endpoint>
ParseEndpoint(std::string_view aText);

/// @return the endpoint as "IP:PORT"
std::string
ToText(const Endpoint& aEndpoint);

/// Names and values of headers, in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Finds a header; the case of the name does not matter.
/// @return the value of the first header with this name, or an empty string
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
