#pragma once

#include <string>

#include "../../platform/Settings.h"

namespace paddle {

/// Runs one node until it is told to stop.
/// @param aPath of the settings file, read again on SIGHUP
/// @return the exit status of the process
int
RunNode(const platform::Settings& aSettings, const std::string& aPath);

} // namespace paddle
