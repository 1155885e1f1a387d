#include <LibDocument/DocumentFields.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>

namespace paddle {

namespace {

/// @return whether a text is an IPv4 or IPv6 address, not a host name
bool
IsIpAddress(const std::string& aHost)
{
  in6_addr address{};
  return inet_pton(AF_INET, aHost.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, aHost.c_str(), &address) == 1;
}

} // namespace

bool
IsValidName(const std::string& aText)
{
  constexpr std::size_t kMaxNameLength = 64;
  if (aText.empty() || aText.size() > kMaxNameLength ||
      !std::isalnum(static_cast<unsigned char>(aText.front()))) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return std::isalnum(aChar) || aChar == '-' || aChar == '_' || aChar == '.';
  });
}

std::string
ReadName(ObjectReader& aReader, const char* aField, Presence aPresence)
{
  std::string name = aReader.Text(aField, aPresence);
  if (!name.empty() && !IsValidName(name)) {
    aReader.Fail(aField,
                 "must be 1 to 64 letters, digits, \"-\", \"_\" or \".\" and "
                 "begin with a letter or digit, is \"" +
                   name + "\"");
  }
  return name;
}

Endpoint
ReadEndpoint(ObjectReader& aReader, const char* aField, Presence aPresence)
{
  const std::string text = aReader.Text(aField, aPresence);
  if (text.empty()) {
    return {};
  }
  Outcome<Endpoint> endpoint = ParseEndpoint(text);
  if (!Succeeded(endpoint) || !IsIpAddress(ValueOf(endpoint).mHost)) {
    aReader.Fail(aField,
                 "must be an address \"IP:PORT\" with a port from 1 to 65535, "
                 "is \"" +
                   text + "\"");
    return {};
  }
  return ValueOf(endpoint);
}

Resources
ReadResources(const JsonText& aText,
              ObjectReader& aParent,
              const char* aField,
              const ResourceLimits& aLimits,
              std::vector<std::string>& aErrors)
{
  Resources resources;
  const Json::Value& value = aParent.Object(aField, Presence::Required);
  if (value.isNull()) {
    return resources;
  }
  ObjectReader reader(aText, value, aParent.PathOf(aField), aErrors);
  resources.mCores = reader.Number(
    "cores", aLimits.mMinCores, aLimits.mMaxCores, Presence::Required);
  resources.mMemoryMb =
    static_cast<std::uint64_t>(reader.Integer("memoryMb",
                                              aLimits.mMinMemoryMb,
                                              aLimits.mMaxMemoryMb,
                                              Presence::Required));
  resources.mAccelerators = static_cast<std::uint32_t>(reader.Integer(
    "accelerators", 0, aLimits.mMaxAccelerators, Presence::Optional, 0));
  reader.Finish();
  return resources;
}

std::string
ElementPath(const ObjectReader& aParent, const char* aField, unsigned aIndex)
{
  return aParent.PathOf(aField) + "[" + std::to_string(aIndex) + "]";
}

} // namespace paddle
