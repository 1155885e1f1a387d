#include <LibControl/ExplainCommand.h>

#include <algorithm>
#include <cmath>
#include <map>

#include <LibControl/TimeText.h>

namespace paddle {

namespace {

/// What happened to the requests and jobs of one customer or team.
struct Share
{
  std::map<Decision, std::uint64_t> mCounts;
  std::map<std::string, std::uint64_t> mRefusedBy; ///< By rule.
  std::vector<double> mWaitsMs; ///< Of those served, as far as recorded.
};

using Shares = std::map<std::string, Share>;

std::string
PartyOf(const DecisionRecord& aRecord)
{
  if (!aRecord.mClientAccount.empty()) {
    return aRecord.mClientAccount;
  }
  return aRecord.mTeam.empty() ? "(no customer named)"
                               : "team " + aRecord.mTeam;
}

/// All decisions about one request or job, by time.
using History = std::vector<const DecisionRecord*>;

/// @return the decision that counts in the end: a request that was served
///         after a refused try, or by another host, was served once
const DecisionRecord&
Final(const History& aHistory)
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

bool
Holds(const History& aHistory, Decision aDecision)
{
  return std::any_of(
    aHistory.begin(), aHistory.end(), [&](const DecisionRecord* aRecord) {
      return aRecord->mDecision == aDecision;
    });
}

void
Add(const History& aHistory, Share& aShare)
{
  const DecisionRecord& final = Final(aHistory);
  ++aShare.mCounts[final.mDecision];
  for (const Decision also : { Decision::Delayed, Decision::Evicted }) {
    if (also != final.mDecision && Holds(aHistory, also)) {
      ++aShare.mCounts[also];
    }
  }
  if (final.mDecision == Decision::Refused) {
    ++aShare.mRefusedBy[final.mRule];
  }
  const auto waited = final.mFigures.find(figure::kWaitedMs);
  if (final.mDecision == Decision::Served && waited != final.mFigures.end()) {
    aShare.mWaitsMs.push_back(waited->second);
  }
}

Shares
SharesOf(const std::vector<DecisionRecord>& aRecords)
{
  std::map<std::string, History> histories;
  for (const DecisionRecord& record : aRecords) {
    histories[record.mSubject].push_back(&record);
  }
  Shares shares;
  for (const auto& [subject, history] : histories) {
    Add(history, shares[PartyOf(*history.back())]);
  }
  for (auto& [party, share] : shares) {
    std::sort(share.mWaitsMs.begin(), share.mWaitsMs.end());
  }
  return shares;
}

/// @param aSorted at least one value
double
Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  const double rank = aQuantile * static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::lround(rank))];
}

std::uint64_t
CountOf(const Share& aShare, Decision aDecision)
{
  const auto found = aShare.mCounts.find(aDecision);
  return found == aShare.mCounts.end() ? 0 : found->second;
}

std::string
Line(const std::string& aParty, const Share& aShare, Json::Value& aJson)
{
  constexpr std::pair<Decision, const char*> kNames[] = {
    { Decision::Served, "served" },
    { Decision::Delayed, "delayed" },
    { Decision::Evicted, "evicted" },
    { Decision::Refused, "refused" },
    { Decision::Unknown, "unknown" }
  };
  std::string line = "  " + aParty + ":";
  aJson["name"] = aParty;
  for (const auto& [decision, name] : kNames) {
    const std::uint64_t count = CountOf(aShare, decision);
    aJson[name] = Json::UInt64(count);
    if (count > 0) {
      line += " " + std::to_string(count) + " " + name + ",";
    }
  }
  line.back() = ';';
  for (const auto& [rule, count] : aShare.mRefusedBy) {
    line += " refused by " + rule + ": " + std::to_string(count) + ";";
    aJson["refusedBy"][rule] = Json::UInt64(count);
  }
  if (!aShare.mWaitsMs.empty()) {
    const double median = Quantile(aShare.mWaitsMs, 0.5);
    const double high = Quantile(aShare.mWaitsMs, 0.99);
    aJson["waitedMsMedian"] = median;
    aJson["waitedMsP99"] = high;
    line += " waited " + std::to_string(std::lround(median)) +
            " ms in the median, " + std::to_string(std::lround(high)) +
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
  for (const auto& [party, share] : SharesOf(ValueOf(read).mRecords)) {
    Json::Value entry;
    result.mText += Line(party, share, entry);
    result.mJson["parties"].append(entry);
  }
  if (!ValueOf(read).mComplete) {
    result.mText += "  the oldest records were left out; raise --batches to "
                    "read them\n";
  }
  return result;
}

} // namespace paddle
