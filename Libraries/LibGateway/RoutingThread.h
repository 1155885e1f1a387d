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

/// A request for the routing thread.
struct Arrival
{
  RequestArrived mRequest; ///< The service index is set by the thread.
  std::shared_ptr<Mailbox> mMailbox;
};

using RoutingEvent = std::variant<Arrival,
                                  TryEnded,
                                  ProbeEnded,
                                  ServiceListed,
                                  ShardAcquired,
                                  ShardLost,
                                  PeerReported>;

/// A probe that the routing core asks for.
struct ProbeOrder
{
  RunnerRef mRunner;
  std::string mService;
  Endpoint mEndpoint;
};

/// Where the routing thread delivers what does not go to a mailbox.
struct RoutingOutputs
{
  std::function<void(RequestRecord)> mRecord;
  /// @return whether the order was taken; if not, the probe has failed
  std::function<bool(ProbeOrder)> mProbe;
};

/// What this gateway has free, by service.
using Summary = std::vector<std::pair<std::string, PeerFreeSlots>>;

/// Owns the routing state and feeds it events from a bounded ring.
class RoutingThread
{
public:
  RoutingThread(const GatewaySettings& aSettings,
                RoutingPolicy aPolicy,
                RoutingOutputs aOutputs);
  ~RoutingThread();
  RoutingThread(const RoutingThread&) = delete;
  RoutingThread& operator=(const RoutingThread&) = delete;

  /// Hands a new request over.
  /// @return whether it was accepted; if not, it must be refused
  [[nodiscard]] bool TryArrive(Arrival aArrival);

  /// Hands any other event over. Waits while the ring is full, because the
  /// end of a request must not get lost.
  void Post(const RoutingEvent& aEvent);

  /// @return the latest summary, at most a few milliseconds old
  [[nodiscard]] Summary LatestSummary() const;

  /// Looks at the state after this call, so that every slot that was assigned
  /// before counts; waits a few milliseconds for it.
  /// @return whether a runner shard has no slot in use
  [[nodiscard]] bool Quiescent(std::string_view aShard) const;

private:
  void Run();
  void Handle(RoutingEvent& aEvent);
  void HandleArrival(Arrival& aArrival);
  void Carry(const RoutingAction& aAction);
  void CarryOut(const SendToRunner& aAction);
  void CarryOut(const ForwardToPeer& aAction);
  void CarryOut(const RecordExplanation& aAction);
  void CarryOut(const EndWithoutAnswer& aAction);
  void CarryOut(const ProbeRunner& aAction);
  void Record(RequestNumber aNumber, const Explanation& aExplanation);
  void Tend();
  void Publish();

  const std::size_t mMostArrivals;
  RoutingOutputs mOutputs;
  Ring<RoutingEvent> mRing;
  RoutingState mState;     ///< Of the thread alone.
  RoutingActions mActions; ///< Of the thread alone; kept to spare memory.
  std::unordered_map<RequestNumber, std::shared_ptr<Mailbox>> mMailboxes;
  MonotonicTime mNextTick{};
  mutable std::mutex mPublishedMutex;
  Summary mSummary;
  std::vector<std::string> mBusyShards;
  std::uint64_t mLooks = 0; ///< Number of times the above were renewed.
  mutable std::condition_variable mLooked;
  std::thread mThread;
};

} // namespace paddle
