#pragma once

#include <map>
#include <string>
#include <vector>

#include <LibDocument/JobDocument.h>
#include <LibDocument/ServiceDocument.h>
#include <LibLease/LeaseKeeper.h>
#include <LibPlacement/Job.h>
#include <LibPlacement/Worker.h>
#include <LibTable/HostList.h>

namespace paddle {

/// A worker and the address at which it answers.
struct WorkerHost
{
  WorkerSpec mSpec;
  Endpoint mAddress;
};

/// One worker shard and its workers.
struct WorkerShard
{
  ShardSpec mSpec;
  std::vector<WorkerHost> mWorkers;
};

/// The worker shards by id.
using WorkerShards = std::map<std::string, WorkerShard, std::less<>>;

/// Assigns each worker of a host list to a shard by its data centre and a hash
/// of its rack. The shard of a rack does not depend on the rest of the list, so
/// that all schedulers agree on it and it never changes.
WorkerShards
AssignWorkersToShards(const std::vector<HostEntry>& aHosts);

/// Converts the resources of a document; fractions of a core are rounded up to
/// whole thousandths.
ResourceVector
ToResourceVector(const Resources& aResources);

/// Converts the document with which a batch job was submitted.
JobSpec
ToJobSpec(const JobDocument& aDocument);

/// @return the specs of all workers
std::vector<WorkerSpec>
AllWorkers(const WorkerShards& aShards);

/// @return a hash of the text that is the same in all processes and versions
std::uint64_t
StableHash(std::string_view aText);

} // namespace paddle
