#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Shows the audit entries of committed changes, oldest first.
/// @param aSince a revision or a time (see ParseTimeText()); earlier changes
///        are left out. If empty, the latest 50 changes are shown.
ControlResult
ShowAudit(const ControlPorts& aPorts, const std::string& aSince);

} // namespace paddle
