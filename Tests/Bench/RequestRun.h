#pragma once

#include <cstdint>
#include <vector>

#include <LibRouting/Routing.h>

#include "Cluster.h"
#include "Scenario.h"
#include "Workload.h"

namespace paddle::bench {

/// Counts and latencies of the requests of a run.
struct RequestResult
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnsweredInTime = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mUnknown = 0; ///< It is unknown whether they ran.
  double mP50Ms = 0;
  /// A request that was not answered in time counts with its whole deadline,
  /// here and in mP50Ms.
  double mP99Ms = 0;
  double mRefusalP99Ms = 0; ///< Time from arrival to refusal.
  double mRefusalLongestMs = 0;
  std::uint64_t mSlotsExceeded = 0; ///< Requests sent to a full runner.
};

/// Whether the router refuses requests early that it can't answer in time.
enum class Admission
{
  None,      ///< The router is given ten times the deadline.
  ByDeadline ///< The router is given the deadline.
};

/// Simulates the requests of a workload. One routing state sends them to the
/// runners, which run on the workers of the cluster. The virtual time of the
/// cluster is advanced along with the requests.
RequestResult
RunRequests(const Deployment& aDeployment,
            const std::vector<BenchRequest>& aRequests,
            const RoutingPolicy& aPolicy,
            Admission aAdmission,
            Cluster& aCluster);

} // namespace paddle::bench
