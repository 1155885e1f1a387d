#pragma once

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// Parsed JSON with comments, kept with its text so that errors can name the
/// line and column.
struct JsonText
{
  std::string mFile;
  std::string mText;
  Json::Value mRoot;
};

/// Parses JSON with comments; duplicate keys and trailing text are errors.
/// @param aFile name used in errors
Outcome<JsonText>
ParseJsonText(std::string_view aFile, std::string aText);

/// Parses an object that a program wrote, such as a stored row.
/// @return nothing if the text is not one JSON object
std::optional<Json::Value>
ParseJsonObject(std::string_view aText);

/// Reads and parses a file, see ParseJsonText().
Outcome<JsonText>
ReadJsonFile(const std::string& aPath);

enum class Presence
{
  Required,
  Optional
};

/// Reads the members of one JSON object and collects every problem, each with
/// file, line, column, field and what is allowed. Finish() reports members
/// that were never asked for.
class ObjectReader
{
public:
  /// @param aText  the document that @p aValue is part of
  /// @param aValue the object to read
  /// @param aPath  field path of the object for errors, empty for the root
  /// @param aErrors receives a line per problem
  ObjectReader(const JsonText& aText,
               const Json::Value& aValue,
               std::string aPath,
               std::vector<std::string>& aErrors);

  std::string Text(const char* aField,
                   Presence aPresence,
                   std::string aDefault = {});
  std::int64_t Integer(const char* aField,
                       std::int64_t aLowest,
                       std::int64_t aHighest,
                       Presence aPresence,
                       std::int64_t aDefault = 0);
  double Number(const char* aField,
                double aLowest,
                double aHighest,
                Presence aPresence,
                double aDefault = 0);
  bool Boolean(const char* aField, Presence aPresence, bool aDefault = false);
  /// @param aAllowed the accepted values
  std::string Choice(const char* aField,
                     const std::vector<std::string>& aAllowed,
                     Presence aPresence,
                     std::string aDefault = {});
  /// @return the member as a list of non-empty strings, empty if absent
  std::vector<std::string> TextList(const char* aField, Presence aPresence);
  /// @return the member as an object or array, or null if absent or wrong
  const Json::Value& Object(const char* aField, Presence aPresence);
  const Json::Value& Array(const char* aField, Presence aPresence);

  /// Adds a problem about @p aField, or about the object if null.
  void Fail(const char* aField, const std::string& aMessage);

  /// Reports every member that no accessor asked for.
  void Finish();

  [[nodiscard]] std::string PathOf(const char* aField) const;

private:
  const Json::Value* Find(const char* aField, Presence aPresence);
  void FailAt(const Json::Value& aValue,
              const std::string& aField,
              const std::string& aMessage);

  const JsonText& mText;
  const Json::Value& mValue;
  std::string mPath;
  std::vector<std::string>& mErrors;
  std::vector<std::string> mKnown;
};

/// @return the collected problems as one error, one per line
Error
JoinErrors(const std::vector<std::string>& aErrors);

/// @return compact JSON on one line
std::string
WriteJson(const Json::Value& aValue);

} // namespace paddle
