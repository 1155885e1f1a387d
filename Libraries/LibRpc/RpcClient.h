#pragma once

#include <json/value.h>
#include <string>

#include <LibHttp/HttpClient.h>

namespace paddle {

/// Calls a method of another process.
/// @param aUse Fresh where a second delivery of the call would do harm, see
///             ConnectionUse
/// @return the result; an error of kind Unavailable if the call surely did
///         not arrive, Unknown if it may have, else the kind the method gave
Outcome<Json::Value>
CallRpc(HttpClient& aClient,
        const Endpoint& aEndpoint,
        const std::string& aMethod,
        const Json::Value& aParameters,
        Millis aTimeout,
        ConnectionUse aUse = ConnectionUse::Reusable);

} // namespace paddle
