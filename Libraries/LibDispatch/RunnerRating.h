#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

/// Why a runner can't take a task now.
enum class Obstacle : std::uint8_t
{
  None,
  OtherService,
  NotLive, ///< It is silent, draining or no longer listed.
  Paused,  ///< It is in a back-off or quarantine, it has a task for its
           ///< probation, or too many start orders are unanswered.
  Orphans, ///< It has runs of unknown resource use, which are being stopped.
  DataCentreEvacuated,
  Label,
  Cores,
  Memory,
  Accelerators,
  MaxTasksPerRunner,
  TooFewUnusedCores, ///< It has too little CPU time for a best-effort task.
  WouldInterfere,    ///< The task would interfere with serving tasks.
  AccountPart        ///< Tasks of the account demand all of its processors, see
                     ///< ExceedsRunner().
};

/// Names of the obstacles in the log, in the order of the enum.
inline constexpr std::array<std::string_view, 14> kObstacleNames = {
  "none",     "other_service", "not_live",        "paused",
  "orphans",  "evacuated",     "label",           "cores",
  "memory",   "accelerators",  "most_per_runner", "little_unused",
  "disturbs", "account_part"
};

/// Cost, for a long-running task, of a runner outside the rack in which the
/// other tasks of its step run. It is lower than that of a data centre in which
/// start orders may get no answer, because the task must run soon.
inline constexpr double kOtherRackCost = 350;

/// Cost of a runner for a task, or the reason why it can't take the task.
using PlacementRating = std::variant<double, Obstacle>;

/// Whether a best-effort task may start on a runner with too few unused
/// processors, where it shares those of the best-effort tasks that run there.
enum class Overcommit : std::uint8_t
{
  No,
  Yes,
  DespiteInterference ///< Also where it would disturb serving tasks. It is
                      ///< throttled so that they keep their targets.
};

/// @return whether the runner has the label
bool
HasLabel(const Runner& aRunner, std::string_view aLabel);

/// @return the number of tasks on the runner that belong to the task's step
std::uint32_t
CountOfStep(const Runner& aRunner, const TaskRef& aTask);

/// @param aExemptStarts number of start orders without an answer that don't
///                      count towards the runner's limit
/// @return what keeps the runner from taking any task now
Obstacle
ObstacleOfRunner(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 std::uint32_t aExemptStarts,
                 MonotonicTime aNow);

/// @return the runners that can take tasks now
std::vector<RunnerIndex>
AvailableRunners(const Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return the rating of a runner for a task whose queue belongs to the service
PlacementRating
RateRunner(const Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           const TaskRef& aTask,
           const std::string& aService,
           Overcommit aOvercommit,
           MonotonicTime aNow);

/// @return the runner of @p aCandidates with the lowest cost for a task, or
///         kNoRunner
RunnerIndex
ChooseRunner(const Dispatcher& aDispatcher,
             std::span<const RunnerIndex> aCandidates,
             const TaskRef& aTask,
             const std::string& aService,
             Overcommit aOvercommit,
             MonotonicTime aNow);

} // namespace paddle::dispatch
