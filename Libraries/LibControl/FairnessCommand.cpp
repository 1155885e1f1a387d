#include <LibControl/ExplainCommand.h>

#include <algorithm>
#include <cmath>
#include <map>

#include <LibControl/TimeText.h>

namespace paddle {

namespace {

/// Decisions about the requests and jobs of one requester: a client account, or
/// a team if the records name no client account.
struct RequesterStats
{
  std::map<Decision, std::uint64_t> mCounts; ///< Of requests and jobs.
  std::map<std::string, std::uint64_t>
    mRefusalsByRule;            ///< Refused ones by rule.
  std::vector<double> mWaitsMs; ///< Of those served, if recorded.
};

/// By the name that the report shows, see RequesterOf().
using StatsByRequester = std::map<std::string, RequesterStats>;

/// @return the name under which the report counts a record
std::string
RequesterOf(const DecisionRecord& aRecord)
{
  if (!aRecord.mClientAccount.empty()) {
    return aRecord.mClientAccount;
  }
  return aRecord.mTeam.empty() ? "(no customer named)"
                               : "team " + aRecord.mTeam;
}

/// All decision records about one request or job, oldest first.
using History = std::vector<const DecisionRecord*>;

/// @return the record that the report counts as the outcome. If a record
///         says that it was served, other than by forwarding it to another
///         host, that is the last such record; otherwise it is the last record
///         of all. So a request that was refused or forwarded first and served
///         later counts as served once.
const DecisionRecord&
FinalDecision(const History& aHistory)
{
  const DecisionRecord* final = aHistory.back();
  for (const DecisionRecord* record : aHistory) {
    if (record->mDecision == Decision::Served &&
        record->mRule != rule::kForwardedToPeer) {
      final = record;
    }
  }
  return *final;
}

/// @return whether any record of the history has this decision
bool
HasDecision(const History& aHistory, Decision aDecision)
{
  return std::any_of(
    aHistory.begin(), aHistory.end(), [&](const DecisionRecord* aRecord) {
      return aRecord->mDecision == aDecision;
    });
}

/// Counts one request or job: its outcome, and also whether it was delayed or
/// evicted on the way.
void
AddToStats(const History& aHistory, RequesterStats& aStats)
{
  const DecisionRecord& final = FinalDecision(aHistory);
  ++aStats.mCounts[final.mDecision];
  for (const Decision also : { Decision::Delayed, Decision::Evicted }) {
    if (also != final.mDecision && HasDecision(aHistory, also)) {
      ++aStats.mCounts[also];
    }
  }
  if (final.mDecision == Decision::Refused) {
    ++aStats.mRefusalsByRule[final.mRule];
  }
  const auto waited = final.mFigures.find(figure::kWaitedMs);
  if (final.mDecision == Decision::Served && waited != final.mFigures.end()) {
    aStats.mWaitsMs.push_back(waited->second);
  }
}

/// Groups the records by request or job and counts each one for its requester.
/// The waiting times of each requester are sorted.
StatsByRequester
CollectStats(const std::vector<DecisionRecord>& aRecords)
{
  std::map<std::string, History> histories;
  for (const DecisionRecord& record : aRecords) {
    histories[record.mSubject].push_back(&record);
  }
  StatsByRequester statsByRequester;
  for (const auto& [subject, history] : histories) {
    AddToStats(history, statsByRequester[RequesterOf(*history.back())]);
  }
  for (auto& [requester, stats] : statsByRequester) {
    std::sort(stats.mWaitsMs.begin(), stats.mWaitsMs.end());
  }
  return statsByRequester;
}

/// @param aSorted ascending values, at least one
/// @param aQuantile from 0 to 1
double
Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  const double rank = aQuantile * static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::lround(rank))];
}

std::uint64_t
CountOf(const RequesterStats& aStats, Decision aDecision)
{
  const auto found = aStats.mCounts.find(aDecision);
  return found == aStats.mCounts.end() ? 0 : found->second;
}

/// @param aJson receives the same figures as an object
/// @return the line of the report for one requester
std::string
RequesterLine(const std::string& aRequester,
              const RequesterStats& aStats,
              Json::Value& aJson)
{
  constexpr std::pair<Decision, const char*> kDecisionNames[] = {
    { Decision::Served, "served" },
    { Decision::Delayed, "delayed" },
    { Decision::Evicted, "evicted" },
    { Decision::Refused, "refused" },
    { Decision::Unknown, "unknown" }
  };
  std::string line = "  " + aRequester + ":";
  aJson["name"] = aRequester;
  for (const auto& [decision, name] : kDecisionNames) {
    const std::uint64_t count = CountOf(aStats, decision);
    aJson[name] = Json::UInt64(count);
    if (count > 0) {
      line += " " + std::to_string(count) + " " + name + ",";
    }
  }
  line.back() = ';';
  for (const auto& [rule, count] : aStats.mRefusalsByRule) {
    line += " refused by " + rule + ": " + std::to_string(count) + ";";
    aJson["refusedBy"][rule] = Json::UInt64(count);
  }
  if (!aStats.mWaitsMs.empty()) {
    const double median = Quantile(aStats.mWaitsMs, 0.5);
    const double p99 = Quantile(aStats.mWaitsMs, 0.99);
    aJson["waitedMsMedian"] = median;
    aJson["waitedMsP99"] = p99;
    line += " waited " + std::to_string(std::lround(median)) +
            " ms in the median, " + std::to_string(std::lround(p99)) +
            " ms at the 99th percentile";
  }
  if (line.back() == ';') {
    line.pop_back();
  }
  return line + "\n";
}

} // namespace

ControlResult
ShowFairness(const ControlPorts& aPorts,
             const RecordWindow& aWindow,
             const std::string& aService)
{
  const auto read =
    ReadRecords(aPorts.mObjects, aWindow, [&](const DecisionRecord& aRecord) {
      return aRecord.mService == aService;
    });
  if (!Succeeded(read)) {
    return ReadFailure(ErrorOf(read));
  }
  ControlResult result;
  result.mJson["since"] = TimeText(aWindow.mSince);
  result.mJson["complete"] = ValueOf(read).mComplete;
  result.mJson["parties"] = Json::Value(Json::arrayValue);
  result.mText = aService + " since " + TimeText(aWindow.mSince) + ", " +
                 std::to_string(ValueOf(read).mRecords.size()) +
                 " decisions:\n";
  for (const auto& [requester, stats] : CollectStats(ValueOf(read).mRecords)) {
    Json::Value entry;
    result.mText += RequesterLine(requester, stats, entry);
    result.mJson["parties"].append(entry);
  }
  if (!ValueOf(read).mComplete) {
    result.mText += "  the oldest records were left out; raise --batches to "
                    "read them\n";
  }
  return result;
}

} // namespace paddle
