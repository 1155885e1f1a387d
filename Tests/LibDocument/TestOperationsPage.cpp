#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <LibDocument/DocumentKind.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// Collects the field names that a kind of document allows from the errors
/// about a document of this kind.
/// @param aText a document whose objects all hold the unknown member "zzz"
/// @return the names that follow "allowed here:" in the errors
std::vector<std::string>
AllowedFieldsOf(const char* aText)
{
  const auto checked = CheckDocument("d", aText);
  std::istringstream lines(ErrorOf(checked).mMessage);
  std::vector<std::string> fields;
  const std::string marker = "allowed here:";
  for (std::string line; std::getline(lines, line);) {
    const std::size_t found = line.find(marker);
    if (found == std::string::npos) {
      continue;
    }
    std::istringstream names(line.substr(found + marker.size()));
    for (std::string name; names >> name;) {
      fields.push_back(name);
    }
  }
  return fields;
}

} // namespace

TEST_GROUP(OperationsPage){};

// Guards against a field of a document that the operations page does not
// describe.
TEST(OperationsPage, DescribesEveryDocumentField)
{
  std::ostringstream page;
  page << std::ifstream(PADDLE_OPERATIONS_PAGE).rdbuf();
  const std::string text = page.str();
  std::size_t checked = 0;
  for (const char* document :
       { R"({"service": 1, "zzz": 1, "routes": [{"zzz": 1}],
           "tasks": [{"zzz": 1, "size": {"zzz": 1}}], "quota": {"zzz": 1}})",
         R"({"job": 1, "zzz": 1, "size": {"zzz": 1}})",
         R"({"member": 1, "zzz": 1, "platform": {"zzz": 1},
           "lease": {"zzz": 1}})",
         R"({"dataCentres": [{"zzz": 1}], "zzz": 1})" }) {
    for (const std::string& field : AllowedFieldsOf(document)) {
      if (text.find("`" + field + "`") == std::string::npos) {
        FAIL(("docs/operations.md lacks the field " + field).c_str());
      }
      ++checked;
    }
  }
  LONGS_EQUAL(12 + 4 + 3 + 3 + 3 + 6 + 3 + 9 + 4 + 3 + 1 + 2, checked);
}
