#pragma once

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// A parsed JSON document and its text, which is needed to find the line and
/// column of an error.
struct JsonText
{
  std::string mFile; ///< Name used in errors.
  std::string mText;
  Json::Value mRoot;
};

/// Parses JSON that may have comments. Duplicate keys and text after the
/// document are errors.
/// @param aFile name used in errors
Outcome<JsonText>
ParseJsonText(std::string_view aFile, std::string aText);

/// Parses a JSON object that a program wrote, such as a stored row. It reports
/// no position of errors.
/// @return nothing if the text is not one JSON object
std::optional<Json::Value>
ParseJsonObject(std::string_view aText);

/// Reads and parses a JSON file, see ParseJsonText().
Outcome<JsonText>
ReadJsonFile(const std::string& aPath);

/// Whether an object must have a member.
enum class Presence
{
  Required,
  Optional
};

/// Reads the members of one JSON object and collects an error for each problem.
/// An error names the file, line, column and field, and the allowed values.
/// Each accessor returns the member's value, or the default if the member is
/// absent or invalid. Finish() reports members that no accessor asked for.
class ObjectReader
{
public:
  /// @param aText  the document that @p aValue is part of
  /// @param aValue the object to read
  /// @param aPath  field path of the object for errors, empty for the root
  /// @param aErrors receives one line for each problem
  ObjectReader(const JsonText& aText,
               const Json::Value& aValue,
               std::string aPath,
               std::vector<std::string>& aErrors);

  /// @return the member as a non-empty string
  std::string Text(const char* aField,
                   Presence aPresence,
                   std::string aDefault = {});
  /// @param aLowest  lowest allowed value
  /// @param aHighest highest allowed value
  std::int64_t Integer(const char* aField,
                       std::int64_t aLowest,
                       std::int64_t aHighest,
                       Presence aPresence,
                       std::int64_t aDefault = 0);
  /// @param aLowest  lowest allowed value
  /// @param aHighest highest allowed value
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
  /// @return the valid elements of an array of non-empty strings; empty if the
  ///         member is absent or not an array
  std::vector<std::string> TextList(const char* aField, Presence aPresence);
  /// @return the member if it is an object, otherwise the JSON value null
  const Json::Value& Object(const char* aField, Presence aPresence);
  /// @return the member if it is an array, otherwise the JSON value null
  const Json::Value& Array(const char* aField, Presence aPresence);

  /// Adds an error about the member @p aField, or about the whole object if
  /// @p aField is null.
  void Fail(const char* aField, const std::string& aMessage);

  /// Reports every member that no accessor asked for.
  void Finish();

  /// @return the path of the member from the root of the document, for errors
  [[nodiscard]] std::string PathOf(const char* aField) const;

private:
  /// @return the member, or null if it is absent
  const Json::Value* Find(const char* aField, Presence aPresence);
  /// Adds an error at the position of @p aValue.
  void FailAt(const Json::Value& aValue,
              const std::string& aField,
              const std::string& aMessage);

  const JsonText& mText;
  const Json::Value& mValue;
  std::string mPath;
  std::vector<std::string>& mErrors;
  std::vector<std::string> mKnown; ///< Members that accessors asked for.
};

/// @return one error with all messages, one a line
Error
JoinErrors(const std::vector<std::string>& aErrors);

/// @return compact JSON on one line
std::string
WriteJson(const Json::Value& aValue);

} // namespace paddle
