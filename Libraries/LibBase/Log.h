#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace paddle {

enum class LogLevel
{
  Debug,
  Info,
  Notice, ///< A rare change of state, to which no rate limit applies.
  Warning,
  Error
};

/// One key=value pair of a log line.
struct LogField
{
  std::string_view mKey;
  std::string mValue;

  LogField(std::string_view aKey, std::string_view aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  template<typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view aKey, T aValue)
    : mKey(aKey)
    , mValue(std::to_string(aValue))
  {
  }
};

/// Starts logging to standard error.
/// @param aProcess name of the process, part of every line
/// @param aLevel   lowest level that is written
void
StartLogging(std::string_view aProcess, LogLevel aLevel);

/// Writes one line of key=value pairs if its level is enabled.
/// @param aEvent  name of the event in snake_case
void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields);

/// @return one line of key=value pairs; values with spaces, quotes, equals
///         signs or control characters are quoted and escaped
std::string
FormatFields(std::initializer_list<LogField> aFields);

} // namespace paddle
