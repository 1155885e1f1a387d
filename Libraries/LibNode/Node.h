#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibNode/ClientFrontEnd.h>
#include <LibNode/Cluster.h>
#include <LibNode/NodeContext.h>
#include <LibNode/RefusedRequest.h>
#include <LibNode/ShardOwner.h>

namespace paddle {

/// One node of the cluster: writes its heartbeats, reads the state of the
/// cluster and what the operator publishes, claims and owns shards, and serves
/// clients. All of it runs on one event loop.
class Node
{
public:
  /// @param aContext must outlive the node and its calls
  explicit Node(NodeContext& aContext);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Begin();
  /// Starts all calls that are due. To be called every few milliseconds.
  void Tick(MonotonicTime aNow);

  /// Releases the node's shards once their progress is stored, and makes the
  /// node report that it is not ready. Clients are still served.
  void Drain();
  /// @return whether the node owns no shard any more
  [[nodiscard]] bool Drained() const;

  /// @return whether the load balancer should send clients to this node
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] const std::optional<Configuration>& Config() const;
  /// @return the version by which clients are served now, and its age
  [[nodiscard]] ConfigurationCopy ConfigurationInForce() const;
  /// @return lines of the metrics page with the use, the budget and the cap of
  ///         the client accounts that have one, in the shards of this node:
  ///         "account_use_milli_cores/ACCOUNT/SHARD 4000"
  [[nodiscard]] std::string AccountMetrics() const;
  [[nodiscard]] ClientFrontEnd& FrontEnd();

  /// Decides on a request for which the configuration in force has no route.
  /// While the copy is stale, a newer version may have the route, and another
  /// node may know it.
  /// @return NoSuchRoute, or NotAccepted if the client should come back
  [[nodiscard]] ClientAnswer AnswerUnknownRoute() const;

  /// Answers a peer's request for the operator's rows: at once if any have
  /// changed, otherwise when the store confirms the copy or the wait is over.
  /// @param aReply gets the body of the answer; may be called later
  void ServeOperatorRows(const RelayRequest& aRequest,
                         std::function<void(std::string)> aReply);

  /// Logs a refused request with the version that refused it.
  void LogRefusal(const RefusedRequest& aRequest);

private:
  /// A shard whose row a lease renewal contains.
  struct RenewedShard
  {
    std::uint32_t mNumber = 0;
    bool mReleased = false; ///< The renewal releases the shard.
  };

  /// Writes this node's own row, or removes it while draining.
  void Heartbeat(MonotonicTime aNow);
  /// Renews the leases of all shards that this node owns in one transaction,
  /// and releases those that it has finished stepping down from.
  void RenewShards(MonotonicTime aNow);
  /// Handles the result of the transaction that RenewShards() has sent.
  /// @param aSentAt when it was sent
  void HandleRenewal(const TransactionOutcome& aOutcome,
                     const std::vector<RenewedShard>& aShards,
                     MonotonicTime aSentAt);
  /// Reads the nodes' rows into mView.
  void ReadNodes();
  /// Reads the shards' rows into mView; then claims shards and hands them over.
  void ReadShards();
  /// Reads what the operator publishes, and passes it on to the owned shards.
  void ReadOperator();
  /// Handles the result of the read that ReadOperator() has sent.
  /// @param aSentAt when it was sent
  void HandleOperatorRead(ReadResult aResult,
                          OperatorState aState,
                          MonotonicTime aSentAt);
  /// Handles the operator's state after a read from the store or a peer.
  /// @param aConfirmedAt a time not later than the store's confirmation
  /// @param aSource      "store" or "peer", for the log
  /// @param aReadFields  fields for the log that describe the read
  void FinishOperatorRead(OperatorState aState,
                          MonotonicTime aConfirmedAt,
                          std::string_view aSource,
                          std::string_view aReadFields);
  /// Puts a newer configuration and changed evacuations into force.
  /// @param aSource     see FinishOperatorRead()
  /// @param aReadFields see FinishOperatorRead()
  void ApplyOperatorState(OperatorState aState,
                          std::string_view aSource,
                          std::string_view aReadFields);

  // Passing the operator's rows on between nodes, see NodeRelay.cpp.

  /// A request of a peer that waits for its answer.
  struct HeldRequest
  {
    RelayRequest mRequest;
    MonotonicTime mReceivedAt;
    std::function<void(std::string)> mReply;
  };
  /// Chooses where to read the operator's rows; gives up a silent peer.
  void UpdateSource(MonotonicTime aNow);
  /// Asks the present peer for rows, without large ones.
  /// @param aWait longest time that the peer may wait for a change
  void ReadFromPeer(Millis aWait);
  /// Asks the present peer for rows that it has announced.
  void ReadLargeRows(std::size_t aBytes);
  void CallPeer(const RelayRequest& aRequest, Millis aTimeout);
  /// Handles the answer of the present peer.
  /// @param aSentAt when the request was sent
  void HandlePeerAnswer(const RelayRequest& aRequest,
                        const std::optional<std::string>& aBody,
                        MonotonicTime aSentAt);
  /// Stops asking the present peer for a while.
  /// @param aCause word for the log
  void GiveUpPeer(std::string_view aCause, PeerFault aFault);
  /// @return the body of the answer to a peer
  [[nodiscard]] std::string RelayAnswerTo(const HeldRequest& aRequest,
                                          MonotonicTime aNow) const;
  /// Answers the requests whose wait is over, or all.
  void AnswerHeldRequests(MonotonicTime aNow, bool aAll);

  /// Logs when the copy of the configuration has become stale.
  void CheckConfigurationAge(MonotonicTime aNow);
  /// Reads the list of runners, and passes it on to the owned shards.
  void ReadRunners();
  /// Logs that a read of the list of runners failed or was slow, and how old
  /// the list in use is: until the next one, starts may go to runners that have
  /// left.
  void LogRunnerRead(bool aSucceeded,
                     MonotonicTime aSentAt,
                     MonotonicTime aNow);
  /// Chooses the number of shards and stores it, if no node has done so.
  void CreateLayout();
  /// Begins to claim the shards that DecideClaims() returns.
  void ClaimShards(MonotonicTime aNow);
  /// Steps down from the shards that a larger node should own.
  void HandOverShards(MonotonicTime aNow);
  void Log(LogLevel aLevel, std::string_view aEvent, std::string_view aFields);

  NodeContext& mContext;
  ClusterView mView;
  ClientFrontEnd mClientFrontEnd;
  std::map<std::uint32_t, std::unique_ptr<ShardOwner>> mShards;
  std::optional<Configuration> mConfiguration;
  /// When the last read of the operator's state that was answered was sent.
  std::optional<MonotonicTime> mConfigurationConfirmedAt;
  /// When the copy was found to be stale; nothing while it is current.
  std::optional<MonotonicTime> mConfigurationStaleSince;
  std::vector<std::string> mEvacuatedDataCentres;
  RelayState mRelay;
  OperatorSource mSource;          ///< As last chosen and logged.
  std::uint64_t mPeerCall = 0;     ///< The call that is awaited; 0: none.
  std::uint64_t mLastPeerCall = 0; ///< Number of the last one sent.
  std::vector<HeldRequest> mHeldRequests;
  std::vector<dispatch::RunnerSpec> mRunners;
  /// Whether the latest read of the list had more runners than the one before.
  bool mRunnerListGrows = false;
  bool mDraining = false;
  bool mStoreReachable = false; ///< As last logged.

  bool mHeartbeatInFlight = false;
  bool mLeaseRenewalInFlight = false;
  bool mNodeReadInFlight = false;
  bool mShardReadInFlight = false;
  bool mOperatorReadInFlight = false;
  std::uint32_t mOperatorReadFailures = 0; ///< Since the last success.
  bool mRunnerReadInFlight = false;
  /// When the read was sent that brought the list of runners in use.
  std::optional<MonotonicTime> mRunnersReadSentAt;
  bool mLayoutWriteInFlight = false;
  MonotonicTime mBeginAt;
  MonotonicTime mNextHeartbeatAt;
  /// Delay before a heartbeat is repeated that was not stored.
  Millis mHeartbeatRetryDelay{ 150 };
  MonotonicTime mNextLeaseRenewalAt;
  MonotonicTime mNextNodeReadAt;
  MonotonicTime mNextShardReadAt;
  MonotonicTime mNextOperatorReadAt;
  MonotonicTime mOperatorReadSentAt; ///< The last one.
  MonotonicTime mNextRunnerReadAt;
  /// Expires with the node, so that handlers that are called later do nothing.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace paddle
