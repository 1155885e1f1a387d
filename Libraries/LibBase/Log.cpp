#include <LibBase/Log.h>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace paddle {

namespace {

/// @return the level of log4cplus, which has none for notices
log4cplus::LogLevel
ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
    case LogLevel::Notice:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger&
ProcessLogger()
{
  static log4cplus::Initializer sInitializer;
  static log4cplus::Logger sLogger =
    log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("paddle"));
  return sLogger;
}

/// @return whether the value must be quoted so that a line can be split into
///         its key=value pairs
bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const char c : aValue) {
    if (c == ' ' || c == '"' || c == '=' || c == '\\' ||
        static_cast<unsigned char>(c) < 0x20) {
      return true;
    }
  }
  return false;
}

/// Appends the value, quoted and escaped if necessary.
void
AppendValue(std::string& aLine, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine += '\\';
      aLine += c;
    } else if (c == '\n') {
      aLine += "\\n";
    } else if (static_cast<unsigned char>(c) < 0x20) {
      aLine += ' ';
    } else {
      aLine += c;
    }
  }
  aLine += '"';
}

} // namespace

std::string
FormatFields(std::initializer_list<LogField> aFields)
{
  std::string line;
  for (const LogField& field : aFields) {
    if (!line.empty()) {
      line += ' ';
    }
    line += field.mKey;
    line += '=';
    AppendValue(line, field.mValue);
  }
  return line;
}

void
StartLogging(std::string_view aProcess, LogLevel aLevel)
{
  log4cplus::Logger& logger = ProcessLogger();
  // The log goes to standard error because a program's results go to standard
  // output. The second argument flushes each line.
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(true, true));
  const std::string pattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" + std::string(aProcess) +
    " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(ToLibraryLevel(aLevel));
}

void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  log4cplus::Logger& logger = ProcessLogger();
  const log4cplus::LogLevel level = ToLibraryLevel(aLevel);
  if (!logger.isEnabledFor(level)) {
    return;
  }
  std::string line = "event=";
  line += aEvent;
  const std::string fields = FormatFields(aFields);
  if (!fields.empty()) {
    line += ' ';
    line += fields;
  }
  logger.forcedLog(level, line);
}

} // namespace paddle
