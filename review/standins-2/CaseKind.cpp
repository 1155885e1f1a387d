#include "World.h"

#include <algorithm>
#include <cstring>

namespace {

using review::Runner;
using review::SleepMs;
using review::StartSeen;
using review::World;

} // namespace

/// Runners crash one after the other, and each starts again at once under its
/// id as a runner of another kind, whose entry in the store is there as soon as
/// it serves. Clients go on handing in submissions that require one kind. With
/// an argument of 0, no runner crashes.
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
  std::vector<std::string> kinds;
  constexpr int kRunners = 8;
  for (int i = 0; i < kRunners; ++i) {
    kinds.emplace_back(i % 2 == 0 ? "a" : "b");
    runners.push_back(
      &world.AddRunner(i < 4 ? "zone-a" : "zone-b",
                       { kinds.back(), "r1-" + std::to_string(i / 4) }));
  }
  world.AddNode("zone-a");
  world.AddNode("zone-b");
  if (!world.AwaitReady(15000)) {
    world.End(2);
  }
  int number = 0;
  const auto submit = [&] {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++number);
    const std::string kind = number % 2 == 0 ? "a" : "b";
    world.Plan(id, 0, { 400, kind, 0 });
    return world.Submit(id,
                        "[{\"count\":6,\"cpu\":2000,\"mem_mb\":1000,"
                        "\"estimate_ms\":400,\"requires\":\"" +
                          kind + "\"}]");
  };
  for (int round = 0; round < 24; ++round) {
    for (int i = 0; i < 20; ++i) {
      if (!submit()) {
        world.End(2);
      }
      SleepMs(60);
      if (trouble && i == 8) {
        Runner& runner = *runners[static_cast<std::size_t>(round % kRunners)];
        std::string& kind = kinds[static_cast<std::size_t>(round % kRunners)];
        runner.Crash();
        SleepMs(200 + 70 * (round % kRunners));
        kind = kind == "a" ? "b" : "a";
        runner.Restart({ kind, "r1-" + std::to_string(round % kRunners / 4) });
      }
    }
    SleepMs(1500);
  }
  SleepMs(5000);
  world.EndNodes();
  int broken = 0;
  for (const StartSeen& start : world.Starts()) {
    const std::string label = world.PlanOf(start.mTask).mLabel;
    if (std::find(start.mLabels.begin(), start.mLabels.end(), label) ==
        start.mLabels.end()) {
      ++broken;
      world.mRecord.Write("ROUTE broken: " + start.mTask + " requires " +
                          label + " and was started on " + start.mRunner +
                          ", which is not of that kind");
    }
  }
  world.mRecord.Write(std::to_string(world.Starts().size()) + " starts, " +
                      std::to_string(broken) + " without the label");
  world.End(broken > 0 ? 1 : 0);
}
