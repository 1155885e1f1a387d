#include <StandIns/Runner/HostsFile.h>

#include <LibBase/JsonReader.h>
#include <LibTable/HostJson.h>

namespace paddle {

Outcome<std::vector<RunnerHost>>
ReadRunnerHosts(const std::string& aPath)
{
  auto text = ReadJsonFile(aPath);
  if (!Succeeded(text)) {
    return ErrorOf(text);
  }
  const auto entries = ParseHosts(ValueOf(text).mRoot);
  if (!Succeeded(entries)) {
    return ErrorOf(entries);
  }
  std::vector<RunnerHost> hosts;
  for (const HostEntry& entry : ValueOf(entries)) {
    if (entry.mKind == HostKind::Runner) {
      hosts.push_back({ entry.mName, entry.mService, entry.mAddress });
    }
  }
  if (hosts.empty()) {
    return Error{ ErrorKind::InvalidInput,
                  aPath + ": no entry is of kind runner" };
  }
  return hosts;
}

} // namespace paddle
