#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Largest age of the read of the table service by which a scheduler knows that
/// a data centre is in service. If its last read is older, it starts no task
/// there.
inline constexpr Millis kMaxInServiceConfirmationAge{ 2000 };

/// Takes a data centre out of service. Returns when the change is committed and
/// either every scheduler with a session has confirmed it or
/// kMaxInServiceConfirmationAge has passed since the commit. After that time no
/// scheduler can rely on a read from before the commit any more.
ControlResult
DrainDataCentre(const ControlPorts& aPorts,
                const Author& aAuthor,
                const std::string& aName);

/// Returns a data centre to service. Does not wait for the schedulers after the
/// change is committed.
ControlResult
ReturnDataCentre(const ControlPorts& aPorts,
                 const Author& aAuthor,
                 const std::string& aName);

} // namespace paddle
