#pragma once

// Plain C++14 interface over libjsonrpccpp, usable from any later standard.

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace paddle {

/// What a method returns: a result, or an error with a code.
struct JsonRpcAnswer
{
  bool mFailed = false;
  int mErrorCode = 0;
  std::string mErrorMessage;
  Json::Value mResult;
};

/// Answers one call; gets the method name and its parameter object.
using JsonRpcMethod = std::function<JsonRpcAnswer(const Json::Value&)>;

/// Decodes JSON-RPC 2.0 requests, calls methods and encodes the answers.
class JsonRpcDispatcher
{
public:
  JsonRpcDispatcher();
  ~JsonRpcDispatcher();
  JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
  JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

  /// Adds a method. All methods are added before the first Handle().
  void Add(const std::string& aName, JsonRpcMethod aMethod);

  /// @return the encoded answer; may be called from several threads
  std::string Handle(const std::string& aRequest);

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Sends an encoded request and stores the encoded answer.
/// @return whether an answer arrived; on failure the text says why
using JsonRpcTransport =
  std::function<bool(const std::string& aRequest, std::string& aAnswer)>;

/// Encodes a call, sends it and decodes its answer.
JsonRpcAnswer
CallJsonRpc(const std::string& aMethod,
            const Json::Value& aParameters,
            const JsonRpcTransport& aTransport);

/// Error codes of JSON-RPC 2.0, section 5.1, and our own above them.
constexpr int kRpcInvalidParameters = -32602;
constexpr int kRpcTransportFailed = -32003;
constexpr int kRpcApplicationError = -32000;

} // namespace paddle
