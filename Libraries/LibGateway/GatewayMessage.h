#pragma once

#include <string>
#include <string_view>

#include <LibGateway/RequestRecord.h>
#include <LibHttp/HttpMessage.h>

namespace paddle {

/// What the caller is told about the effect of a request.
enum class RequestOutcome
{
  Answered, ///< The reply is a complete answer to it.
  Refused,  ///< It certainly did not run.
  Unknown   ///< It may have run.
};

/// A reply to a caller together with the request's outcome.
struct ReplyWithOutcome
{
  RequestOutcome mOutcome = RequestOutcome::Refused;
  HttpReply mReply;
  /// Name of the rule by which the request was decided outside LibRouting; a
  /// decision record must still be written for it. Empty for decisions of
  /// LibRouting, which are recorded already.
  std::string mRule;
};

/// Names of the headers that the gateway reads or sets.
inline constexpr const char* kRequestIdHeader = "Paddle-Request-Id";
inline constexpr const char* kOutcomeHeader = "Paddle-Outcome";
inline constexpr const char* kDeadlineHeader = "Paddle-Deadline-Ms";
inline constexpr const char* kClientAccountHeader = "Paddle-Customer";
inline constexpr const char* kKeyHeader = "Idempotency-Key";
inline constexpr const char* kWatchHeader = "Paddle-Watch";
/// Set by a gateway that forwards a request: "key" if it forwards to the owner
/// of the idempotency key, "overflow" if it forwards to a peer with free slots.
inline constexpr const char* kForwardedHeader = "Paddle-Forwarded";

/// @return the headers that may be forwarded: all but those that concern a
///         single connection and those that the gateway sets itself
HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders);

/// Checks that a reply is complete and belongs to a request.
/// @param aMethod    the request's method
/// @param aRequestId the request's id, which the reply must not contradict
/// @param aProblem   receives what is wrong if the check fails
bool
IsMatchingReply(const HttpReply& aReply,
                std::string_view aMethod,
                std::string_view aRequestId,
                std::string& aProblem);

/// @return the reply to a request for which LibRouting obtained no answer:
///         a refusal, or a reply with unknown outcome if it may have run
ReplyWithOutcome
MakeUnansweredReply(const Explanation& aExplanation);

/// Makes the reply to a request that was not run.
/// @param aRule   name of the rule for the decision record; empty if the
///                decision has a record already
/// @param aReason the rule in plain words, for the caller
ReplyWithOutcome
MakeRefusal(unsigned aStatus, const char* aRule, const std::string& aReason);

/// Makes the reply to a request that may have run; for the parameters see
/// MakeRefusal().
ReplyWithOutcome
MakeUnknown(const char* aRule, const std::string& aReason);

/// @return the outcome that a peer's reply names in its header; Unknown if it
///         names none
RequestOutcome
OutcomeOf(const HttpReply& aReply);

/// Encodes a reply as one string of bytes, so that it can be stored with its
/// idempotency key.
std::string
EncodeReply(const HttpReply& aReply);

/// Decodes a stored reply.
/// @param aBytes must come from EncodeReply()
HttpReply
DecodeReply(std::string_view aBytes);

} // namespace paddle
