#pragma once

#include <chrono>

namespace paddle {

using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A point on the monotonic clock of one process. Values of different
/// processes must never be compared.
using MonotonicTime = std::chrono::steady_clock::time_point;

} // namespace paddle
