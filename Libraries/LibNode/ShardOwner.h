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

/// The owner's work for one shard: claims the shard, reads its state, renews
/// the leases of its runners, sends them the orders that the dispatcher
/// decides on, and stores progress.
class ShardOwner
{
public:
  /// @param aContext must outlive this object and its calls
  /// @param aClaim   the claim, which Begin() sends to the store
  ShardOwner(NodeContext& aContext, const Claim& aClaim);
  ~ShardOwner();
  ShardOwner(const ShardOwner&) = delete;
  ShardOwner& operator=(const ShardOwner&) = delete;

  /// Sends the claim to the store.
  void Begin();

  /// @return whether this node does not own the shard any more, or failed to
  ///         claim it; this object is then to be destroyed
  [[nodiscard]] bool OwnershipLost() const;
  /// @return whether the claim is stored
  [[nodiscard]] bool ClaimStored() const;

  /// @return the shard's row for the next lease renewal; each call raises the
  ///         row's heartbeat count
  [[nodiscard]] ShardRow Row(MonotonicTime aNow);
  /// @return the version of the shard's row that this node last wrote
  [[nodiscard]] std::int64_t RowVersion() const;
  /// Extends the lease after a renewal was stored.
  /// @param aSentAt when the renewal was sent; the lease counts from then
  void HandleLeaseRenewed(std::int64_t aRowVersion, MonotonicTime aSentAt);
  /// Takes over the row version that an earlier renewal has written although
  /// its answer was lost. The lease is not extended.
  void AdoptRowVersion(std::int64_t aRowVersion);
  /// Ends the ownership because another node has claimed the shard.
  void HandleOwnerChanged();
  /// Ends the ownership because the row that releases the shard is stored.
  void HandleReleased();

  void SetConfiguration(const Configuration& aConfiguration);
  void SetEvacuatedDataCentres(const std::vector<std::string>& aDataCentres);
  /// Sets where the state of the other shards and the runners of all shards are
  /// found, for jobs that another shard has room for. Both must outlive this
  /// object.
  void SetCluster(const ClusterView& aView,
                  const std::vector<dispatch::RunnerSpec>& aRunners);
  /// Takes the runners of this shard from the list of runners.
  /// @param aRunners all runners, of every shard
  /// @param aShards  number of shards
  void SetRunners(const std::vector<dispatch::RunnerSpec>& aRunners,
                  std::uint32_t aShards);

  /// Does everything that is due.
  void Tick(MonotonicTime aNow);

  /// From now on sends no more orders to runners. Progress that is not stored
  /// yet is still stored; after that, the next renewal releases the shard.
  void StepDown();
  /// @return whether this node owns the shard and has read its state
  [[nodiscard]] bool Serving() const;
  [[nodiscard]] bool SteppingDown() const;
  /// @return whether neither progress nor the last list of runners is left to
  ///         store
  [[nodiscard]] bool AllStored() const;

  [[nodiscard]] std::uint32_t Number() const;
  [[nodiscard]] const dispatch::Dispatcher& Dispatcher() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
