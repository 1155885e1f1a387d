#include <LibRpc/JsonRpcAdapter.h>

#include <jsonrpccpp/client/client.h>
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

namespace {

/// Lets libjsonrpccpp send a request with a JsonRpcTransport.
class TransportConnector : public jsonrpc::IClientConnector
{
public:
  explicit TransportConnector(const JsonRpcTransport& aTransport)
    : mTransport(aTransport)
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    if (!mTransport(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(kRpcTransportFailed, aResult);
    }
  }

private:
  const JsonRpcTransport& mTransport;
};

} // namespace

JsonRpcAnswer
CallJsonRpc(const std::string& aMethod,
            const Json::Value& aParameters,
            const JsonRpcTransport& aTransport)
{
  TransportConnector connector(aTransport);
  JsonRpcAnswer answer;
  try {
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(aMethod, aParameters, answer.mResult);
  } catch (const jsonrpc::JsonRpcException& e) {
    answer.mFailed = true;
    answer.mErrorCode = e.GetCode();
    answer.mErrorMessage = e.GetMessage();
  }
  return answer;
}

} // namespace paddle
