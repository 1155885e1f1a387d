#pragma once

#include <chrono>

namespace paddle {

using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A point in time on a monotonic clock of one process, read either by
/// BootTime() or by std::chrono::steady_clock. Values of the two clocks and
/// values of different processes must never be compared with each other.
using MonotonicTime = std::chrono::steady_clock::time_point;

} // namespace paddle
