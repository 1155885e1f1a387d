#pragma once

#include <string>
#include <vector>

#include <LibConfig/ConfigFollower.h>
#include <LibPlacement/Job.h>
#include <LibScheduler/WorkerShards.h>

namespace paddle {

/// A service task that should run, and the shard that should hold it.
struct WantedTask
{
  JobSpec mSpec;
  std::string mShard;
};

/// @return one entry per task of every service document. Its shard is chosen
///         by rendezvous hashing among those that could hold it, so that all
///         schedulers agree without a message.
std::vector<WantedTask>
ListServiceTasks(const Configuration& aConfiguration,
                 const WorkerShards& aShards);

} // namespace paddle
