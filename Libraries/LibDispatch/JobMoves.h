#pragma once

#include <vector>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

/// @return whether the job may be handed over to another shard: nothing of it
///         runs or may still run, all its progress is stored, it runs once, and
///         no task is in another shard. Scheduled jobs stay, because
///         occurrences begin at any time.
bool
MayMove(const Dispatcher& aDispatcher, const Job& aJob);

/// @return since when the job has had nothing running, without the time in
/// which
///         it waited for the budget of its account
MonotonicTime
IdleForRoomSince(const Job& aJob);

/// @return the jobs that may be moved and that have waited with nothing running
///         for longer than @p aIdleTime, the one that has waited longest first;
///         not those that wait for the budget of their account
std::vector<Job*>
IdleJobsThatMayMove(Dispatcher& aDispatcher,
                    Millis aIdleTime,
                    MonotonicTime aNow);

/// Starts nothing of the job until ResumeJob(), because a transaction may have
/// handed it over to another shard.
void
HoldJob(Dispatcher& aDispatcher, Job& aJob);

/// Lets the job go on here, because it was not handed over.
void
ResumeJob(Dispatcher& aDispatcher, Job& aJob);

/// Starts nothing of the job, or lets it go on, see Job::mAwaitsMove. Runs that
/// an earlier owner started are still adopted.
void
SetAwaitsMove(Dispatcher& aDispatcher, Job& aJob, bool aAwaitsMove);

/// @return the progress of a job for another shard. The failed runs are only
///         counted: shards number their runs independently, and an equal number
///         there must not pass for a failure that is counted already.
JobProgress
ProgressForOtherShard(const Job& aJob);

/// Removes a held job that was handed over. No commit may be under way.
void
RemoveMovedJob(Dispatcher& aDispatcher, Job& aJob);

} // namespace paddle::dispatch
