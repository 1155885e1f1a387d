#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <LibPlacement/Job.h>

#include "Scenario.h"

namespace paddle::bench {

/// A job with what only the model knows about it.
struct BenchJob
{
  JobSpec mSpec;
  ResourceVector mUse; ///< True use while it runs.
  double mWorkS = 0;   ///< True run time without interference.
  double mNoise = 0;   ///< Share of its cores that disturbs its neighbours.
  double mArrivesS = 0;
  bool mCancelled = false; ///< Part of the cancellation wave.
};

/// A request with its true service time on an undisturbed worker.
struct BenchRequest
{
  double mArrivesS = 0;
  double mServiceS = 0;
};

/// Everything that arrives in one run. The same for every policy.
struct Workload
{
  std::vector<BenchJob> mJobs; ///< In order of arrival.
  std::vector<BenchRequest> mRequests;
};

Workload
MakeWorkload(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed);

} // namespace paddle::bench
