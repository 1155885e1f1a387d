#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibNode/StorePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Table with a row for each node, one for each shard, and the layout.
inline constexpr const char* kClusterTable = "cluster";
/// Keys of the nodes' rows, from the first text on and before the second.
inline constexpr const char* kNodePrefix = "node/";
inline constexpr const char* kNodePrefixEnd = "node0";
inline constexpr const char* kLayoutKey = "layout";

/// What a node tells of itself.
struct NodeRow
{
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  std::int64_t mIncarnation = 0;
  std::int64_t mMilliCores = 0; ///< Processor time that the host grants it.
  std::uint64_t mBeat = 0;
};

/// What a shard's owner tells of it.
struct ShardRow
{
  std::uint32_t mShard = 0;
  std::string mOwner; ///< Empty: released, no orders are on their way.
  std::int64_t mOwnerIncarnation = 0;
  std::int64_t mEpoch = 0;
  std::uint64_t mBeat = 0;
  std::int64_t mFreeCores = 0;
  std::int64_t mLeftoverCores = 0;
  std::int64_t mTotalCores = 0;
  std::map<std::string, std::uint64_t> mPending; ///< By queue.
};

/// A row with the moment at which this node first saw its present version.
template<typename T>
struct Observed
{
  T mRow;
  std::int64_t mVersion = 0;
  MonotonicTime mSeenAt;
  MonotonicTime mKnownSince; ///< When any version was first seen.
};

// FIXME: A waiting job does not move to another shard that has room. Only
// deployments with several shards are affected.

/// The cluster as this node has read it.
struct ClusterView
{
  std::uint32_t mShards = 0; ///< 0: not laid out yet.
  std::map<std::string, Observed<NodeRow>> mNodes;
  std::map<std::uint32_t, Observed<ShardRow>> mShardRows;
  MonotonicTime mReadAt;
  Millis mReadingTook{ 0 }; ///< Of the latest reading of the shards.
  bool mNodesRead = false;
  /// Since when the store has taken this node's own heartbeats without a gap.
  MonotonicTime mOwnStoredSince;
};

struct ClaimSettings
{
  /// An owner that has not renewed for this long, and twice the time of a
  /// reading, is succeeded. Its renewals are half a second apart, so two may be
  /// lost. Fencing makes an early takeover safe; it costs some 0.3 s.
  Millis mSilence{ 1600 };
  /// Delay for each better candidate, so that one claims first; longer than a
  /// store transaction with its notice.
  Millis mStagger{ 500 };
  /// A node whose row is older is no candidate, and one whose own row is older
  /// knows that the store does not serve it.
  Millis mNodeSilence{ 3000 };
  /// A node with less than this share of another's processor time leaves shards
  /// to it: an owner on the smallest hosts can't follow its runners.
  double mSmallShare = 0.5;
  /// A small node claims this much later, so that a larger one can start.
  Millis mSmallDelay{ 2300 };
  /// A small owner hands over once a larger node has been seen for this long.
  Millis mHandOverAfter{ 4000 };
};

struct Claim
{
  std::uint32_t mShard = 0;
  std::int64_t mRowVersion = 0; ///< 0: the shard never had an owner.
  std::int64_t mEpoch = 0;      ///< The new owner's.
  /// The former owner may still give orders for a while.
  bool mFormerOwnerMayAct = false;
  /// The former owner's count of waiting jobs by queue, which holds until the
  /// new owner has read the jobs.
  std::map<std::string, std::uint64_t> mPending;
};

/// Updates a view by a complete reading of the nodes' rows.
void
UpdateNodes(ClusterView& aView,
            std::span<const StoreRow> aRows,
            const NodeRow& aSelf,
            const ClaimSettings& aSettings,
            MonotonicTime aNow);

/// Updates a view by a complete reading of the shards' rows and the layout.
void
UpdateShards(ClusterView& aView,
             std::span<const StoreRow> aRows,
             MonotonicTime aNow);

/// @return whether this node should hand a shard over to a larger node
bool
ShouldHandOver(const ClusterView& aView,
               std::uint32_t aShard,
               const NodeRow& aSelf,
               const ClaimSettings& aSettings,
               MonotonicTime aNow);

/// @return the shards that this node should claim now
std::vector<Claim>
DecideClaims(const ClusterView& aView,
             const NodeRow& aSelf,
             const ClaimSettings& aSettings,
             MonotonicTime aNow);

std::string
NodeKey(std::string_view aName);
std::string
ShardKey(std::uint32_t aShard);
std::string
FormatNodeRow(const NodeRow& aRow);
std::string
FormatShardRow(const ShardRow& aRow);
std::optional<ShardRow>
ParseShardRow(std::string_view aText);

/// @return the shard that a runner belongs to. Every shard gets a part of each
///         rack: racks are few and would fill the shards unevenly.
std::uint32_t
ShardOfRunner(std::string_view aRunner, std::uint32_t aShards);

} // namespace paddle
