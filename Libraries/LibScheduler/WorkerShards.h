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

/// A worker with what is needed to reach it.
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

using WorkerShards = std::map<std::string, WorkerShard, std::less<>>;

/// Divides the workers of a host list into shards of a few racks of one data
/// centre each. A rack stays in its shard whatever else the list holds.
WorkerShards
DivideWorkers(const std::vector<HostEntry>& aHosts);

ResourceVector
ToAmount(const Resources& aResources);

JobSpec
ToJobSpec(const JobDocument& aDocument);

/// @return the specs of all workers
std::vector<WorkerSpec>
AllWorkers(const WorkerShards& aShards);

/// @return a number that depends on the text only, the same in all processes
std::uint64_t
StableHash(std::string_view aText);

} // namespace paddle
