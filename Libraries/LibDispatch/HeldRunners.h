#pragma once

#include <cstddef>
#include <cstdint>
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

/// Holds runners for tasks that fit nowhere, so that surplus tasks don't take
/// the room there bit by bit, see AccountShares.h. Those that need the most are
/// considered first: a small task is the first to take what becomes free
/// anyway.
/// @param aSteps steps of which no job is surplus; they are reordered
void
HoldRunnersForEntitled(Dispatcher& aDispatcher,
                       std::span<const RunnerIndex> aCandidates,
                       std::span<WaitingStep> aSteps,
                       MonotonicTime aNow);

/// What a placement pass leaves to surplus tasks.
struct SurplusRoom
{
  struct Entry
  {
    RunnerIndex mRunner = kNoRunner;
    /// Processors that best-effort tasks of jobs that are not surplus demand.
    std::int64_t mEntitledMilliCores = 0;
  };
  std::vector<Entry> mEntries;
};

/// @return the candidates that are not held, and what surplus tasks leave there
SurplusRoom
RoomForSurplus(const Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates);

/// @return the runners on which a task of a surplus step may start. If it
///         reserves processors, these must not be in use by best-effort tasks
///         of jobs that are not surplus.
std::vector<RunnerIndex>
RunnersForSurplus(const Dispatcher& aDispatcher,
                  const SurplusRoom& aRoom,
                  const StepSpec& aSpec);

/// Removes the runners that are held for other tasks.
void
ExcludeHeldRunners(const Dispatcher& aDispatcher,
                   std::vector<RunnerIndex>& aCandidates);

} // namespace paddle::dispatch
