#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <LibBase/JsonReader.h>
#include <LibDocument/DaemonSettings.h>
#include <LibDocument/DocumentKind.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

std::vector<std::filesystem::path>
FilesUnder(const std::string& aDeployment, const std::string& aExtension)
{
  std::vector<std::filesystem::path> files;
  const std::filesystem::path base(PADDLE_BASE_DIRECTORY);
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(base / aDeployment)) {
    if (entry.path().extension() == aExtension) {
      files.push_back(entry.path());
    }
  }
  return files;
}

void
CheckAllFiles(const std::string& aDeployment)
{
  std::set<std::string> names;
  for (const auto& path : FilesUnder(aDeployment, ".jsonc")) {
    const std::string name = path.filename().string();
    const auto kind = CheckDocument(name, ReadText(path));
    if (!Succeeded(kind)) {
      FAIL(ErrorOf(kind).mMessage.c_str());
    }
    if (ValueOf(kind) == DocumentKind::Settings) {
      const auto settings = ParseDaemonSettings(name, ReadText(path));
      CHECK_TRUE(names.insert(ValueOf(settings).mSelf.mName).second);
    }
  }
  LONGS_EQUAL(16, names.size());
}

} // namespace

TEST_GROUP(Base){};

// Guards against example files that the parsers refuse, and against two
// processes of one name.
TEST(Base, FilesOfCooperativaAreAccepted)
{
  CheckAllFiles("cooperativa");
}

TEST(Base, FilesOfMadhuryaAreAccepted)
{
  CheckAllFiles("madhurya");
}

// Guards against two hosts at one address, of which one is never reached.
TEST(Base, HostsHaveTheirOwnAddresses)
{
  std::set<std::string> addresses;
  std::size_t hosts = 0;
  for (const char* deployment : { "cooperativa", "madhurya" }) {
    for (const auto& path : FilesUnder(deployment, ".json")) {
      const auto parsed = ParseJsonText("hosts.json", ReadText(path));
      for (const Json::Value& host : ValueOf(parsed).mRoot) {
        addresses.insert(host["address"].asString());
        ++hosts;
      }
    }
  }
  LONGS_EQUAL(50 + 48 + 65 + 66, hosts);
  LONGS_EQUAL(hosts, addresses.size());
}
