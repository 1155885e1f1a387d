#pragma once

// Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Time.h>
#include <StandIns/Caller/LoadPlan.h>

namespace paddle {

/// Result of one try of a call.
enum class CallResult
{
  Answered, ///< The complete answer to this request arrived.
  Refused,  ///< The gateway reports that it did not run the request.
  Unknown,  ///< The gateway does not know whether it was run.
  Broken,   ///< The connection broke before the complete reply.
  TimedOut, ///< No answer came within the caller's time-out.
  Wrong,    ///< The answer is truncated, altered or another request's.
  Rejected, ///< Another status than 200, without a known outcome.
  NotSent   ///< No connection was established.
};

/// @return the name of the result, as in the printed key=value lines
std::string_view
NameOf(CallResult aResult);

/// How to call a service through gateways, or its runners directly.
struct CallRoute
{
  std::string mPrefix; ///< Of paths: "/SERVICE", or empty for runners.
  std::string mClientAccount = "grower"; ///< Sent as Paddle-Customer.
  Millis mAnswerTimeout{ 5000 };         ///< From the connection to the answer.
  unsigned mDeadlineMs = 2000;           ///< Sent with all calls but watches.
};

/// Result of one try of a call, with details for people.
struct CallReply
{
  CallResult mResult = CallResult::NotSent;
  std::string mDetail; ///< Empty if the call was answered.
};

/// Sends a call on a new connection and checks the answer.
/// @param aGateway address of a gateway, or of a runner called directly
boost::asio::awaitable<CallReply>
SendCall(const Endpoint& aGateway,
         const CallRoute& aRoute,
         const PlannedCall& aCall);

/// @return whether the gateway's health check answers with status 200 in time
boost::asio::awaitable<bool>
CheckHealth(const Endpoint& aGateway);

} // namespace paddle
