#include <string>

#include "LeaseSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint64_t kSeeds = 200;
const std::string kNames[] = { "a", "b", "c", "d", "e" };

/// The takeover wait is shorter than in operation, so that it ends during a
/// schedule.
constexpr LeaseTimes kTimes{ Millis(3000), Millis(1000), Millis(30000) };

void
StartAll(LeaseSimulation& aSimulation)
{
  aSimulation.Start("a", "dc-1", "r1");
  aSimulation.Start("b", "dc-1", "r1");
  aSimulation.Start("c", "dc-2", "r1");
  aSimulation.Start("d", "dc-2", "r1");
  aSimulation.Start("e", "dc-3", "r2");
}

/// Starts or ends one random fault.
void
InjectRandomFault(LeaseSimulation& aSimulation)
{
  const std::string& name = kNames[aSimulation.Random(5)];
  const std::string& other = kNames[aSimulation.Random(5)];
  switch (aSimulation.Random(12)) {
    case 0:
      aSimulation.SetOutage(true);
      return;
    case 1:
    case 2:
      aSimulation.SetOutage(false);
      return;
    case 3:
    case 4:
      if (aSimulation.IsAlive(name)) {
        aSimulation.Pause(name, Millis(aSimulation.Random(20000)));
      }
      return;
    case 5:
      if (aSimulation.IsAlive(name)) {
        aSimulation.Kill(name);
      }
      return;
    case 6:
    case 7:
      if (!aSimulation.IsAlive(name)) {
        aSimulation.Restart(name);
      }
      return;
    case 8:
      aSimulation.PartitionFromStore(name, aSimulation.Random(2) == 0);
      return;
    case 9:
      aSimulation.PartitionPeers(name, other, aSimulation.Random(2) == 0);
      return;
    case 10:
      aSimulation.SetWriteFaults(aSimulation.Random(300),
                                 aSimulation.Random(100));
      return;
    default:
      // Nothing fails for a time, so that sessions start and shards move.
      aSimulation.RunFor(Millis(aSimulation.Random(10000)));
  }
}

/// Ends all faults.
void
EndAllFaults(LeaseSimulation& aSimulation)
{
  aSimulation.SetOutage(false);
  aSimulation.SetWriteFaults(0, 0);
  for (const std::string& name : kNames) {
    aSimulation.PartitionFromStore(name, false);
    aSimulation.Pause(name, VirtualTime(0));
    for (const std::string& other : kNames) {
      aSimulation.PartitionPeers(name, other, false);
    }
    if (!aSimulation.IsAlive(name)) {
      aSimulation.Restart(name);
    }
  }
}

} // namespace

TEST_GROUP(LeaseSchedules){};

// Guards against two valid owners of a shard at the same time, epochs that
// decrease, and shards that never get an owner again, under pauses, partitions,
// lost answers, late writes, outages and restarts in random order.
TEST(LeaseSchedules, NeverTwoOwnersAndAllOwnedAfterwards)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseSimulation simulation({ .mSeed = seed, .mTimes = kTimes });
    StartAll(simulation);
    for (int step = 0; step < 60; ++step) {
      simulation.RunFor(Millis(simulation.Random(3000)));
      InjectRandomFault(simulation);
    }
    EndAllFaults(simulation);
    simulation.RunFor(kTimes.mForeignTakeoverWait + Seconds(30));
    const std::string seedText = "seed " + std::to_string(seed) + ": ";
    STRCMP_EQUAL((seedText).c_str(),
                 (seedText + simulation.Violation()).c_str());
    LONGS_EQUAL_TEXT(6, simulation.TotalOwned(), seedText.c_str());
  }
}
