#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <LibRouting/RoutingEvents.h>
#include <LibTime/Time.h>

namespace paddle {

/// Send the request to a runner now.
struct SendToRunner
{
  RequestNumber mNumber = 0;
  RunnerRef mRunner;
  std::uint64_t mEpoch = 0; ///< Of the shard when the slot was assigned.
  MonotonicTime mTryEnds{}; ///< When to give this try up.
};

/// Forward the request to a peer gateway now.
struct ForwardToPeer
{
  RequestNumber mNumber = 0;
  std::string mPeer;
};

/// The rule that led to a decision, for the customer affected.
enum class Rule
{
  FreeSlot,         ///< Served by a runner with a free slot.
  ForwardedToPeer,  ///< Own runners are full; a peer had free slots.
  WaitsForSlot,     ///< All slots are taken; it waits for one.
  Retried,          ///< A try failed and another was allowed.
  NoRunner,         ///< No usable runner is known.
  WatchShare,       ///< The share of slots for watches is used up.
  QueueFull,        ///< Too many requests wait already.
  DeadlineTooShort, ///< Waiting and service would exceed the deadline.
  DeadlinePassed,   ///< No slot became free before the deadline.
  RetryBudgetSpent, ///< The share of retries is used up.
  TriesSpent,       ///< All allowed tries failed.
  NotRepeatable,    ///< It may have run and must not run twice.
  ShardMoved        ///< The runner's owner changed before the send.
};

enum class DecisionKind
{
  Serve,
  Delay,
  Refuse,
  Unknown
};

/// The figures behind a decision.
struct Explanation
{
  DecisionKind mKind = DecisionKind::Serve;
  Rule mRule = Rule::FreeSlot;
  std::uint32_t mFreeSlots = 0; ///< Of this process, when it was decided.
  std::uint32_t mWaiting = 0;   ///< Requests ahead.
  std::uint32_t mTries = 0;
  Micros mExpected{ 0 }; ///< Expected waiting plus service.
  Micros mDeadlineLeft{ 0 };
};

/// Keep the explanation of a decision about a request.
struct Explain
{
  RequestNumber mNumber = 0;
  Explanation mExplanation;
};

/// The request ends without an answer from a runner: refused if it surely has
/// not run, unknown otherwise.
struct GiveUp
{
  RequestNumber mNumber = 0;
  Explanation mExplanation;
};

/// Ask the runner's health path over a new connection.
struct ProbeRunner
{
  RunnerRef mRunner;
};

using RoutingAction =
  std::variant<SendToRunner, ForwardToPeer, Explain, GiveUp, ProbeRunner>;
using RoutingActions = std::vector<RoutingAction>;

} // namespace paddle
