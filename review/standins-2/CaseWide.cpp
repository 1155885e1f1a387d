#include "World.h"

#include <cstring>

namespace {

using review::SleepMs;
using review::World;

constexpr const char* kWide = "00000000000000c1";
constexpr std::size_t kWidth = 12;

/// Rule LOST, for tasks that last: one doesn't run for 3 s, although there is
/// capacity for it twice over.
bool
AnyIdleForThreeSeconds(World& aWorld)
{
  constexpr int kLooks = 60;
  constexpr std::int64_t kPauseMs = 50;
  std::set<std::string> seen;
  for (int i = 0; i <= kLooks; ++i) {
    seen.merge(aWorld.RunningOf(kWide));
    SleepMs(kPauseMs);
  }
  return seen.size() < kWidth;
}

} // namespace

/// 16 of 32 runners have a lasting task of 9 of their 16 cores. A submission of
/// 12 lasting tasks with 8 cores, at most one on a runner, is handed in. With
/// an argument of 0, only four runners have such a task.
int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  const int before = std::strcmp(aArguments[2], "0") != 0 ? 16 : 4;
  World world(aArguments[1]);
  world.mLinkMbps = 2;
  world.PutConfiguration();
  for (int i = 0; i < 32; ++i) {
    world.AddRunner(i < 16 ? "zone-a" : "zone-b", { "a", "r1-0" });
  }
  world.AddNode("zone-a");
  world.AddNode("zone-b");
  world.AddNode("zone-b");
  if (!world.AwaitReady(20000)) {
    world.End(2);
  }
  SleepMs(2000);
  const auto lasting = [](int aTasks, int aCpu) {
    return "[{\"count\":" + std::to_string(aTasks) +
           ",\"cpu\":" + std::to_string(aCpu) +
           ",\"mem_mb\":4000,\"estimate_ms\":500,\"long_running\":true,"
           "\"anti_affinity\":1}]";
  };
  for (int i = 1; i <= before; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", i);
    world.Plan(id, 0, { 0, "", 0 });
    if (!world.Submit(id, lasting(1, 9000))) {
      world.End(2);
    }
    SleepMs(600);
  }
  world.Plan(kWide, 0, { 0, "", 0 });
  if (!world.Submit(kWide, lasting(kWidth, 8000))) {
    world.End(2);
  }
  world.mRecord.Write("end of the traffic");
  SleepMs(14000); // finish_s
  const std::string state = world.State(kWide);
  const bool broken = AnyIdleForThreeSeconds(world);
  world.mRecord.Write(
    std::to_string(world.RunningOf(kWide).size()) + " of " +
    std::to_string(kWidth) + " tasks run, " +
    (broken ? "LOST broken: the others have not run for 14 s" : "LOST held"));
  world.End(broken ? 1 : 0);
}
