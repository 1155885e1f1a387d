#include <LibBase/EventLog.h>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

#include <LibTime/BootClock.h>

namespace paddle {

namespace {

/// Shortest time between two reports of dropped lines.
constexpr Seconds kDropReportInterval{ 1 };

/// @return the name of the level as it appears in a line
std::string_view
NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "DEBUG";
    case LogLevel::Info:
      return "INFO";
    case LogLevel::Notice:
      return "NOTICE";
    case LogLevel::Warning:
      return "WARN";
    case LogLevel::Error:
      return "ERROR";
  }
  return "ERROR";
}

} // namespace

EventLog::EventLog(std::string aProcess, const EventLogLimits& aLimits)
  : mProcess(std::move(aProcess))
  , mLimits(aLimits)
  , mTokens(aLimits.mBurstLines)
{
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

bool
EventLog::TakeToken(MonotonicTime aNow)
{
  const double elapsed =
    std::chrono::duration<double>(aNow - mRefilledAt).count();
  mRefilledAt = aNow;
  mTokens =
    std::min(mLimits.mBurstLines,
             mTokens + std::max(0.0, elapsed) * mLimits.mLinesPerSecond);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void
EventLog::Write(LogLevel aLevel,
                std::string_view aEvent,
                std::string_view aFields,
                MonotonicTime aNow)
{
  // 160 bytes are reserved for the time, the level and the names in a line.
  const bool rateLimited =
    aLevel == LogLevel::Debug || aLevel == LogLevel::Info;
  if ((rateLimited && !TakeToken(aNow)) ||
      mBuffer.size() + aFields.size() + 160 > mLimits.mBufferBytes) {
    ++mDropped;
    ++mDroppedByEvent[std::string(aEvent)];
    return;
  }
  mBuffer += "time_ms=";
  mBuffer += std::to_string(UnixMs());
  mBuffer += " level=";
  mBuffer += NameOf(aLevel);
  mBuffer += " process=";
  mBuffer += mProcess;
  mBuffer += " event=";
  mBuffer += aEvent;
  if (!aFields.empty()) {
    mBuffer += ' ';
    mBuffer += aFields;
  }
  mBuffer += '\n';
}

void
EventLog::Flush(MonotonicTime aNow)
{
  if (!mDroppedByEvent.empty() && aNow - mReportedAt >= kDropReportInterval) {
    mReportedAt = aNow;
    std::string fields;
    for (const auto& [event, count] : mDroppedByEvent) {
      fields += event + "=" + std::to_string(count) + " ";
    }
    fields.pop_back();
    mDroppedByEvent.clear();
    Write(LogLevel::Warning, "lines_dropped", fields, aNow);
  }
  if (mBuffer.empty()) {
    return;
  }
  const ssize_t written = write(STDOUT_FILENO, mBuffer.data(), mBuffer.size());
  if (written > 0) {
    mBuffer.erase(0, static_cast<std::size_t>(written));
  }
}

const std::string&
EventLog::Pending() const
{
  return mBuffer;
}

std::uint64_t
EventLog::Dropped() const
{
  return mDropped;
}

} // namespace paddle
