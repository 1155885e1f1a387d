#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <LibConfig/ConfigFollower.h>
#include <LibLease/LeaseKeeper.h>
#include <LibTable/HostList.h>
#include <LibTable/ObjectPort.h>

namespace paddle {

/// The functions through which a gateway uses the lease, the configuration,
/// the host list and the object store. The daemon binds them to LeaseKeeper,
/// ConfigFollower and RPC clients; tests bind them to a fake cluster. All
/// functions may be called from several threads.
struct GatewayPorts
{
  /// See LeaseKeeper::Owns().
  std::function<std::optional<Ownership>(std::string_view aShard)> mOwns;
  /// See LeaseKeeper::OwnerOf().
  std::function<std::optional<Member>(std::string_view aShard)> mOwnerOf;
  /// See LeaseKeeper::SuccessorOfSelf().
  std::function<std::optional<Member>()> mSuccessor;
  /// @return the live gateways, including this one
  std::function<std::vector<Member>()> mMembers;
  /// See LeaseKeeper::SetShards().
  std::function<void(std::vector<ShardSpec>)> mSetShards;
  /// See ConfigFollower::Current().
  std::function<std::shared_ptr<const Configuration>()> mConfiguration;
  HostListPort mHosts; ///< Lists the runners.
  ObjectPort mObjects; ///< Stores the decision records.
};

} // namespace paddle
