#include <LibGateway/RequestRecord.h>

namespace paddle {

namespace {

/// The texts that describe a rule.
struct RuleText
{
  const char* mName;        ///< The name in decision records.
  const char* mText;        ///< The reason, for the caller.
  const char* mWouldChange; ///< What would have led to another decision.
};

/// @return the texts of a rule
RuleText
Describe(RoutingRule aRule)
{
  switch (aRule) {
    case RoutingRule::FreeSlot:
      return { rule::kFreeSlot, "a runner had a free slot", "nothing" };
    case RoutingRule::ForwardedToPeer:
      return { rule::kForwardedToPeer,
               "this gateway's runners were full and a peer had free slots",
               "a free slot at this gateway's runners" };
    case RoutingRule::WaitsForSlot:
      return { rule::kWaitsForSlot,
               "all slots are in use; requests are served in the order of "
               "their arrival",
               "a free slot at any gateway" };
    case RoutingRule::Retried:
      return { rule::kRetried,
               "a try failed and the request may be tried again",
               "a runner that answers the first try" };
    case RoutingRule::NoRunner:
      return { rule::kNoRunner,
               "no runner of the service can take requests now",
               "a live runner whose owner is known" };
    case RoutingRule::WatchShare:
      return { rule::kWatchShare,
               "the slots that watches may hold are in use",
               "the end of another watch" };
    case RoutingRule::QueueFull:
      return { rule::kQueueFull,
               "too many requests wait already",
               "fewer waiting requests" };
    case RoutingRule::DeadlineTooShort:
      return { rule::kDeadlineTooShort,
               "waiting and service are expected to exceed the deadline",
               "a longer deadline or fewer waiting requests" };
    case RoutingRule::DeadlinePassed:
      return { rule::kDeadlinePassed,
               "the deadline passed before an answer was possible",
               "a longer deadline or a free slot earlier" };
    case RoutingRule::RetryBudgetSpent:
      return { rule::kRetryBudgetSpent,
               "retries have reached their share of recent requests",
               "fewer failing requests in the last minutes" };
    case RoutingRule::TriesSpent:
      return { rule::kTriesSpent,
               "all allowed tries failed",
               "a runner that can be reached" };
    case RoutingRule::NotRepeatable:
      return { rule::kNotRepeatable,
               "the request may have run and must not run twice",
               "an idempotent route" };
    case RoutingRule::ShardMoved:
      return { rule::kShardMoved,
               "the owner of the runners is changing",
               "a repeat in a moment" };
  }
  return { "unknown", "unknown", "unknown" };
}

/// @return the decision as records name it
Decision
DecisionOf(DecisionKind aKind)
{
  switch (aKind) {
    case DecisionKind::Delay:
      return Decision::Delayed;
    case DecisionKind::Refuse:
      return Decision::Refused;
    case DecisionKind::Unknown:
      return Decision::Unknown;
    case DecisionKind::Serve:
      return Decision::Served;
  }
  return Decision::Served;
}

/// @return a time in milliseconds
double
InMillis(Micros aTime)
{
  constexpr double kMicrosPerMilli = 1000;
  return static_cast<double>(aTime.count()) / kMicrosPerMilli;
}

} // namespace

const char*
NameOf(RoutingRule aRule)
{
  return Describe(aRule).mName;
}

const char*
TextOf(RoutingRule aRule)
{
  return Describe(aRule).mText;
}

std::string
WhatWouldChange(const Explanation& aExplanation)
{
  if (aExplanation.mRule == RoutingRule::DeadlineTooShort) {
    const auto needed =
      std::chrono::ceil<Millis>(aExplanation.mExpectedResponseTime);
    return "a deadline of at least " + std::to_string(needed.count()) + " ms";
  }
  return Describe(aExplanation.mRule).mWouldChange;
}

DecisionRecord
ToDecisionRecord(const RequestRecord& aRecord, const std::string& aMember)
{
  const RequestLabel& label = aRecord.mRequest->Label();
  const Explanation& why = aRecord.mExplanation;
  DecisionRecord record;
  record.mTime = aRecord.mTime;
  record.mMember = aMember;
  record.mDecision = DecisionOf(why.mKind);
  record.mSubject = label.mRequestId;
  record.mService = label.mService;
  record.mClientAccount = label.mClientAccount;
  if (!aRecord.mNonRoutingRule.empty()) {
    record.mRule = aRecord.mNonRoutingRule;
    return record;
  }
  record.mRule = NameOf(why.mRule);
  record.mFigures = {
    { figure::kDeadlineMs, InMillis(why.mTimeToDeadline) },
    { figure::kExpectedMs, InMillis(why.mExpectedResponseTime) },
    { figure::kAhead, why.mWaitingRequests },
    { figure::kTries, why.mTries },
  };
  if (why.mKind != DecisionKind::Serve) {
    record.mFigures[figure::kFreeSlots] = why.mFreeSlots;
    record.mCounterfactual = WhatWouldChange(why);
  }
  return record;
}

} // namespace paddle
