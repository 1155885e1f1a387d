#pragma once

// Boost 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Time.h>
#include <StandIns/Caller/LoadPlan.h>

namespace paddle {

/// How one try of a call ended.
enum class CallResult
{
  Answered, ///< The complete answer to this very request.
  Refused,  ///< Refused with "not run".
  Unknown,  ///< The gateway does not know whether it ran.
  Broken,   ///< The connection broke after the request was sent.
  TimedOut, ///< No answer within the caller's patience.
  Wrong,    ///< An answer that is cut short, altered or another request's.
  Rejected, ///< A reply without an outcome that promises anything.
  NotSent   ///< No connection could be made.
};

/// @return the result's name in key=value lines
std::string_view
NameOf(CallResult aResult);

/// How to reach a service through gateways, or runners directly.
struct CallRoute
{
  std::string mPrefix; ///< "/SERVICE", empty for runners.
  std::string mCustomer = "grower";
  Millis mPatience{ 5000 };
  unsigned mDeadlineMs = 2000; ///< Sent with short requests.
};

struct CallReply
{
  CallResult mResult = CallResult::NotSent;
  std::string mDetail; ///< What was seen, if anything but an answer.
};

/// Sends a call on a connection of its own and checks the answer.
boost::asio::awaitable<CallReply>
SendCall(const Endpoint& aGateway,
         const CallRoute& aRoute,
         const PlannedCall& aCall);

/// @return whether the gateway's health page says that it serves
boost::asio::awaitable<bool>
CheckHealth(const Endpoint& aGateway);

} // namespace paddle
