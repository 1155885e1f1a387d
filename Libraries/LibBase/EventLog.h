#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include <LibBase/Log.h>
#include <LibTime/Time.h>

namespace paddle {

/// Bounds of an event log.
struct EventLogLimits
{
  /// Lines of decisions a second; a busy host decides some hundred times a
  /// second, and a line costs some 3 us.
  double mLinesPerSecond = 300;
  double mBurst = 600;
  /// Lines that wait while the reader of standard output does not read.
  std::size_t mBufferBytes = 256UL * 1024;
};

/// Writes key=value lines to standard output without ever blocking: lines are
/// collected, written by Flush(), and counted by event where they are dropped.
class EventLog
{
public:
  /// @param aProcess part of every line
  EventLog(std::string aProcess, const EventLogLimits& aLimits);

  /// Lines of level Debug and Info are subject to the budget; notices, warnings
  /// and errors only to the size of the buffer.
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::string_view aFields,
             MonotonicTime aNow);

  /// Writes what standard output takes now.
  void Flush(MonotonicTime aNow);

  [[nodiscard]] std::uint64_t Dropped() const;

private:
  bool TakeToken(MonotonicTime aNow);

  std::string mProcess;
  EventLogLimits mLimits;
  std::string mBuffer;
  double mTokens = 0;
  MonotonicTime mRefilledAt;
  MonotonicTime mReportedAt;
  std::map<std::string, std::uint64_t, std::less<>> mDroppedByEvent;
  std::uint64_t mDropped = 0;
};

} // namespace paddle
