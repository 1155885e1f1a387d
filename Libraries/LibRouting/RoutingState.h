#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <LibRouting/RetryBudget.h>
#include <LibRouting/RoutingEvents.h>
#include <LibRouting/RoutingPolicy.h>
#include <LibRouting/RoutingSettings.h>

namespace paddle {

/// What is known about one runner beside its load.
struct Runner
{
  std::string mName;
  std::string mHost;
  std::uint16_t mPort = 0;
  std::string mShard;
  bool mListed = false;        ///< Part of the latest host list.
  bool mLeaving = false;       ///< Gets no new request.
  bool mSuspect = false;       ///< Gets no new request until a probe succeeds.
  std::uint32_t mFailures = 0; ///< On new connections, in a row.
  bool mProbing = false;       ///< A probe is under way.
  MonotonicTime mNextProbe{};  ///< Meaningful while there are failures.
};

/// The runners of one service and the requests that wait for them.
struct ServiceState
{
  std::string mName;
  ServiceLimits mLimits;
  std::vector<RunnerLoad> mLoads; ///< Parallel to mRunners.
  std::vector<Runner> mRunners;   ///< Entries are reused, never moved.
  std::deque<RequestNumber> mWaiting;
  double mMeanServiceUs = 0; ///< Decayed mean over answers of short requests.
  std::uint64_t mTurn = 0;
};

/// A shard of runners as this process knows it.
struct ShardState
{
  bool mOwned = false;
  std::uint64_t mEpoch = 0;
  /// Until then a predecessor's short requests may still run.
  MonotonicTime mShortsFreeFrom{};
  /// Until then a predecessor's watches may still run.
  MonotonicTime mWatchesFreeFrom{};
};

/// A slot that stays taken after its request failed without an end: the
/// runner may still work on it.
struct SlotHold
{
  RunnerRef mRunner;
  RouteKind mKind = RouteKind::Short;
  MonotonicTime mUntil{};
};

/// A peer gateway by its last summary.
struct PeerState
{
  std::string mName;
  std::uint32_t mDistance = 0; ///< 0 same data centre, 1 region, 2 beyond.
  MonotonicTime mReported{};
  std::map<std::string, PeerFree, std::less<>> mFree; ///< By service.
};

/// A request between its arrival and its last event.
struct PendingRequest
{
  RequestArrived mRequest;
  std::uint32_t mTries = 0;
  bool mMayHaveRun = false; ///< An earlier try ended without certainty.
  bool mForwarded = false;
  bool mWaiting = false;
  bool mHasRunner = false;
  RunnerRef mRunner; ///< Of the present try.
  MonotonicTime mTryStarted{};
  std::vector<std::size_t> mTried; ///< Runners whose try failed.
};

/// Everything that the routing decisions depend on. Owned by one thread.
struct RoutingState
{
  RoutingSettings mSettings;
  RoutingPolicy mPolicy;
  RetryBudget mRetryBudget;
  std::vector<ServiceState> mServices; ///< Entries are never removed.
  std::map<std::string, ShardState, std::less<>> mShards;
  std::vector<PeerState> mPeers;
  std::unordered_map<RequestNumber, PendingRequest> mPending;
  std::vector<SlotHold> mHolds;
};

/// @return the index of a service, or kNoService
std::size_t
FindService(const RoutingState& aState, std::string_view aName);

inline constexpr std::size_t kNoService = static_cast<std::size_t>(-1);

/// @return what this process reports to its peers about a service
PeerFree
FreeSlots(const ServiceState& aService);

/// @return whether no short request of this process or of a predecessor can
///         be in flight at the shard's runners, so that the shard can be
///         handed over; watches may go on, see ShardAcquired
bool
IsQuiescent(const RoutingState& aState,
            std::string_view aShard,
            MonotonicTime aNow);

} // namespace paddle
