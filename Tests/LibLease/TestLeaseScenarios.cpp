#include <string>

#include "LeaseWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr LeaseTimes kTimes{ Millis(3000), Millis(1000), Millis(660000) };

void
CheckSound(const LeaseWorld& aWorld)
{
  STRCMP_EQUAL("", aWorld.Violation().c_str());
}

/// Checks that two processes keep their shards for a minute in which each call
/// of the store takes a given time.
void
CheckUninterrupted(LeaseWorld& aWorld, VirtualTime aCallTime, bool aOutage)
{
  aWorld.Start("a", "dc-1");
  aWorld.Start("c", "dc-2");
  aWorld.RunFor(Seconds(20));
  aWorld.SetCallTime(aCallTime);
  aWorld.SetOutage(aOutage);
  for (int i = 0; i < 600; ++i) {
    aWorld.RunFor(Millis(100));
    LONGS_EQUAL(6, aWorld.Owned());
  }
  CheckSound(aWorld);
}

} // namespace

TEST_GROUP(LeaseScenarios)
{
  LeaseWorld mWorld{ { .mSeed = 7, .mTimes = kTimes } };

  /// Starts one process per data centre and waits until all shards are owned.
  void StartTwo()
  {
    mWorld.Start("a", "dc-1");
    mWorld.Start("c", "dc-2");
    mWorld.RunFor(Seconds(20));
    LONGS_EQUAL(3, mWorld.OwnedBy("a"));
    LONGS_EQUAL(3, mWorld.OwnedBy("c"));
  }

  /// Starts three processes and kills one together with its successor.
  /// @return the name of the survivor
  std::string KillOwnerAndSuccessor()
  {
    mWorld.Start("a", "dc-1");
    mWorld.Start("c", "dc-2");
    mWorld.Start("d", "dc-2");
    mWorld.RunFor(Seconds(20));
    LONGS_EQUAL(6, mWorld.Owned());
    const std::string successor = mWorld.StateOf("a").mConfirmed.mSuccessor;
    mWorld.Kill("a");
    mWorld.Kill(successor);
    return successor == "c" ? "d" : "c";
  }
};

// Guards against a holder that was frozen beyond its lease and goes on as
// owner when it resumes.
TEST(LeaseScenarios, FrozenHolderResumesAndOwnsNothing)
{
  StartTwo();
  mWorld.Pause("a", Seconds(30));
  mWorld.RunFor(Seconds(29));
  LONGS_EQUAL(6, mWorld.OwnedBy("c"));
  mWorld.RunFor(Seconds(1));
  LONGS_EQUAL(0, mWorld.OwnedBy("a"));
  mWorld.RunFor(Millis(500));
  LONGS_EQUAL(0, mWorld.OwnedBy("a"));
  CheckSound(mWorld);
}

// Guards against an outage of the store that stops all service: the promise
// of the successor keeps the owner for ten minutes, with the same epoch.
TEST(LeaseScenarios, OwnerIsKeptThroughTenMinutesOfOutage)
{
  StartTwo();
  const std::uint64_t epoch = mWorld.Held("s0")->mEpoch;
  mWorld.SetOutage(true);
  for (int i = 0; i < 600; ++i) {
    mWorld.RunFor(Seconds(1));
    LONGS_EQUAL(6, mWorld.Owned());
  }
  mWorld.SetOutage(false);
  mWorld.RunFor(Seconds(10));
  LONGS_EQUAL(6, mWorld.Owned());
  CHECK_EQUAL(epoch, mWorld.Held("s0")->mEpoch);
  CheckSound(mWorld);
}

// Guards against a table service that is slow, but works, and makes sessions
// lapse because calls wait for each other.
TEST(LeaseScenarios, SlowStoreInterruptsNoOwner)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseWorld world{ { .mSeed = seed, .mTimes = kTimes } };
    CheckUninterrupted(world, Millis(900), false);
  }
}

// Guards against an outage in which each call takes its whole time-out, so
// that the promise is asked for too late.
TEST(LeaseScenarios, SilentStoreInterruptsNoOwner)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseWorld world{ { .mSeed = seed, .mTimes = kTimes } };
    CheckUninterrupted(world, Millis(1000), true);
  }
}

// Guards against an owner that outlives the wait of all other processes.
TEST(LeaseScenarios, OwnerStopsBeforeOthersMayTakeOver)
{
  StartTwo();
  mWorld.SetOutage(true);
  mWorld.RunFor(kTimes.mForeignTakeoverWait);
  LONGS_EQUAL(0, mWorld.Owned());
  CheckSound(mWorld);
}

// Guards against an owner without a lease or a promise: the successor is lost
// during the outage, too.
TEST(LeaseScenarios, OwnerStopsWhenSuccessorDiesInOutage)
{
  StartTwo();
  mWorld.SetOutage(true);
  mWorld.RunFor(Seconds(30));
  LONGS_EQUAL(6, mWorld.Owned());
  mWorld.Kill("c");
  mWorld.RunFor(Seconds(5));
  LONGS_EQUAL(0, mWorld.Owned());
  mWorld.SetOutage(false);
  mWorld.RunFor(Seconds(10));
  LONGS_EQUAL(6, mWorld.OwnedBy("a"));
  CheckSound(mWorld);
}

// Guards against a takeover by a process that has promised nothing, while the
// owner may go on with a promise that nobody else knows of.
TEST(LeaseScenarios, ForeignTakerWaits)
{
  const std::string survivor = KillOwnerAndSuccessor();
  mWorld.RunFor(kTimes.mForeignTakeoverWait - Seconds(30));
  CHECK_TRUE(mWorld.OwnedBy(survivor) < 6);
  mWorld.RunFor(Seconds(60));
  LONGS_EQUAL(6, mWorld.OwnedBy(survivor));
  CHECK_TRUE(mWorld.Held("s0")->mAcquisition == ShardAcquisition::Takeover);
  CheckSound(mWorld);
}

// Guards against an operator who knows that the hosts are gone and has to
// wait all the same.
TEST(LeaseScenarios, ReleaseEndsTheWait)
{
  const std::string survivor = KillOwnerAndSuccessor();
  mWorld.RunFor(Seconds(20));
  CHECK_TRUE(mWorld.OwnedBy(survivor) < 6);
  mWorld.Release("a");
  mWorld.RunFor(Seconds(10));
  CHECK_TRUE(mWorld.OwnersOf("s0") == std::vector<std::string>{ survivor });
  CheckSound(mWorld);
}

// Guards against a successor that has forgotten its promise by restarting
// and takes over while the owner still relies on it.
TEST(LeaseScenarios, RestartedSuccessorWaits)
{
  StartTwo();
  mWorld.CutFromStore("a", true);
  mWorld.RunFor(Seconds(30));
  LONGS_EQUAL(3, mWorld.OwnedBy("a"));
  mWorld.Kill("c");
  mWorld.Restart("c");
  mWorld.CutPeers("a", "c", true);
  mWorld.RunFor(Millis(2000));
  CHECK_FALSE(mWorld.OwnersOf("s0") == std::vector<std::string>{ "c" });
  mWorld.RunFor(Seconds(20));
  LONGS_EQUAL(6, mWorld.OwnedBy("c"));
  CheckSound(mWorld);
}

// Guards against an owner that lapsed and believes a late promise: its
// successor has ended the session, has restarted, and knows nothing of it.
TEST(LeaseScenarios, LapsedOwnerDoesNotReturnByLatePromise)
{
  StartTwo();
  mWorld.CutFromStore("a", true);
  mWorld.CutPeers("a", "c", true);
  mWorld.RunFor(Seconds(20));
  LONGS_EQUAL(6, mWorld.OwnedBy("c"));
  mWorld.Kill("c");
  mWorld.Restart("c");
  mWorld.CutPeers("a", "c", false);
  for (int i = 0; i < 20; ++i) {
    mWorld.RunFor(Seconds(1));
    LONGS_EQUAL(0, mWorld.OwnedBy("a"));
  }
  CheckSound(mWorld);
}

// Guards against a wait of minutes after all processes were killed and
// started again.
TEST(LeaseScenarios, RestartOfAllProcessesRecoversInSeconds)
{
  StartTwo();
  mWorld.Kill("a");
  mWorld.Kill("c");
  mWorld.Restart("a");
  mWorld.Restart("c");
  mWorld.RunFor(Seconds(15));
  LONGS_EQUAL(6, mWorld.Owned());
  CheckSound(mWorld);
}

// Guards against shards that stay far away although an owner in their data
// centre has appeared.
TEST(LeaseScenarios, ShardsMoveToBetterOwnerByHandOver)
{
  mWorld.Start("a", "dc-1");
  mWorld.RunFor(Seconds(10));
  LONGS_EQUAL(6, mWorld.OwnedBy("a"));
  mWorld.Start("c", "dc-2");
  mWorld.RunFor(Seconds(20));
  LONGS_EQUAL(3, mWorld.OwnedBy("c"));
  CHECK_TRUE(mWorld.Held("s1")->mAcquisition == ShardAcquisition::HandOver);
  CHECK_TRUE(mWorld.Held("s0")->mAcquisition == ShardAcquisition::FirstOwner);
  CheckSound(mWorld);
}

// Guards against a new owner that does not find its predecessor, from which it
// fetches what belongs to the shard, because the session ended at once.
TEST(LeaseScenarios, NewOwnerSeesSessionOfLeavingPredecessor)
{
  StartTwo();
  mWorld.Leave("a");
  for (int i = 0; i < 10000 && mWorld.OwnedBy("c") < 6; ++i) {
    mWorld.RunFor(Millis(1));
  }
  LONGS_EQUAL(6, mWorld.OwnedBy("c"));
  LONGS_EQUAL(2, LiveMembers(mWorld.StateOf("c"), "gateway").size());
  mWorld.RunFor(Seconds(10));
  LONGS_EQUAL(1, LiveMembers(mWorld.StateOf("c"), "gateway").size());
  CheckSound(mWorld);
}

// Guards against a load on the table service that grows beyond one write per
// process and second, or scans of everything at each step.
TEST(LeaseScenarios, SixteenProcessesWriteAboutSixteenTimesPerSecond)
{
  for (int i = 0; i < 16; ++i) {
    mWorld.Start("m" + std::to_string(i), i % 2 == 0 ? "dc-1" : "dc-2");
  }
  mWorld.RunFor(Seconds(30));
  const TableCounters before = mWorld.Counters();
  mWorld.RunFor(Seconds(60));
  const TableCounters after = mWorld.Counters();
  CHECK_COMPARE(after.mWrites - before.mWrites, <=, std::uint64_t(60) * 17);
  CHECK_COMPARE(after.mReads - before.mReads, <=, std::uint64_t(60) * 34);
  LONGS_EQUAL(6, mWorld.Owned());
}
