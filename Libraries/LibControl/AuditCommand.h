#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Shows accepted changes, oldest first.
/// @param aSince a revision or a time, see ParseTimeText(); earlier changes
///        are left out. Empty: the latest 50.
ControlResult
ShowAudit(const ControlPorts& aPorts, const std::string& aSince);

} // namespace paddle
