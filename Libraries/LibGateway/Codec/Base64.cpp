#include <LibGateway/Codec/Base64.h>

#include <cxxtools/base64codec.h>

namespace paddle {

std::string
ToBase64(const std::string& aBytes)
{
  return cxxtools::encode<cxxtools::Base64Codec>(aBytes);
}

std::string
FromBase64(const std::string& aText)
{
  return cxxtools::decode<cxxtools::Base64Codec>(aText);
}

} // namespace paddle
