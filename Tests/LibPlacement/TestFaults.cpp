#include "Model.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::test;

namespace {

constexpr std::uint64_t kSeeds = 240; ///< Number of simulations per policy.

/// Runs the simulation with each seed and fails on the first violation.
void
RunSeeds(const std::string& aPolicy)
{
  std::size_t starts = 0;
  std::size_t evictions = 0;
  std::size_t takeovers = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ModelSettings settings;
    settings.mSeed = seed;
    settings.mPolicy = aPolicy;
    Model model(settings);
    model.Run();
    if (!model.Violations().empty()) {
      const std::string message =
        "seed " + std::to_string(seed) + " " + model.Violations().front();
      FAIL(message.c_str());
    }
    starts += model.Starts();
    evictions += model.Evictions();
    takeovers += model.Takeovers();
  }
  // The runs prove little unless starts, evictions and takeovers occurred.
  CHECK_TRUE(starts > kSeeds * 60);
  CHECK_TRUE(evictions > kSeeds);
  CHECK_TRUE(takeovers > kSeeds);
}

} // namespace

TEST_GROUP(Faults){};

// Guards against a task that runs in two places, a worker that is committed
// beyond its capacity, lost checkpoints, and jobs that never finish. The faults
// are silent, rebooting and failing workers, lost and late messages, takeovers,
// cancellations, outages of the table, and data centres that go out of service
// and return.
TEST(Faults, LearnedPolicyKeepsGuarantees)
{
  RunSeeds("learned");
}

// Guards against the same violations with the other policy.
TEST(Faults, FirstFitPolicyKeepsGuarantees)
{
  RunSeeds("first-fit");
}
