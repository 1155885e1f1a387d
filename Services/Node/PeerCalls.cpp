// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include "PeerCalls.h"

namespace paddle {

namespace {

/// Connections to one node. A call that was given up keeps its connection until
/// its time-out.
constexpr std::size_t kConnections = 3;
/// An idle connection may have fallen silent. Calls follow each other at once.
constexpr Millis kMaxIdleTime{ 1000 };

} // namespace

PeerClient::PeerClient(boost::asio::io_context& aLoop, Deadlines& aDeadlines)
  : mLoop(aLoop)
  , mDeadlines(aDeadlines)
{
}

PeerPort
PeerClient::Port()
{
  PeerPort port;
  port.mReadOperatorRows =
    [this](const std::string& aAddress,
           const RelayRequest& aRequest,
           Millis aTimeout,
           std::function<void(std::optional<std::string>)> aDone) {
      std::unique_ptr<HttpPool>& pool = mPools[aAddress];
      if (!pool) {
        pool = std::make_unique<HttpPool>(
          mLoop, mDeadlines, aAddress, kConnections, kMaxIdleTime);
      }
      HttpCall call{ "GET", FormatRelayRequest(aRequest), {}, {}, aTimeout };
      call.mLongPoll = aRequest.mWait > Millis(0);
      pool->Send(std::move(call),
                 [done = std::move(aDone)](HttpAnswer aAnswer) {
                   if (aAnswer.mStatus == 200) {
                     done(std::move(aAnswer.mBody));
                   } else {
                     done({});
                   }
                 });
    };
  return port;
}

void
HandlePeerCall(Node& aNode,
               const HttpIncomingRequest& aRequest,
               ReplyHandler aReply)
{
  const std::optional<RelayRequest> request =
    ParseRelayRequest(aRequest.mTarget);
  if (!request || aRequest.mMethod != "GET") {
    aReply({ 404, {}, {}, {} });
    return;
  }
  aNode.ServeOperatorRows(
    *request, [reply = std::move(aReply)](std::string aBody) {
      reply({ 200, "application/octet-stream", std::move(aBody), {} });
    });
}

} // namespace paddle
