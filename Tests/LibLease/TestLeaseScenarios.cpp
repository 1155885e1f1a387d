#include <string>

#include "LeaseSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr LeaseTimes kTimes{ Millis(3000), Millis(1000), Millis(660000) };

void
CheckNoViolation(const LeaseSimulation& aSimulation)
{
  STRCMP_EQUAL("", aSimulation.Violation().c_str());
}

/// Checks that two processes keep their shards for a minute in which each call
/// of the store takes a given time.
void
CheckUninterrupted(LeaseSimulation& aSimulation,
                   VirtualTime aCallTime,
                   bool aOutage)
{
  aSimulation.Start("a", "dc-1");
  aSimulation.Start("c", "dc-2");
  aSimulation.RunFor(Seconds(20));
  aSimulation.SetStoreCallTime(aCallTime);
  aSimulation.SetOutage(aOutage);
  for (int i = 0; i < 600; ++i) {
    aSimulation.RunFor(Millis(100));
    LONGS_EQUAL(6, aSimulation.TotalOwned());
  }
  CheckNoViolation(aSimulation);
}

} // namespace

TEST_GROUP(LeaseScenarios)
{
  LeaseSimulation mSimulation{ { .mSeed = 7, .mTimes = kTimes } };

  /// Starts one process per data centre and waits until all shards are owned.
  void StartTwo()
  {
    mSimulation.Start("a", "dc-1");
    mSimulation.Start("c", "dc-2");
    mSimulation.RunFor(Seconds(20));
    LONGS_EQUAL(3, mSimulation.OwnedBy("a"));
    LONGS_EQUAL(3, mSimulation.OwnedBy("c"));
  }

  /// Starts three processes and kills one together with its successor.
  /// @return the name of the survivor
  std::string KillOwnerAndSuccessor()
  {
    mSimulation.Start("a", "dc-1");
    mSimulation.Start("c", "dc-2");
    mSimulation.Start("d", "dc-2");
    mSimulation.RunFor(Seconds(20));
    LONGS_EQUAL(6, mSimulation.TotalOwned());
    const std::string successor =
      mSimulation.StateOf("a").mConfirmedRenewal.mSuccessor;
    mSimulation.Kill("a");
    mSimulation.Kill(successor);
    return successor == "c" ? "d" : "c";
  }
};

// Guards against a session holder that was frozen until after the end of its
// lease and continues as owner when it resumes.
TEST(LeaseScenarios, FrozenHolderResumesAndOwnsNothing)
{
  StartTwo();
  mSimulation.Pause("a", Seconds(30));
  mSimulation.RunFor(Seconds(29));
  LONGS_EQUAL(6, mSimulation.OwnedBy("c"));
  mSimulation.RunFor(Seconds(1));
  LONGS_EQUAL(0, mSimulation.OwnedBy("a"));
  mSimulation.RunFor(Millis(500));
  LONGS_EQUAL(0, mSimulation.OwnedBy("a"));
  CheckNoViolation(mSimulation);
}

// Guards against an outage of the store that ends all ownership. The promise of
// the successor must keep the owner for ten minutes, with the same epoch.
TEST(LeaseScenarios, OwnerIsKeptThroughTenMinutesOfOutage)
{
  StartTwo();
  const std::uint64_t epoch = mSimulation.HeldShardOf("s0")->mEpoch;
  mSimulation.SetOutage(true);
  for (int i = 0; i < 600; ++i) {
    mSimulation.RunFor(Seconds(1));
    LONGS_EQUAL(6, mSimulation.TotalOwned());
  }
  mSimulation.SetOutage(false);
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(6, mSimulation.TotalOwned());
  CHECK_EQUAL(epoch, mSimulation.HeldShardOf("s0")->mEpoch);
  CheckNoViolation(mSimulation);
}

// Guards against sessions that lapse because the table service is slow and
// calls wait for each other.
TEST(LeaseScenarios, SlowStoreInterruptsNoOwner)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSimulation simulation{ { .mSeed = seed, .mTimes = kTimes } };
    CheckUninterrupted(simulation, Millis(900), false);
  }
}

// Guards against a promise that is requested too late, because each call takes
// its whole time-out during an outage.
TEST(LeaseScenarios, SilentStoreInterruptsNoOwner)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSimulation simulation{ { .mSeed = seed, .mTimes = kTimes } };
    CheckUninterrupted(simulation, Millis(1000), true);
  }
}

// Guards against an owner that continues after the time at which all other
// processes may take over.
TEST(LeaseScenarios, OwnerStopsBeforeOthersMayTakeOver)
{
  StartTwo();
  mSimulation.SetOutage(true);
  mSimulation.RunFor(kTimes.mForeignTakeoverWait);
  LONGS_EQUAL(0, mSimulation.TotalOwned());
  CheckNoViolation(mSimulation);
}

// Guards against an owner that continues without a lease or a promise because
// its successor died during the outage.
TEST(LeaseScenarios, OwnerStopsWhenSuccessorDiesInOutage)
{
  StartTwo();
  mSimulation.SetOutage(true);
  mSimulation.RunFor(Seconds(30));
  LONGS_EQUAL(6, mSimulation.TotalOwned());
  mSimulation.Kill("c");
  mSimulation.RunFor(Seconds(5));
  LONGS_EQUAL(0, mSimulation.TotalOwned());
  mSimulation.SetOutage(false);
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(6, mSimulation.OwnedBy("a"));
  CheckNoViolation(mSimulation);
}

// Guards against a takeover by a process that is not the successor while the
// owner may continue by a promise that this process does not know of.
TEST(LeaseScenarios, ProcessThatIsNotTheSuccessorWaits)
{
  const std::string survivor = KillOwnerAndSuccessor();
  mSimulation.RunFor(kTimes.mForeignTakeoverWait - Seconds(30));
  CHECK_TRUE(mSimulation.OwnedBy(survivor) < 6);
  mSimulation.RunFor(Seconds(60));
  LONGS_EQUAL(6, mSimulation.OwnedBy(survivor));
  CHECK_TRUE(mSimulation.HeldShardOf("s0")->mAcquisition ==
             ShardAcquisition::Takeover);
  CheckNoViolation(mSimulation);
}

// Guards against a takeover that waits although an operator has stated that the
// host of the owner is gone.
TEST(LeaseScenarios, ReleaseEndsTheWait)
{
  const std::string survivor = KillOwnerAndSuccessor();
  mSimulation.RunFor(Seconds(20));
  CHECK_TRUE(mSimulation.OwnedBy(survivor) < 6);
  mSimulation.Release("a");
  mSimulation.RunFor(Seconds(10));
  CHECK_TRUE(mSimulation.OwnersOf("s0") ==
             std::vector<std::string>{ survivor });
  CheckNoViolation(mSimulation);
}

// Guards against a successor that has lost its promise in a restart and takes
// over while the owner still relies on the promise.
TEST(LeaseScenarios, RestartedSuccessorWaits)
{
  StartTwo();
  mSimulation.PartitionFromStore("a", true);
  mSimulation.RunFor(Seconds(30));
  LONGS_EQUAL(3, mSimulation.OwnedBy("a"));
  mSimulation.Kill("c");
  mSimulation.Restart("c");
  mSimulation.PartitionPeers("a", "c", true);
  mSimulation.RunFor(Millis(2000));
  CHECK_FALSE(mSimulation.OwnersOf("s0") == std::vector<std::string>{ "c" });
  mSimulation.RunFor(Seconds(20));
  LONGS_EQUAL(6, mSimulation.OwnedBy("c"));
  CheckNoViolation(mSimulation);
}

// Guards against an owner whose lease has lapsed and that relies on a late
// promise: its successor has ended the session and restarted since, and
// promises without knowing that.
TEST(LeaseScenarios, LapsedOwnerDoesNotReturnByLatePromise)
{
  StartTwo();
  mSimulation.PartitionFromStore("a", true);
  mSimulation.PartitionPeers("a", "c", true);
  mSimulation.RunFor(Seconds(20));
  LONGS_EQUAL(6, mSimulation.OwnedBy("c"));
  mSimulation.Kill("c");
  mSimulation.Restart("c");
  mSimulation.PartitionPeers("a", "c", false);
  for (int i = 0; i < 20; ++i) {
    mSimulation.RunFor(Seconds(1));
    LONGS_EQUAL(0, mSimulation.OwnedBy("a"));
  }
  CheckNoViolation(mSimulation);
}

// Guards against a wait of minutes after all processes were killed and started
// again.
TEST(LeaseScenarios, RestartOfAllProcessesRecoversInSeconds)
{
  StartTwo();
  mSimulation.Kill("a");
  mSimulation.Kill("c");
  mSimulation.Restart("a");
  mSimulation.Restart("c");
  mSimulation.RunFor(Seconds(15));
  LONGS_EQUAL(6, mSimulation.TotalOwned());
  CheckNoViolation(mSimulation);
}

// Guards against shards that stay with an owner in another data centre after a
// process in their own data centre has started.
TEST(LeaseScenarios, ShardsMoveToBetterOwnerByHandOver)
{
  mSimulation.Start("a", "dc-1");
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(6, mSimulation.OwnedBy("a"));
  mSimulation.Start("c", "dc-2");
  mSimulation.RunFor(Seconds(20));
  LONGS_EQUAL(3, mSimulation.OwnedBy("c"));
  CHECK_TRUE(mSimulation.HeldShardOf("s1")->mAcquisition ==
             ShardAcquisition::HandOver);
  CHECK_TRUE(mSimulation.HeldShardOf("s0")->mAcquisition ==
             ShardAcquisition::FirstOwner);
  CheckNoViolation(mSimulation);
}

// Guards against a new owner that can't find its predecessor, from which it
// fetches the data of the shard, because the predecessor's session ended at
// once.
TEST(LeaseScenarios, NewOwnerSeesSessionOfLeavingPredecessor)
{
  StartTwo();
  mSimulation.Leave("a");
  for (int i = 0; i < 10000 && mSimulation.OwnedBy("c") < 6; ++i) {
    mSimulation.RunFor(Millis(1));
  }
  LONGS_EQUAL(6, mSimulation.OwnedBy("c"));
  LONGS_EQUAL(2, LiveMembers(mSimulation.StateOf("c"), "gateway").size());
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(1, LiveMembers(mSimulation.StateOf("c"), "gateway").size());
  CheckNoViolation(mSimulation);
}

// Guards against more than about one write per process and second to the table
// service, and against full scans at each step.
TEST(LeaseScenarios, SixteenProcessesWriteAboutSixteenTimesPerSecond)
{
  for (int i = 0; i < 16; ++i) {
    mSimulation.Start("m" + std::to_string(i), i % 2 == 0 ? "dc-1" : "dc-2");
  }
  mSimulation.RunFor(Seconds(30));
  const TableCounters before = mSimulation.Counters();
  mSimulation.RunFor(Seconds(60));
  const TableCounters after = mSimulation.Counters();
  CHECK_COMPARE(after.mWrites - before.mWrites, <=, std::uint64_t(60) * 17);
  CHECK_COMPARE(after.mReads - before.mReads, <=, std::uint64_t(60) * 34);
  LONGS_EQUAL(6, mSimulation.TotalOwned());
}
