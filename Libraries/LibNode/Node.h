#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <LibNode/Cluster.h>
#include <LibNode/Front.h>
#include <LibNode/NodeContext.h>
#include <LibNode/ShardHost.h>

namespace paddle {

/// One node: keeps its rows, follows the cluster and the operator, owns shards
/// and serves clients. All of it runs on one event loop.
class Node
{
public:
  explicit Node(NodeContext& aContext);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Begin();
  void Tick(MonotonicTime aNow);

  /// Gives up its shards and stops counting as ready; clients are still served.
  void Drain();
  /// @return whether nothing of this node's shards is left to store
  [[nodiscard]] bool Drained() const;

  /// @return whether the balancer should send clients to this node
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] const std::optional<Configuration>& Config() const;
  [[nodiscard]] Front& Clients();

private:
  /// A shard whose row a renewal carries.
  struct SentShard
  {
    std::uint32_t mNumber = 0;
    bool mReleased = false;
  };

  void Heartbeat(MonotonicTime aNow);
  void RenewShards(MonotonicTime aNow);
  void HandleRenewal(const TransactionOutcome& aOutcome,
                     const std::vector<SentShard>& aShards,
                     MonotonicTime aSentAt);
  void ReadNodes();
  void ReadShards();
  void ReadOperator();
  void ReadRunners();
  void LayOut();
  void ClaimShards(MonotonicTime aNow);
  void HandOverShards(MonotonicTime aNow);
  void Log(LogLevel aLevel, std::string_view aEvent, std::string_view aFields);

  NodeContext& mContext;
  ClusterView mView;
  Front mFront;
  std::map<std::uint32_t, std::unique_ptr<ShardHost>> mShards;
  std::optional<Configuration> mConfiguration;
  std::vector<std::string> mEvacuatedDataCentres;
  std::vector<dispatch::RunnerSpec> mRunners;
  bool mDraining = false;
  bool mStoreReachable = false;

  bool mHeartbeatOut = false;
  bool mRenewalOut = false;
  bool mNodesOut = false;
  bool mClusterOut = false;
  bool mOperatorOut = false;
  bool mRunnersOut = false;
  bool mLayoutOut = false;
  MonotonicTime mBeginAt;
  MonotonicTime mHeartbeatAt;
  Millis mHeartbeatPause{ 150 }; ///< Before a refused heartbeat is repeated.
  MonotonicTime mRenewalAt;
  MonotonicTime mNodesAt;
  MonotonicTime mClusterAt;
  MonotonicTime mOperatorAt;
  MonotonicTime mRunnersAt;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace paddle
