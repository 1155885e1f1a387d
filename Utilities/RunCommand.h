#pragma once

#include <LibControl/ControlResult.h>
#include <Utilities/CommandLine.h>

namespace paddle {

/// Runs the command, and connects to the platform if the command needs it.
/// @return the texts to print and the exit code
ControlResult
RunCommand(const Invocation& aInvocation);

} // namespace paddle
