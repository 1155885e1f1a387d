#include <LibDocument/DecisionSentence.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <optional>

namespace paddle {

namespace {

/// @return an integer without decimals, any other number with one decimal
std::string
FormatNumber(double aValue)
{
  std::array<char, 40> text{};
  const bool integral = aValue == std::floor(aValue);
  std::snprintf(text.data(), text.size(), integral ? "%.0f" : "%.1f", aValue);
  return text.data();
}

/// @return the duration in milliseconds, seconds or minutes, whichever suits
///         its length
std::string
FormatDuration(double aMillis)
{
  constexpr double kSecondMs = 1000;
  constexpr double kMinuteMs = 60 * kSecondMs;
  if (aMillis < kSecondMs) {
    return FormatNumber(std::round(aMillis)) + " ms";
  }
  if (aMillis < kMinuteMs) {
    return FormatNumber(std::round(aMillis / 100) / 10) + " s";
  }
  return FormatNumber(std::round(aMillis / kMinuteMs * 10) / 10) + " min";
}

/// @return the figure of this name, or nothing if the record lacks it
std::optional<double>
FindFigure(const DecisionRecord& aRecord, const char* aName)
{
  const auto found = aRecord.mFigures.find(aName);
  if (found == aRecord.mFigures.end()) {
    return std::nullopt;
  }
  return found->second;
}

/// @param aName   name of the figure, see namespace figure
/// @param aFormat turns the figure into text
/// @return @p aBefore, the figure and @p aAfter joined, or an empty string if
///         the record lacks the figure
std::string
PhraseWithFigure(
  const DecisionRecord& aRecord,
  const char* aName,
  const std::string& aBefore,
  const std::string& aAfter,
  const std::function<std::string(double)>& aFormat = FormatNumber)
{
  const auto value = FindFigure(aRecord, aName);
  return value ? aBefore + aFormat(*value) + aAfter : std::string();
}

/// @return the subject of a sentence: which request or job, of whom, and for
///         which service
std::string
SubjectPhrase(const DecisionRecord& aRecord)
{
  const bool request = aRecord.mSubjectKind == SubjectKind::Request;
  std::string text = request ? "Request " : "Job ";
  text += aRecord.mSubject;
  if (!aRecord.mClientAccount.empty()) {
    text += " of " + aRecord.mClientAccount;
  } else if (!aRecord.mTeam.empty()) {
    text += " of team " + aRecord.mTeam;
  }
  if (!aRecord.mService.empty()) {
    text += (request ? " to " : " for ") + aRecord.mService;
  }
  return text;
}

/// @return the predicate of a sentence: what was decided
std::string
DecisionPhrase(const DecisionRecord& aRecord)
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

/// Words the reason for a decision, with those figures that the record has.
using ReasonFunction = std::string (*)(const DecisionRecord&);

/// A rule and the function that words it as a reason.
struct RuleReason
{
  const char* mRule;
  ReasonFunction mReason;
};

std::string
DeadlineReason(const DecisionRecord& aRecord)
{
  return "it could not have been answered in time" +
         PhraseWithFigure(aRecord,
                          figure::kExpectedMs,
                          ": waiting and service were expected to take ",
                          "",
                          FormatDuration) +
         PhraseWithFigure(aRecord,
                          figure::kDeadlineMs,
                          ", and it allowed ",
                          "",
                          FormatDuration);
}

std::string
NeverFitsReason(const DecisionRecord& aRecord)
{
  return "no worker is large enough" +
         PhraseWithFigure(aRecord, figure::kCores, ": it asks for ", " cores") +
         PhraseWithFigure(
           aRecord, figure::kLargestCores, "; the largest has ", " cores") +
         PhraseWithFigure(aRecord, figure::kMemoryMb, "; it asks for ", " MB") +
         PhraseWithFigure(
           aRecord, figure::kLargestMemoryMb, "; the largest has ", " MB");
}

std::string
WaitingReason(const DecisionRecord& aRecord)
{
  return "all slots were taken" +
         PhraseWithFigure(
           aRecord, figure::kAhead, " and ", " earlier requests were waiting") +
         "; those that came first are served first";
}

std::string
QuotaReason(const DecisionRecord& aRecord)
{
  return "its team uses its quota already" +
         PhraseWithFigure(
           aRecord, figure::kQuotaUse, " (", "% of it)", [](double aUse) {
             return FormatNumber(std::round(aUse * 100));
           });
}

std::string
InterferenceReason(const DecisionRecord& aRecord)
{
  return "a service on the same worker had become slow" +
         PhraseWithFigure(aRecord,
                          figure::kLostSeconds,
                          "; of the tasks there it lost the least work, ",
                          " s since its checkpoint");
}

std::string
FailuresReason(const DecisionRecord& aRecord)
{
  return "it failed on different workers" +
         PhraseWithFigure(aRecord, figure::kFailures, " ", " times") +
         ", so the fault is likely its own";
}

std::string
FreeSlotReason(const DecisionRecord& aRecord)
{
  const auto waited = FindFigure(aRecord, figure::kWaitedMs);
  if (waited && *waited >= 1) {
    return "a slot became free after " + FormatDuration(*waited);
  }
  return "a slot was free";
}

std::string
TriesReason(const DecisionRecord& aRecord)
{
  return "no try succeeded" +
         PhraseWithFigure(aRecord, figure::kTries, " (", " tries)");
}

/// The reasons for all rules of namespace rule.
constexpr RuleReason kRuleReasons[] = {
  { rule::kFreeSlot, FreeSlotReason },
  { rule::kForwardedToPeer,
    [](const DecisionRecord&) -> std::string {
      return "another host had a free slot while this one had none";
    } },
  { rule::kWaitsForSlot, WaitingReason },
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
  { rule::kDeadlineTooShort, DeadlineReason },
  { rule::kDeadlinePassed,
    [](const DecisionRecord&) -> std::string {
      return "no slot became free before its deadline";
    } },
  { rule::kRetryBudgetSpent,
    [](const DecisionRecord&) -> std::string {
      return "a try had failed, and repeating more requests would have "
             "overloaded the runners";
    } },
  { rule::kTriesSpent, TriesReason },
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
  { rule::kProcessLeaving,
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
  { rule::kWorkerCapacity,
    [](const DecisionRecord&) -> std::string {
      return "no worker that it may use has enough free capacity";
    } },
  { rule::kTeamQuota, QuotaReason },
  { rule::kHigherPriorityFirst,
    [](const DecisionRecord&) -> std::string {
      return "services and urgent jobs come before it";
    } },
  { rule::kOlderFirst,
    [](const DecisionRecord&) -> std::string {
      return "jobs that were submitted earlier come before it";
    } },
  { rule::kInterference, InterferenceReason },
  { rule::kDataCentreOut,
    [](const DecisionRecord&) -> std::string {
      return "operators have taken its data centre out of service";
    } },
  { rule::kNoProofInService,
    [](const DecisionRecord&) -> std::string {
      return "it could not be confirmed that the data centre is in service";
    } },
  { rule::kNeverFits, NeverFitsReason },
  { rule::kHeldAfterFailures, FailuresReason },
  { rule::kCancelled,
    [](const DecisionRecord&) -> std::string { return "it was cancelled"; } },
};

/// @return the reason for the decision as a clause; for a rule without an entry
///         in kRuleReasons its name and all figures
std::string
ReasonOf(const DecisionRecord& aRecord)
{
  for (const RuleReason& ruleReason : kRuleReasons) {
    if (aRecord.mRule == ruleReason.mRule) {
      return ruleReason.mReason(aRecord);
    }
  }
  std::string reason = "rule " + aRecord.mRule;
  for (const auto& [name, value] : aRecord.mFigures) {
    reason += ", " + name + " " + FormatNumber(value);
  }
  return reason;
}

} // namespace

std::string
ExplainDecision(const DecisionRecord& aRecord)
{
  std::string text = SubjectPhrase(aRecord) + " " + DecisionPhrase(aRecord) +
                     ", because " + ReasonOf(aRecord) + ".";
  if (!aRecord.mCounterfactual.empty()) {
    text += " What would have changed it: " + aRecord.mCounterfactual + ".";
  }
  return text;
}

std::string
CompareDecisions(const DecisionRecord& aFirst, const DecisionRecord& aOther)
{
  const auto differenceMs =
    std::chrono::duration<double, std::milli>(aOther.mTime - aFirst.mTime)
      .count();
  std::string text = SubjectPhrase(aOther) + " was decided on " +
                     FormatDuration(std::abs(differenceMs)) +
                     (differenceMs < 0 ? " earlier" : " later") + " than " +
                     SubjectPhrase(aFirst) + ".";
  if (aFirst.mRule == aOther.mRule && aFirst.mDecision == aOther.mDecision) {
    return text + " The same rule and the same decision applied to both.";
  }
  return text + " For the one, " + ReasonOf(aFirst) + "; for the other, " +
         ReasonOf(aOther) + ". The rules do not look at who the customer is.";
}

} // namespace paddle
