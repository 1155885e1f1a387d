#include <StandIns/Caller/CallSender.h>

#include <StandIns/Runner/Answer.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace paddle {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Reply = http::response<http::string_body>;

constexpr Millis kConnectTimeout{ 1000 };
constexpr Millis kHealthTimeout{ 500 };

tcp::endpoint
ToAsioEndpoint(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort };
}

Request
MakeRequest(const CallRoute& aRoute,
            const PlannedCall& aCall,
            const Endpoint& aGateway)
{
  const http::verb verb =
    aCall.mKind == CallKind::Order ? http::verb::post : http::verb::get;
  Request request(verb, aRoute.mPrefix + aCall.mTarget, 11);
  request.set(http::field::host, ToText(aGateway));
  request.set("Paddle-Customer", aRoute.mClientAccount);
  if (!aCall.mKey.empty()) {
    request.set("Idempotency-Key", aCall.mKey);
  }
  if (aCall.mKind != CallKind::Watch) {
    request.set("Paddle-Deadline-Ms", std::to_string(aRoute.mDeadlineMs));
  }
  request.body() = aCall.mBody;
  request.keep_alive(false);
  request.prepare_payload();
  return request;
}

/// @return whether a successful reply belongs to the call. A watch may also end
///         with "Paddle-Watch: again", by which the gateway asks for a repeat.
bool
IsOwnAnswer(const Reply& aReply, const PlannedCall& aCall)
{
  if (aCall.mKind == CallKind::Watch && aReply["Paddle-Watch"] == "again") {
    return true;
  }
  const auto answer = DecodeAnswer(aReply.body());
  return answer && answer->mTarget == aCall.mTarget &&
         answer->mKey == aCall.mKey && answer->mBody == aCall.mBody;
}

/// @return the result of a try that got a complete HTTP reply
CallReply
ClassifyReply(const Reply& aReply, const PlannedCall& aCall)
{
  const beast::string_view outcome = aReply["Paddle-Outcome"];
  const std::string detail = std::to_string(aReply.result_int()) + " " +
                             std::string(outcome.data(), outcome.size()) + " " +
                             aReply.body().substr(0, 200);
  if (outcome == "refused") {
    return { CallResult::Refused, detail };
  }
  if (outcome == "unknown") {
    return { CallResult::Unknown, detail };
  }
  if (aReply.result_int() != 200) {
    return { CallResult::Rejected, detail };
  }
  if (!IsOwnAnswer(aReply, aCall)) {
    return { CallResult::Wrong, detail };
  }
  return { CallResult::Answered, {} };
}

} // namespace

std::string_view
NameOf(CallResult aResult)
{
  switch (aResult) {
    case CallResult::Answered:
      return "answered";
    case CallResult::Refused:
      return "refused";
    case CallResult::Unknown:
      return "unknown";
    case CallResult::Broken:
      return "broken";
    case CallResult::TimedOut:
      return "timed_out";
    case CallResult::Wrong:
      return "wrong";
    case CallResult::Rejected:
      return "rejected";
    case CallResult::NotSent:
      return "not_sent";
  }
  return "";
}

asio::awaitable<CallReply>
SendCall(const Endpoint& aGateway,
         const CallRoute& aRoute,
         const PlannedCall& aCall)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  CallResult failure = CallResult::NotSent;
  try {
    stream.expires_after(kConnectTimeout);
    co_await stream.async_connect(ToAsioEndpoint(aGateway), use_awaitable);
    stream.socket().set_option(tcp::no_delay(true));
    failure = CallResult::Broken;
    stream.expires_after(aRoute.mAnswerTimeout);
    const Request request = MakeRequest(aRoute, aCall, aGateway);
    co_await http::async_write(stream, request, use_awaitable);
    beast::flat_buffer buffer;
    Reply reply;
    co_await http::async_read(stream, buffer, reply, use_awaitable);
    co_return ClassifyReply(reply, aCall);
  } catch (const boost::system::system_error& e) {
    if (e.code() == beast::error::timeout && failure == CallResult::Broken) {
      failure = CallResult::TimedOut;
    }
    co_return CallReply{ failure, e.what() };
  }
}

asio::awaitable<bool>
CheckHealth(const Endpoint& aGateway)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  try {
    stream.expires_after(kHealthTimeout);
    co_await stream.async_connect(ToAsioEndpoint(aGateway), use_awaitable);
    Request request(http::verb::get, "/savorypaddle/health", 11);
    request.set(http::field::host, ToText(aGateway));
    request.keep_alive(false);
    co_await http::async_write(stream, request, use_awaitable);
    beast::flat_buffer buffer;
    Reply reply;
    co_await http::async_read(stream, buffer, reply, use_awaitable);
    co_return reply.result_int() == 200;
  } catch (const boost::system::system_error&) {
    co_return false;
  }
}

} // namespace paddle
