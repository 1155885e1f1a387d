#pragma once

#include <cstdint>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Limits of the dispatcher. Defaults hold where the deployment states none.
struct DispatchSettings
{
  /// Longest lease that runners grant; the deployment's bound.
  Millis mLongestLease{ 6000 };
  /// Time a lasting task may suffer from its neighbours; the deployment's
  /// bound.
  Millis mHarmLimit{ 4000 };
  /// Runner clocks may run 2% slow by contract; 1% more for rounding.
  double mClockDrift = 1.03;
  /// Added to a silent runner's lease for scheduling delays of this process.
  Millis mLapseMargin{ 150 };
  /// A stop without an effect is sent again after this. One regional round trip
  /// is 24 ms, and a stop takes up to 200 to 900 ms by deployment.
  Millis mStopRepeat{ 700 };
  /// Wait of a watched renewal. Beside lasting tasks it follows their
  /// half-second tail figure; elsewhere ends wake it up.
  Millis mWatchWithTails{ 400 };
  Millis mWatch{ 900 };
  /// Idle runners are looked at this often to keep their clock known.
  Millis mIdleLook{ 3000 };
  /// An idle runner is avoided when its clock reading is older than this.
  Millis mOldestClock{ 8000 };
  /// Failures of different jobs in a row after which a runner is set apart.
  std::uint32_t mFailuresToQuarantine = 3;
  Millis mQuarantine{ 3000 }; ///< Doubles with each failed probation.
  Millis mLongestQuarantine{ 24000 };
  /// A lasting task that has been at work for this long shows that its runner
  /// is sound; bad workers fail tasks within a second.
  Millis mProbation{ 2000 };
  /// A runner that refused a start for health is avoided this long.
  Millis mUnhealthyPause{ 700 };
  /// A start that was refused for room is not repeated there for this long.
  Millis mRefusedPause{ 300 };
  /// A runner that is silent for this long is recorded. A lost answer shows
  /// itself by the next one within less.
  Millis mRecordAfter{ 300 };
  /// Starts that a runner has not answered yet. They share few connections, and
  /// one that waits for them past its time counts as unanswered.
  std::uint32_t mStartsAtOnce = 12;
  /// Starts in one pass, so that one pass stays under a few milliseconds.
  std::uint32_t mStartsPerPass = 64;
};

} // namespace paddle::dispatch
