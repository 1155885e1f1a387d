#include <LibGateway/GatewayMessage.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <strings.h>

namespace paddle {

namespace {

/// @return whether two header names are equal; their case does not matter
bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

/// @return whether a header may be forwarded, see ForwardableHeaders()
bool
IsForwardable(std::string_view aName)
{
  constexpr std::string_view kNotForwarded[] = { "Connection",
                                                 "Keep-Alive",
                                                 "Transfer-Encoding",
                                                 "Content-Length",
                                                 "Host",
                                                 "User-Agent",
                                                 "Proxy-Connection",
                                                 "TE",
                                                 "Trailer",
                                                 "Upgrade",
                                                 "Expect",
                                                 kRequestIdHeader,
                                                 kOutcomeHeader,
                                                 kDeadlineHeader,
                                                 kClientAccountHeader,
                                                 kKeyHeader,
                                                 kForwardedHeader,
                                                 "Server",
                                                 "Date" };
  return std::none_of(
    std::begin(kNotForwarded),
    std::end(kNotForwarded),
    [&](std::string_view aExcluded) { return SameName(aExcluded, aName); });
}

/// @return the HTTP status of a refusal: 429 if the request may succeed when
///         it is repeated after a moment, otherwise 503
unsigned
StatusOf(RoutingRule aRule)
{
  switch (aRule) {
    case RoutingRule::WatchShare:
    case RoutingRule::QueueFull:
    case RoutingRule::DeadlineTooShort:
    case RoutingRule::DeadlinePassed:
      return 429;
    default:
      return 503;
  }
}

} // namespace

HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders passed;
  std::copy_if(
    aHeaders.begin(),
    aHeaders.end(),
    std::back_inserter(passed),
    [](const auto& aHeader) { return IsForwardable(aHeader.first); });
  return passed;
}

bool
IsMatchingReply(const HttpReply& aReply,
                std::string_view aMethod,
                std::string_view aRequestId,
                std::string& aProblem)
{
  const std::string_view id = FindHeader(aReply.mHeaders, kRequestIdHeader);
  if (!id.empty() && id != aRequestId) {
    aProblem = "the answer carries another request's id";
    return false;
  }
  const bool bodiless =
    aMethod == "HEAD" || aReply.mStatus == 204 || aReply.mStatus == 304;
  if (bodiless) {
    return true;
  }
  const std::string_view encoding =
    FindHeader(aReply.mHeaders, "Transfer-Encoding");
  if (SameName(encoding, "chunked")) {
    return true; // HttpClient fails unless it has read the last chunk.
  }
  const std::string_view text = FindHeader(aReply.mHeaders, "Content-Length");
  std::size_t length = 0;
  const auto [end, code] =
    std::from_chars(text.data(), text.data() + text.size(), length);
  if (text.empty() || code != std::errc() || length != aReply.mBody.size()) {
    aProblem = "the answer is incomplete";
    return false;
  }
  return true;
}

ReplyWithOutcome
MakeUnansweredReply(const Explanation& aExplanation)
{
  const RoutingRule rule = aExplanation.mRule;
  ReplyWithOutcome end =
    aExplanation.mKind == DecisionKind::Unknown
      ? MakeUnknown("", TextOf(rule))
      : MakeRefusal(StatusOf(rule),
                    "",
                    std::string(TextOf(rule)) + "; this would change it: " +
                      WhatWouldChange(aExplanation));
  return end;
}

ReplyWithOutcome
MakeRefusal(unsigned aStatus, const char* aRule, const std::string& aReason)
{
  return { RequestOutcome::Refused,
           { aStatus,
             { { "Content-Type", "text/plain" } },
             "refused, not run: " + aReason + "\n" },
           aRule };
}

ReplyWithOutcome
MakeUnknown(const char* aRule, const std::string& aReason)
{
  return { RequestOutcome::Unknown,
           { 504,
             { { "Content-Type", "text/plain" } },
             "unknown whether it ran: " + aReason + "\n" },
           aRule };
}

RequestOutcome
OutcomeOf(const HttpReply& aReply)
{
  const std::string_view outcome = FindHeader(aReply.mHeaders, kOutcomeHeader);
  if (outcome == "answered") {
    return RequestOutcome::Answered;
  }
  return outcome == "refused" ? RequestOutcome::Refused
                              : RequestOutcome::Unknown;
}

std::string
EncodeReply(const HttpReply& aReply)
{
  std::string bytes = std::to_string(aReply.mStatus) + "\n";
  for (const auto& [name, value] : aReply.mHeaders) {
    bytes += name;
    bytes += ':';
    bytes += value;
    bytes += '\n';
  }
  return bytes + "\n" + aReply.mBody;
}

HttpReply
DecodeReply(std::string_view aBytes)
{
  const auto takeLine = [&aBytes] {
    const std::size_t end = std::min(aBytes.find('\n'), aBytes.size());
    const std::string_view line = aBytes.substr(0, end);
    aBytes.remove_prefix(std::min(end + 1, aBytes.size()));
    return line;
  };
  HttpReply reply;
  const std::string_view status = takeLine();
  std::from_chars(status.data(), status.data() + status.size(), reply.mStatus);
  for (std::string_view line = takeLine(); !line.empty(); line = takeLine()) {
    const std::size_t colon = std::min(line.find(':'), line.size() - 1);
    reply.mHeaders.emplace_back(line.substr(0, colon), line.substr(colon + 1));
  }
  reply.mBody = aBytes;
  return reply;
}

} // namespace paddle
