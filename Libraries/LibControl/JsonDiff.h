#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace paddle {

/// @return a line per value that differs, by path, for instance
///         "routes[0].deadlineMs: 2000 -> 1500"; a value that one side lacks
///         is shown as "(none)"
std::vector<std::string>
JsonDiff(const Json::Value& aBefore, const Json::Value& aAfter);

} // namespace paddle
