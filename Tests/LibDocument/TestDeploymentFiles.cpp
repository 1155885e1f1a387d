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

/// @return the contents of a file
std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

/// @return the files of a deployment (a folder of Base) with this extension
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

/// Checks that all documents of a deployment are valid, and that it has
/// settings for 16 processes with unique names.
void
CheckDocumentsOf(const std::string& aDeployment)
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

TEST_GROUP(DeploymentFiles){};

// Guards against deployment files that the parsers refuse, and against two
// processes with the same name.
TEST(DeploymentFiles, DocumentsOfCooperativaAreValid)
{
  CheckDocumentsOf("cooperativa");
}

// Guards against the same faults in the files of the other deployment.
TEST(DeploymentFiles, DocumentsOfMadhuryaAreValid)
{
  CheckDocumentsOf("madhurya");
}

// Guards against two hosts with the same address, one of which would never be
// reached.
TEST(DeploymentFiles, HostAddressesAreUnique)
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
