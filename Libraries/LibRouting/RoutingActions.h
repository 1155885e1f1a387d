#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <LibRouting/RoutingEvents.h>
#include <LibTime/Time.h>

namespace paddle {

/// Action: send the request to a runner now.
struct SendToRunner
{
  RequestNumber mNumber = 0;
  RunnerRef mRunner;
  std::uint64_t mEpoch = 0; ///< Epoch of the shard when the slot was assigned.
  MonotonicTime mTryDeadline{}; ///< This try fails without an answer by then.
};

/// Action: forward the request to a peer gateway now.
struct ForwardToPeer
{
  RequestNumber mNumber = 0;
  std::string mPeer;
};

/// The rule that led to a decision. It is recorded so that the decision can be
/// explained to the client account affected.
enum class RoutingRule
{
  FreeSlot,         ///< A runner with a free slot served the request.
  ForwardedToPeer,  ///< The own runners were full; a peer had free slots.
  WaitsForSlot,     ///< All slots are in use; the request waits for one.
  Retried,          ///< A try failed and another was allowed.
  NoRunner,         ///< No usable runner is known.
  WatchShare,       ///< All slots that watches may use are in use.
  QueueFull,        ///< Too many requests wait already.
  DeadlineTooShort, ///< Waiting and service would exceed the deadline.
  DeadlinePassed,   ///< No slot became free before the deadline.
  RetryBudgetSpent, ///< Retries have reached their share of requests.
  TriesSpent,       ///< All allowed tries failed.
  NotRepeatable,    ///< The request may have run and must not run twice.
  ShardMoved        ///< The runner's owner changed before the send.
};

/// What was decided about a request.
enum class DecisionKind
{
  Serve,
  Delay,
  Refuse, ///< The request certainly has not run.
  Unknown ///< The request ends without an answer but may have run.
};

/// A decision with its rule and the figures that it was based on.
struct Explanation
{
  DecisionKind mKind = DecisionKind::Serve;
  RoutingRule mRule = RoutingRule::FreeSlot;
  std::uint32_t mFreeSlots = 0; ///< Free slots at the runners of this process.
  std::uint32_t mWaitingRequests = 0; ///< Requests in the queue.
  std::uint32_t mTries = 0;           ///< Tries of this request so far.
  Micros mExpectedResponseTime{ 0 };  ///< Expected time of waiting and service.
  Micros mTimeToDeadline{ 0 };        ///< Negative after the deadline.
};

/// Action: record the explanation of a decision about a request.
struct RecordExplanation
{
  RequestNumber mNumber = 0;
  Explanation mExplanation;
};

/// Action: end the request without an answer from a runner. The explanation
/// says Refuse if the request certainly has not run, and Unknown otherwise.
struct EndWithoutAnswer
{
  RequestNumber mNumber = 0;
  Explanation mExplanation;
};

/// Action: request the runner's health path over a new connection.
struct ProbeRunner
{
  RunnerRef mRunner;
};

using RoutingAction = std::variant<SendToRunner,
                                   ForwardToPeer,
                                   RecordExplanation,
                                   EndWithoutAnswer,
                                   ProbeRunner>;
using RoutingActions = std::vector<RoutingAction>;

} // namespace paddle
