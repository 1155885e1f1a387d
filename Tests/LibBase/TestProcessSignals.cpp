#include <csignal>

#include <LibBase/ProcessSignals.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

volatile std::sig_atomic_t sHangUps = 0;

void
CountHangUp(int)
{
  sHangUps = sHangUps + 1;
}

} // namespace

TEST_GROUP(ProcessSignals){ void teardown()
                              override{ std::signal(SIGHUP, SIG_DFL);
}
}
;

// Guards against a SIGHUP that ends a process, or is lost, because it arrives
// before the handler is installed.
TEST(ProcessSignals, DeliversAHangUpThatArrivedBeforeTheHandler)
{
  sHangUps = 0;
  BlockHangUp();
  std::raise(SIGHUP);
  std::signal(SIGHUP, CountHangUp);
  LONGS_EQUAL(0, sHangUps);
  UnblockHangUp();
  LONGS_EQUAL(1, sHangUps);
}

// Guards against a daemon that stops on SIGHUP, or that misses the signal to
// stop behind it.
TEST(ProcessSignals, WaitsOnAfterAHangUp)
{
  const sigset_t signals = BlockDaemonSignals();
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  int hangUps = 0;
  const int stop = WaitForStopSignal(signals, [&] { ++hangUps; });
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  LONGS_EQUAL(SIGTERM, stop);
  LONGS_EQUAL(1, hangUps);
}
