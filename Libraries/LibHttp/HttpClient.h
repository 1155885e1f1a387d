#pragma once

#include <functional>
#include <memory>
#include <string>

#include <LibBase/AnswerOrigin.h>
#include <LibHttp/HttpMessage.h>
#include <LibTime/Time.h>

namespace paddle {

/// Which connection a request may use. A request that must not arrive twice
/// needs Fresh.
enum class ConnectionUse
{
  Fresh,   ///< A new connection, which is closed after the request.
  Reusable ///< An idle kept-alive connection if there is one. If the peer
           ///< closes it without a reply, the request is sent again on a new
           ///< one, so the peer may receive it twice.
};

/// Decides from its content whether a reply belongs to the request. It must
/// find Earlier for each repetition of a reply for which it found Own.
using ReplyCheck = std::function<AnswerOrigin(const HttpReply& aReply)>;

/// What is known about a request that got no answer.
enum class SendState
{
  NotSent, ///< No byte of the request was sent, so the peer can't have run it.
  Unknown  ///< The peer may have received and run the request.
};

/// Why a request got no answer.
struct HttpFailure
{
  SendState mState = SendState::Unknown;
  bool mTimedOut = false;
  std::string mMessage;
};

struct HttpClientSettings
{
  /// Value of the header User-Agent. Daemons append "/" and their member name.
  std::string mUserAgent = "savorypaddle";
  Millis mConnectTimeout{ 500 }; ///< Part of the time-out of a request.
  /// Connections that are idle for longer are closed.
  Millis mMaxIdleTime{ 10000 };
  unsigned mMaxIdlePerEndpoint = 16; ///< Idle connections kept per endpoint.
};

/// Sends HTTP requests, and keeps a pool of idle connections for each endpoint.
/// Safe for use from several threads.
class HttpClient
{
public:
  explicit HttpClient(HttpClientSettings aSettings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and waits for the whole answer. A connection is used again
  /// only after a reply that is certainly the request's own; after any failure
  /// it is closed, so a late answer can't be taken for that of another request.
  /// If a used connection brings the reply to an earlier request, the request
  /// is sent again on a new one.
  /// @param aTimeout limit of the whole request, connecting included
  /// @param aCheck   without it, the origin of the reply is unproved
  /// @return the reply whatever its status, or a failure if there was none
  Outcome<HttpReply, HttpFailure> Execute(const Endpoint& aEndpoint,
                                          const HttpRequest& aRequest,
                                          Millis aTimeout,
                                          ConnectionUse aUse,
                                          const ReplyCheck& aCheck = nullptr);

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle
