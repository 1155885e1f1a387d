#pragma once

#include <LibControl/ControlResult.h>
#include <Utilities/CommandLine.h>

namespace paddle {

/// Connects to the platform, where the command needs it, and runs the command.
ControlResult
RunCommand(const Invocation& aInvocation);

} // namespace paddle
