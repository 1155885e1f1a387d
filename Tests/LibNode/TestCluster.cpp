#include <string>

#include <LibNode/Cluster.h>

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

/// A shard of the node "large", seen by the nodes "large", "other" and "small".
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

  /// Lets time pass with a reading each half second.
  /// @param aBeating the keys of the rows that go on
  void Pass(Millis aTime,
            const std::vector<std::string>& aBeating,
            const NodeRow& aSelf)
  {
    constexpr Millis kInterval{ 500 };
    for (Millis passed(0); passed < aTime; passed += kInterval) {
      mNow += kInterval;
      ++mVersion;
      for (StoreRow& row : mRows) {
        for (const std::string& key : aBeating) {
          row.mVersion = row.mKey == key ? 1 + mVersion : row.mVersion;
        }
      }
      UpdateNodes(mView, mRows, aSelf, mSettings, mNow);
      UpdateShards(mView, mRows, mNow);
    }
  }

  std::size_t Claims(const NodeRow& aSelf) const
  {
    return DecideClaims(mView, aSelf, mSettings, mNow).size();
  }

  std::vector<StoreRow> mRows;
  NodeRow mOther = MakeNode("other", 500);
  NodeRow mSmall = MakeNode("small", 100);
};

// Guards against an owner that is never succeeded.
TEST(Cluster, SucceedsASilentOwner)
{
  Pass(Seconds(4), { ShardKey(0), NodeKey("other") }, mOther);
  LONGS_EQUAL(0, Claims(mOther));
  Pass(Seconds(4), { NodeKey("other") }, mOther);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against an early takeover from an owner whose renewals, like this
// node's readings, take long because the store is slow.
TEST(Cluster, ASlowStoreDelaysATakeover)
{
  Pass(Seconds(4), { ShardKey(0), NodeKey("other") }, mOther);
  Pass(Millis(2000), { NodeKey("other") }, mOther);
  mView.mReadingTook = Millis(400);
  LONGS_EQUAL(0, Claims(mOther));
  mView.mReadingTook = Millis(10);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against a shard that changes hands because the store takes nobody's
// heartbeats for some seconds: every node claimed at once, and any of them got
// it (thenpetti-grown trouble-2, platform slow).
TEST(Cluster, ASilentStoreSaysNothingAboutTheOwner)
{
  Pass(Seconds(4), { ShardKey(0), NodeKey("other") }, mOther);
  Pass(Seconds(6), {}, mOther);
  LONGS_EQUAL(0, Claims(mOther));
  // The owner's next heartbeat may come a little after this node's own.
  Pass(Millis(1000), { NodeKey("other") }, mOther);
  LONGS_EQUAL(0, Claims(mOther));
  Pass(Seconds(4), { NodeKey("other") }, mOther);
  LONGS_EQUAL(1, Claims(mOther));
}

// Guards against an owner on one of the smallest hosts, which can't follow 490
// runners (thenpetti-grown trouble-2: nothing was served for 40 s).
TEST(Cluster, SmallNodesLeaveShardsToLargeOnes)
{
  Pass(Seconds(4), { ShardKey(0), NodeKey("small") }, mSmall);
  Pass(Seconds(4), { NodeKey("small"), NodeKey("other") }, mSmall);
  LONGS_EQUAL(0, Claims(mSmall));
  // Nobody larger is left.
  Pass(Seconds(8), { NodeKey("small") }, mSmall);
  LONGS_EQUAL(1, Claims(mSmall));
}

// Guards against a small node that claims a released shard because it has just
// started and knows no larger one (thenpetti-grown fresh-9773: nothing was
// started for seven seconds).
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

// Guards against a small owner that keeps the shard for good.
TEST(Cluster, SmallOwnersHandOverOnceALargeNodeIsThere)
{
  Pass(Seconds(2), { NodeKey("small"), NodeKey("other") }, mSmall);
  CHECK_FALSE(ShouldHandOver(mView, 0, mSmall, mSettings, mNow));
  Pass(Seconds(3), { NodeKey("small"), NodeKey("other") }, mSmall);
  CHECK_TRUE(ShouldHandOver(mView, 0, mSmall, mSettings, mNow));
  CHECK_FALSE(ShouldHandOver(mView, 0, mOther, mSettings, mNow));
}

// Guards against a small node that takes its shard back at once after all hosts
// lost power, before a large one is up.
TEST(Cluster, SmallNodesWaitForLargeOnesAfterARestart)
{
  ShardRow shard;
  shard.mOwner = "small";
  shard.mOwnerIncarnation = 1;
  shard.mEpoch = 1;
  mRows[1].mValue = FormatShardRow(shard);
  mSmall.mIncarnation = 2;
  Pass(Millis(500), { NodeKey("small") }, mSmall);
  LONGS_EQUAL(0, Claims(mSmall));
  Pass(Seconds(4), { NodeKey("small") }, mSmall);
  LONGS_EQUAL(1, Claims(mSmall));
}
