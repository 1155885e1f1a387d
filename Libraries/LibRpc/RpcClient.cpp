#include <LibRpc/RpcClient.h>

#include <LibRpc/JsonRpcAdapter.h>
#include <LibRpc/RpcError.h>
#include <LibRpc/RpcServer.h>

namespace paddle {

Outcome<Json::Value>
CallRpc(HttpClient& aClient,
        const Endpoint& aEndpoint,
        const std::string& aMethod,
        const Json::Value& aParameters,
        Millis aTimeout,
        ConnectionUse aUse)
{
  SendState state = SendState::Unknown;
  const JsonRpcTransport transport = [&](const std::string& aRequest,
                                         std::string& aAnswer) {
    HttpRequest request;
    request.mMethod = "POST";
    request.mPath = kRpcPath;
    request.mHeaders = { { "Content-Type", "application/json" } };
    request.mBody = aRequest;
    Outcome<HttpReply, HttpFailure> reply =
      aClient.Execute(aEndpoint, request, aTimeout, aUse);
    if (!Succeeded(reply)) {
      state = ErrorOf(reply).mState;
      aAnswer = ErrorOf(reply).mMessage;
      return false;
    }
    if (ValueOf(reply).mStatus != 200) {
      aAnswer = "HTTP status " + std::to_string(ValueOf(reply).mStatus);
      return false;
    }
    aAnswer = std::move(ValueOf(reply).mBody);
    return true;
  };
  JsonRpcAnswer answer = CallJsonRpc(aMethod, aParameters, transport);
  if (!answer.mFailed) {
    return std::move(answer.mResult);
  }
  const std::string message =
    aMethod + " at " + ToText(aEndpoint) + ": " + answer.mErrorMessage;
  if (answer.mErrorCode != kRpcTransportFailed) {
    return Error{ ErrorKindOf(answer.mErrorCode), message };
  }
  if (state == SendState::NotSent) {
    return Error{ ErrorKind::Unavailable, message };
  }
  return Error{ ErrorKind::Unknown, message };
}

} // namespace paddle
