#pragma once

#include <string>
#include <string_view>

#include <LibGateway/RequestRecord.h>
#include <LibHttp/HttpMessage.h>

namespace paddle {

/// What is known about the effect of a request, as the caller is told.
enum class RequestOutcome
{
  Answered,
  Refused, ///< Surely not run.
  Unknown  ///< May have run.
};

/// A reply together with its outcome.
struct RequestEnd
{
  RequestOutcome mOutcome = RequestOutcome::Refused;
  HttpReply mReply;
  /// Rule of a decision that was made outside the routing core and has no
  /// record yet; empty otherwise.
  std::string mRule;
};

/// Headers that this program gives a meaning to.
inline constexpr const char* kRequestIdHeader = "Paddle-Request-Id";
inline constexpr const char* kOutcomeHeader = "Paddle-Outcome";
inline constexpr const char* kDeadlineHeader = "Paddle-Deadline-Ms";
inline constexpr const char* kCustomerHeader = "Paddle-Customer";
inline constexpr const char* kKeyHeader = "Idempotency-Key";
inline constexpr const char* kWatchHeader = "Paddle-Watch";
/// Set by a gateway that forwards: "key" to the owner of a key, "overflow" to
/// a peer with free slots.
inline constexpr const char* kForwardedHeader = "Paddle-Forwarded";

/// @return the headers that may be passed on: neither those of one connection
///         nor those that this program sets itself
HttpHeaders
PassedHeaders(const HttpHeaders& aHeaders);

/// @return whether the reply is complete and belongs to the request; if not,
///         @p aWhy says what is wrong
bool
IsOwnAnswer(const HttpReply& aReply,
            std::string_view aMethod,
            std::string_view aRequestId,
            std::string& aWhy);

/// @return the reply for a request that ends without an answer
RequestEnd
MakeEnd(const Explanation& aExplanation);

/// @param aRule   name for the decision record
/// @param aReason the rule in plain words
RequestEnd
MakeRefusal(unsigned aStatus, const char* aRule, const std::string& aReason);

/// An end with unknown effect, see MakeRefusal().
RequestEnd
MakeUnknown(const char* aRule, const std::string& aReason);

/// @return the outcome named in a peer's reply; Unknown if there is none
RequestOutcome
OutcomeOf(const HttpReply& aReply);

/// Encodes a reply as one string of bytes, so that it can be stored.
std::string
EncodeReply(const HttpReply& aReply);

/// @param aBytes must come from EncodeReply()
HttpReply
DecodeReply(std::string_view aBytes);

} // namespace paddle
