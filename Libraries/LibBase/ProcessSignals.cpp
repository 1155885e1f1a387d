#include <LibBase/ProcessSignals.h>

namespace paddle {

namespace {

sigset_t
HangUpOnly()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void
BlockHangUp()
{
  const sigset_t signals = HangUpOnly();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void
UnblockHangUp()
{
  const sigset_t signals = HangUpOnly();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

sigset_t
BlockDaemonSignals()
{
  sigset_t signals = HangUpOnly();
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int
WaitForStopSignal(const sigset_t& aSignals,
                  const std::function<void()>& aOnHangUp)
{
  for (;;) {
    int signal = 0;
    if (sigwait(&aSignals, &signal) != 0) {
      continue;
    }
    if (signal != SIGHUP) {
      return signal;
    }
    aOnHangUp();
  }
}

} // namespace paddle
