#pragma once

#include <string>

#include "../../platform/Settings.h"

namespace paddle {

/// Runs one node until a signal (SIGTERM or SIGINT) tells it to stop.
/// @param aSettings the settings to start with
/// @param aPath     path of the settings file, which is read again on SIGHUP
/// @return the exit status of the process
int
RunNode(const platform::Settings& aSettings, const std::string& aPath);

} // namespace paddle
