#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <LibDocument/ServiceDocument.h>
#include <LibLease/LeaseKeeper.h>
#include <LibRouting/RoutingSettings.h>
#include <LibTime/Time.h>

namespace paddle {

/// Number of a request within one process.
using RequestNumber = std::uint64_t;

/// A runner by its place in the state.
struct RunnerRef
{
  std::uint32_t mService = 0;
  std::uint32_t mRunner = 0;

  bool operator==(const RunnerRef&) const = default;
};

/// Whether a request came from a peer that had no free slot. Such a request
/// is not forwarded again.
enum class Origin
{
  Caller,
  Peer
};

/// A request that wants a slot.
struct RequestArrived
{
  RequestNumber mNumber = 0;
  std::size_t mService = 0;
  RouteKind mKind = RouteKind::Short;
  Idempotent mIdempotent = Idempotent::No;
  Origin mOrigin = Origin::Caller;
  MonotonicTime mDeadline{};
};

/// How one try of a request ended.
enum class TryResult
{
  Answered,  ///< A complete answer that belongs to the request.
  NotSent,   ///< The connection was refused: surely not run.
  Withheld,  ///< Not sent, because this process lost the runner's shard.
  Broken,    ///< Closed, truncated, or the answer of another request.
  TimedOut,  ///< No answer in time; the runner may still work on it.
  PeerNotRun ///< A peer refused it: surely not run.
};

struct TryEnded
{
  RequestNumber mNumber = 0;
  TryResult mResult = TryResult::Answered;
};

/// The result of a probe over a new connection.
struct ProbeEnded
{
  RunnerRef mRunner;
  bool mHealthy = false;
};

/// One runner as the host list shows it.
struct ListedRunner
{
  std::string mName;
  std::string mHost;
  std::uint16_t mPort = 0;
  std::string mShard;
  bool mLeaving = false;
};

/// The document and the runners of one service; replaces what was known.
struct ServiceListed
{
  std::string mName;
  ServiceLimits mLimits;
  std::vector<ListedRunner> mRunners;
};

/// This process became the owner of a runner shard.
struct ShardAcquired
{
  std::string mShard;
  Ownership mOwnership;
};

/// This process is not the owner of a runner shard any more.
struct ShardLost
{
  std::string mShard;
};

/// What one gateway has free for requests of a service.
struct PeerFree
{
  std::uint32_t mSlots = 0;
  std::uint32_t mWatchSlots = 0;
};

/// A summary of a peer gateway.
struct PeerReported
{
  std::string mPeer;
  std::uint32_t mDistance = 0;
  std::vector<std::pair<std::string, PeerFree>> mServices;
};

/// Time has passed. Sent at least every few milliseconds.
struct Tick
{};

} // namespace paddle
