#pragma once

#include <cstdint>
#include <span>
#include <string>

#include <LibDispatch/RunnerRating.h>

namespace paddle::dispatch {

/// Starts a run of a waiting task on a runner.
void
Start(Dispatcher& aDispatcher,
      const TaskRef& aTask,
      RunnerIndex aRunner,
      std::int64_t aRun,
      MonotonicTime aNow,
      Actions& aActions);

/// Records that a task which was just started shares the processors of other
/// best-effort tasks.
void
MarkOvercommitted(Dispatcher& aDispatcher, const TaskRef& aTask);

/// Starts all tasks of a gang, or none.
/// @return whether they were started
bool
StartGang(Dispatcher& aDispatcher,
          std::span<const RunnerIndex> aCandidates,
          const WaitingStep& aWaiting,
          const std::string& aService,
          Overcommit aOvercommit,
          MonotonicTime aNow,
          Actions& aActions);

} // namespace paddle::dispatch
