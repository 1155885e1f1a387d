#include <LibTable/RpcPorts.h>

#include <LibRpc/RpcClient.h>
#include <LibTable/HostJson.h>
#include <json/json.h>

namespace paddle {

HostListPort
MakeRpcHostListPort(HttpClient& aClient, const PlatformSettings& aSettings)
{
  HostListPort port;
  port.mList = [&aClient, aSettings]() -> Outcome<std::vector<HostEntry>> {
    const Outcome<Json::Value> answer = CallRpc(aClient,
                                                aSettings.mHosts,
                                                "hosts.list",
                                                Json::Value(Json::objectValue),
                                                aSettings.mTimeout);
    if (!Succeeded(answer)) {
      return ErrorOf(answer);
    }
    if (!ValueOf(answer).isObject()) {
      return Error{ ErrorKind::Internal, "malformed answer to hosts.list" };
    }
    return ParseHosts(ValueOf(answer)["hosts"]);
  };
  return port;
}

} // namespace paddle
