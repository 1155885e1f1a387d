#pragma once

// Functions shared by the source files of LibPlacement.

#include <string>
#include <string_view>

#include <LibPlacement/Action.h>
#include <LibPlacement/Shard.h>

namespace paddle::placement {

/// @return the team of this name, which is added if it is not known yet
Team&
FindOrAddTeam(Shard& aShard, std::string_view aName);

/// Adds the worker to its pool, updates its position there, or removes it, by
/// whether it takes new tasks and how much is free.
void
UpdatePool(Shard& aShard, WorkerIndex aWorker, MonotonicTime aNow);

/// Adds a slot to the worker and subtracts its reservation from the worker's
/// free resources.
TaskSlot&
AddSlot(Shard& aShard, WorkerIndex aWorker, TaskSlot aSlot, MonotonicTime aNow);

/// Removes a slot and frees its reservation.
/// @pre the slot's task is known to run no longer
void
RemoveSlot(Shard& aShard,
           WorkerIndex aWorker,
           std::size_t aSlot,
           MonotonicTime aNow);

/// @return the worker's slot for this attempt of the job, or null
TaskSlot*
FindSlot(Worker& aWorker, std::string_view aJob, std::uint32_t aAttempt);

/// Sets the job's phase to Queued and adds it to its team's queue.
void
Enqueue(Shard& aShard, Job& aJob);

/// Removes the job from its team's queue; its phase is left as it is.
void
Dequeue(Shard& aShard, Job& aJob);

/// Commits the job's row as it is now with its next phase. The job stays in
/// phase Committing until HandleCommitted().
/// @param aNext the phase after the commit
void
CommitPhase(Shard& aShard, Job& aJob, JobPhase aNext, Actions& aActions);

/// Commits what follows the end of the job's current attempt: the cancellation
/// if one was requested, otherwise a new queued attempt.
/// @pre the current attempt is known to run nowhere
void
CommitNextAttempt(Shard& aShard, Job& aJob, Actions& aActions);

/// Orders the stop of a slot's task. HandleReport() repeats the order while the
/// worker still reports the task.
void
StopSlot(WorkerIndex aWorker,
         TaskSlot& aSlot,
         MonotonicTime aNow,
         Actions& aActions);

/// Starts the eviction of a running task. The order to checkpoint is issued
/// now; the stop follows when the checkpoint is done or has timed out.
void
EvictSlot(Shard& aShard,
          WorkerIndex aWorker,
          TaskSlot& aSlot,
          MonotonicTime aNow,
          Actions& aActions);

/// Takes one eviction from the team's budget.
/// @return whether the budget had one left
bool
SpendEvictionBudget(Team& aTeam, MonotonicTime aNow);

/// Refills the team's eviction budget for the time that has passed.
/// @return whether the team has at least one eviction left
bool
HasEvictionBudget(Team& aTeam, MonotonicTime aNow);

/// @return the work since the last checkpoint, which stopping the task now
///         would lose, in core seconds
double
LostCoreSeconds(const TaskSlot& aSlot);

/// Makes room for a waiting service task: evicts batch tasks from the worker on
/// which this loses the least work, and reserves that worker for the service.
void
PreemptBatch(Shard& aShard, Job& aJob, MonotonicTime aNow, Actions& aActions);

/// Reserves a worker for a batch job that has waited too long: no other job is
/// placed there, so that the room it needs becomes free.
void
ReserveWorkerForStarvedJob(Shard& aShard, Job& aJob, MonotonicTime aNow);

/// Notes that a job failed on the worker. Quarantines the worker if it is on
/// probation or if enough different jobs failed there in a row.
void
RecordWorkerFailure(Shard& aShard,
                    WorkerIndex aWorker,
                    const std::string& aJob,
                    MonotonicTime aNow);

/// Notes that a job succeeded on the worker, which ends probation and resets
/// the count of failures.
void
RecordWorkerSuccess(Shard& aShard, WorkerIndex aWorker);

/// Stops placing on a worker, throttles or evicts its batch tasks, as its last
/// report shows overload or slow services, by the policy's response.
/// @param aLatencyRatio the highest latency of a service on the worker, as a
///                      multiple of its target; 0: unknown
void
RespondToInterference(Shard& aShard,
                      WorkerIndex aWorker,
                      double aLatencyRatio,
                      MonotonicTime aNow,
                      Actions& aActions);

/// Evicts tasks from workers that leave or whose data centre is out of service,
/// a limited number at a time: services first, then by due time.
void
Evacuate(Shard& aShard, MonotonicTime aNow, Actions& aActions);

} // namespace paddle::placement
