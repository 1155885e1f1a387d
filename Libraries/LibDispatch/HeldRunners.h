#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

/// Holds a runner for each waiting task of a step that fits nowhere, for
/// @p aMostTasks of them at most, and only for those that the budget of their
/// account allows to start.
/// @return the number of runners that it holds
std::size_t
HoldRunnersFor(Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates,
               const WaitingStep& aEntry,
               const std::string& aService,
               std::size_t aMostTasks,
               MonotonicTime aNow);

/// Result of holding a runner for one task.
enum class HoldResult
{
  Held,
  NoneSuits, ///< No runner will have room for the task soon.
  LimitReached
};

/// Holds a runner for a task of a leaving runner that fits nowhere.
HoldResult
HoldRunnerForMove(Dispatcher& aDispatcher,
                  std::span<const RunnerIndex> aCandidates,
                  const TaskRef& aTask,
                  const std::string& aService,
                  MonotonicTime aNow);

/// Removes the runners that are held for other tasks.
void
ExcludeHeldRunners(const Dispatcher& aDispatcher,
                   std::vector<RunnerIndex>& aCandidates);

} // namespace paddle::dispatch
