#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// No task starts on a proof older than this (design, section 7).
inline constexpr Millis kProofAge{ 2000 };

/// Takes a data centre out of service. Returns when the change is committed
/// and every scheduler with a session has confirmed it, or when kProofAge has
/// passed since the commit: by then no process has a proof from before it.
ControlResult
DrainDataCentre(const ControlPorts& aPorts,
                const Author& aAuthor,
                const std::string& aName);

/// Returns a data centre to service; returns when the change is committed.
ControlResult
ReturnDataCentre(const ControlPorts& aPorts,
                 const Author& aAuthor,
                 const std::string& aName);

} // namespace paddle
