#pragma once

#include <json/value.h>
#include <string>

#include <LibHttp/HttpClient.h>

namespace paddle {

/// Calls a method of another process over HTTP.
/// @param aUse Fresh if the call must not be delivered twice, see ConnectionUse
/// @return the result, or an error: of kind Unavailable if the call was not
///         sent, of kind Unknown if it may have arrived but no reply with
///         status 200 came back, otherwise of the kind that the method returned
Outcome<Json::Value>
CallRpc(HttpClient& aClient,
        const Endpoint& aEndpoint,
        const std::string& aMethod,
        const Json::Value& aParameters,
        Millis aTimeout,
        ConnectionUse aUse = ConnectionUse::Reusable);

} // namespace paddle
