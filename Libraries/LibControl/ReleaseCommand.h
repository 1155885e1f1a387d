#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// How long a session must go without a renewal before it may be released;
/// longer than the default lease term.
inline constexpr Millis kReleaseWatch{ 4000 };

/// Lets others take over from a process whose host is gone, without the wait
/// that protects it in an outage. Refused while the session is renewed. The
/// release names one incarnation, so it does not touch a later one.
ControlResult
ReleaseMember(const ControlPorts& aPorts,
              const Author& aAuthor,
              const std::string& aMember);

} // namespace paddle
