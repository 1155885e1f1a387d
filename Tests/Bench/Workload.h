#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <LibPlacement/Job.h>

#include "Scenario.h"

namespace paddle::bench {

/// A job, with the true properties that the scheduler has to estimate.
struct BenchJob
{
  JobSpec mSpec;
  ResourceVector mTrueUse;  ///< Resources it uses while it runs.
  double mTrueRunTimeS = 0; ///< Without interference.
  /// Share of its cores that interferes with other tasks on the worker.
  double mNoisyShare = 0;
  double mArrivalS = 0;
  bool mInCancellationWave = false; ///< See Scenario.
};

/// A request.
struct BenchRequest
{
  double mArrivalS = 0;
  double mServiceS = 0; ///< Service time on a worker without interference.
};

/// All jobs and requests of one run. Every policy is given the same ones.
struct Workload
{
  std::vector<BenchJob> mJobs;         ///< In order of arrival.
  std::vector<BenchRequest> mRequests; ///< In order of arrival.
};

/// Generates a random workload; the same arguments give the same workload.
Workload
MakeWorkload(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed);

} // namespace paddle::bench
