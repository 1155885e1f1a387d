#pragma once

#include <functional>
#include <optional>
#include <string>

#include <LibAsyncHttp/Deadlines.h>
#include <LibBase/EventLog.h>
#include <LibBase/Metrics.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibNode/Cluster.h>
#include <LibNode/DirectoryPort.h>
#include <LibNode/OperatorRelay.h>
#include <LibNode/RowPartitions.h>
#include <LibNode/RunnerPort.h>
#include <LibNode/StoreClock.h>
#include <LibNode/StoreLimits.h>
#include <LibNode/StorePort.h>
#include <LibTime/BootClock.h>

namespace paddle {

/// Intervals, time-outs and limits of a node. The limits that the deployment
/// states replace the defaults.
struct NodeSettings
{
  StoreLimits mStoreLimits;
  ClaimSettings mClaims;
  RelaySettings mRelay;
  dispatch::DispatchSettings mDispatch;
  /// Interval at which a node writes its own row.
  Millis mHeartbeatInterval{ 1000 };
  /// Interval at which a node renews the leases of its shards.
  Millis mLeaseRenewalInterval{ 500 };
  /// Interval at which a node reads the shards' rows.
  Millis mShardPollInterval{ 500 };
  /// Interval at which a node reads the nodes' rows.
  Millis mNodePollInterval{ 1400 };
  /// Interval at which the list of runners is read. It must be short enough
  /// that a draining runner gets no more starts 2.5 s after its notice.
  Millis mRunnerPollInterval{ 900 };
  /// While its last stored renewal is older than this, an owner asks its
  /// runners often, so that it knows of the majority in time. Renewals are half
  /// a second apart.
  Millis mFrequentContactAge{ 800 };
  /// An order without an answer may be carried out this much later; the
  /// platform states 12 s.
  Millis mLongestOrderDelay{ 12000 };
  /// Interval of requests to an idle runner during that.
  Millis mFrequentPollInterval{ 400 };
  /// Duration of an owner's lease on its shard, counted from the time at which
  /// it sent the last renewal that was stored. It lasts through a store outage
  /// of nine seconds that begins just before a renewal.
  Millis mShardLeaseDuration{ 12000 };
  /// While its last stored renewal is older than this, an owner starts tasks,
  /// and grants leases beyond those that the renewal allows, only if a majority
  /// of the runners has answered lately. It is less than
  /// ClaimSettings::mOwnerTimeout, after which another node may own the shard.
  Millis mRenewalMaxAge{ 1500 };
  /// The answers of that majority are to requests of at most this age. Runners
  /// are asked each 0.4 s then. Once a new owner has reached a majority of the
  /// runners, they reject the earlier owner, which therefore grants no lease
  /// after this time any more.
  Millis mMajorityContactAge{ 1000 };
  /// A new owner waits at most this long for the answers of the earlier owner's
  /// runners to its first renewal, which fences them. It is several times the
  /// longest round trip of 24 ms.
  Millis mFencingTimeout{ 300 };
  /// Changes of progress wait this long, so that several share a transaction.
  Millis mCommitDelay{ 80 };
  /// Longest wait for the answer to a transaction.
  Millis mStoreTimeout{ 1500 };
  Millis mRetryPause{ 150 }; ///< Before a failed call is repeated.
  /// A node is ready for clients only if the store's last answer is not older
  /// than this.
  Millis mStoreAnswerMaxAge{ 2500 };
  /// The number of shards is chosen so that a shard has about this many runners
  /// at most, or fewer where the hosts are small, see ChooseShardCount(). One
  /// owner that sees all runners places tasks better than several that see only
  /// some: with 70 runners a shard instead of 600, the score of a deployment of
  /// 540 runners with large hosts was 0.549 instead of 0.747.
  std::uint32_t mMaxRunnersPerShard = 600;
  /// A client gets an answer after this time at the latest, even if the outcome
  /// is not known.
  Millis mClientTimeout{ 2500 };
  /// The number of waiting jobs is not given to clients if it leaves out jobs
  /// that were accepted longer ago. The deployment sets it.
  Millis mMaxPendingAge{ 4500 };
  /// The copy of the configuration admits keys of client accounts only while it
  /// is younger; nothing: at any age. The deployment sets it with strict
  /// revocation, see kRevocationMargin.
  std::optional<Millis> mMaxKeyCopyAge;
  /// Clients whose request was refused are asked to repeat it after this time.
  Seconds mRetryAfter{ 1 };
};

/// The settings, ports and services that the components of a node share. It
/// outlives them.
struct NodeContext
{
  NodeRow mSelf; ///< The row of this node, as its next heartbeat writes it.
  NodeSettings mSettings;
  RowPartitions mPartitions;
  StorePort mStore;
  RunnerPort mRunners;
  DirectoryPort mDirectory;
  PeerPort mPeers; ///< Without functions, nodes don't pass rows on.
  Deadlines* mDeadlines = nullptr;
  EventLog* mLog = nullptr;
  Metrics* mMetrics = nullptr;
  Millis mTimerLag{ 0 };          ///< By which the latest tick was late.
  MonotonicTime mStoreAnsweredAt; ///< When the store last served a call.
  /// When bytes last arrived of a large answer about the operator's table that
  /// is not complete yet.
  MonotonicTime mOperatorProgressAt;
  StoreClock mStoreClock;
  /// Clock for tests. Without it, the time since the host's start is used.
  std::function<MonotonicTime()> mClock;

  [[nodiscard]] MonotonicTime Now() const
  {
    return mClock ? mClock() : BootTime();
  }
};

} // namespace paddle
