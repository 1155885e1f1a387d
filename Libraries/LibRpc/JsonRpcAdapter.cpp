#include <LibRpc/JsonRpcAdapter.h>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>

namespace paddle {

struct JsonRpcDispatcher::State : public jsonrpc::IProcedureInvokationHandler
{
  std::map<std::string, JsonRpcMethod> mMethods;
  std::unique_ptr<jsonrpc::IProtocolHandler> mProtocol;

  /// Called by libjsonrpccpp, which encodes the exception as an error.
  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    const JsonRpcAnswer answer =
      mMethods.at(aProcedure.GetProcedureName())(aInput);
    if (answer.mFailed) {
      throw jsonrpc::JsonRpcException(answer.mErrorCode, answer.mErrorMessage);
    }
    aOutput = answer.mResult;
  }

  /// Calls that expect no answer are ignored.
  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
  {
  }
};

JsonRpcDispatcher::JsonRpcDispatcher()
  : mState(new State)
{
  mState->mProtocol.reset(jsonrpc::RequestHandlerFactory::createProtocolHandler(
    jsonrpc::JSONRPC_SERVER_V2, *mState));
}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void
JsonRpcDispatcher::Add(const std::string& aName, JsonRpcMethod aMethod)
{
  mState->mMethods[aName] = std::move(aMethod);
  mState->mProtocol->AddProcedure(jsonrpc::Procedure(
    aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string
JsonRpcDispatcher::Handle(const std::string& aRequest)
{
  std::string answer;
  mState->mProtocol->HandleRequest(aRequest, answer);
  return answer;
}

} // namespace paddle
