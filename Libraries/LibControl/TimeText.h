#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace paddle {

/// @return the time as "2026-12-04T09:35:57.123Z"
std::string
TimeText(std::chrono::system_clock::time_point aTime);

/// Parses "2026-12-04", "2026-12-04T09:35" or "2026-12-04T09:35:57", each
/// with or without fractions of a second and "Z"; always UTC.
std::optional<std::chrono::system_clock::time_point>
ParseTimeText(const std::string& aText);

} // namespace paddle
