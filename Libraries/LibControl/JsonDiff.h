#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace paddle {

/// Compares two JSON documents value by value.
/// @return one line for each value that differs, sorted by path, for instance
///         "routes[0].deadlineMs: 2000 -> 1500"; a value that exists on one
///         side only is shown as "(none)" for the other
std::vector<std::string>
JsonDiff(const Json::Value& aBefore, const Json::Value& aAfter);

} // namespace paddle
