#include <LibBase/JsonReader.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace paddle {

namespace {

/// @param aOffset offset in bytes from the start of the text
/// @return the position in the form file:line:column
std::string
Position(const JsonText& aText, std::ptrdiff_t aOffset)
{
  const std::size_t end =
    std::min(aText.mText.size(), static_cast<std::size_t>(aOffset));
  std::size_t line = 1;
  std::size_t column = 1;
  for (std::size_t i = 0; i < end; ++i) {
    if (aText.mText[i] == '\n') {
      ++line;
      column = 1;
    } else {
      ++column;
    }
  }
  return aText.mFile + ":" + std::to_string(line) + ":" +
         std::to_string(column);
}

/// @return the value as JSON for an error message, shortened if it is long
std::string
FormatForError(const Json::Value& aValue)
{
  constexpr std::size_t kMaxShownBytes = 60;
  std::string text = WriteJson(aValue);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

const Json::Value&
NullValue()
{
  static const Json::Value sNull;
  return sNull;
}

/// Converts the messages of jsoncpp, each of the form
/// "* Line 2, Column 3\n  Text\n", to the form of all other errors: one line
/// for each problem, with the file and position in front.
std::string
SyntaxErrors(const std::string& aFile, const std::string& aMessages)
{
  std::istringstream lines(aMessages);
  std::string line;
  std::string errors;
  while (std::getline(lines, line)) {
    unsigned row = 0;
    unsigned column = 0;
    if (std::sscanf(line.c_str(), "* Line %u, Column %u", &row, &column) == 2) {
      errors += errors.empty() ? "" : "\n";
      errors +=
        aFile + ":" + std::to_string(row) + ":" + std::to_string(column) + ":";
    } else if (const auto start = line.find_first_not_of(' ');
               start != std::string::npos) {
      errors += " " + line.substr(start);
    }
  }
  return errors;
}

} // namespace

Outcome<JsonText>
ParseJsonText(std::string_view aFile, std::string aText)
{
  Json::CharReaderBuilder builder;
  builder["allowComments"] = true;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["strictRoot"] = true;
  builder["collectComments"] = false;
  JsonText parsed{ std::string(aFile), std::move(aText), {} };
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  const char* begin = parsed.mText.data();
  try {
    if (!reader->parse(
          begin, begin + parsed.mText.size(), &parsed.mRoot, &errors)) {
      return Error{ ErrorKind::InvalidInput,
                    SyntaxErrors(parsed.mFile, errors) };
    }
  } catch (const std::exception& e) {
    // jsoncpp throws if values are nested deeper than its stack limit.
    return Error{ ErrorKind::InvalidInput,
                  parsed.mFile + ": " + std::string(e.what()) };
  }
  return parsed;
}

Outcome<JsonText>
ReadJsonFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return Error{ ErrorKind::NotFound, "file " + aPath + " can't be read" };
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseJsonText(aPath, text.str());
}

ObjectReader::ObjectReader(const JsonText& aText,
                           const Json::Value& aValue,
                           std::string aPath,
                           std::vector<std::string>& aErrors)
  : mText(aText)
  , mValue(aValue)
  , mPath(std::move(aPath))
  , mErrors(aErrors)
{
  if (!mValue.isObject()) {
    FailAt(mValue, mPath.empty() ? "document" : mPath, "must be an object");
  }
}

std::string
ObjectReader::PathOf(const char* aField) const
{
  if (!aField) {
    return mPath;
  }
  return mPath.empty() ? aField : mPath + "." + aField;
}

void
ObjectReader::FailAt(const Json::Value& aValue,
                     const std::string& aField,
                     const std::string& aMessage)
{
  mErrors.push_back(Position(mText, aValue.getOffsetStart()) + ": field " +
                    aField + ": " + aMessage);
}

void
ObjectReader::Fail(const char* aField, const std::string& aMessage)
{
  const bool present = aField && mValue.isObject() && mValue.isMember(aField);
  FailAt(present ? mValue[aField] : mValue, PathOf(aField), aMessage);
}

const Json::Value*
ObjectReader::Find(const char* aField, Presence aPresence)
{
  mKnown.emplace_back(aField);
  if (!mValue.isObject()) {
    return nullptr;
  }
  if (!mValue.isMember(aField)) {
    if (aPresence == Presence::Required) {
      FailAt(mValue, PathOf(aField), "is required but missing");
    }
    return nullptr;
  }
  return &mValue[aField];
}

std::string
ObjectReader::Text(const char* aField, Presence aPresence, std::string aDefault)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return aDefault;
  }
  if (!value->isString() || value->asString().empty()) {
    FailAt(*value,
           PathOf(aField),
           "must be a non-empty string, is " + FormatForError(*value));
    return aDefault;
  }
  return value->asString();
}

std::int64_t
ObjectReader::Integer(const char* aField,
                      std::int64_t aLowest,
                      std::int64_t aHighest,
                      Presence aPresence,
                      std::int64_t aDefault)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return aDefault;
  }
  if (!value->isInt64() || value->asInt64() < aLowest ||
      value->asInt64() > aHighest) {
    FailAt(*value,
           PathOf(aField),
           "must be an integer from " + std::to_string(aLowest) + " to " +
             std::to_string(aHighest) + ", is " + FormatForError(*value));
    return aDefault;
  }
  return value->asInt64();
}

double
ObjectReader::Number(const char* aField,
                     double aLowest,
                     double aHighest,
                     Presence aPresence,
                     double aDefault)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return aDefault;
  }
  if (!value->isNumeric() || value->asDouble() < aLowest ||
      value->asDouble() > aHighest) {
    std::ostringstream range;
    range.precision(15);
    range << "must be a number from " << aLowest << " to " << aHighest
          << ", is " << FormatForError(*value);
    FailAt(*value, PathOf(aField), range.str());
    return aDefault;
  }
  return value->asDouble();
}

bool
ObjectReader::Boolean(const char* aField, Presence aPresence, bool aDefault)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return aDefault;
  }
  if (!value->isBool()) {
    FailAt(*value,
           PathOf(aField),
           "must be true or false, is " + FormatForError(*value));
    return aDefault;
  }
  return value->asBool();
}

std::string
ObjectReader::Choice(const char* aField,
                     const std::vector<std::string>& aAllowed,
                     Presence aPresence,
                     std::string aDefault)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return aDefault;
  }
  const bool allowed =
    value->isString() &&
    std::find(aAllowed.begin(), aAllowed.end(), value->asString()) !=
      aAllowed.end();
  if (allowed) {
    return value->asString();
  }
  std::string message = "must be one of";
  for (const std::string& choice : aAllowed) {
    message += " \"" + choice + "\"";
  }
  FailAt(*value, PathOf(aField), message + ", is " + FormatForError(*value));
  return aDefault;
}

std::vector<std::string>
ObjectReader::TextList(const char* aField, Presence aPresence)
{
  std::vector<std::string> list;
  const Json::Value& values = Array(aField, aPresence);
  for (Json::ArrayIndex i = 0; i < values.size(); ++i) {
    if (values[i].isString() && !values[i].asString().empty()) {
      list.push_back(values[i].asString());
      continue;
    }
    FailAt(values[i],
           PathOf(aField) + "[" + std::to_string(i) + "]",
           "must be a non-empty string, is " + FormatForError(values[i]));
  }
  return list;
}

const Json::Value&
ObjectReader::Object(const char* aField, Presence aPresence)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return NullValue();
  }
  if (!value->isObject()) {
    FailAt(*value,
           PathOf(aField),
           "must be an object, is " + FormatForError(*value));
    return NullValue();
  }
  return *value;
}

const Json::Value&
ObjectReader::Array(const char* aField, Presence aPresence)
{
  const Json::Value* value = Find(aField, aPresence);
  if (!value) {
    return NullValue();
  }
  if (!value->isArray()) {
    FailAt(
      *value, PathOf(aField), "must be an array, is " + FormatForError(*value));
    return NullValue();
  }
  return *value;
}

void
ObjectReader::Finish()
{
  if (!mValue.isObject()) {
    return;
  }
  for (const std::string& member : mValue.getMemberNames()) {
    if (std::find(mKnown.begin(), mKnown.end(), member) != mKnown.end()) {
      continue;
    }
    std::string message = "is unknown; allowed here:";
    for (const std::string& known : mKnown) {
      message += " " + known;
    }
    FailAt(mValue[member], PathOf(member.c_str()), message);
  }
}

Error
JoinErrors(const std::vector<std::string>& aErrors)
{
  std::string message;
  for (const std::string& line : aErrors) {
    if (!message.empty()) {
      message += '\n';
    }
    message += line;
  }
  return Error{ ErrorKind::InvalidInput, message };
}

std::string
WriteJson(const Json::Value& aValue)
{
  // The builder is kept because making it takes longer than writing most
  // values.
  static const Json::StreamWriterBuilder sBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
  }();
  return Json::writeString(sBuilder, aValue);
}

std::optional<Json::Value>
ParseJsonObject(std::string_view aText)
{
  static const Json::CharReaderBuilder sBuilder;
  const std::unique_ptr<Json::CharReader> reader(sBuilder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &value, &errors) ||
        !value.isObject()) {
      return {};
    }
  } catch (const Json::Exception&) {
    // jsoncpp throws if values are nested deeper than its stack limit.
    return {};
  }
  return value;
}

} // namespace paddle
