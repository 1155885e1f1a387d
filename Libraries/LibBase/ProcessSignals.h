#pragma once

#include <csignal>
#include <functional>

namespace paddle {

/// Blocks SIGHUP in this thread and in all threads started later. A daemon
/// calls it first, because SIGHUP would end a process that has not installed a
/// handler yet. A blocked signal is delivered once it is unblocked.
void
BlockHangUp();

/// Lets the handler of SIGHUP receive it, also one that has arrived while it
/// was blocked.
void
UnblockHangUp();

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all threads started
/// later, so that only WaitForStopSignal() receives them, and ignores SIGPIPE,
/// because a peer that closes its connection must not end the process.
/// @return the blocked signals
sigset_t
BlockDaemonSignals();

/// Waits for SIGTERM or SIGINT.
/// @param aSignals  the result of BlockDaemonSignals()
/// @param aOnHangUp called for each SIGHUP
/// @return the signal
int
WaitForStopSignal(const sigset_t& aSignals,
                  const std::function<void()>& aOnHangUp);

} // namespace paddle
