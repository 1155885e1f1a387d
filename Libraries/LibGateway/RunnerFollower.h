#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <LibBase/Ring.h>
#include <LibGateway/GatewayPorts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/RoutingThread.h>

namespace paddle {

/// @return the shard of a runner; depends on the runner alone, so that it
///         never changes while the runner has requests
std::string
RunnerShardOf(const GatewaySettings& aSettings, const HostEntry& aRunner);

/// @return the shard id of idempotency key shard @p aNumber
std::string
KeyShardId(std::uint32_t aNumber);

/// @return the limits of a service that follow from its document
ServiceLimits
LimitsOf(const ServiceDocument& aDocument);

/// Follows the host list, the configuration and the ownership of shards, and
/// tells the routing thread. Runs one thread.
class RunnerFollower
{
public:
  RunnerFollower(const GatewaySettings& aSettings,
                 const GatewayPorts& aPorts,
                 RoutingThread& aRouting);
  ~RunnerFollower();
  RunnerFollower(const RunnerFollower&) = delete;
  RunnerFollower& operator=(const RunnerFollower&) = delete;

private:
  void Run();
  void ReadHosts();
  void ListServices();
  void FollowShards();

  const GatewaySettings& mSettings;
  const GatewayPorts& mPorts;
  RoutingThread& mRouting;
  std::vector<HostEntry> mHosts;
  std::map<std::string, ShardSpec> mShards;
  std::map<std::string, std::uint64_t> mEpochs; ///< Of the owned shards.
  std::uint64_t mListedRevision = 0;
  Ring<int> mStop{ 1 };
  std::thread mThread;
};

} // namespace paddle
