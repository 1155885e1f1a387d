#pragma once

#include <string>

#include <LibTime/Outcome.h>

namespace paddle {

/// Parses the command line. This function has a source file of its own, so that
/// only that file includes the large header of the parser.
/// @return the name of the settings file, or an error or help text for the user
Outcome<std::string>
ReadCommandLine(int aCount, const char* const* aArguments);

} // namespace paddle
