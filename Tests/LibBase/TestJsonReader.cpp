#include <string>
#include <vector>

#include <LibBase/JsonReader.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(JsonReader){};

// Guards against settings that are read although a key is given twice.
TEST(JsonReader, RefusesDuplicateKeysAndTrailingText)
{
  CHECK_FALSE(Succeeded(ParseJsonText("f", R"({"a": 1, "a": 2})")));
  CHECK_FALSE(Succeeded(ParseJsonText("f", R"({"a": 1} x)")));
  CHECK_TRUE(Succeeded(ParseJsonText("f", "// why\n{\"a\": 1}")));
}

// Guards against a mistyped field that is silently ignored, and against an
// error that does not say where the fault is and what is allowed.
TEST(JsonReader, NamesPositionFieldAndRange)
{
  const auto parsed =
    ParseJsonText("s.jsonc", "{\n  \"slots\": 900,\n  \"slotz\": 1\n}");
  const JsonText& text = ValueOf(parsed);
  std::vector<std::string> errors;
  ObjectReader reader(text, text.mRoot, "", errors);
  reader.Integer("slots", 1, 64, Presence::Required);
  reader.Finish();
  LONGS_EQUAL(2, errors.size());
  STRCMP_EQUAL(
    "s.jsonc:2:12: field slots: must be an integer from 1 to 64, is 900",
    errors[0].c_str());
  STRCMP_EQUAL("s.jsonc:3:12: field slotz: is unknown; allowed here: slots",
               errors[1].c_str());
}
