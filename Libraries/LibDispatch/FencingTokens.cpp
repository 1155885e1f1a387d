#include <LibDispatch/FencingTokens.h>

#include <algorithm>
#include <string>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

std::int64_t
NextEpoch(std::int64_t aEpoch)
{
  // Owners of earlier versions take the next number, also within these tokens.
  return (aEpoch / kTokensPerEpoch + 1) * kTokensPerEpoch;
}

std::int64_t
FencingTokenFor(const Dispatcher& aDispatcher, RunnerIndex aRunner)
{
  return std::min(aDispatcher.mEpoch + aDispatcher.mRunners[aRunner].mRestarts,
                  NextEpoch(aDispatcher.mEpoch) - 1);
}

void
RaiseToken(Runner& aRunner, MonotonicTime aNow)
{
  ++aRunner.mRestarts;
  aRunner.mRestartSeenAt = aNow;
  aRunner.mTakesFormerOrders = true;
}

void
NoteTokenSeen(Dispatcher& aDispatcher,
              RunnerIndex aRunner,
              const RunnerReport& aReport,
              MonotonicTime aNow)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  if (!runner.mTakesFormerOrders ||
      runner.mRenewalToken < FencingTokenFor(aDispatcher, aRunner)) {
    return;
  }
  runner.mTakesFormerOrders = false;
  runner.mFormerOrdersEndedAt = aNow;
  if (!aReport.mRunning.empty() || !runner.mTasks.empty()) {
    // A late renewal for a former process may have extended the leases.
    runner.mHighestLeaseMs =
      std::max(runner.mHighestLeaseMs,
               aReport.mClockMs + aDispatcher.mSettings.mMaxLease.count());
  }
  aDispatcher.mPlacementDue = true;
  Emit(aDispatcher,
       "runner_fenced",
       nullptr,
       "runner=" + runner.mSpec.mId +
         " incarnation=" + std::to_string(runner.mSpec.mIncarnation) +
         " token=" + std::to_string(runner.mRenewalToken) + " restart_ms_ago=" +
         std::to_string(
           std::chrono::duration_cast<Millis>(aNow - runner.mRestartSeenAt)
             .count()));
}

bool
RejectsStartOrder(const Runner& aRunner, const Task& aTask)
{
  // NOTE: No task is started between the restart and the answer.
  return aRunner.mRestarts > 0 && !aRunner.mTakesFormerOrders &&
         aTask.mStartedAt <= aRunner.mRestartSeenAt;
}

} // namespace paddle::dispatch
