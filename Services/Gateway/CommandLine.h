#pragma once

#include <string>

#include <LibTime/Outcome.h>

namespace paddle {

/// Reads "--settings FILE" from the command line. The parser's large header
/// is confined to one source file.
/// @return the file, or an error or help text for the user
Outcome<std::string>
ReadCommandLine(int aCount, const char* const* aArguments);

} // namespace paddle
