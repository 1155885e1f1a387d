#pragma once

#include <cstdint>
#include <vector>

#include <LibRouting/Routing.h>

#include "Cluster.h"
#include "Scenario.h"
#include "Workload.h"

namespace paddle::bench {

/// What happened to the requests of a run.
struct RequestResult
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnsweredInTime = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mUnknown = 0;
  double mP50Ms = 0;
  /// A request without an answer in time counts with its whole deadline.
  double mP99Ms = 0;
  double mRefusalP99Ms = 0; ///< Time until a refusal was sent.
  double mRefusalLongestMs = 0;
  std::uint64_t mSlotsExceeded = 0; ///< Sends to a runner beyond its slots.
};

/// Whether requests that can't be answered in time are refused early.
enum class Admission
{
  None,
  ByDeadline
};

/// Sends the requests of a workload through one routing state to runners that
/// run on the cluster's workers, and moves the cluster along.
RequestResult
RunRequests(const Deployment& aDeployment,
            const std::vector<BenchRequest>& aRequests,
            const RoutingPolicy& aPolicy,
            Admission aAdmission,
            Cluster& aCluster);

} // namespace paddle::bench
