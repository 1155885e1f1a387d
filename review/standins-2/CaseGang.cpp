#include "World.h"

#include <cstring>

namespace {

using review::SleepMs;
using review::World;

constexpr const char* kGang = "00000000000000aa";
constexpr int kMembers = 36;

/// Rule LOST: `finish_s` after the end of the traffic, a submission has nothing
/// running for 3 s, although there is capacity for it twice over.
/// @return whether the rule was broken
bool
IdleForThreeSeconds(World& aWorld)
{
  constexpr int kLooks = 60;
  constexpr std::int64_t kPauseMs = 50;
  for (int i = 0; i <= kLooks; ++i) {
    if (!aWorld.RunningOf(kGang).empty()) {
      return false;
    }
    SleepMs(kPauseMs);
  }
  return true;
}

} // namespace

/// A zone is evacuated, so that two of four runners are left. A gang is handed
/// in for which they have room twice over. With an argument of 0, no zone is
/// evacuated.
int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  const bool trouble = std::strcmp(aArguments[2], "0") != 0;
  World world(aArguments[1]);
  world.PutConfiguration();
  for (int i = 0; i < 4; ++i) {
    world.AddRunner(i < 2 ? "zone-a" : "zone-b", { "a", "r1-0" });
  }
  world.AddNode("zone-a");
  world.AddNode("zone-b");
  if (!world.AwaitReady(15000)) {
    world.End(2);
  }
  const std::string first = "0000000000000001";
  world.Plan(first, 0, { 500, "", 0 });
  if (!world.Submit(
        first, R"([{"count":8,"cpu":400,"mem_mb":500,"estimate_ms":500}])")) {
    world.End(2);
  }
  if (trouble) {
    world.Evacuate("zone-b");
  }
  SleepMs(5000); // evacuate_ms
  world.Plan(kGang, 0, { 1000, "", kMembers });
  if (world.State(first) != "completed" ||
      !world.Submit(kGang,
                    "[{\"count\":" + std::to_string(kMembers) +
                      ",\"cpu\":400,\"mem_mb\":500,\"estimate_ms\":1000,"
                      "\"gang\":true}]")) {
    world.End(2);
  }
  world.mRecord.Write("end of the traffic");
  SleepMs(14000); // finish_s
  std::string state = world.State(kGang);
  const bool broken = state != "completed" && IdleForThreeSeconds(world);
  world.mRecord.Write(
    broken ? "LOST broken: the gang has had nothing running for 3 s; its "
             "members need 14.4 cores and 18,000 MB, the runners left have 32 "
             "cores and 128,000 MB, of which nothing is in use"
           : "LOST held");
  if (broken) {
    // Only to show that nothing else is wrong with the submission.
    world.EndEvacuation("zone-b");
    SleepMs(6000);
    state = world.State(kGang);
  }
  world.End(broken ? 1 : state == "completed" ? 0 : 2);
}
