#include <LibHttp/HttpMessage.h>

#include <algorithm>
#include <charconv>

namespace paddle {

namespace {

/// Converts an ASCII letter to lower case, whatever the locale.
char
ToLowerAscii(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + 32) : aChar;
}

} // namespace

Outcome<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const Error error{ ErrorKind::InvalidInput,
                     "\"" + std::string(aText) +
                       "\" is not an address of the form IP:PORT" };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return error;
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return error;
  }
  return Endpoint{ std::string(aText.substr(0, colon)), port };
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    const bool same =
      std::equal(name.begin(),
                 name.end(),
                 aName.begin(),
                 aName.end(),
                 [](char aLeft, char aRight) {
                   return ToLowerAscii(aLeft) == ToLowerAscii(aRight);
                 });
    if (same) {
      return value;
    }
  }
  return {};
}

} // namespace paddle
