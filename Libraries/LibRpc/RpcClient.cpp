#include <LibRpc/RpcClient.h>

#include <atomic>
#include <optional>

#include <LibBase/JsonReader.h>
#include <LibRpc/RpcError.h>
#include <LibRpc/RpcServer.h>

namespace paddle {

namespace {

/// Section 5 of the JSON-RPC 2.0 specification: an answer repeats the id of its
/// request, or has a null id if the peer could not read it.
AnswerOrigin
OriginOf(const std::optional<Json::Value>& aAnswer, std::int64_t aId)
{
  if (!aAnswer || (*aAnswer)["id"].isNull()) {
    return AnswerOrigin::Unproved;
  }
  return (*aAnswer)["id"] == Json::Value(aId) ? AnswerOrigin::Own
                                              : AnswerOrigin::Earlier;
}

/// @param aAnswer the answer to a call
/// @return its result, or the error that the method returned
Outcome<Json::Value>
ResultOf(Json::Value aAnswer, const std::string& aCall)
{
  if (aAnswer.isMember("result")) {
    return std::move(aAnswer["result"]);
  }
  const Json::Value& error = aAnswer["error"];
  if (!error.isObject() || !error["code"].isInt()) {
    return Error{ ErrorKind::Unknown, aCall + "malformed answer" };
  }
  return Error{ ErrorKindOf(error["code"].asInt()),
                aCall + (error["message"].isString()
                           ? error["message"].asString()
                           : std::string("no message")) };
}

} // namespace

Outcome<Json::Value>
CallRpc(HttpClient& aClient,
        const Endpoint& aEndpoint,
        const std::string& aMethod,
        const Json::Value& aParameters,
        Millis aTimeout,
        ConnectionUse aUse)
{
  static std::atomic<std::int64_t> sLastId{ 0 };
  const std::int64_t id = ++sLastId;
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = id;
  call["method"] = aMethod;
  if (!aParameters.isNull()) {
    call["params"] = aParameters;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = kRpcPath;
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = WriteJson(call);
  std::optional<Json::Value> answer;
  const auto check = [&](const HttpReply& aReply) {
    answer = aReply.mStatus == 200 ? ParseJsonObject(aReply.mBody)
                                   : std::optional<Json::Value>();
    return OriginOf(answer, id);
  };
  const Outcome<HttpReply, HttpFailure> reply =
    aClient.Execute(aEndpoint, request, aTimeout, aUse, check);
  const std::string prefix = aMethod + " at " + ToText(aEndpoint) + ": ";
  if (!Succeeded(reply)) {
    return Error{ ErrorOf(reply).mState == SendState::NotSent
                    ? ErrorKind::Unavailable
                    : ErrorKind::Unknown,
                  prefix + ErrorOf(reply).mMessage };
  }
  if (ValueOf(reply).mStatus != 200) {
    return Error{ ErrorKind::Unknown,
                  prefix + "HTTP status " +
                    std::to_string(ValueOf(reply).mStatus) };
  }
  if (!answer) {
    return Error{ ErrorKind::Unknown, prefix + "malformed answer" };
  }
  return ResultOf(std::move(*answer), prefix);
}

} // namespace paddle
