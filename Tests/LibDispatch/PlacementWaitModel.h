#pragma once

#include <cstdint>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// How long a task waits for its preferred rack.
enum class WaitPolicy : std::uint8_t
{
  None,       ///< It takes any place at once.
  FixedBound, ///< Delay scheduling: for up to a second.
  Decision    ///< As the dispatcher decides.
};

/// A load of single tasks on five racks of 16 places each.
struct WaitModelSettings
{
  WaitPolicy mPolicy = WaitPolicy::Decision;
  /// Share of the places that the tasks take if all run in their preferred
  /// racks.
  double mLoad = 0.8;
  /// Mean duration there; each is between a half and one and a half of it, and
  /// its estimate is a half or one and a half of that.
  Millis mDuration{ 500 };
  /// Share of the tasks that prefer the same rack. Of the others, half prefer
  /// any of the racks and half none.
  double mHotShare = 0.3;
  double mRemoteFactor = 1.5;
  /// Tasks arrive for this number of mean durations.
  int mDurations = 60;
  std::uint32_t mSeed = 1;
};

struct WaitModelResult
{
  double mShareInRack = 0; ///< Of the tasks that prefer a rack.
  // Seconds from arrival to completion, of all tasks and of those that prefer
  // no rack.
  double mMean = 0;
  double mP50 = 0;
  double mP99 = 0;
  double mOthersP50 = 0;
  double mOthersP99 = 0;
};

/// Plays a load in virtual time with the dispatcher and simulated runners.
WaitModelResult
SimulateWaits(const WaitModelSettings& aSettings);

} // namespace paddle::dispatch
