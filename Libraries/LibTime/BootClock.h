#pragma once

#include <cstdint>
#include <ctime>

#include <LibTime/Time.h>

namespace paddle {

/// @return the time since the host started, including time that it was
///         suspended: leases go on while a host sleeps, and CLOCK_MONOTONIC,
///         which std::chrono::steady_clock reads, does not count that time
inline MonotonicTime
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

/// @return Unix time in milliseconds, for due times and records only
inline std::int64_t
UnixMs()
{
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

} // namespace paddle
