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

/// Faults that a runner shows when a test asks for them.
enum class RunnerFault
{
  Slow,           ///< Multiplies the service time by a factor.
  Silent,         ///< Runs the request and never answers; the connection
                  ///< stays open.
  CloseAfterRead, ///< Runs the request and closes the connection without an
                  ///< answer.
  Truncated,      ///< Closes the connection in the middle of the answer.
  WrongId,        ///< Answers with another request's id and body.
  Refuse,         ///< Refuses connections.
  Leaving         ///< Serves as usual, counts the requests that still arrive
                  ///< and records when the latest one did.
};

/// @return the fault with this name in standin.fault, for instance
///         "closeAfterRead", or nothing if there is none
std::optional<RunnerFault>
ParseRunnerFault(std::string_view aName);

/// Parameters of a fault that is in force.
struct ActiveFault
{
  double mSlowFactor = 1; ///< For Slow only.
  /// To how many more requests the fault applies.
  std::uint64_t mRemainingRequests = std::numeric_limits<std::uint64_t>::max();
};

/// Counts of what a runner saw, reported by standin.stats. A request to the
/// health path counts in mHealthRequests and its connection like any other, but
/// it takes no slot.
struct RunnerCounts
{
  std::uint64_t mBegunRequests = 0;
  std::uint64_t mHealthRequests = 0;
  unsigned mInProgress = 0;
  unsigned mHighestInProgress = 0;
  /// Requests that began although all slots were in use.
  std::uint64_t mSlotViolations = 0;
  unsigned mOpenConnections = 0;
  unsigned mHighestOpenConnections = 0;
  /// Connections opened beyond the limit.
  std::uint64_t mConnectionViolations = 0;
  /// Requests that arrived after the runner began to leave.
  std::uint64_t mRequestsWhileLeaving = 0;
  /// How long after the runner began to leave the latest of them arrived.
  Millis mLatestRequestWhileLeaving{ 0 };
};

/// Limits that callers must keep; the runner counts violations and serves them
/// nevertheless.
struct RunnerLimits
{
  unsigned mSlots = 8;        ///< Requests in progress.
  unsigned mConnections = 64; ///< Open connections.
};

/// Durations of requests. Those other than watches have a log-normal
/// distribution.
struct ServiceTimes
{
  double mMeanMs = 5;
  /// Standard deviation of the logarithm of the service time: at 0.5 the p99 is
  /// about three times the median.
  double mSigma = 0.5;
  /// How long a watch is held open before it is answered.
  Millis mWatchDuration{ 2000 };
  /// A request whose target contains this text is a watch, as /tanks/watch.
  std::string mWatchPathPart = "/watch";
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
  /// When the runner began to leave, if it does.
  std::optional<MonotonicTime> mLeavingSince;
};

/// How often requests were run, by idempotency key. Runs on all runners of the
/// process count together, because a request must not be run a second time on
/// another runner either.
using RunCountsByKey = std::unordered_map<std::string, std::uint64_t>;

/// Counts a connection that was opened, and a violation if it is beyond the
/// limit.
void
CountOpenedConnection(RunnerState& aRunner);

/// Counts a request as begun, and a violation if all slots were in use. Not
/// called for requests to the health path.
void
BeginRequest(RunnerState& aRunner, MonotonicTime aNow);

/// Counts a request as ended. It must be called before the answer is sent,
/// because the sender may use the slot again as soon as the answer arrives.
void
EndRequest(RunnerState& aRunner);

/// @return the service time of the next request for @p aTarget
Micros
NextServiceTime(RunnerState& aRunner, std::string_view aTarget);

/// Uses up one of the requests to which the fault applies, if it is in force.
/// @return the fault if it applies to the present request
std::optional<ActiveFault>
ConsumeFault(RunnerState& aRunner, RunnerFault aFault);

/// Puts a fault in force, or replaces the one of the same kind.
/// @param aNow the time from which a leaving runner counts late requests
void
SetFault(RunnerState& aRunner,
         RunnerFault aFault,
         ActiveFault aActive,
         MonotonicTime aNow);

/// Ends all faults of the runner.
void
ClearFaults(RunnerState& aRunner);

} // namespace paddle
