#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <LibDispatch/Dispatcher.h>
#include <LibNode/Cluster.h>
#include <LibNode/NodeContext.h>

namespace paddle {

/// Runs one shard that this node owns: reads it after the claim, renews the
/// leases of its runners, carries out the dispatcher's orders, and stores
/// progress.
class ShardHost
{
public:
  /// @param aClaim the claim, which Begin() carries out
  ShardHost(NodeContext& aContext, const Claim& aClaim);
  ~ShardHost();
  ShardHost(const ShardHost&) = delete;
  ShardHost& operator=(const ShardHost&) = delete;

  void Begin();

  /// @return whether the shard was lost; the host is then to be destroyed
  [[nodiscard]] bool Lost() const;
  /// @return whether the claim is stored
  [[nodiscard]] bool Owned() const;

  /// The row that the next heartbeat writes.
  [[nodiscard]] ShardRow Row(MonotonicTime aNow);
  [[nodiscard]] std::int64_t RowVersion() const;
  void HandleRenewed(std::int64_t aRowVersion, MonotonicTime aSentAt);
  /// An earlier heartbeat was stored although its answer was lost.
  void AdoptRowVersion(std::int64_t aRowVersion);
  /// Another owner has claimed the shard.
  void HandleSucceeded();

  void SetConfiguration(const Configuration& aConfiguration);
  void SetEvacuatedDataCentres(const std::vector<std::string>& aDataCentres);
  /// @param aRunners all runners, of every shard
  /// @param aShards  number of shards
  void SetRunners(const std::vector<dispatch::RunnerSpec>& aRunners,
                  std::uint32_t aShards);

  void Tick(MonotonicTime aNow);

  /// Gives no more orders; progress that is due is still stored.
  void Retire();
  [[nodiscard]] bool Serving() const;
  [[nodiscard]] bool Retired() const;
  /// @return whether nothing is left to store
  [[nodiscard]] bool Settled() const;

  [[nodiscard]] std::uint32_t Number() const;
  [[nodiscard]] const dispatch::Dispatcher& Core() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
