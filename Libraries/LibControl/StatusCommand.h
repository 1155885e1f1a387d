#pragma once

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Shows the documents, data centres, members (processes with a session),
/// shards and jobs. The command watches the sessions for up to half of the
/// longest lease term, so that it can mark members that do not renew theirs,
/// and asks the schedulers for their jobs.
ControlResult
ShowStatus(const ControlPorts& aPorts);

} // namespace paddle
