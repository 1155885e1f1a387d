#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace paddle::bench {

/// Size of an example deployment.
struct Deployment
{
  std::string mName;
  std::size_t mWorkerCount = 0;
  std::int64_t mCoresPerWorker = 0;
  std::int64_t mMemoryMbPerWorker = 0;
  std::size_t mWorkersPerRack = 0;
  std::size_t mRunnerCount = 0;
};

/// A half-open interval of virtual time, in seconds; empty if both ends are
/// equal.
struct Period
{
  double mFromS = 0;
  double mToS = 0;

  [[nodiscard]] bool Contains(double aSecond) const
  {
    return aSecond >= mFromS && aSecond < mToS;
  }
};

/// The load and the faults of one simulated run.
struct Scenario
{
  std::string mName;
  /// Share of the runners' slots that requests would occupy without
  /// interference: mPeakLoad during mPeak, mBaseLoad at all other times.
  double mBaseLoad = 0.18;
  double mPeakLoad = 0.18;
  Period mPeak;
  /// Within this period, jobs that interfere with their neighbours arrive in
  /// waves during the first 20 s of each minute.
  Period mNoisyWaves;
  /// Largest ratio of declared to true size and run time of a job. The ratio is
  /// distributed log-uniformly between the reciprocal of this value and it.
  double mMaxDeclarationError = 1;
  /// Number of workers on which every task fails.
  std::size_t mFailingWorkerCount = 0;
  /// When one of the three data centres is out of service.
  Period mDataCentreOutOfService;
  /// When a third of the jobs that have arrived are cancelled; 0 for never.
  double mCancellationAtS = 0;
  /// When the table service neither confirms writes nor shows the states of the
  /// data centres.
  Period mStoreOutage;
};

/// Length of a run in virtual seconds.
inline constexpr double kRunDurationS = 240;

/// @return the deployments that are simulated
std::span<const Deployment>
Deployments();

/// @return the scenarios that are simulated on each deployment
std::span<const Scenario>
Scenarios();

} // namespace paddle::bench
