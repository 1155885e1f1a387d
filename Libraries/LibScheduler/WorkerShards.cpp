#include <LibScheduler/WorkerShards.h>

#include <cmath>

namespace paddle {

namespace {

/// A data centre has 3 to 4 racks today, so that a shard has one to three. In
/// the largest planned deployment, with 20 racks in a data centre, a shard has
/// about ten.
constexpr std::uint64_t kShardsPerDataCentre = 2;

} // namespace

std::uint64_t
StableHash(std::string_view aText)
{
  // This is FNV-1a with a final mix of the bits. The mix is needed because the
  // low bits of FNV-1a differ little between texts that differ only in their
  // last character.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 1099511628211ULL;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33);
}

WorkerShards
AssignWorkersToShards(const std::vector<HostEntry>& aHosts)
{
  WorkerShards shards;
  for (const HostEntry& host : aHosts) {
    if (host.mKind != HostKind::Worker) {
      continue;
    }
    const std::string id =
      "worker/" + host.mDataCentre + "/" +
      std::to_string(StableHash(host.mRack) % kShardsPerDataCentre);
    WorkerShard& shard = shards[id];
    shard.mSpec = { id, host.mDataCentre, host.mRegion };
    WorkerHost worker;
    worker.mSpec.mName = host.mName;
    worker.mSpec.mDataCentre = host.mDataCentre;
    worker.mSpec.mRack = host.mRack;
    worker.mSpec.mLeaving = host.mState == HostState::Leaving;
    worker.mSpec.mCapacity = { static_cast<std::int64_t>(host.mCores) * 1000,
                               static_cast<std::int64_t>(host.mMemoryMb),
                               host.mAccelerators };
    worker.mAddress = host.mAddress;
    shard.mWorkers.push_back(std::move(worker));
  }
  return shards;
}

ResourceVector
ToResourceVector(const Resources& aResources)
{
  return { static_cast<std::int64_t>(std::ceil(aResources.mCores * 1000)),
           static_cast<std::int64_t>(aResources.mMemoryMb),
           aResources.mAccelerators };
}

JobSpec
ToJobSpec(const JobDocument& aDocument)
{
  JobSpec spec;
  spec.mJob = aDocument.mJobId;
  spec.mTeam = aDocument.mTeam;
  spec.mClass =
    aDocument.mClass == JobClass::Urgent ? TaskClass::Urgent : TaskClass::Batch;
  spec.mDeclared = ToResourceVector(aDocument.mSize);
  spec.mExpectedTime = aDocument.mExpectedRunTime;
  spec.mDataCentres = aDocument.mDataCentres;
  return spec;
}

std::vector<WorkerSpec>
AllWorkers(const WorkerShards& aShards)
{
  std::vector<WorkerSpec> workers;
  for (const auto& [id, shard] : aShards) {
    for (const WorkerHost& worker : shard.mWorkers) {
      workers.push_back(worker.mSpec);
    }
  }
  return workers;
}

} // namespace paddle
