#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace paddle {

/// @return the time in UTC, for instance "2026-12-04T09:35:57.123Z"
std::string
TimeText(std::chrono::system_clock::time_point aTime);

/// Parses a time in UTC: "2026-12-04", "2026-12-04T09:35" or
/// "2026-12-04T09:35:57", each with or without a fraction of a second, which is
/// ignored, and "Z".
/// @return the time, or nothing if the text has another form
std::optional<std::chrono::system_clock::time_point>
ParseTimeText(const std::string& aText);

} // namespace paddle
