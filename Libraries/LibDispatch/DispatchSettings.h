#pragma once

#include <cstdint>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Limits of the dispatcher. Defaults hold where the deployment states none.
struct DispatchSettings
{
  /// Longest lease that runners grant; the deployment's bound.
  Millis mMaxLease{ 6000 };
  /// Time a lasting task may suffer from its neighbours; the deployment's
  /// bound.
  Millis mMaxTimeOverTarget{ 4000 };
  /// Runner clocks may run 2% slow by contract; 1% more for rounding.
  double mClockDriftFactor = 1.03;
  /// Added to a silent runner's lease for scheduling delays of this process.
  Millis mLeaseExpiryMargin{ 150 };
  /// A stop without an effect is sent again after this. One regional round trip
  /// is 24 ms, and a stop takes up to 200 to 900 ms by deployment.
  Millis mStopRetryInterval{ 700 };
  /// Wait of a watched renewal. Beside lasting tasks it follows their
  /// half-second tail figure; elsewhere ends wake it up.
  Millis mLongPollBesideServing{ 400 };
  Millis mLongPoll{ 900 };
  /// Idle runners are looked at this often to keep their clock known.
  Millis mIdlePollInterval{ 3000 };
  /// An idle runner is avoided when its clock reading is older than this.
  Millis mMaxClockReadingAge{ 8000 };
  /// Failures of different jobs in a row after which a runner is set apart.
  std::uint32_t mFailuresToQuarantine = 3;
  Millis mFirstQuarantine{ 3000 }; ///< Doubles with each failed probation.
  Millis mMaxQuarantine{ 24000 };
  /// A lasting task that has been at work for this long shows that its runner
  /// is sound; bad workers fail tasks within a second.
  Millis mProbationTime{ 2000 };
  /// A runner that refused a start for health is avoided this long.
  Millis mUnhealthyBackOff{ 700 };
  /// A start that was refused for room is not repeated there for this long.
  Millis mRefusalBackOff{ 300 };
  /// A runner that is silent for this long is recorded. A lost answer shows
  /// itself by the next one within less.
  Millis mSilenceBeforeRecord{ 300 };
  /// Starts that a runner has not answered yet. They share few connections, and
  /// one that waits for them past its time counts as unanswered.
  std::uint32_t mMaxUnansweredStarts = 12;
  /// Starts in one pass, so that one pass stays under a few milliseconds.
  std::uint32_t mMaxStartsPerPass = 64;
};

} // namespace paddle::dispatch
