#include <string>

#include "LeaseWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint64_t kSeeds = 200;
const std::string kNames[] = { "a", "b", "c", "d", "e" };

/// Shorter than in operation, so that a schedule sees the wait end.
constexpr LeaseTimes kTimes{ Millis(3000), Millis(1000), Millis(30000) };

void
StartAll(LeaseWorld& aWorld)
{
  aWorld.Start("a", "dc-1", "r1");
  aWorld.Start("b", "dc-1", "r1");
  aWorld.Start("c", "dc-2", "r1");
  aWorld.Start("d", "dc-2", "r1");
  aWorld.Start("e", "dc-3", "r2");
}

/// Changes one random condition of the world.
void
Disturb(LeaseWorld& aWorld)
{
  const std::string& name = kNames[aWorld.Random(5)];
  const std::string& other = kNames[aWorld.Random(5)];
  switch (aWorld.Random(12)) {
    case 0:
      aWorld.SetOutage(true);
      return;
    case 1:
    case 2:
      aWorld.SetOutage(false);
      return;
    case 3:
    case 4:
      if (aWorld.Alive(name)) {
        aWorld.Pause(name, Millis(aWorld.Random(20000)));
      }
      return;
    case 5:
      if (aWorld.Alive(name)) {
        aWorld.Kill(name);
      }
      return;
    case 6:
    case 7:
      if (!aWorld.Alive(name)) {
        aWorld.Restart(name);
      }
      return;
    case 8:
      aWorld.CutFromStore(name, aWorld.Random(2) == 0);
      return;
    case 9:
      aWorld.CutPeers(name, other, aWorld.Random(2) == 0);
      return;
    case 10:
      aWorld.SetWriteFaults(aWorld.Random(300), aWorld.Random(100));
      return;
    default:
      // A quiet moment, in which sessions start and shards move.
      aWorld.RunFor(Millis(aWorld.Random(10000)));
  }
}

/// Ends all faults.
void
Heal(LeaseWorld& aWorld)
{
  aWorld.SetOutage(false);
  aWorld.SetWriteFaults(0, 0);
  for (const std::string& name : kNames) {
    aWorld.CutFromStore(name, false);
    aWorld.Pause(name, VirtualTime(0));
    for (const std::string& other : kNames) {
      aWorld.CutPeers(name, other, false);
    }
    if (!aWorld.Alive(name)) {
      aWorld.Restart(name);
    }
  }
}

} // namespace

TEST_GROUP(LeaseSchedules){};

// Guards against two valid owners of a shard at one moment, epochs that go
// back, and shards that stay without an owner for good, under pauses, cuts,
// lost and late writes, outages and restarts in any order.
TEST(LeaseSchedules, NeverTwoOwnersAndAllOwnedAfterwards)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseWorld world({ .mSeed = seed, .mTimes = kTimes });
    StartAll(world);
    for (int step = 0; step < 60; ++step) {
      world.RunFor(Millis(world.Random(3000)));
      Disturb(world);
    }
    Heal(world);
    world.RunFor(kTimes.mForeignTakeoverWait + Seconds(30));
    const std::string told = "seed " + std::to_string(seed) + ": ";
    STRCMP_EQUAL((told).c_str(), (told + world.Violation()).c_str());
    LONGS_EQUAL_TEXT(6, world.Owned(), told.c_str());
  }
}
