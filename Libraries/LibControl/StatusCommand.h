#pragma once

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Shows the documents, data centres, members, shards and jobs. Watches the
/// sessions for a while, so that members that no longer renew theirs are
/// marked; schedulers are asked for their jobs.
ControlResult
ShowStatus(const ControlPorts& aPorts);

} // namespace paddle
