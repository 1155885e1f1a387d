#pragma once

#include <functional>
#include <vector>

#include <LibRpc/RpcServer.h>
#include <StandIns/Runner/RunnerState.h>

namespace paddle {

/// What the control methods act on.
struct RunnerFleet
{
  std::vector<RunnerState*> mRunners;
  const RunLedger* mLedger = nullptr;
  /// Called after a runner's faults have changed.
  std::function<void(RunnerState&)> mFaultsChanged;
};

/// Makes the methods
/// - standin.fault {runner: NAME or "*", fault, factor, count}: sets a fault
///   for the next "count" requests, or for all; fault "clear" ends all.
/// - standin.stats {keys: [...]}: counts per runner and in total, and how
///   often each of the given keys was run.
RpcMethods
MakeRunnerMethods(const RunnerFleet& aFleet);

} // namespace paddle
