#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <vector>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

// A long-running step must run as a whole, but its shard may lack room for some
// of its tasks. These are handed over to other shards, one by one, while the
// others run. The job stays with its home shard, which alone cancels it; the
// other shards have parts of it and give tasks back for which they lack room.

/// Waiting tasks of a long-running step for which this shard has no room.
struct StepWithoutRoom
{
  Job* mJob = nullptr;
  std::uint32_t mStep = 0;
  std::vector<std::uint32_t> mTasks; ///< Their indexes.
  MonotonicTime mSince;              ///< Since when there is no room.
};

/// @return the steps for whose tasks there has been no room for longer than
///         @p aWait, in the order of the waiting steps; only tasks of which no
///         run of an earlier owner may be unseen
std::vector<StepWithoutRoom>
StepsWithoutRoom(Dispatcher& aDispatcher, Millis aWait, MonotonicTime aNow);

/// Marks those of the tasks that wait as being in another shard.
/// @return the indexes of these
std::vector<std::uint32_t>
SetElsewhere(Dispatcher& aDispatcher,
             Job& aJob,
             std::uint32_t aStep,
             std::span<const std::uint32_t> aTasks,
             std::uint32_t aShard);

/// Takes those of the tasks that are in a shard back from it: they wait here.
/// @param aPriorRuns whether an earlier owner of this shard may have started
///                   them
void
TakeFrom(Dispatcher& aDispatcher,
         Job& aJob,
         std::uint32_t aStep,
         std::span<const std::uint32_t> aTasks,
         std::uint32_t aShard,
         PriorRuns aPriorRuns,
         MonotonicTime aNow);

/// Sets the checkpoint of a task that waits, as another shard has stated it.
void
SetCheckpoint(Job& aJob,
              std::uint32_t aStep,
              std::uint32_t aIndex,
              std::string_view aCheckpoint);

/// Includes the job in the next commit, because tasks of it were taken.
void
NoteChange(Dispatcher& aDispatcher, Job& aJob);

/// @return the other shards that have tasks of the job
std::set<std::uint32_t>
OtherShardsOf(const Job& aJob);

/// @return the number of tasks of the step that a shard has, by what is known
///         here
std::uint32_t
TasksInShard(const Job& aJob, std::uint32_t aStep, std::uint32_t aShard);

/// @return whether no task of the job that is not done is left in this shard
bool
IsEmptyPart(const Job& aJob);

/// @return the progress with which another shard begins a part of the job: it
///         has none of the tasks yet
JobProgress
ProgressOfNewPart(const Job& aJob, std::uint32_t aHomeShard);

} // namespace paddle::dispatch
