#include <StandIns/Runner/HostsFile.h>

#include <LibBase/JsonReader.h>

namespace paddle {

Outcome<std::vector<RunnerHost>>
ReadRunnerHosts(const std::string& aPath)
{
  auto text = ReadJsonFile(aPath);
  if (!Succeeded(text)) {
    return ErrorOf(text);
  }
  const Json::Value& root = ValueOf(text).mRoot;
  const Json::Value& list = root.isObject() ? root["hosts"] : root;
  std::vector<RunnerHost> hosts;
  for (const Json::Value& entry : list) {
    if (entry["kind"].asString() != "runner") {
      continue;
    }
    auto address = ParseEndpoint(entry["address"].asString());
    if (!Succeeded(address)) {
      return Error{ ErrorKind::InvalidInput,
                    aPath + ": " + entry["name"].asString() + ": " +
                      ErrorOf(address).mMessage };
    }
    hosts.push_back({ entry["name"].asString(),
                      entry["service"].asString(),
                      ValueOf(address) });
  }
  if (hosts.empty()) {
    return Error{ ErrorKind::InvalidInput,
                  aPath + ": no entry is of kind runner" };
  }
  return hosts;
}

} // namespace paddle
