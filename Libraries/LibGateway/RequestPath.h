#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <LibBase/Metrics.h>
#include <LibGateway/GatewayMessage.h>
#include <LibGateway/GatewayPorts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/KeyBook.h>
#include <LibGateway/RecordWriter.h>
#include <LibGateway/RoutingThread.h>
#include <LibGateway/WatchPool.h>
#include <LibHttp/HttpClient.h>

namespace paddle {

/// How a request reached this gateway.
enum class Forwarded
{
  No,
  ToKeyOwner,
  ToFreeSlots
};

/// A request as this gateway understands it.
struct CallerRequest
{
  std::string mId;
  std::string mService;
  std::string mCustomer;
  std::string mKey; ///< Empty, or scoped by service, customer and path.
  std::string mKeyHeader;
  Forwarded mForwarded = Forwarded::No;
  Route mRoute;
  MonotonicTime mDeadline{};
  HttpRequest mToRunner; ///< As a runner is to receive it.
  std::string mPath;     ///< As this gateway received it.
};

/// Takes each request from its caller to a runner or a peer and back; runs on
/// the HTTP threads.
class RequestPath
{
public:
  RequestPath(const GatewaySettings& aSettings,
              const GatewayPorts& aPorts,
              HttpClient& aClient,
              RoutingThread& aRouting,
              KeyBook& aKeys,
              WatchPool& aWatches,
              RecordWriter& aRecords,
              Metrics& aMetrics);
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  /// Answers one request; called from several threads at once.
  HttpReply Handle(const HttpRequest& aRequest);

  /// From now on requests are refused.
  void Close();

private:
  /// One try as a runner or a peer ended it.
  struct Try
  {
    TryResult mResult = TryResult::ShardNotOwned;
    HttpReply mReply;
    std::string mWhy;
  };

  std::optional<RequestEnd> Parse(const HttpRequest& aRequest,
                                  CallerRequest& aOut);
  RequestEnd Dispatch(const CallerRequest& aRequest);
  RequestEnd HandleKeyed(const CallerRequest& aRequest);
  RequestEnd HandleOwnKey(const CallerRequest& aRequest);
  RequestEnd RunKeyed(const CallerRequest& aRequest);
  RequestEnd HandOverToKeyOwner(const CallerRequest& aRequest,
                                const Member& aOwner);
  RequestEnd RouteRequest(const CallerRequest& aRequest);
  RequestEnd FollowCommands(const CallerRequest& aRequest,
                            RequestNumber aNumber,
                            Mailbox& aMailbox);
  Try SendToOwnRunner(const CallerRequest& aRequest,
                      const RunnerCommand& aCommand);
  Try SendToPeer(const CallerRequest& aRequest,
                 const Endpoint& aPeer,
                 const char* aForwarded);
  std::optional<Member> FindPeer(const std::string& aName) const;
  ConnectionUse UseToPeer(const CallerRequest& aRequest) const;
  void Record(const CallerRequest& aRequest, const RequestEnd& aEnd);
  HttpReply Complete(const CallerRequest& aRequest, RequestEnd aEnd);

  const GatewaySettings& mSettings;
  const GatewayPorts& mPorts;
  HttpClient& mClient;
  RoutingThread& mRouting;
  KeyBook& mKeys;
  WatchPool& mWatches;
  RecordWriter& mRecords;
  Metrics& mMetrics;
  std::atomic<std::uint64_t> mNumber{ 0 };
  std::atomic<bool> mClosed{ false };
};

} // namespace paddle
