#include <LibRpc/RpcServer.h>

#include <LibRpc/JsonRpcAdapter.h>
#include <LibRpc/RpcError.h>

namespace paddle {

namespace {

JsonRpcAnswer
ToAnswer(Outcome<Json::Value> aOutcome)
{
  JsonRpcAnswer answer;
  if (Succeeded(aOutcome)) {
    answer.mResult = std::move(ValueOf(aOutcome));
    return answer;
  }
  answer.mFailed = true;
  answer.mErrorCode = RpcCodeOf(ErrorOf(aOutcome).mKind);
  answer.mErrorMessage = ErrorOf(aOutcome).mMessage;
  return answer;
}

/// Calls a method, and reports parameters of the wrong type as InvalidInput.
JsonRpcAnswer
Invoke(const RpcMethod& aMethod, const Json::Value& aParameters)
{
  try {
    return ToAnswer(aMethod(aParameters));
  } catch (const Json::Exception& e) {
    // jsoncpp throws if a member has another type than the method expects.
    return ToAnswer(Error{ ErrorKind::InvalidInput, e.what() });
  }
}

} // namespace

HttpHandler
MakeRpcHandler(const RpcMethods& aMethods, HttpHandler aFallback)
{
  auto dispatcher = std::make_shared<JsonRpcDispatcher>();
  for (const auto& [name, method] : aMethods) {
    dispatcher->Add(name, [method = method](const Json::Value& aParameters) {
      return Invoke(method, aParameters);
    });
  }
  return [dispatcher, fallback = std::move(aFallback)](
           const HttpRequest& aRequest) -> HttpReply {
    if (aRequest.mPath == kRpcPath) {
      return HttpReply{ 200,
                        { { "Content-Type", "application/json" } },
                        dispatcher->Handle(aRequest.mBody) };
    }
    if (fallback) {
      return fallback(aRequest);
    }
    return HttpReply{ 404, {}, "no such path\n" };
  };
}

} // namespace paddle
