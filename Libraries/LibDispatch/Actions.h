#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <LibDispatch/Job.h>

namespace paddle::dispatch {

struct StartTask
{
  RunnerIndex mRunner = kNoRunner;
  TaskRef mTask;
  std::int64_t mRun = 0;
  std::int64_t mLeaseEndMs = 0; ///< On the runner's clock.
};

struct StopTask
{
  RunnerIndex mRunner = kNoRunner;
  TaskName mTask;
  std::int64_t mRun = 0;
};

struct PaceTask
{
  RunnerIndex mRunner = kNoRunner;
  TaskName mTask;
  std::int64_t mRun = 0;
  std::uint8_t mPercent = 100;
};

using Action = std::variant<StartTask, StopTask, PaceTask>;
using Actions = std::vector<Action>;

} // namespace paddle::dispatch
