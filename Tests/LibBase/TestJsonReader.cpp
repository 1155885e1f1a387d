#include <string>
#include <vector>

#include <LibBase/JsonReader.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(JsonReader){};

// Guards against settings that are accepted although a key is given twice or
// text follows the document.
TEST(JsonReader, RefusesDuplicateKeysAndTrailingText)
{
  CHECK_FALSE(Succeeded(ParseJsonText("f", R"({"a": 1, "a": 2})")));
  CHECK_FALSE(Succeeded(ParseJsonText("f", R"({"a": 1} x)")));
  CHECK_TRUE(Succeeded(ParseJsonText("f", "// why\n{\"a\": 1}")));
}

// Guards against a misspelt field that is silently ignored, and against an
// error that does not state the position and the allowed values.
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

// Guards against a syntax error whose position and file are not on one line,
// the form that editors and scripts need to find the place.
TEST(JsonReader, NamesPositionOfSyntaxErrors)
{
  const auto parsed = ParseJsonText("s.jsonc", "{\n  \"a\": 1,\n  \"a\": 2\n}");
  STRCMP_EQUAL("s.jsonc:3:3: Duplicate key: 'a'",
               ErrorOf(parsed).mMessage.c_str());
}

// Guards against an array element of the wrong type that is dropped without an
// error.
TEST(JsonReader, NamesPositionInLists)
{
  const auto parsed = ParseJsonText("s.jsonc", R"({"a": ["x", 7]})");
  std::vector<std::string> errors;
  ObjectReader reader(ValueOf(parsed), ValueOf(parsed).mRoot, "", errors);
  LONGS_EQUAL(1, reader.TextList("a", Presence::Required).size());
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL("s.jsonc:1:13: field a[1]: must be a non-empty string, is 7",
               errors[0].c_str());
}
