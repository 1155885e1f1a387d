#include <LibScheduler/ServiceTaskList.h>

#include <algorithm>

#include <LibPlacement/Shard.h>

namespace paddle {

namespace {

bool
InService(const Configuration& aConfiguration, const std::string& aDataCentre)
{
  const auto found = aConfiguration.mDataCentres.find(aDataCentre);
  return found != aConfiguration.mDataCentres.end() &&
         found->second.mState == DataCentreState::InService;
}

/// @return the shard with the highest hash for the job among those in service
///         that have a worker large enough for it; empty if there is none
std::string
ShardFor(const JobSpec& aSpec,
         const Configuration& aConfiguration,
         const WorkerShards& aShards)
{
  std::string best;
  std::uint64_t bestHash = 0;
  for (const auto& [id, shard] : aShards) {
    const bool couldRun =
      std::any_of(shard.mWorkers.begin(),
                  shard.mWorkers.end(),
                  [&](const WorkerHost& aWorker) {
                    return CouldEverRun(aWorker.mSpec, aSpec);
                  });
    if (!couldRun || !InService(aConfiguration, shard.mSpec.mDataCentre)) {
      continue;
    }
    const std::uint64_t hash = StableHash(id + "|" + aSpec.mJob);
    if (best.empty() || hash > bestHash) {
      best = id;
      bestHash = hash;
    }
  }
  return best;
}

} // namespace

std::vector<DesiredTask>
ListServiceTasks(const Configuration& aConfiguration,
                 const WorkerShards& aShards)
{
  std::vector<DesiredTask> desired;
  for (const auto& [name, service] : aConfiguration.mServices) {
    for (const ServiceTaskGroup& tasks : service.mTasks) {
      for (std::uint32_t i = 0; i < tasks.mCount; ++i) {
        DesiredTask task;
        task.mSpec.mJob =
          "service." + name + "." + tasks.mName + "." + std::to_string(i);
        task.mSpec.mTeam = service.mTeam;
        task.mSpec.mClass = TaskClass::Service;
        task.mSpec.mDeclared = ToResourceVector(tasks.mSize);
        task.mShard = ShardFor(task.mSpec, aConfiguration, aShards);
        desired.push_back(std::move(task));
      }
    }
  }
  return desired;
}

} // namespace paddle
