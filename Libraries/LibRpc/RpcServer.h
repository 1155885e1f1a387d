#pragma once

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <string>

#include <LibHttp/HttpServer.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Answers a call; the argument is the parameter object. Several threads call
/// it at the same time.
using RpcMethod = std::function<Outcome<Json::Value>(const Json::Value&)>;

/// Methods by name.
using RpcMethods = std::map<std::string, RpcMethod>;

/// The path on which a process answers JSON-RPC calls.
inline constexpr const char* kRpcPath = "/rpc";

/// @return a handler that answers JSON-RPC calls on kRpcPath, and passes
///         requests for other paths to @p aFallback; without one it answers
///         them with status 404
HttpHandler
MakeRpcHandler(const RpcMethods& aMethods, HttpHandler aFallback = nullptr);

} // namespace paddle
