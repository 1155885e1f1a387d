// Compares ways of waiting for a preferred rack in virtual time, and prints a
// table: the share of the tasks that ran in their preferred rack, and the time
// from arrival to completion.
//
// Usage: model-placement-wait [SEEDS]

#include <array>
#include <cstdio>
#include <cstdlib>

#include "../PlacementWaitModel.h"

using namespace paddle;
using namespace paddle::dispatch;

namespace {

constexpr std::array<double, 3> kLoads{ 0.5, 0.8, 0.95 };
constexpr std::array<Millis, 2> kDurations{ Millis(500), Millis(20000) };
constexpr std::array<double, 3> kHotShares{ 0, 0.3, 0.6 };
constexpr std::array<double, 2> kFactors{ 1.5, 3 };
constexpr std::array<WaitPolicy, 3> kPolicies{ WaitPolicy::None,
                                               WaitPolicy::FixedBound,
                                               WaitPolicy::Decision };

/// @return the mean over the seeds
WaitModelResult
MeanOf(WaitModelSettings aSettings, std::uint32_t aSeeds)
{
  WaitModelResult mean;
  for (aSettings.mSeed = 1; aSettings.mSeed <= aSeeds; ++aSettings.mSeed) {
    const WaitModelResult result = SimulateWaits(aSettings);
    mean.mShareInRack += result.mShareInRack / aSeeds;
    mean.mMean += result.mMean / aSeeds;
    mean.mP50 += result.mP50 / aSeeds;
    mean.mP99 += result.mP99 / aSeeds;
    mean.mOthersP50 += result.mOthersP50 / aSeeds;
    mean.mOthersP99 += result.mOthersP99 / aSeeds;
  }
  return mean;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto seeds = static_cast<std::uint32_t>(
    aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : 1);
  std::printf("Each cell: in the rack %%, mean, p50, p99 in s, and p99 of the "
              "tasks without a rack\n"
              "factor,duration_s,load,hot | no wait | 1 s | decision\n");
  for (const double factor : kFactors) {
    for (const Millis duration : kDurations) {
      for (const double load : kLoads) {
        for (const double hot : kHotShares) {
          std::printf("%.1f %4.1f %.2f %2.0f%%",
                      factor,
                      static_cast<double>(duration.count()) / 1000,
                      load,
                      hot * 100);
          for (const WaitPolicy policy : kPolicies) {
            const WaitModelResult result = MeanOf({ .mPolicy = policy,
                                                    .mLoad = load,
                                                    .mDuration = duration,
                                                    .mHotShare = hot,
                                                    .mRemoteFactor = factor },
                                                  seeds);
            std::printf(" | %3.0f %6.2f %6.2f %6.2f %6.2f",
                        result.mShareInRack * 100,
                        result.mMean,
                        result.mP50,
                        result.mP99,
                        result.mOthersP99);
            std::fflush(stdout);
          }
          std::printf("\n");
        }
      }
    }
  }
  return 0;
}
