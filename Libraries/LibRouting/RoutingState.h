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

/// What is known about one runner besides its load.
struct Runner
{
  std::string mName;
  std::string mHost;
  std::uint16_t mPort = 0;
  std::string mShard;
  bool mListed = false;        ///< The latest host list contains the runner.
  bool mLeaving = false;       ///< The runner gets no new request.
  bool mSuspect = false;       ///< No new request until a probe succeeds.
  std::uint32_t mFailures = 0; ///< Consecutive failures of new connections.
  bool mProbeInProgress = false;
  MonotonicTime mNextProbe{}; ///< Used only while mFailures is not 0.
};

/// The runners of one service and the requests that wait for them.
struct ServiceState
{
  std::string mName;
  ServiceLimits mLimits;
  std::vector<RunnerLoad> mLoads; ///< Has the same indices as mRunners.
  std::vector<Runner> mRunners;   ///< Entries are reused but never moved.
  std::deque<RequestNumber> mWaitingQueue; ///< Oldest request first.
  double mMeanServiceUs = 0;               ///< Decayed mean of short requests.
  std::uint64_t mQueryNumber = 0;          ///< Number of queries to the policy.
};

/// What this process knows about a shard of runners.
struct ShardState
{
  bool mOwned = false;
  std::uint64_t mEpoch = 0;
  /// Time by which the previous owner's short requests have certainly ended.
  MonotonicTime mShortRequestsEndBy{};
  /// Time by which the previous owner's watches have certainly ended.
  MonotonicTime mWatchesEndBy{};
};

/// A slot that stays in use after its request failed without an answer, because
/// the runner may still work on the request.
struct SlotHold
{
  RunnerRef mRunner;
  RouteKind mKind = RouteKind::Short;
  MonotonicTime mUntil{};
};

/// A peer gateway according to its latest summary.
struct PeerState
{
  std::string mName;
  /// 0: same data centre; 1: same region; 2: other.
  std::uint32_t mDistance = 0;
  MonotonicTime mReportedAt{};
  /// Free slots by the name of the service.
  std::map<std::string, PeerFreeSlots, std::less<>> mFreeByService;
};

/// A request that has arrived and has not ended.
struct PendingRequest
{
  RequestArrived mRequest;
  std::uint32_t mTries = 0;
  bool mMayHaveRun = false; ///< An earlier try ended with an unknown result.
  bool mForwarded = false;  ///< The request was forwarded to a peer.
  bool mIsWaiting = false;  ///< The request is in the queue of its service.
  bool mHasRunner = false;  ///< The current try has a slot of a runner.
  RunnerRef mRunner;        ///< The runner of the current try.
  MonotonicTime mTryStarted{};
  std::vector<std::size_t> mTriedRunners; ///< Runners at which a try failed.
};

/// Everything that the routing decisions depend on. Only one thread may use it.
struct RoutingState
{
  RoutingSettings mSettings;
  RoutingPolicy mPolicy;
  RetryBudget mRetryBudget;
  std::vector<ServiceState> mServices; ///< Entries are never removed.
  std::map<std::string, ShardState, std::less<>> mShards;
  std::vector<PeerState> mPeers;
  std::unordered_map<RequestNumber, PendingRequest> mPending;
  std::vector<SlotHold> mSlotHolds;
};

/// @return the index of a service, or kNoService if it is not known
std::size_t
FindService(const RoutingState& aState, std::string_view aName);

/// Index that means that there is no service.
inline constexpr std::size_t kNoService = static_cast<std::size_t>(-1);

/// @return the free slots of a service that this process reports to its peers
PeerFreeSlots
FreeSlots(const ServiceState& aService);

/// @return whether no short request of this process or of a previous owner can
///         be in flight at the shard's runners, so that the shard can be handed
///         over. Watches may go on: the next owner counts their slots as in use
///         until they have ended.
bool
IsQuiescent(const RoutingState& aState,
            std::string_view aShard,
            MonotonicTime aNow);

} // namespace paddle
