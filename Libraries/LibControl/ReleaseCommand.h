#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Allows the immediate takeover of the shards of a process whose host is gone.
/// Without a release, other processes wait longer, because a process that is
/// only cut off by an outage may come back. Before the release, the command
/// watches the session of the process for more than its lease term and refuses
/// if the session is renewed. The release names one incarnation, so it does not
/// apply to a later process of the same name.
/// @param aMember name of the process
ControlResult
ReleaseMember(const ControlPorts& aPorts,
              const Author& aAuthor,
              const std::string& aMember);

} // namespace paddle
