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

/// @return the shard id of a runner; it depends only on the runner, so that it
///         does not change while the runner has requests
std::string
RunnerShardOf(const GatewaySettings& aSettings, const HostEntry& aRunner);

/// @return the shard id of idempotency key shard @p aNumber
std::string
KeyShardId(std::uint32_t aNumber);

/// @return the routing limits that a service's document sets
ServiceLimits
LimitsOf(const ServiceDocument& aDocument);

/// Polls the host list, the configuration and the ownership of shards, and
/// reports changes to the routing thread and to the lease. Runs one thread.
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
  void ReportServices();
  void ReportOwnershipChanges();

  const GatewaySettings& mSettings;
  const GatewayPorts& mPorts;
  RoutingThread& mRouting;
  std::vector<HostEntry> mHosts;            ///< The host list as read last.
  std::map<std::string, ShardSpec> mShards; ///< All shards, by id.
  /// The epochs of the runner shards that this process owns, as reported to the
  /// routing thread.
  std::map<std::string, std::uint64_t> mOwnedEpochs;
  /// The configuration revision that ReportServices() used last.
  std::uint64_t mReportedRevision = 0;
  Ring<int> mStop{ 1 }; ///< It is always empty; closing it stops the thread.
  std::thread mThread;
};

} // namespace paddle
