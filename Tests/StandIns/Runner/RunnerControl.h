#pragma once

#include <functional>
#include <vector>

#include <LibRpc/RpcServer.h>
#include <StandIns/Runner/RunnerState.h>

namespace paddle {

/// The state that the control methods read and change.
struct RunnerFleet
{
  std::vector<RunnerState*> mRunners;
  /// Runs per idempotency key over all runners.
  const RunCountsByKey* mRunCounts = nullptr;
  /// Called after a runner's faults have changed.
  std::function<void(RunnerState&)> mFaultsChanged;
};

/// Makes the RPC methods with which tests control the runners:
/// - standin.fault {runner: NAME or "*", fault, factor, count} sets a fault of
///   one runner or of all; it applies to the next "count" requests, or to all
///   requests without "count". The fault "clear" ends all faults.
/// - standin.stats {keys: [...]} returns counts per runner and over all
///   runners, the number of idempotency keys whose requests were run more than
///   once, and how often the requests with each of the given keys were run.
RpcMethods
MakeRunnerMethods(const RunnerFleet& aFleet);

} // namespace paddle
