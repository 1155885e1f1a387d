#pragma once

#include <cstdint>
#include <ctime>

#include <LibTime/Time.h>

namespace paddle {

/// @return the time since the host booted, including the time that it was
///         suspended: a lease also expires while its host is suspended, but
///         CLOCK_MONOTONIC, which std::chrono::steady_clock reads, stands still
inline MonotonicTime
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

/// @return Unix time in milliseconds. It is only for due times and records,
///         because the clock may be set forwards or backwards; time-outs and
///         leases must use a MonotonicTime.
inline std::int64_t
UnixMs()
{
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

} // namespace paddle
