#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <LibDocument/ServiceDocument.h>
#include <LibLease/LeaseKeeper.h>
#include <LibRouting/RoutingSettings.h>
#include <LibTime/Time.h>

namespace paddle {

/// Number of a request, unique within one process.
using RequestNumber = std::uint64_t;

/// Identifies a runner by its indices in RoutingState.
struct RunnerRef
{
  std::uint32_t mService = 0; ///< Index into RoutingState::mServices.
  std::uint32_t mRunner = 0;  ///< Index into ServiceState::mRunners.

  bool operator==(const RunnerRef&) const = default;
};

/// Where a request came from. A request that a peer gateway forwarded, because
/// it had no free slot, is not forwarded again.
enum class Origin
{
  Caller,
  Peer
};

/// Event: a request has arrived and needs a slot.
struct RequestArrived
{
  RequestNumber mNumber = 0;
  std::size_t mService = 0; ///< Index into RoutingState::mServices.
  RouteKind mKind = RouteKind::Short;
  Idempotent mIdempotent = Idempotent::No;
  Origin mOrigin = Origin::Caller;
  MonotonicTime mDeadline{};
};

/// How one try of a request ended.
enum class TryResult
{
  Answered,      ///< A complete answer to this request arrived.
  NotSent,       ///< The connection was refused: certainly not run.
  ShardNotOwned, ///< Not sent: this process lost the runner's shard.
  /// The connection closed, or the answer was truncated or belongs to another
  /// request: the request may have run.
  NoValidAnswer,
  TimedOut,     ///< No answer in time: it may have run or still run.
  RefusedByPeer ///< A peer refused it: certainly not run.
};

/// Event: a try of a request at a runner or a peer has ended.
struct TryEnded
{
  RequestNumber mNumber = 0;
  TryResult mResult = TryResult::Answered;
};

/// Event: a health probe over a new connection has ended.
struct ProbeEnded
{
  RunnerRef mRunner;
  bool mHealthy = false;
};

/// One runner as the host list describes it.
struct ListedRunner
{
  std::string mName;
  std::string mHost;
  std::uint16_t mPort = 0;
  std::string mShard;
  bool mLeaving = false; ///< The runner gets no new requests.
};

/// Event: the limits and the runners of one service were read. They replace
/// those that were known before.
struct ServiceListed
{
  std::string mName;
  ServiceLimits mLimits;
  std::vector<ListedRunner> mRunners;
};

/// Event: this process became the owner of a runner shard.
struct ShardAcquired
{
  std::string mShard;
  Ownership mOwnership;
};

/// Event: this process is no longer the owner of a runner shard.
struct ShardLost
{
  std::string mShard;
};

/// Number of free slots that one gateway has for requests of a service.
struct PeerFreeSlots
{
  std::uint32_t mSlots = 0;
  std::uint32_t mWatchSlots = 0;
};

/// Event: a peer gateway sent the summary of its free slots.
struct PeerReported
{
  std::string mPeer;
  std::uint32_t mDistance = 0; ///< As in PeerState.
  std::vector<std::pair<std::string, PeerFreeSlots>> mServices;
};

/// Event: time has passed. It is applied at least every few milliseconds.
struct Tick
{};

} // namespace paddle
