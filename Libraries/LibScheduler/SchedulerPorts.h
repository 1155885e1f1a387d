#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <LibBase/Metrics.h>
#include <LibConfig/ConfigFollower.h>
#include <LibHttp/HttpClient.h>
#include <LibLease/LeaseKeeper.h>
#include <LibTable/HostList.h>
#include <LibTable/TablePort.h>

namespace paddle {

/// What the scheduler needs of the leases, see LeaseKeeper.
struct LeasePort
{
  std::function<void(std::vector<ShardSpec>)> mSetShards;
  std::function<std::optional<Ownership>(std::string_view aShard)> mOwns;
  std::function<std::optional<Member>(std::string_view aShard)> mOwnerOf;
  /// The live schedulers, including this one.
  std::function<std::vector<Member>()> mSchedulers;
};

/// What the scheduler needs of the configuration, see ConfigFollower.
struct ConfigPort
{
  std::function<std::shared_ptr<const Configuration>()> mCurrent;
  std::function<std::optional<Millis>()> mAge;
};

/// Everything outside that a scheduler uses.
struct SchedulerPorts
{
  Member mSelf;
  TablePort mTable;
  HostListPort mHosts;
  LeasePort mLease;
  ConfigPort mConfig;
  HttpClient* mClient = nullptr; ///< Outlives the scheduler.
  Metrics* mMetrics = nullptr;   ///< Outlives the scheduler.
};

/// @param aKeeper must outlive the port
LeasePort
MakeLeasePort(LeaseKeeper& aKeeper);

/// @param aFollower must outlive the port
ConfigPort
MakeConfigPort(const ConfigFollower& aFollower);

} // namespace paddle
