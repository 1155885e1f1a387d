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
    LONGS_EQUAL(6, aSimulation.Owned());
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
    LONGS_EQUAL(6, mSimulation.Owned());
    const std::string successor =
      mSimulation.StateOf("a").mConfirmedRenewal.mSuccessor;
    mSimulation.Kill("a");
    mSimulation.Kill(successor);
    return successor == "c" ? "d" : "c";
  }
};

// Guards against a holder that was frozen beyond its lease and goes on as
// owner when it resumes.
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

// Guards against an outage of the store that stops all service: the promise
// of the successor keeps the owner for ten minutes, with the same epoch.
TEST(LeaseScenarios, OwnerIsKeptThroughTenMinutesOfOutage)
{
  StartTwo();
  const std::uint64_t epoch = mSimulation.Held("s0")->mEpoch;
  mSimulation.SetOutage(true);
  for (int i = 0; i < 600; ++i) {
    mSimulation.RunFor(Seconds(1));
    LONGS_EQUAL(6, mSimulation.Owned());
  }
  mSimulation.SetOutage(false);
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(6, mSimulation.Owned());
  CHECK_EQUAL(epoch, mSimulation.Held("s0")->mEpoch);
  CheckNoViolation(mSimulation);
}

// Guards against a table service that is slow, but works, and makes sessions
// lapse because calls wait for each other.
TEST(LeaseScenarios, SlowStoreInterruptsNoOwner)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSimulation simulation{ { .mSeed = seed, .mTimes = kTimes } };
    CheckUninterrupted(simulation, Millis(900), false);
  }
}

// Guards against an outage in which each call takes its whole time-out, so
// that the promise is asked for too late.
TEST(LeaseScenarios, SilentStoreInterruptsNoOwner)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSimulation simulation{ { .mSeed = seed, .mTimes = kTimes } };
    CheckUninterrupted(simulation, Millis(1000), true);
  }
}

// Guards against an owner that outlives the wait of all other processes.
TEST(LeaseScenarios, OwnerStopsBeforeOthersMayTakeOver)
{
  StartTwo();
  mSimulation.SetOutage(true);
  mSimulation.RunFor(kTimes.mForeignTakeoverWait);
  LONGS_EQUAL(0, mSimulation.Owned());
  CheckNoViolation(mSimulation);
}

// Guards against an owner without a lease or a promise: the successor is lost
// during the outage, too.
TEST(LeaseScenarios, OwnerStopsWhenSuccessorDiesInOutage)
{
  StartTwo();
  mSimulation.SetOutage(true);
  mSimulation.RunFor(Seconds(30));
  LONGS_EQUAL(6, mSimulation.Owned());
  mSimulation.Kill("c");
  mSimulation.RunFor(Seconds(5));
  LONGS_EQUAL(0, mSimulation.Owned());
  mSimulation.SetOutage(false);
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(6, mSimulation.OwnedBy("a"));
  CheckNoViolation(mSimulation);
}

// Guards against a takeover by a process that has promised nothing, while the
// owner may go on with a promise that nobody else knows of.
TEST(LeaseScenarios, ForeignTakerWaits)
{
  const std::string survivor = KillOwnerAndSuccessor();
  mSimulation.RunFor(kTimes.mForeignTakeoverWait - Seconds(30));
  CHECK_TRUE(mSimulation.OwnedBy(survivor) < 6);
  mSimulation.RunFor(Seconds(60));
  LONGS_EQUAL(6, mSimulation.OwnedBy(survivor));
  CHECK_TRUE(mSimulation.Held("s0")->mAcquisition ==
             ShardAcquisition::Takeover);
  CheckNoViolation(mSimulation);
}

// Guards against an operator who knows that the hosts are gone and has to
// wait all the same.
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

// Guards against a successor that has forgotten its promise by restarting
// and takes over while the owner still relies on it.
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

// Guards against an owner that lapsed and believes a late promise: its
// successor has ended the session, has restarted, and knows nothing of it.
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

// Guards against a wait of minutes after all processes were killed and
// started again.
TEST(LeaseScenarios, RestartOfAllProcessesRecoversInSeconds)
{
  StartTwo();
  mSimulation.Kill("a");
  mSimulation.Kill("c");
  mSimulation.Restart("a");
  mSimulation.Restart("c");
  mSimulation.RunFor(Seconds(15));
  LONGS_EQUAL(6, mSimulation.Owned());
  CheckNoViolation(mSimulation);
}

// Guards against shards that stay far away although an owner in their data
// centre has appeared.
TEST(LeaseScenarios, ShardsMoveToBetterOwnerByHandOver)
{
  mSimulation.Start("a", "dc-1");
  mSimulation.RunFor(Seconds(10));
  LONGS_EQUAL(6, mSimulation.OwnedBy("a"));
  mSimulation.Start("c", "dc-2");
  mSimulation.RunFor(Seconds(20));
  LONGS_EQUAL(3, mSimulation.OwnedBy("c"));
  CHECK_TRUE(mSimulation.Held("s1")->mAcquisition ==
             ShardAcquisition::HandOver);
  CHECK_TRUE(mSimulation.Held("s0")->mAcquisition ==
             ShardAcquisition::FirstOwner);
  CheckNoViolation(mSimulation);
}

// Guards against a new owner that does not find its predecessor, from which it
// fetches what belongs to the shard, because the session ended at once.
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

// Guards against a load on the table service that grows beyond one write per
// process and second, or scans of everything at each step.
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
  LONGS_EQUAL(6, mSimulation.Owned());
}
