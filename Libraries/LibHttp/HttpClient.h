#pragma once

#include <memory>
#include <string>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Time.h>

namespace paddle {

/// Which connection a request may use. On a connection that has carried a
/// request before, the HTTP library sends a request again by itself when the
/// peer closes the connection or does not answer within the time-out. A request
/// that must not arrive twice needs Fresh.
enum class ConnectionUse
{
  Fresh,   ///< A new connection that has carried no request.
  Reusable ///< An idle connection if there is one. The peer may see the
           ///< request twice, and a failure may take twice the time-out.
};

/// What is known about a request that got no answer.
enum class SendState
{
  NotSent, ///< No byte of the request left: it surely was not run.
  Unknown  ///< The request may have been run.
};

struct HttpFailure
{
  SendState mState = SendState::Unknown;
  bool mTimedOut = false;
  std::string mMessage;
};

struct HttpClientSettings
{
  std::string mUserAgent = "savorypaddle"; ///< Daemons append "/MEMBER".
  Millis mConnectTimeout{ 500 };
  Millis mMaxIdle{ 10000 }; ///< Older idle connections are closed.
  unsigned mMaxIdlePerEndpoint = 16;
};

/// Sends requests and pools connections by endpoint. Safe for use from
/// several threads.
class HttpClient
{
public:
  explicit HttpClient(HttpClientSettings aSettings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and waits for the whole answer. After any failure the
  /// connection is closed and never used again, so a late answer can't reach
  /// another request.
  Outcome<HttpReply, HttpFailure> Execute(const Endpoint& aEndpoint,
                                          const HttpRequest& aRequest,
                                          Millis aTimeout,
                                          ConnectionUse aUse);

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle
