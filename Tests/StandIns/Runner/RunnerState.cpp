#include <StandIns/Runner/RunnerState.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace paddle {

std::optional<RunnerFault>
ParseRunnerFault(std::string_view aName)
{
  constexpr std::pair<std::string_view, RunnerFault> kNames[] = {
    { "slow", RunnerFault::Slow },
    { "silent", RunnerFault::Silent },
    { "closeAfterRead", RunnerFault::CloseAfterRead },
    { "truncated", RunnerFault::Truncated },
    { "wrongId", RunnerFault::WrongId },
    { "refuse", RunnerFault::Refuse },
    { "leaving", RunnerFault::Leaving },
  };
  for (const auto& [name, fault] : kNames) {
    if (name == aName) {
      return fault;
    }
  }
  return std::nullopt;
}

void
CountOpenedConnection(RunnerState& aRunner)
{
  RunnerCounts& counts = aRunner.mCounts;
  ++counts.mOpenConnections;
  counts.mHighestOpenConnections =
    std::max(counts.mHighestOpenConnections, counts.mOpenConnections);
  if (counts.mOpenConnections > aRunner.mLimits.mConnections) {
    ++counts.mConnectionViolations;
  }
}

void
BeginRequest(RunnerState& aRunner, MonotonicTime aNow)
{
  RunnerCounts& counts = aRunner.mCounts;
  ++counts.mBegunRequests;
  ++counts.mInProgress;
  counts.mHighestInProgress =
    std::max(counts.mHighestInProgress, counts.mInProgress);
  if (counts.mInProgress > aRunner.mLimits.mSlots) {
    ++counts.mSlotViolations;
  }
  if (aRunner.mLeavingSince) {
    ++counts.mRequestsWhileLeaving;
    counts.mLatestRequestWhileLeaving =
      std::chrono::duration_cast<Millis>(aNow - *aRunner.mLeavingSince);
  }
}

void
EndRequest(RunnerState& aRunner)
{
  --aRunner.mCounts.mInProgress;
}

Micros
NextServiceTime(RunnerState& aRunner, std::string_view aTarget)
{
  const ServiceTimes& times = aRunner.mTimes;
  if (aTarget.find(times.mWatchPathPart) != std::string_view::npos) {
    return times.mWatchDuration;
  }
  // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
  const double mu = std::log(times.mMeanMs) - times.mSigma * times.mSigma / 2;
  std::lognormal_distribution<double> distribution(mu, times.mSigma);
  double ms = distribution(aRunner.mRandom);
  if (const auto slow = ConsumeFault(aRunner, RunnerFault::Slow)) {
    ms *= slow->mSlowFactor;
  }
  return Micros(static_cast<Micros::rep>(ms * 1000));
}

std::optional<ActiveFault>
ConsumeFault(RunnerState& aRunner, RunnerFault aFault)
{
  const auto found = aRunner.mFaults.find(aFault);
  if (found == aRunner.mFaults.end() || found->second.mRemainingRequests == 0) {
    return std::nullopt;
  }
  --found->second.mRemainingRequests;
  return found->second;
}

void
SetFault(RunnerState& aRunner,
         RunnerFault aFault,
         ActiveFault aActive,
         MonotonicTime aNow)
{
  if (aFault == RunnerFault::Leaving) {
    aRunner.mLeavingSince = aNow;
  }
  aRunner.mFaults[aFault] = aActive;
}

void
ClearFaults(RunnerState& aRunner)
{
  aRunner.mFaults.clear();
  aRunner.mLeavingSince.reset();
}

} // namespace paddle
