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

/// Limits on the output of an event log.
struct EventLogLimits
{
  /// Rate limit for lines of level Debug and Info. A busy host makes some
  /// hundred decisions a second and logs each of them; a line costs some 3 us.
  double mLinesPerSecond = 300;
  /// Lines that may be written at once after a quiet period.
  double mBurstLines = 600;
  /// Largest amount of text that is kept while the reader of standard output
  /// does not read.
  std::size_t mBufferBytes = 256UL * 1024;
};

/// Writes key=value lines to standard output without ever blocking. Lines are
/// collected in a buffer, which Flush() writes. Lines beyond the limits are
/// dropped; a line of the log states how many were dropped of each event.
class EventLog
{
public:
  /// Makes standard output non-blocking.
  /// @param aProcess name of the process, part of every line
  EventLog(std::string aProcess, const EventLogLimits& aLimits);

  /// Adds a line to the buffer or drops it. The rate limit applies to lines of
  /// level Debug and Info only, the size of the buffer to all lines.
  /// @param aEvent  name of the event in snake_case
  /// @param aFields key=value pairs, separated by spaces; may be empty
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::string_view aFields,
             MonotonicTime aNow);

  /// Writes as much of the buffer as standard output accepts now.
  void Flush(MonotonicTime aNow);

  /// @return the lines that Flush() has not written yet
  [[nodiscard]] const std::string& Pending() const;

  /// @return number of lines dropped since the start
  [[nodiscard]] std::uint64_t Dropped() const;

private:
  /// Takes a token from the token bucket of the rate limit.
  /// @return whether there was one
  bool TakeToken(MonotonicTime aNow);

  std::string mProcess;
  EventLogLimits mLimits;
  std::string mBuffer;
  double mTokens = 0;        ///< Lines that the rate limit allows now.
  MonotonicTime mRefilledAt; ///< When mTokens was last updated.
  MonotonicTime mReportedAt; ///< When dropped lines were last reported.
  /// Lines dropped since the last report, by event.
  std::map<std::string, std::uint64_t, std::less<>> mDroppedByEvent;
  std::uint64_t mDropped = 0; ///< Lines dropped since the start.
};

} // namespace paddle
