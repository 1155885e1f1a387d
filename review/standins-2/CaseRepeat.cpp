#include "World.h"

#include <algorithm>
#include <cstring>

namespace {

using review::EndSeen;
using review::SleepMs;
using review::World;

constexpr const char* kId = "00000000000000b1";
constexpr int kIntervalMs = 6;

} // namespace

/// A submission is to run 10,040 times, one time each 6 ms. With an argument of
/// 0, it is to run 9,960 times.
int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  const int times = std::strcmp(aArguments[2], "0") != 0 ? 10040 : 9960;
  World world(aArguments[1]);
  world.PutConfiguration();
  for (int i = 0; i < 8; ++i) {
    world.AddRunner(i < 4 ? "zone-a" : "zone-b", { "a", "r1-0" });
  }
  world.AddNode("zone-a");
  world.AddNode("zone-b");
  if (!world.AwaitReady(15000)) {
    world.End(2);
  }
  world.Plan(kId, 0, { 20, "", 0 });
  if (!world.Submit(
        kId,
        R"([{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":20}])",
        "work",
        ",\"repeat_count\":" + std::to_string(times) +
          ",\"interval_ms\":" + std::to_string(kIntervalMs) +
          ",\"initial_delay_ms\":" + std::to_string(review::UnixMs() + 1000))) {
    world.End(2);
  }
  std::string state;
  for (int i = 0; i < 100 && state != "completed"; ++i) {
    SleepMs(1000);
    state = world.State(kId);
  }
  SleepMs(3000);
  const std::vector<EndSeen> ends = world.SeenEnds();
  const auto done =
    std::count_if(ends.begin(), ends.end(), [](const EndSeen& aEnd) {
      return aEnd.mHow == "done";
    });
  const bool broken = state == "completed" && done < times;
  world.mRecord.Write(std::string(broken ? "MIXED broken" : "MIXED held") +
                      ": the submission is shown as " + state + ", " +
                      std::to_string(done) + " of " + std::to_string(times) +
                      " tasks have ended done, and " +
                      std::to_string(world.RunningOf(kId).size()) + " run");
  world.End(broken ? 1 : state == "completed" ? 0 : 2);
}
