#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that this process sends.
struct HttpCall
{
  std::string_view mMethod;
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  Millis mTimeout{ 1000 };
};

/// What is known about a call that brought no complete answer.
enum class CallFailure
{
  None,
  NotSent, ///< The peer certainly has not read the request.
  NoAnswer ///< The peer may have carried it out.
};

struct HttpAnswer
{
  CallFailure mFailure = CallFailure::None;
  int mStatus = 0;
  std::string mBody;
};

using AnswerHandler = std::function<void(HttpAnswer)>;

/// A request that this process received.
struct HttpIncoming
{
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  std::string mBody;
  HttpHeaders mHeaders;
};

struct HttpReply
{
  int mStatus = 500;
  std::string mContentType;
  std::string mBody;
  HttpHeaders mHeaders;
};

using ReplyHandler = std::function<void(HttpReply)>;

} // namespace paddle
