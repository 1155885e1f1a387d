#pragma once

#include <span>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

// A job is idle while tasks of it could start and nothing of it runs. The
// placement order may pass a job over for as long as a backlog lasts: late jobs
// come after those in time, and new jobs in time keep arriving. The functions
// below bound how long finite jobs stay idle:
//
// - A late job shares the processors of other best-effort tasks once no job in
//   time has been idle for some time.
// - An old job does so whatever else waits, as long as about half of the
//   service's memory is free.
// - An overdue job, which has been idle for longer, goes before all finite jobs
//   and may start beside serving tasks that it disturbs. Overdue jobs get a
//   small share of all starts.
//
// Where the configuration lists client accounts, the first two rules consider
// surplus jobs after all others, and jobs that are not surplus don't wait for
// surplus ones that are in time or young (AccountShares.h). Overdue jobs are
// started regardless of that, so that the bound holds for surplus jobs, too.
//
// What delays an overdue job further are runners without memory for its task,
// of which one is held, and runners that may take no task at all. A task that
// shares processors starts at a low pace and is throttled before other tasks,
// see AdjustPace().

/// @return whether nothing of the task's job has run for so long that the task
///         must take any place: the job is overdue, or old and best-effort
bool
IsIdleForLong(const TaskRef& aTask, MonotonicTime aNow);

/// Starts tasks of overdue jobs, those that have been idle longest first, and
/// holds a runner for one with reserved processors that fits nowhere. It must
/// be called before other finite jobs are placed in a pass.
/// @return the number of tasks that were started
std::uint32_t
StartOverdueJobs(Dispatcher& aDispatcher,
                 std::span<const RunnerIndex> aCandidates,
                 MonotonicTime aNow,
                 Actions& aActions);

/// Starts tasks of late and of old jobs that are idle after all others have
/// been placed in a pass.
void
StartIdleJobs(Dispatcher& aDispatcher,
              std::span<const RunnerIndex> aCandidates,
              MonotonicTime aNow,
              Actions& aActions);

} // namespace paddle::dispatch
