#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

#include <LibTime/Time.h>

namespace paddle {

/// What a runner is told to do wrong.
enum class RunnerFault
{
  Slow,           ///< Multiplies the service time.
  Silent,         ///< Runs the request and never answers; the connection
                  ///< stays open.
  CloseAfterRead, ///< Runs the request and closes without an answer.
  Truncated,      ///< Closes in the middle of the answer.
  WrongId,        ///< Answers with another request's id and body.
  Refuse,         ///< Refuses connections.
  Leaving         ///< Serves as usual and times what still arrives.
};

/// @return the fault of this name, for instance "closeAfterRead"
std::optional<RunnerFault>
ParseRunnerFault(std::string_view aName);

struct ActiveFault
{
  double mFactor = 1; ///< Slow only.
  /// How many more requests it applies to.
  std::uint64_t mRemaining = std::numeric_limits<std::uint64_t>::max();
};

/// What a runner saw. Health requests count as connections only.
struct RunnerCounts
{
  std::uint64_t mTotal = 0;
  std::uint64_t mHealth = 0;
  unsigned mInProgress = 0;
  unsigned mHighestInProgress = 0;
  std::uint64_t mSlotViolations = 0;
  unsigned mOpen = 0;
  unsigned mHighestOpen = 0;
  std::uint64_t mConnectionViolations = 0;
  std::uint64_t mWhileLeaving = 0;
  Millis mLatestWhileLeaving{ 0 }; ///< Since the runner began to leave.
};

struct RunnerLimits
{
  unsigned mSlots = 8;
  unsigned mConnections = 64;
};

/// How long requests take.
struct ServiceTimes
{
  double mMeanMs = 5;
  /// Standard deviation of the logarithm: at 0.5 the p99 is about three times
  /// the median.
  double mSigma = 0.5;
  Millis mWatch{ 2000 };
  /// Part of the path of watches, as in /tanks/watch.
  std::string mWatchPart = "/watch";
};

/// One runner: its counts, faults and service times. Used by one thread.
struct RunnerState
{
  std::string mName;
  RunnerLimits mLimits;
  ServiceTimes mTimes;
  std::mt19937_64 mRandom;
  RunnerCounts mCounts;
  std::map<RunnerFault, ActiveFault> mFaults;
  std::optional<MonotonicTime> mLeavingSince;
};

/// Runs per idempotency key over all runners of the process, because a second
/// run on another runner does the same harm.
using RunLedger = std::unordered_map<std::string, std::uint64_t>;

void
CountConnection(RunnerState& aRunner);

/// Counts a request, except one to the health path, as begun.
void
BeginRequest(RunnerState& aRunner, MonotonicTime aNow);

/// Counts the request as ended. Called before its answer is sent, because the
/// sender may use the slot again as soon as the answer arrives.
void
EndRequest(RunnerState& aRunner);

/// @return how long the next request for @p aTarget takes
Micros
NextServiceTime(RunnerState& aRunner, std::string_view aTarget);

/// @return the fault if it applies to this request; uses up one of its count
std::optional<ActiveFault>
TakeFault(RunnerState& aRunner, RunnerFault aFault);

void
SetFault(RunnerState& aRunner,
         RunnerFault aFault,
         ActiveFault aActive,
         MonotonicTime aNow);

void
ClearFaults(RunnerState& aRunner);

} // namespace paddle
