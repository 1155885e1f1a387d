#pragma once

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <string>

#include <LibHttp/HttpServer.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Answers one call; called from several threads at once.
using RpcMethod = std::function<Outcome<Json::Value>(const Json::Value&)>;

using RpcMethods = std::map<std::string, RpcMethod>;

/// The path on which a process answers JSON-RPC calls.
inline constexpr const char* kRpcPath = "/rpc";

/// @return a handler that answers JSON-RPC on kRpcPath and passes everything
///         else to @p aOther (404 if there is none)
HttpHandler
MakeRpcHandler(const RpcMethods& aMethods, HttpHandler aOther = nullptr);

} // namespace paddle
