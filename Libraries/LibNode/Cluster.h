#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibNode/StoreLimits.h>
#include <LibNode/StorePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Table with a row for each node, a row for each shard, and the layout row.
inline constexpr const char* kClusterTable = "cluster";
/// All keys of the nodes' rows start with kNodePrefix. They sort before
/// kNodePrefixEnd, the excluded end of a read of these rows.
inline constexpr const char* kNodePrefix = "node/";
inline constexpr const char* kNodePrefixEnd = "node0";
/// Key of the layout row, which holds the number of shards.
inline constexpr const char* kLayoutKey = "layout";

/// A node's own row in the cluster table. The node writes it as its heartbeat.
struct NodeRow
{
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  std::int64_t mIncarnation = 0; ///< Higher for each new process of this name.
  /// Processor time that the host grants the node, in thousandths of a core.
  std::int64_t mMilliCores = 0;
  /// Bandwidth of the host's link in megabits a second; 0: not stated, as by
  /// earlier versions.
  std::int64_t mLinkMbps = 0;
  /// Rises with each heartbeat, so that each one changes the row.
  std::uint64_t mHeartbeatCount = 0;
  /// Address at which other nodes ask this one for the operator's rows. Empty:
  /// it can't be asked; an earlier version of this program may run there.
  std::string mPeerAddress;
  /// Whether the node knows of parts of jobs, see LibDispatch/JobParts.h.
  /// Earlier versions would not cancel them.
  bool mKnowsParts = false;
};

/// A shard's row in the cluster table. The shard's owner renews its lease by
/// writing the row.
struct ShardRow
{
  std::uint32_t mShard = 0;
  /// Name of the owning node. Empty: the last owner has released the shard and
  /// has no order to a runner in flight.
  std::string mOwner;
  std::int64_t mOwnerIncarnation = 0;
  /// Rises with each change of owner; it is the fencing token of all orders to
  /// the shard's runners.
  std::int64_t mEpoch = 0;
  /// Rises with each renewal, so that each one changes the row.
  std::uint64_t mHeartbeatCount = 0;
  /// Processors of the shard's runners that no task reserves.
  std::int64_t mFreeMilliCores = 0;
  /// Processors that further best-effort tasks may use: those that no task
  /// reserves or that the tasks with a reservation leave idle.
  std::int64_t mBestEffortMilliCores = 0;
  std::int64_t mTotalMilliCores = 0; ///< All processors of the runners.
  /// Time that the owner needs to start the tasks that wait, if its own load
  /// control keeps starts back; 0 otherwise, also from earlier versions.
  std::int64_t mStartWaitMs = 0;
  /// Number of accepted jobs of which no task has started, by queue.
  std::map<std::string, std::uint64_t> mPending;
  /// Time on the store's clock up to which the accepted jobs count in mPending.
  /// 0: not known, because an earlier version of this program wrote the row.
  std::int64_t mPendingAsOfMs = 0;
  /// Time on the store's clock by which all leases have ended that the owner or
  /// an earlier owner has granted to runners up to this renewal, and that the
  /// owner grants without a further renewal of this row. 0: not known, because
  /// an earlier version of this program wrote the row.
  std::int64_t mLeasesEndMs = 0;
  /// The same for the leases of all runners but those in mRunnerLeasesEndMs. 0:
  /// mLeasesEndMs holds for each runner. Owners of earlier versions know only
  /// mLeasesEndMs, which covers both.
  std::int64_t mCommonLeasesEndMs = 0;
  /// The same for single runners, by id, whose leases may end later: those that
  /// have restarted, since renewals for their former process may reach the
  /// present one.
  std::map<std::string, std::int64_t> mRunnerLeasesEndMs;
  /// The same for the leases that the owner grants beyond that while the store
  /// does not answer, see NodeSettings::mMajorityContactAge. Another owner that
  /// has reached a majority of the runners ends them earlier.
  std::int64_t mIsolatedLeasesEndMs = 0;
  /// The same for earlier owners; 0: their leases count in mLeasesEndMs.
  std::int64_t mEarlierIsolatedLeasesEndMs = 0;
  /// Lowest epoch since which every owner has kept the records of runners up to
  /// date that are in rows of their own. Owners of earlier versions don't know
  /// these rows, and write this row without the member; 0: it was missing.
  std::int64_t mRecordsSince = 0;
  /// Whether the owner reads the progress of jobs that are handed over to it.
  /// Earlier versions would start such jobs from the beginning.
  bool mTakesMovedJobs = false;
};

/// A row as this node last read it, with local times. Nodes compare only times
/// of their own clock, because the clocks of hosts differ.
template<typename T>
struct Observed
{
  T mRow;
  std::int64_t mVersion = 0;
  MonotonicTime mVersionSeenAt; ///< When this node first read this version.
  MonotonicTime mFirstSeenAt;   ///< When this node first read any version.
};

/// The state of the cluster as this node last read it from the store.
struct ClusterView
{
  std::uint32_t mShardCount = 0; ///< 0: the layout row does not exist yet.
  std::map<std::string, Observed<NodeRow>> mNodes;
  std::map<std::uint32_t, Observed<ShardRow>> mShardRows;
  MonotonicTime mShardsReadAt;    ///< When the shards' rows were last read.
  Millis mShardReadDuration{ 0 }; ///< How long that read took.
  bool mNodesRead = false;        ///< The nodes' rows were read at least once.
  /// Since when the store has stored this node's own heartbeats without a gap
  /// of more than ClaimSettings::mNodeTimeout.
  MonotonicTime mOwnHeartbeatsStoredSince;
};

/// Times and limits by which nodes decide who owns a shard.
struct ClaimSettings
{
  /// Another node takes a shard over if its owner has not renewed the lease for
  /// this long plus twice the duration of a read. Renewals are half a second
  /// apart, so two of them may be lost. A takeover that comes too early is
  /// safe, because runners are fenced; it costs about 0.3 s of service.
  Millis mOwnerTimeout{ 1600 };
  /// A candidate waits this long for each candidate that ranks before it, so
  /// that they do not claim at the same time. It exceeds the time until a claim
  /// is stored and the others have read it.
  Millis mDelayPerRank{ 500 };
  /// A node whose row has not changed for this long is no candidate. A node
  /// whose own row has not changed for this long concludes that the store does
  /// not serve it.
  Millis mNodeTimeout{ 3000 };
  /// A node is small if it has less than this fraction of another node's
  /// processor time, counted for each shard that they would own. Small nodes
  /// leave shards to larger ones, because an owner on one of the smallest hosts
  /// can't keep up with its runners.
  double mSmallNodeFraction = 0.5;
  /// A small node claims this much later, so that a larger one has time to
  /// start.
  Millis mSmallNodeDelay{ 2300 };
  /// A small owner hands its shard over once it has seen a larger node for this
  /// long.
  Millis mHandOverDelay{ 4000 };
};

/// What is known of the earlier owner of a shard when the shard is claimed.
enum class EarlierOwner
{
  None,     ///< The shard never had an owner.
  Released, ///< It has released the shard, and has no order in flight.
  Ended,    ///< Its process has ended, or is this one and lost the shard.
  MayAct    ///< It may still send orders to runners until its lease ends.
};

/// This node's decision to become the owner of a shard.
struct Claim
{
  std::uint32_t mShard = 0;
  /// Version of the shard's row that the claim replaces; 0: the shard never had
  /// an owner.
  std::int64_t mRowVersion = 0;
  std::int64_t mEpoch = 0; ///< Epoch of the new owner.
  EarlierOwner mEarlierOwner = EarlierOwner::None;
  MonotonicTime mRowSeenAt; ///< When this node first read that version.
  /// The same members of the earlier owner's ShardRow.
  std::int64_t mLeasesEndMs = 0;
  std::int64_t mCommonLeasesEndMs = 0;
  std::map<std::string, std::int64_t> mRunnerLeasesEndMs;
  std::int64_t mIsolatedLeasesEndMs = 0;
  std::int64_t mEarlierIsolatedLeasesEndMs = 0;
  std::int64_t mRecordsSince = 0;
  /// The earlier owner's ShardRow::mPending. The new owner publishes it until
  /// it has read the jobs itself.
  std::map<std::string, std::uint64_t> mPending;
  std::int64_t mPendingAsOfMs = 0; ///< The same for ShardRow::mPendingAsOfMs.
};

/// Updates a view with a complete read of the nodes' rows.
/// @param aSelf the node that has read them
void
UpdateNodes(ClusterView& aView,
            std::span<const StoreRow> aRows,
            const NodeRow& aSelf,
            const ClaimSettings& aSettings,
            MonotonicTime aNow);

/// Updates a view with a complete read of the shards' rows and the layout row.
void
UpdateShards(ClusterView& aView,
             std::span<const StoreRow> aRows,
             MonotonicTime aNow);

/// @param aShard a shard that this node owns
/// @return whether this node should hand the shard over to a larger node
bool
ShouldHandOver(const ClusterView& aView,
               std::uint32_t aShard,
               const NodeRow& aSelf,
               const ClaimSettings& aSettings,
               MonotonicTime aNow);

/// @param aSelf the node that may claim shards
/// @return the claims that this node should make now, unless it owns or claims
///         the shard already
std::vector<Claim>
DecideClaims(const ClusterView& aView,
             const NodeRow& aSelf,
             const ClaimSettings& aSettings,
             MonotonicTime aNow);

/// @return the key of a node's row in the cluster table
std::string
NodeKey(std::string_view aName);
/// @return the key of a shard's row in the cluster table
std::string
ShardKey(std::uint32_t aShard);
std::string
FormatNodeRow(const NodeRow& aRow);
/// Formats a shard's row. The numbers of pending jobs are left out where they
/// would make it too large, the lowest first, so that they count as 0: without
/// the row, the owner would lose its shard.
/// @param aMaxBytes largest size of the row
std::string
FormatShardRow(const ShardRow& aRow,
               std::size_t aMaxBytes = StoreLimits{}.mRowBytes);
std::optional<ShardRow>
ParseShardRow(std::string_view aText);

/// Chooses the number of shards for a new layout, so that hosts of the size
/// that is left after the loss of the two largest ones carry a shard each, by
/// their processor and their link. As
/// few as possible are best: an owner that sees all runners places tasks better
/// than several that see only some.
/// @param aMaxRunners largest number of runners of a shard, see
///                    NodeSettings::mMaxRunnersPerShard
std::uint32_t
ChooseShardCount(const ClusterView& aView,
                 std::size_t aRunners,
                 std::uint32_t aMaxRunners);

/// Assigns runners, not racks, to shards: there are few racks, and they would
/// fill the shards unevenly. Every shard thus gets some runners of each rack.
/// @return the shard to which a runner belongs
std::uint32_t
ShardOfRunner(std::string_view aRunner, std::uint32_t aShards);

} // namespace paddle
