#include <string>

#include <LibNode/Cluster.h>
#include <LibNode/JobRows.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

NodeRow
MakeNode(const std::string& aName, std::int64_t aMilliCores)
{
  NodeRow row;
  row.mName = aName;
  row.mIncarnation = 1;
  row.mMilliCores = aMilliCores;
  return row;
}

} // namespace

/// A cluster with one shard, which the node "large" owns. The nodes "other" and
/// "small" could take it over; "other" is as large as "large".
TEST_GROUP(Cluster)
{
  ClusterView mView;
  ClaimSettings mSettings;
  MonotonicTime mNow{ Seconds(1000) };
  std::int64_t mVersion = 0;

  void setup() override
  {
    ShardRow shard;
    shard.mOwner = "large";
    shard.mOwnerIncarnation = 1;
    shard.mEpoch = 1;
    mRows = {
      { kClusterTable, "", kLayoutKey, "{\"shards\":1}", 1, false },
      { kClusterTable, "", ShardKey(0), FormatShardRow(shard), 1, false }
    };
    for (const NodeRow& node : { MakeNode("large", 500),
                                 MakeNode("other", 500),
                                 MakeNode("small", 100) }) {
      mRows.push_back({ kClusterTable,
                        "",
                        NodeKey(node.mName),
                        FormatNodeRow(node),
                        1,
                        false });
    }
  }

  /// Advances the clock with a read of the cluster each half second.
  /// @param aWrittenKeys the keys of the rows that are written before each read
  /// @param aSelf        the node that reads
  void AdvanceTime(Millis aTime,
                   const std::vector<std::string>& aWrittenKeys,
                   const NodeRow& aSelf)
  {
    constexpr Millis kInterval{ 500 };
    for (Millis passed(0); passed < aTime; passed += kInterval) {
      mNow += kInterval;
      ++mVersion;
      for (StoreRow& row : mRows) {
        for (const std::string& key : aWrittenKeys) {
          row.mVersion = row.mKey == key ? 1 + mVersion : row.mVersion;
        }
      }
      UpdateNodes(mView, mRows, aSelf, mSettings, mNow);
      UpdateShards(mView, mRows, mNow);
    }
  }

  /// @return the number of shards that a node would claim now
  std::size_t Claims(const NodeRow& aSelf) const
  {
    return DecideClaims(mView, aSelf, mSettings, mNow).size();
  }

  std::vector<StoreRow> mRows;
  NodeRow mOther = MakeNode("other", 500);
  NodeRow mSmall = MakeNode("small", 100);
};

// Guards against a shard that keeps an owner which has stopped renewing its
// lease.
TEST(Cluster, TakesOverFromASilentOwner)
{
  AdvanceTime(Seconds(4), { ShardKey(0), NodeKey("other") }, mOther);
  LONGS_EQUAL(0, Claims(mOther));
  AdvanceTime(Seconds(4), { NodeKey("other") }, mOther);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against a takeover from a live owner whose renewals, like this node's
// reads, take long because the store is slow.
TEST(Cluster, ASlowStoreDelaysATakeover)
{
  AdvanceTime(Seconds(4), { ShardKey(0), NodeKey("other") }, mOther);
  AdvanceTime(Millis(2000), { NodeKey("other") }, mOther);
  mView.mShardReadDuration = Millis(400);
  LONGS_EQUAL(0, Claims(mOther));
  mView.mShardReadDuration = Millis(10);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against a takeover only because the store takes no node's heartbeats
// for some seconds. All nodes then claimed the shard at the same time, and any
// of them could get it.
TEST(Cluster, NoTakeoverWhileTheStoreTakesNoHeartbeats)
{
  AdvanceTime(Seconds(4), { ShardKey(0), NodeKey("other") }, mOther);
  AdvanceTime(Seconds(6), {}, mOther);
  LONGS_EQUAL(0, Claims(mOther));
  // The owner's next heartbeat may come a little after this node's own.
  AdvanceTime(Millis(1000), { NodeKey("other") }, mOther);
  LONGS_EQUAL(0, Claims(mOther));
  AdvanceTime(Seconds(4), { NodeKey("other") }, mOther);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against an owner on one of the smallest hosts, which can't keep up
// with 490 runners: nothing was served for 40 s.
TEST(Cluster, SmallNodesLeaveShardsToLargeOnes)
{
  AdvanceTime(Seconds(4), { ShardKey(0), NodeKey("small") }, mSmall);
  AdvanceTime(Seconds(4), { NodeKey("small"), NodeKey("other") }, mSmall);
  LONGS_EQUAL(0, Claims(mSmall));
  // No larger node is left.
  AdvanceTime(Seconds(8), { NodeKey("small") }, mSmall);
  LONGS_EQUAL(1, Claims(mSmall));
}

// Guards against a small node that claims a released shard because it has just
// started and has not read that there are larger nodes: no task was started for
// seven seconds.
TEST(Cluster, NobodyClaimsBeforeTheNodesAreRead)
{
  ShardRow released;
  released.mEpoch = 1;
  mRows[1].mValue = FormatShardRow(released);
  mNow += Seconds(1);
  UpdateShards(mView, mRows, mNow);
  LONGS_EQUAL(0, Claims(mSmall));
  UpdateNodes(mView, mRows, mSmall, mSettings, mNow);
  LONGS_EQUAL(0, Claims(mSmall));
  UpdateNodes(mView, mRows, mOther, mSettings, mNow);
  mNow += Seconds(1);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against a small owner that keeps its shard although a large node could
// own it.
TEST(Cluster, SmallOwnersHandOverOnceALargeNodeIsThere)
{
  AdvanceTime(Seconds(2), { NodeKey("small"), NodeKey("other") }, mSmall);
  CHECK_FALSE(ShouldHandOver(mView, 0, mSmall, mSettings, mNow));
  AdvanceTime(Seconds(3), { NodeKey("small"), NodeKey("other") }, mSmall);
  CHECK_TRUE(ShouldHandOver(mView, 0, mSmall, mSettings, mNow));
  CHECK_FALSE(ShouldHandOver(mView, 0, mOther, mSettings, mNow));
}

// Guards against a small node that claims its former shard at once after all
// hosts have lost power, before a large node has started.
TEST(Cluster, SmallNodesWaitForLargeOnesAfterARestart)
{
  ShardRow shard;
  shard.mOwner = "small";
  shard.mOwnerIncarnation = 1;
  shard.mEpoch = 1;
  mRows[1].mValue = FormatShardRow(shard);
  mSmall.mIncarnation = 2;
  AdvanceTime(Millis(500), { NodeKey("small") }, mSmall);
  LONGS_EQUAL(0, Claims(mSmall));
  AdvanceTime(Seconds(4), { NodeKey("small") }, mSmall);
  LONGS_EQUAL(1, Claims(mSmall));
}

// Guards against an owner that loses its shard because thousands of queues with
// pending jobs make its row larger than the store takes.
TEST(Cluster, KeepsTheShardRowWithinItsBound)
{
  ShardRow row;
  row.mOwner = "a";
  row.mEpoch = 7;
  row.mLeasesEndMs = 5;
  for (int i = 0; i < 42000; ++i) {
    row.mPending.emplace("queue \"" + std::to_string(i) + "\"", 1 + i % 5);
  }
  const std::string text = FormatShardRow(row);
  CHECK_TRUE(text.size() <= StoreLimits{}.mRowBytes);
  CHECK_TRUE(text.size() > 65000);
  const std::optional<ShardRow> read = ParseShardRow(text);
  LONGS_EQUAL(7, read->mEpoch);
  LONGS_EQUAL(5, read->mLeasesEndMs);
  CHECK_TRUE(read->mPending.size() > 2000);
  for (const auto& [queue, count] : read->mPending) {
    LONGS_EQUAL(5, count);
    LONGS_EQUAL(count, row.mPending.at(queue));
  }
}

// Guards against an owner that loses its shard because the ends of the leases
// on hundreds of restarted runners make its row larger than the store takes.
// The time that covers all runners must hold then.
TEST(Cluster, ARowWithoutRoomForSingleRunnersStatesTheTimeForAll)
{
  ShardRow row;
  row.mOwner = "a";
  row.mLeasesEndMs = 9;
  row.mCommonLeasesEndMs = 5;
  const std::string name(60, 'n');
  for (int i = 0; i < 600; ++i) {
    row.mRunnerLeasesEndMs.emplace(name + std::to_string(i), 9);
  }
  row.mPending.emplace("queue", 3);
  const std::optional<ShardRow> whole = ParseShardRow(FormatShardRow(row));
  LONGS_EQUAL(5, whole->mCommonLeasesEndMs);
  CHECK_TRUE(row.mRunnerLeasesEndMs == whole->mRunnerLeasesEndMs);
  constexpr std::size_t kSmallBound = 14000;
  const std::string text = FormatShardRow(row, kSmallBound);
  CHECK_TRUE(text.size() <= kSmallBound);
  const std::optional<ShardRow> read = ParseShardRow(text);
  LONGS_EQUAL(9, read->mLeasesEndMs);
  LONGS_EQUAL(0, read->mCommonLeasesEndMs);
  CHECK_TRUE(read->mRunnerLeasesEndMs.empty());
  LONGS_EQUAL(3, read->mPending.at("queue"));
}

// Guards against rows that outgrow the figures in the table of
// docs/platform.md, which hold for names of 60 bytes and the largest numbers.
TEST(Cluster, RowsHaveTheDocumentedSizes)
{
  const std::string name(60, 'n');
  const NodeRow node{ name,      name,       name, INT64_MAX, INT64_MAX,
                      INT64_MAX, UINT64_MAX, name, true };
  LONGS_EQUAL(439, FormatNodeRow(node).size());
  const JobStatus status{
    UINT32_MAX, name, dispatch::JobPhase::Cancelled, true
  };
  LONGS_EQUAL(124, FormatStatus(status).size());
  JobStatus ofAccount = status;
  ofAccount.mAccount = name;
  LONGS_EQUAL(197, FormatStatus(ofAccount).size());
  ShardRow shard;
  shard.mShard = UINT32_MAX;
  shard.mOwner = name;
  shard.mOwnerIncarnation = shard.mEpoch = INT64_MAX;
  shard.mHeartbeatCount = UINT64_MAX;
  shard.mFreeMilliCores = shard.mBestEffortMilliCores = INT64_MAX;
  shard.mTotalMilliCores = shard.mLeasesEndMs = INT64_MAX;
  shard.mIsolatedLeasesEndMs = shard.mEarlierIsolatedLeasesEndMs = INT64_MAX;
  shard.mRecordsSince = shard.mPendingAsOfMs = INT64_MAX;
  shard.mStartWaitMs = INT64_MAX;
  shard.mTakesMovedJobs = true;
  LONGS_EQUAL(544, FormatShardRow(shard).size());
  shard.mCommonLeasesEndMs = INT64_MAX;
  LONGS_EQUAL(587, FormatShardRow(shard).size());
  shard.mRunnerLeasesEndMs.emplace(name, INT64_MAX);
  LONGS_EQUAL(695, FormatShardRow(shard).size());
  shard.mRunnerLeasesEndMs.emplace(name + "2", INT64_MAX);
  LONGS_EQUAL(779, FormatShardRow(shard).size());
}

// Guards against leaving out numbers of pending jobs that fit, see the table of
// docs/platform.md.
TEST(Cluster, TheShardRowHasThePendingJobsOfThousandsOfQueues)
{
  ShardRow shard;
  for (int i = 0; i < 20000; ++i) {
    shard.mPending.emplace("queue-" + std::to_string(10000 + i), 12);
  }
  LONGS_EQUAL(3843, ParseShardRow(FormatShardRow(shard))->mPending.size());
}

namespace {

/// @return a view with a number of hosts of each of two sizes
ClusterView
ViewWithHosts(int aLarge, int aSmall)
{
  ClusterView view;
  for (int i = 0; i < aLarge + aSmall; ++i) {
    NodeRow node;
    node.mName = "node" + std::to_string(i);
    node.mMilliCores = i < aLarge ? 500 : 69;
    view.mNodes[node.mName] = { node, 1, {}, {} };
  }
  return view;
}

} // namespace

// Guards against one small host that owns all runners: it answers late, and
// promises to clients break.
TEST(Cluster, SmallHostsShareTheRunners)
{
  LONGS_EQUAL(8, ChooseShardCount(ViewWithHosts(0, 97), 540, 600));
}

// Guards against shards that are smaller than needed where hosts are large:
// placement gets worse with each division.
TEST(Cluster, LargeHostsOwnAllRunners)
{
  LONGS_EQUAL(1, ChooseShardCount(ViewWithHosts(18, 79), 540, 600));
  LONGS_EQUAL(5, ChooseShardCount(ViewWithHosts(18, 79), 2700, 600));
}

// Guards against a host whose processor carries all runners and whose link
// doesn't.
TEST(Cluster, HostsWithNarrowLinksShareTheRunners)
{
  ClusterView view = ViewWithHosts(0, 18);
  LONGS_EQUAL(1, ChooseShardCount(view, 90, 600));
  for (auto& [name, node] : view.mNodes) {
    node.mRow.mLinkMbps = 2;
  }
  LONGS_EQUAL(5, ChooseShardCount(view, 90, 600));
}

// Guards against shards that only a single large host could carry, whose loss
// is to be borne.
TEST(Cluster, FewLargeHostsDoNotCount)
{
  LONGS_EQUAL(8, ChooseShardCount(ViewWithHosts(2, 95), 540, 600));
}

// Guards against more shards than hosts, and against none.
TEST(Cluster, ThereIsAtLeastOneShardAndAtMostOneForEachHost)
{
  LONGS_EQUAL(1, ChooseShardCount(ViewWithHosts(0, 8), 0, 600));
  LONGS_EQUAL(3, ChooseShardCount(ViewWithHosts(0, 3), 540, 600));
  LONGS_EQUAL(1, ChooseShardCount(ClusterView{}, 540, 600));
}
