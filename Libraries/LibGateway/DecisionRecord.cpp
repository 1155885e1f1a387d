#include <LibGateway/DecisionRecord.h>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

struct RuleText
{
  const char* mName;
  const char* mText;
  const char* mWouldChange;
};

RuleText
Describe(Rule aRule)
{
  switch (aRule) {
    case Rule::FreeSlot:
      return { "free_slot", "a runner had a free slot", "nothing" };
    case Rule::ForwardedToPeer:
      return { "forwarded_to_peer",
               "this gateway's runners were full and a peer had free slots",
               "a free slot at this gateway's runners" };
    case Rule::WaitsForSlot:
      return { "waits_for_slot",
               "all slots are in use; requests are served in the order of "
               "their arrival",
               "a free slot at any gateway" };
    case Rule::Retried:
      return { "retried",
               "a try failed and the request may be tried again",
               "a runner that answers the first try" };
    case Rule::NoRunner:
      return { "no_runner",
               "no runner of the service can take requests now",
               "a live runner whose owner is known" };
    case Rule::WatchShare:
      return { "watch_share",
               "the slots that watches may hold are in use",
               "the end of another watch" };
    case Rule::QueueFull:
      return { "queue_full",
               "too many requests wait already",
               "fewer waiting requests" };
    case Rule::DeadlineTooShort:
      return { "deadline_too_short",
               "waiting and service are expected to exceed the deadline",
               "a longer deadline or fewer waiting requests" };
    case Rule::DeadlinePassed:
      return { "deadline_passed",
               "the deadline passed before an answer was possible",
               "a longer deadline or a free slot earlier" };
    case Rule::RetryBudgetSpent:
      return { "retry_budget_spent",
               "retries have reached their share of recent requests",
               "fewer failing requests in the last minutes" };
    case Rule::TriesSpent:
      return { "tries_spent",
               "all allowed tries failed",
               "a runner that can be reached" };
    case Rule::NotRepeatable:
      return { "not_repeatable",
               "the request may have run and must not run twice",
               "an idempotent route" };
    case Rule::ShardMoved:
      return { "shard_moved",
               "the owner of the runners is changing",
               "a repeat in a moment" };
  }
  return { "unknown", "unknown", "unknown" };
}

const char*
NameOf(DecisionKind aKind)
{
  switch (aKind) {
    case DecisionKind::Serve:
      return "served";
    case DecisionKind::Delay:
      return "delayed";
    case DecisionKind::Refuse:
      return "refused";
    case DecisionKind::Unknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace

const char*
NameOf(Rule aRule)
{
  return Describe(aRule).mName;
}

const char*
TextOf(Rule aRule)
{
  return Describe(aRule).mText;
}

const char*
WhatWouldChange(Rule aRule)
{
  return Describe(aRule).mWouldChange;
}

std::string
FormatRecord(const DecisionRecord& aRecord)
{
  const RequestLabel& label = aRecord.mRequest->Label();
  const Explanation& why = aRecord.mExplanation;
  Json::Value line(Json::objectValue);
  line["timeMs"] = Json::Int64(
    std::chrono::duration_cast<Millis>(aRecord.mTime.time_since_epoch())
      .count());
  line["request"] = label.mRequestId;
  line["service"] = label.mService;
  line["customer"] = label.mCustomer;
  line["path"] = label.mPath;
  line["decision"] = NameOf(why.mKind);
  line["rule"] = NameOf(why.mRule);
  line["why"] = TextOf(why.mRule);
  line["wouldChange"] = WhatWouldChange(why.mRule);
  line["freeSlots"] = why.mFreeSlots;
  line["waiting"] = why.mWaiting;
  line["tries"] = why.mTries;
  line["expectedUs"] = Json::Int64(why.mExpected.count());
  line["deadlineLeftUs"] = Json::Int64(why.mDeadlineLeft.count());
  return WriteJson(line);
}

} // namespace paddle
