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

/// The functions of LeaseKeeper that the scheduler uses; tests replace them.
struct LeasePort
{
  std::function<void(std::vector<ShardSpec>)> mSetShards;
  std::function<std::optional<Ownership>(std::string_view aShard)> mOwns;
  std::function<std::optional<Member>(std::string_view aShard)> mOwnerOf;
  /// Returns the live schedulers, including this one.
  std::function<std::vector<Member>()> mSchedulers;
};

/// The functions of ConfigFollower that the scheduler uses; tests replace them.
struct ConfigPort
{
  std::function<std::shared_ptr<const Configuration>()> mCurrent;
  std::function<std::optional<Millis>()> mAge;
};

/// The services and objects outside the scheduler that it uses.
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
