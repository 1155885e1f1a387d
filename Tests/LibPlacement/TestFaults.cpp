#include "Model.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::test;

namespace {

constexpr std::uint64_t kSeeds = 240;

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
  // Without these the seeds would prove nothing.
  CHECK_TRUE(starts > kSeeds * 60);
  CHECK_TRUE(evictions > kSeeds);
  CHECK_TRUE(takeovers > kSeeds);
}

} // namespace

TEST_GROUP(Faults){};

// Guards against a task in two places, a worker beyond its capacity, lost
// checkpoints and jobs that never finish, under silent, rebooting and failing
// workers, lost and late messages, takeovers, cancellations, store outages
// and data centres that leave and return.
TEST(Faults, LearnedPolicyKeepsGuarantees)
{
  RunSeeds("learned");
}

TEST(Faults, FirstFitPolicyKeepsGuarantees)
{
  RunSeeds("first-fit");
}
