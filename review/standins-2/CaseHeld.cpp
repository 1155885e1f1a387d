#include "World.h"

#include <cstring>

namespace {

using review::Runner;
using review::SleepMs;
using review::World;

constexpr const char* kLong = "00000000000000a1";
constexpr const char* kLasting = "00000000000000a2";
constexpr const char* kSmall = "00000000000000a3";

bool
IdleForThreeSeconds(World& aWorld)
{
  constexpr int kLooks = 60;
  constexpr std::int64_t kPauseMs = 50;
  for (int i = 0; i <= kLooks; ++i) {
    if (!aWorld.RunningOf(kSmall).empty()) {
      return false;
    }
    SleepMs(kPauseMs);
  }
  return true;
}

} // namespace

/// Two of eight runners are of kind b. One runs half full with a task of a
/// minute. The other, with a lasting task, is lost for good. A small submission
/// that requires kind b is handed in, for which the first has room many times
/// over. With an argument of 0, no runner is lost.
int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  const bool trouble = std::strcmp(aArguments[2], "0") != 0;
  World world(aArguments[1]);
  world.PutConfiguration();
  std::vector<Runner*> runners;
  runners.reserve(8);
  for (int i = 0; i < 8; ++i) {
    runners.push_back(&world.AddRunner(i % 2 == 0 ? "zone-a" : "zone-b",
                                       { i < 6 ? "a" : "b", "r1-0" }));
  }
  world.AddNode("zone-a");
  world.AddNode("zone-b");
  if (!world.AwaitReady(15000)) {
    world.End(2);
  }
  world.Plan(kLong, 0, { 60000, "b", 0 });
  world.Plan(kLasting, 0, { 0, "b", 0 });
  world.Plan(kSmall, 0, { 500, "b", 0 });
  const auto awaitRunning = [&](const char* aId) {
    for (int i = 0; i < 100 && world.RunningOf(aId).empty(); ++i) {
      SleepMs(50);
    }
    return !world.RunningOf(aId).empty();
  };
  if (!world.Submit(kLong,
                    R"([{"count":1,"cpu":7500,"mem_mb":8000,)"
                    R"("estimate_ms":60000,"requires":"b"}])") ||
      !awaitRunning(kLong) ||
      !world.Submit(kLasting,
                    R"([{"count":1,"cpu":9000,"mem_mb":8000,)"
                    R"("estimate_ms":500,"long_running":true,)"
                    R"("requires":"b"}])") ||
      !awaitRunning(kLasting)) {
    world.End(2);
  }
  SleepMs(2000);
  if (trouble) {
    for (Runner* runner : runners) {
      const std::string task = std::string(kLasting) + ".0.0.0";
      if (runner->Running().count(task) > 0) {
        runner->Crash();
        runner->Unlist();
      }
    }
  }
  SleepMs(9000); // The lease of the lost runner ends.
  if (!world.Submit(kSmall,
                    R"([{"count":2,"cpu":500,"mem_mb":500,)"
                    R"("estimate_ms":500,"requires":"b"}])")) {
    world.End(2);
  }
  world.mRecord.Write("end of the traffic");
  SleepMs(14000); // finish_s
  const std::string state = world.State(kSmall);
  const bool broken = state != "completed" && IdleForThreeSeconds(world);
  world.mRecord.Write(
    broken ? "LOST broken: the small submission has had nothing running for 3 "
             "s; its tasks need 1 core and 1,000 MB, the runner of kind b has "
             "8.5 cores and 56,000 MB left, and 7.5 of 112 cores are in use"
           : "LOST held");
  world.End(broken ? 1 : state == "completed" ? 0 : 2);
}
