#include <LibDocument/DecisionSentence.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <optional>

namespace paddle {

namespace {

std::string
Rounded(double aValue)
{
  std::array<char, 40> text{};
  const bool whole = aValue == std::floor(aValue);
  std::snprintf(text.data(), text.size(), whole ? "%.0f" : "%.1f", aValue);
  return text.data();
}

/// @return the duration in the unit a reader would use
std::string
Duration(double aMillis)
{
  constexpr double kSecond = 1000;
  constexpr double kMinute = 60 * kSecond;
  if (aMillis < kSecond) {
    return Rounded(std::round(aMillis)) + " ms";
  }
  if (aMillis < kMinute) {
    return Rounded(std::round(aMillis / 100) / 10) + " s";
  }
  return Rounded(std::round(aMillis / kMinute * 10) / 10) + " min";
}

std::optional<double>
Figure(const DecisionRecord& aRecord, const char* aName)
{
  const auto found = aRecord.mFigures.find(aName);
  if (found == aRecord.mFigures.end()) {
    return std::nullopt;
  }
  return found->second;
}

/// @return @p aBefore, the figure and @p aAfter, or nothing without the figure
std::string
WithFigure(const DecisionRecord& aRecord,
           const char* aName,
           const std::string& aBefore,
           const std::string& aAfter,
           const std::function<std::string(double)>& aShow = Rounded)
{
  const auto value = Figure(aRecord, aName);
  return value ? aBefore + aShow(*value) + aAfter : std::string();
}

std::string
Subject(const DecisionRecord& aRecord)
{
  const bool request = aRecord.mSubjectKind == SubjectKind::Request;
  std::string text = request ? "Request " : "Job ";
  text += aRecord.mSubject;
  if (!aRecord.mCustomer.empty()) {
    text += " of " + aRecord.mCustomer;
  } else if (!aRecord.mTeam.empty()) {
    text += " of team " + aRecord.mTeam;
  }
  if (!aRecord.mService.empty()) {
    text += (request ? " to " : " for ") + aRecord.mService;
  }
  return text;
}

std::string
Verdict(const DecisionRecord& aRecord)
{
  const bool request = aRecord.mSubjectKind == SubjectKind::Request;
  switch (aRecord.mDecision) {
    case Decision::Served:
      return request ? "was served" : "was started";
    case Decision::Delayed:
      return request ? "had to wait" : "waits";
    case Decision::Evicted:
      return "was stopped to make room and goes on from its checkpoint";
    case Decision::Refused:
      return request ? "was refused and did not run" : "was refused";
    case Decision::Unknown:
      return "was sent on but got no answer, so it may or may not have run";
  }
  return "was decided on";
}

/// Words for one rule; the figures are filled in where they are known.
using Reason = std::string (*)(const DecisionRecord&);

struct RuleWords
{
  const char* mRule;
  Reason mReason;
};

std::string
ForDeadline(const DecisionRecord& aRecord)
{
  return "it could not have been answered in time" +
         WithFigure(aRecord,
                    figure::kExpectedMs,
                    ": waiting and service were expected to take ",
                    "",
                    Duration) +
         WithFigure(
           aRecord, figure::kDeadlineMs, ", and it allowed ", "", Duration);
}

std::string
ForNeverFits(const DecisionRecord& aRecord)
{
  return "no worker is large enough" +
         WithFigure(aRecord, figure::kCores, ": it asks for ", " cores") +
         WithFigure(
           aRecord, figure::kLargestCores, "; the largest has ", " cores") +
         WithFigure(aRecord, figure::kMemoryMb, "; it asks for ", " MB") +
         WithFigure(
           aRecord, figure::kLargestMemoryMb, "; the largest has ", " MB");
}

std::string
ForWaiting(const DecisionRecord& aRecord)
{
  return "all slots were taken" +
         WithFigure(
           aRecord, figure::kAhead, " and ", " earlier requests were waiting") +
         "; those that came first are served first";
}

std::string
ForQuota(const DecisionRecord& aRecord)
{
  return "its team uses its quota already" +
         WithFigure(
           aRecord, figure::kQuotaUse, " (", "% of it)", [](double aUse) {
             return Rounded(std::round(aUse * 100));
           });
}

std::string
ForInterference(const DecisionRecord& aRecord)
{
  return "a service on the same worker had become slow" +
         WithFigure(aRecord,
                    figure::kLostSeconds,
                    "; of the tasks there it lost the least work, ",
                    " s since its checkpoint");
}

std::string
ForFailures(const DecisionRecord& aRecord)
{
  return "it failed on different workers" +
         WithFigure(aRecord, figure::kFailures, " ", " times") +
         ", so the fault is likely its own";
}

std::string
ForFreeSlot(const DecisionRecord& aRecord)
{
  const auto waited = Figure(aRecord, figure::kWaitedMs);
  if (waited && *waited >= 1) {
    return "a slot became free after " + Duration(*waited);
  }
  return "a slot was free";
}

std::string
ForTries(const DecisionRecord& aRecord)
{
  return "no try succeeded" +
         WithFigure(aRecord, figure::kTries, " (", " tries)");
}

constexpr RuleWords kRuleWords[] = {
  { rule::kFreeSlot, ForFreeSlot },
  { rule::kForwardedToPeer,
    [](const DecisionRecord&) -> std::string {
      return "another host had a free slot while this one had none";
    } },
  { rule::kWaitsForSlot, ForWaiting },
  { rule::kRetried,
    [](const DecisionRecord&) -> std::string {
      return "a first try had failed and could safely be repeated";
    } },
  { rule::kNoRunner,
    [](const DecisionRecord&) -> std::string {
      return "no runner of the service could be used";
    } },
  { rule::kWatchShare,
    [](const DecisionRecord&) -> std::string {
      return "the slots set aside for watches were all taken; the others are "
             "kept for requests that must be answered at once";
    } },
  { rule::kQueueFull,
    [](const DecisionRecord&) -> std::string {
      return "too many requests were waiting already";
    } },
  { rule::kDeadlineTooShort, ForDeadline },
  { rule::kDeadlinePassed,
    [](const DecisionRecord&) -> std::string {
      return "no slot became free before its deadline";
    } },
  { rule::kRetryBudgetSpent,
    [](const DecisionRecord&) -> std::string {
      return "a try had failed, and repeating more requests would have "
             "overloaded the runners";
    } },
  { rule::kTriesSpent, ForTries },
  { rule::kNotRepeatable,
    [](const DecisionRecord&) -> std::string {
      return "it may have run already and must not run twice";
    } },
  { rule::kShardMoved,
    [](const DecisionRecord&) -> std::string {
      return "the host in charge of the runner changed before it was sent";
    } },
  { rule::kKeyMemoryFull,
    [](const DecisionRecord&) -> std::string {
      return "no more requests with a key can be remembered now, and without "
             "that it could run twice";
    } },
  { rule::kRepeatedKey,
    [](const DecisionRecord&) -> std::string {
      return "it repeats an earlier request with the same key";
    } },
  { rule::kLeaving,
    [](const DecisionRecord&) -> std::string {
      return "the host that received it was shutting down";
    } },
  { rule::kNoOwner,
    [](const DecisionRecord&) -> std::string {
      return "no host was in charge of it at that moment";
    } },
  { rule::kFits,
    [](const DecisionRecord&) -> std::string {
      return "a worker had room for it";
    } },
  { rule::kCapacity,
    [](const DecisionRecord&) -> std::string {
      return "no worker that it may use has enough free capacity";
    } },
  { rule::kQuota, ForQuota },
  { rule::kPriority,
    [](const DecisionRecord&) -> std::string {
      return "services and urgent jobs come before it";
    } },
  { rule::kAge,
    [](const DecisionRecord&) -> std::string {
      return "jobs that were submitted earlier come before it";
    } },
  { rule::kInterference, ForInterference },
  { rule::kDataCentreOut,
    [](const DecisionRecord&) -> std::string {
      return "operators have taken its data centre out of service";
    } },
  { rule::kNoProof,
    [](const DecisionRecord&) -> std::string {
      return "it could not be confirmed that the data centre is in service";
    } },
  { rule::kNeverFits, ForNeverFits },
  { rule::kHeldAfterFailures, ForFailures },
  { rule::kCancelled,
    [](const DecisionRecord&) -> std::string { return "it was cancelled"; } },
};

std::string
ReasonOf(const DecisionRecord& aRecord)
{
  for (const RuleWords& words : kRuleWords) {
    if (aRecord.mRule == words.mRule) {
      return words.mReason(aRecord);
    }
  }
  std::string reason = "rule " + aRecord.mRule;
  for (const auto& [name, value] : aRecord.mFigures) {
    reason += ", " + name + " " + Rounded(value);
  }
  return reason;
}

} // namespace

std::string
SentenceOf(const DecisionRecord& aRecord)
{
  std::string text = Subject(aRecord) + " " + Verdict(aRecord) + ", because " +
                     ReasonOf(aRecord) + ".";
  if (!aRecord.mWhatWouldHaveChangedIt.empty()) {
    text +=
      " What would have changed it: " + aRecord.mWhatWouldHaveChangedIt + ".";
  }
  return text;
}

std::string
Comparison(const DecisionRecord& aFirst, const DecisionRecord& aOther)
{
  const auto gap =
    std::chrono::duration<double, std::milli>(aOther.mTime - aFirst.mTime)
      .count();
  std::string text =
    Subject(aOther) + " was decided on " + Duration(std::abs(gap)) +
    (gap < 0 ? " earlier" : " later") + " than " + Subject(aFirst) + ".";
  if (aFirst.mRule == aOther.mRule && aFirst.mDecision == aOther.mDecision) {
    return text + " The same rule and the same decision applied to both.";
  }
  return text + " For the one, " + ReasonOf(aFirst) + "; for the other, " +
         ReasonOf(aOther) + ". The rules do not look at who the customer is.";
}

} // namespace paddle
