#pragma once

#include <string>
#include <vector>

#include <LibConfig/ConfigFollower.h>
#include <LibPlacement/Job.h>
#include <LibScheduler/WorkerShards.h>

namespace paddle {

/// A service task that the configuration asks for, and the shard that should
/// hold it.
struct DesiredTask
{
  JobSpec mSpec;
  std::string mShard; ///< Empty if no shard could hold the task.
};

/// @return one entry per task of every service document. The shard of a task
///         is chosen by rendezvous hashing among the shards that could hold
///         it, so that all schedulers choose the same one without messages.
std::vector<DesiredTask>
ListServiceTasks(const Configuration& aConfiguration,
                 const WorkerShards& aShards);

} // namespace paddle
