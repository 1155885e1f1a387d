#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <LibDispatch/JobSpec.h>
#include <LibDispatch/Runner.h>

namespace paddle {

/// @return whether the runner could run tasks of the step if it were empty
bool
CanRun(const dispatch::RunnerSpec& aRunner,
       const dispatch::StepSpec& aStep,
       const std::string& aService);

/// @return the number of tasks of the step that the runner could run at a time
///         if it were empty
std::uint64_t
Slots(const dispatch::RunnerSpec& aRunner,
      const dispatch::StepSpec& aStep,
      const std::string& aService);

/// @return the same for all runners of each shard
std::vector<std::uint64_t>
SlotsByShard(std::span<const dispatch::RunnerSpec> aRunners,
             const dispatch::StepSpec& aStep,
             const std::string& aService,
             std::uint32_t aShards);

} // namespace paddle
