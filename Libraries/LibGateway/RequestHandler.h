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
#include <LibGateway/IdempotencyKeyStore.h>
#include <LibGateway/RecordWriter.h>
#include <LibGateway/RoutingThread.h>
#include <LibGateway/WatchPool.h>
#include <LibHttp/HttpClient.h>

namespace paddle {

/// Whether and why a peer forwarded a request to this gateway.
enum class Forwarded
{
  No,         ///< It came from a caller.
  ToKeyOwner, ///< This gateway owns the shard of its idempotency key.
  ToFreeSlots ///< The peer had no free slot and this gateway had some.
};

/// A request after parsing.
struct CallerRequest
{
  std::string mId;
  std::string mService;
  std::string mClientAccount;
  /// The idempotency key together with the service, client account, method and
  /// path that it applies to; empty if the request has none.
  std::string mScopedKey;
  std::string mKeyHeader; ///< The idempotency key as the caller sent it.
  Forwarded mForwarded = Forwarded::No;
  Route mRoute;
  MonotonicTime mDeadline{};
  HttpRequest mRunnerRequest; ///< The request as it is sent to a runner.
  std::string mPath;          ///< The path as this gateway received it.
};

/// Handles requests of callers and of peers that forward: parses a request,
/// sends it to runners or peers as the routing thread commands, and returns the
/// reply. Runs on the HTTP threads.
class RequestHandler
{
public:
  RequestHandler(const GatewaySettings& aSettings,
                 const GatewayPorts& aPorts,
                 HttpClient& aClient,
                 RoutingThread& aRouting,
                 IdempotencyKeyStore& aKeys,
                 WatchPool& aWatches,
                 RecordWriter& aRecords,
                 Metrics& aMetrics);
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  /// Answers one request. May be called from several threads at once.
  HttpReply Handle(const HttpRequest& aRequest);

  /// Refuses all requests that arrive from now on.
  void RefuseRequests();

private:
  /// The result of one try to send a request to a runner or a peer.
  struct Try
  {
    TryResult mResult = TryResult::ShardNotOwned;
    HttpReply mReply;     ///< It is set only if a reply arrived.
    std::string mProblem; ///< What went wrong, for the log; may be empty.
  };

  std::optional<ReplyWithOutcome> Parse(const HttpRequest& aRequest,
                                        CallerRequest& aOut);
  ReplyWithOutcome Dispatch(const CallerRequest& aRequest);
  ReplyWithOutcome HandleKeyedRequest(const CallerRequest& aRequest);
  ReplyWithOutcome HandleOwnedKey(const CallerRequest& aRequest);
  ReplyWithOutcome RunKeyedRequest(const CallerRequest& aRequest);
  ReplyWithOutcome ForwardToKeyOwner(const CallerRequest& aRequest,
                                     const Member& aOwner);
  ReplyWithOutcome RouteRequest(const CallerRequest& aRequest);
  ReplyWithOutcome ExecuteCommands(const CallerRequest& aRequest,
                                   RequestNumber aNumber,
                                   Mailbox& aMailbox);
  Try SendToOwnRunner(const CallerRequest& aRequest,
                      const RunnerCommand& aCommand);
  Try SendToPeer(const CallerRequest& aRequest,
                 const Endpoint& aPeer,
                 const char* aForwarded);
  std::optional<Member> FindPeer(const std::string& aName) const;
  ConnectionUse PeerConnectionUse(const CallerRequest& aRequest) const;
  void Record(const CallerRequest& aRequest, const ReplyWithOutcome& aResult);
  HttpReply Complete(const CallerRequest& aRequest, ReplyWithOutcome aResult);

  const GatewaySettings& mSettings;
  const GatewayPorts& mPorts;
  HttpClient& mClient;
  RoutingThread& mRouting;
  IdempotencyKeyStore& mKeys;
  WatchPool& mWatches;
  RecordWriter& mRecords;
  Metrics& mMetrics;
  /// The last number given out; used for request ids and request numbers.
  std::atomic<std::uint64_t> mLastNumber{ 0 };
  std::atomic<bool> mRefusing{ false };
};

} // namespace paddle
