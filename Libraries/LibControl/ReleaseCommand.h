#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Lets others take over from a process whose host is gone, without the wait
/// that protects it in an outage. Watches the session for more than its lease
/// term first, and refuses if it is renewed. The release names one incarnation,
/// so it does not touch a later one.
ControlResult
ReleaseMember(const ControlPorts& aPorts,
              const Author& aAuthor,
              const std::string& aMember);

} // namespace paddle
