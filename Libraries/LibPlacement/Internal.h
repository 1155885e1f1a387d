#pragma once

// Functions shared by the source files of LibPlacement.

#include <string>
#include <string_view>

#include <LibPlacement/Action.h>
#include <LibPlacement/Shard.h>

namespace paddle::placement {

Team&
TeamOf(Shard& aShard, std::string_view aName);

/// Puts the worker into its pool, moves it there or takes it out.
void
UpdatePool(Shard& aShard, WorkerIndex aWorker, MonotonicTime aNow);

/// Adds a slot and takes its reservation from what is free.
TaskSlot&
AddSlot(Shard& aShard, WorkerIndex aWorker, TaskSlot aSlot, MonotonicTime aNow);

/// Removes a slot whose task surely does not run any more.
void
RemoveSlot(Shard& aShard,
           WorkerIndex aWorker,
           std::size_t aSlot,
           MonotonicTime aNow);

TaskSlot*
FindSlot(Worker& aWorker, std::string_view aJob, std::uint32_t aAttempt);

void
Enqueue(Shard& aShard, Job& aJob);

void
Dequeue(Shard& aShard, Job& aJob);

/// Commits the job's row as it is now; nothing else happens to the job until
/// HandleCommitted().
/// @param aNext the phase after the commit
void
Record(Shard& aShard, Job& aJob, JobPhase aNext, Actions& aActions);

/// The job's current attempt is over and surely does not run: records the
/// cancellation if one was requested, else a new attempt.
void
RecordNextAttempt(Shard& aShard, Job& aJob, Actions& aActions);

/// Orders the stop of a slot's task; repeated until the task is gone.
void
StopSlot(WorkerIndex aWorker,
         TaskSlot& aSlot,
         MonotonicTime aNow,
         Actions& aActions);

/// Starts the eviction of a running job: checkpoint, then stop.
void
EvictSlot(Shard& aShard,
          WorkerIndex aWorker,
          TaskSlot& aSlot,
          MonotonicTime aNow,
          Actions& aActions);

/// Takes one eviction from the team's budget.
/// @return whether there was one left
bool
SpendEviction(Team& aTeam, MonotonicTime aNow);

bool
HasEviction(Team& aTeam, MonotonicTime aNow);

/// @return the work that stopping the task now would lose, in core seconds
double
LostWork(const TaskSlot& aSlot);

/// Frees room for a waiting service task by evicting batch work where the
/// least work is lost, and keeps that room for it.
void
MakeRoom(Shard& aShard, Job& aJob, MonotonicTime aNow, Actions& aActions);

/// Keeps a worker free for a batch job that has waited too long.
void
KeepWorkerFree(Shard& aShard, Job& aJob, MonotonicTime aNow);

void
BlameWorker(Shard& aShard,
            WorkerIndex aWorker,
            const std::string& aJob,
            MonotonicTime aNow);

void
PraiseWorker(Shard& aShard, WorkerIndex aWorker);

/// Answers interference on a worker after a report.
void
AnswerInterference(Shard& aShard,
                   WorkerIndex aWorker,
                   double aLatencyRatio,
                   MonotonicTime aNow,
                   Actions& aActions);

/// Moves work away from leaving workers and out of data centres that are out
/// of service.
void
Evacuate(Shard& aShard, MonotonicTime aNow, Actions& aActions);

} // namespace paddle::placement
