#pragma once

// Interface to libjsonrpccpp for code in later C++ standards: the headers of
// libjsonrpccpp compile as C++14 at the latest, so this header must be valid
// C++14 and must not include them.

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace paddle {

/// The answer to a call: a result, or an error code with a message if mFailed.
struct JsonRpcAnswer
{
  bool mFailed = false;
  int mErrorCode = 0;
  std::string mErrorMessage;
  Json::Value mResult;
};

/// Answers a call; the argument is the parameter object. Several threads call
/// it at the same time.
using JsonRpcMethod = std::function<JsonRpcAnswer(const Json::Value&)>;

/// Decodes JSON-RPC 2.0 requests, calls the methods and encodes their answers.
class JsonRpcDispatcher
{
public:
  JsonRpcDispatcher();
  ~JsonRpcDispatcher();
  JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
  JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

  /// Adds a method. All methods must be added before the first Handle().
  void Add(const std::string& aName, JsonRpcMethod aMethod);

  /// Answers an encoded request. May be called from several threads.
  /// @return the encoded answer
  std::string Handle(const std::string& aRequest);

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// @name Error codes of JSON-RPC 2.0 (section 5.1 of its specification). Those
/// from -32099 to -32000 are reserved for errors that implementations define.
/// @{
constexpr int kRpcInvalidParameters = -32602;
/// First of the reserved codes; RpcCodeOf() derives its codes from it.
constexpr int kRpcApplicationError = -32000;
/// @}

} // namespace paddle
