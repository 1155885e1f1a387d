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

/// What a gateway needs from the rest of the process. The daemon fills it
/// from LeaseKeeper and ConfigFollower, a test from values of its own. All
/// functions may be called from several threads.
struct GatewayPorts
{
  /// See LeaseKeeper::Owns().
  std::function<std::optional<Ownership>(std::string_view aShard)> mOwns;
  /// See LeaseKeeper::OwnerOf().
  std::function<std::optional<Member>(std::string_view aShard)> mOwnerOf;
  /// See LeaseKeeper::SuccessorOfSelf().
  std::function<std::optional<Member>()> mSuccessor;
  /// The live gateways, this one included.
  std::function<std::vector<Member>()> mMembers;
  /// See LeaseKeeper::SetShards().
  std::function<void(std::vector<ShardSpec>)> mSetShards;
  /// See ConfigFollower::Current().
  std::function<std::shared_ptr<const Configuration>()> mConfiguration;
  HostListPort mHosts;
  ObjectPort mObjects;
};

} // namespace paddle
