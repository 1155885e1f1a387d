#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace paddle::bench {

/// Sizes of one of the example deployments.
struct Deployment
{
  std::string mName;
  std::size_t mWorkers = 0;
  std::int64_t mCores = 0;
  std::int64_t mMemoryMb = 0;
  std::size_t mRackSize = 0;
  std::size_t mRunners = 0;
};

/// A span of virtual seconds; empty if both are equal.
struct Period
{
  double mFromS = 0;
  double mToS = 0;

  [[nodiscard]] bool Contains(double aSecond) const
  {
    return aSecond >= mFromS && aSecond < mToS;
  }
};

/// What one scenario does to the workload and to the workers.
struct Scenario
{
  std::string mName;
  /// Share of the runners' slots that requests would use without
  /// interference, outside and inside mRush.
  double mLoad = 0.18;
  double mRushLoad = 0.18;
  Period mRush;
  Period mNoise; ///< Noisy jobs arrive in waves of 20 s in each 60 s of it.
  double mWrongFactor = 1; ///< Declared over true sizes and times, log-uniform.
  std::size_t mBadWorkers = 0;
  Period mDataCentreOut;
  double mCancelAtS = 0; ///< When a third of the waiting jobs are cancelled.
  Period mStoreOutage;
};

/// Length of a run in virtual seconds.
inline constexpr double kRunS = 240;

std::span<const Deployment>
Deployments();

std::span<const Scenario>
Scenarios();

} // namespace paddle::bench
