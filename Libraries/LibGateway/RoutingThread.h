#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include <LibBase/Metrics.h>
#include <LibBase/Ring.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/Mailbox.h>
#include <LibGateway/RequestRecord.h>
#include <LibRouting/Routing.h>

namespace paddle {

/// A new request as it is passed to the routing thread.
struct Arrival
{
  RequestArrived mRequest; ///< The routing thread sets its service index.
  std::shared_ptr<Mailbox> mMailbox; ///< Receives the commands for it.
};

/// All events that the routing thread handles.
using RoutingEvent = std::variant<Arrival,
                                  TryEnded,
                                  ProbeEnded,
                                  ServiceListed,
                                  ShardAcquired,
                                  ShardLost,
                                  PeerReported>;

/// A health probe that LibRouting asks for.
struct ProbeRequest
{
  RunnerRef mRunner;
  std::string mService;
  Endpoint mEndpoint;
};

/// Functions to which the routing thread passes actions that don't concern the
/// HTTP thread of a request.
struct RoutingOutputs
{
  std::function<void(RequestRecord)> mRecord; ///< Receives the decisions.
  /// @return whether the probe was accepted; if not, it is asked for again
  std::function<bool(ProbeRequest)> mProbe;
};

/// The free slots of this gateway's runners, by service name.
using Summary = std::vector<std::pair<std::string, PeerFreeSlots>>;

/// Owns the routing state of LibRouting. A thread takes events from a bounded
/// queue, applies them to the state and carries out the resulting actions.
class RoutingThread
{
public:
  RoutingThread(const GatewaySettings& aSettings,
                RoutingPolicy aPolicy,
                RoutingOutputs aOutputs);
  ~RoutingThread();
  RoutingThread(const RoutingThread&) = delete;
  RoutingThread& operator=(const RoutingThread&) = delete;

  /// Queues a new request.
  /// @return whether it was accepted; if not, it must be refused
  [[nodiscard]] bool TryPostArrival(Arrival aArrival);

  /// Queues any other event. The call waits while the queue is full, because
  /// the end of a request must not get lost.
  void Post(const RoutingEvent& aEvent);

  /// @return the latest summary, at most a few milliseconds old
  [[nodiscard]] Summary LatestSummary() const;

  /// Checks a runner shard before its hand-over. The call waits a few
  /// milliseconds until the routing thread has read its state once more, so
  /// that every slot assigned before the call is counted.
  /// @return whether no slot of the shard is in use; false if the routing
  ///         thread did not read its state in time
  [[nodiscard]] bool Quiescent(std::string_view aShard) const;

private:
  void Run();
  void Handle(RoutingEvent& aEvent);
  void HandleArrival(Arrival& aArrival);
  void ExecuteAction(const RoutingAction& aAction);
  void Execute(const SendToRunner& aAction);
  void Execute(const ForwardToPeer& aAction);
  void Execute(const RecordExplanation& aAction);
  void Execute(const EndWithoutAnswer& aAction);
  void Execute(const ProbeRunner& aAction);
  void Record(RequestNumber aNumber, const Explanation& aExplanation);
  void HandleTick();
  void Publish();

  /// New requests are rejected when the queue holds this number of events.
  const std::size_t mMaxQueuedArrivals;
  RoutingOutputs mOutputs;
  Ring<RoutingEvent> mRing;
  RoutingState mState; ///< It is used by the routing thread only.
  /// The actions of the present event; used by the routing thread only. They
  /// are a member so that their memory is reused.
  RoutingActions mActions;
  /// The mailboxes of the requests that have not ended; used by the routing
  /// thread only.
  std::unordered_map<RequestNumber, std::shared_ptr<Mailbox>> mMailboxes;
  MonotonicTime mNextTick{};
  mutable std::mutex mPublishedMutex; ///< It guards the next three members.
  Summary mSummary;
  std::vector<std::string> mBusyShards; ///< Shards that have slots in use.
  std::uint64_t mPublishCount = 0;      ///< The number of calls of Publish().
  mutable std::condition_variable mPublished; ///< Publish() notifies it.
  std::thread mThread;
};

} // namespace paddle
