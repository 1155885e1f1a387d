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
      const std::string id = std::to_string(++mLastCallId);
      HttpCall call{ "GET",
                     FormatRelayRequest(aRequest),
                     { { kCallIdHeader, id } },
                     {},
                     aTimeout };
      call.mLongPoll = aRequest.mWait > Millis(0);
      call.mCheckAnswer = [id](const HttpAnswer& aAnswer, AnswerHistory&) {
        // Nodes of earlier versions don't repeat the call's id.
        return aAnswer.mCallId.empty() ? AnswerOrigin::Unproved
               : aAnswer.mCallId == id ? AnswerOrigin::Own
                                       : AnswerOrigin::Earlier;
      };
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
  HttpHeaders headers;
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (name == kCallIdHeader) {
      headers.emplace_back(name, value);
    }
  }
  aNode.ServeOperatorRows(
    *request, [reply = std::move(aReply), headers](std::string aBody) {
      reply({ 200, "application/octet-stream", std::move(aBody), headers });
    });
}

} // namespace paddle
