#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <LibDispatch/Job.h>

namespace paddle::dispatch {

/// Order to a runner to start a run of a task.
struct StartTask
{
  RunnerIndex mRunner = kNoRunner;
  TaskRef mTask;
  std::int64_t mRun = 0;
  std::int64_t mLeaseEndMs =
    0; ///< End of the run's lease on the runner's clock.
};

/// Order to a runner to stop a run.
struct StopTask
{
  RunnerIndex mRunner = kNoRunner;
  TaskName mTask;
  std::int64_t mRun = 0;
};

/// Order to a runner to change the pace of a run: the percentage of its full
/// speed to which the run is throttled.
struct PaceTask
{
  RunnerIndex mRunner = kNoRunner;
  TaskName mTask;
  std::int64_t mRun = 0;
  std::uint8_t mPacePercent = 100;
};

using Action = std::variant<StartTask, StopTask, PaceTask>;
using Actions = std::vector<Action>;

} // namespace paddle::dispatch
