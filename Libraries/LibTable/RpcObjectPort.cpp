#include <LibTable/RpcPorts.h>

#include <LibRpc/RpcClient.h>
#include <json/json.h>

namespace paddle {

namespace {

/// @return the error for a result of @p aMethod with absent or mistyped members
Error
MalformedAnswer(const char* aMethod)
{
  return Error{ ErrorKind::Internal,
                std::string("malformed answer to ") + aMethod };
}

Outcome<Done>
Store(HttpClient& aClient,
      const PlatformSettings& aSettings,
      std::string_view aName,
      std::string_view aBody)
{
  Json::Value parameters(Json::objectValue);
  parameters["name"] = std::string(aName);
  parameters["body"] = std::string(aBody);
  const Outcome<Json::Value> answer = CallRpc(
    aClient, aSettings.mObjects, "object.put", parameters, aSettings.mTimeout);
  if (!Succeeded(answer)) {
    return ErrorOf(answer);
  }
  return Done{};
}

Outcome<std::string>
Read(HttpClient& aClient,
     const PlatformSettings& aSettings,
     std::string_view aName)
{
  Json::Value parameters(Json::objectValue);
  parameters["name"] = std::string(aName);
  const Outcome<Json::Value> answer = CallRpc(
    aClient, aSettings.mObjects, "object.read", parameters, aSettings.mTimeout);
  if (!Succeeded(answer)) {
    return ErrorOf(answer);
  }
  const Json::Value& result = ValueOf(answer);
  if (!result.isObject() || !result["body"].isString()) {
    return MalformedAnswer("object.read");
  }
  return result["body"].asString();
}

Outcome<std::vector<std::string>>
List(HttpClient& aClient,
     const PlatformSettings& aSettings,
     std::string_view aPrefix)
{
  Json::Value parameters(Json::objectValue);
  parameters["prefix"] = std::string(aPrefix);
  const Outcome<Json::Value> answer = CallRpc(
    aClient, aSettings.mObjects, "object.list", parameters, aSettings.mTimeout);
  if (!Succeeded(answer)) {
    return ErrorOf(answer);
  }
  const Json::Value& result = ValueOf(answer);
  if (!result.isObject() || !result["names"].isArray()) {
    return MalformedAnswer("object.list");
  }
  std::vector<std::string> names;
  for (const Json::Value& name : result["names"]) {
    if (!name.isString()) {
      return MalformedAnswer("object.list");
    }
    names.push_back(name.asString());
  }
  return names;
}

} // namespace

ObjectPort
MakeRpcObjectPort(HttpClient& aClient, const PlatformSettings& aSettings)
{
  ObjectPort port;
  port.mStore = [&aClient, aSettings](std::string_view aName,
                                      std::string_view aBody) {
    return Store(aClient, aSettings, aName, aBody);
  };
  port.mRead = [&aClient, aSettings](std::string_view aName) {
    return Read(aClient, aSettings, aName);
  };
  port.mList = [&aClient, aSettings](std::string_view aPrefix) {
    return List(aClient, aSettings, aPrefix);
  };
  return port;
}

} // namespace paddle
