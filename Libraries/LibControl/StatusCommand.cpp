#include <LibControl/StatusCommand.h>

#include <algorithm>
#include <map>

#include <LibConfig/ConfigRows.h>
#include <LibControl/CommitChange.h>
#include <LibControl/Sessions.h>
#include <LibLease/LeaseRowText.h>

namespace paddle {

namespace {

// Each of the functions Add... adds one section to the result, or says in the
// result why the section can't be shown.

void
AddDocuments(const ControlPorts& aPorts, ControlResult& aResult)
{
  const auto rows = aPorts.mTable.mScan(kDocumentPrefix);
  aResult.mText += "documents:\n";
  aResult.mJson["documents"] = Json::Value(Json::arrayValue);
  if (!Succeeded(rows)) {
    aResult.mText += "  can't be read: " + ErrorOf(rows).mMessage + "\n";
    return;
  }
  for (const TableRow& row : ValueOf(rows)) {
    const Outcome<ServiceDocument> document = ParseDocumentRow(row);
    if (!Succeeded(document)) {
      aResult.mText += "  " + ErrorOf(document).mMessage + "\n";
      continue;
    }
    const ServiceDocument& service = ValueOf(document);
    Json::Value entry;
    entry["service"] = service.mService;
    entry["team"] = service.mTeam;
    entry["version"] = Json::UInt64(service.mVersion);
    aResult.mJson["documents"].append(entry);
    aResult.mText += "  " + service.mService + " version " +
                     std::to_string(service.mVersion) + ", team " +
                     service.mTeam + "\n";
  }
}

void
AddDataCentres(const ControlPorts& aPorts, ControlResult& aResult)
{
  const auto rows = aPorts.mTable.mScan(kDataCentrePrefix);
  aResult.mText += "data centres:\n";
  aResult.mJson["dataCentres"] = Json::Value(Json::arrayValue);
  if (!Succeeded(rows)) {
    aResult.mText += "  can't be read: " + ErrorOf(rows).mMessage + "\n";
    return;
  }
  for (const TableRow& row : ValueOf(rows)) {
    const Outcome<DataCentre> dataCentre = ParseDataCentreRow(row);
    if (!Succeeded(dataCentre)) {
      aResult.mText += "  " + ErrorOf(dataCentre).mMessage + "\n";
      continue;
    }
    const bool in = ValueOf(dataCentre).mState == DataCentreState::InService;
    Json::Value entry;
    entry["name"] = ValueOf(dataCentre).mName;
    entry["region"] = ValueOf(dataCentre).mRegion;
    entry["state"] = in ? "in" : "out";
    aResult.mJson["dataCentres"].append(entry);
    aResult.mText += "  " + ValueOf(dataCentre).mName + " in region " +
                     ValueOf(dataCentre).mRegion +
                     (in ? ": in service\n" : ": OUT of service\n");
  }
}

/// How often sessions were renewed, by incarnation of their processes.
using RenewalCounts = std::map<std::string, std::uint64_t>;

RenewalCounts
RenewalCountsOf(const std::vector<SessionView>& aSessions)
{
  RenewalCounts renewals;
  for (const SessionView& session : aSessions) {
    renewals[session.Member().mIncarnation] = session.mRecord.mRenewals;
  }
  return renewals;
}

/// Reads the sessions repeatedly until each was renewed, but not longer than
/// for half of the longest lease term.
/// @param aBefore receives the renewals of the first read
/// @return the sessions of the last read
Outcome<std::vector<SessionView>>
WatchSessions(const ControlPorts& aPorts, RenewalCounts& aBefore)
{
  constexpr Millis kReadInterval{ 200 };
  auto sessions = ReadSessions(aPorts.mTable);
  if (!Succeeded(sessions)) {
    return sessions;
  }
  aBefore = RenewalCountsOf(ValueOf(sessions));
  Millis longestTerm{ 0 };
  for (const SessionView& session : ValueOf(sessions)) {
    longestTerm = std::max(longestTerm, session.mRecord.mTerm);
  }
  const MonotonicTime end = aPorts.mMonotonicNow() + longestTerm / 2;
  while (aPorts.mMonotonicNow() < end) {
    const bool allRenewed =
      std::all_of(ValueOf(sessions).begin(),
                  ValueOf(sessions).end(),
                  [&](const SessionView& aSession) {
                    const auto found =
                      aBefore.find(aSession.Member().mIncarnation);
                    return found == aBefore.end() ||
                           found->second != aSession.mRecord.mRenewals;
                  });
    if (allRenewed) {
      break;
    }
    aPorts.mSleep(kReadInterval);
    sessions = ReadSessions(aPorts.mTable);
    if (!Succeeded(sessions)) {
      break;
    }
  }
  return sessions;
}

/// @param aBefore renewals when the command started to watch the sessions
std::string
StateOf(const SessionView& aSession, const RenewalCounts& aBefore)
{
  if (aSession.mRecord.mLeaving) {
    return "leaving";
  }
  const auto found = aBefore.find(aSession.Member().mIncarnation);
  const bool notRenewed =
    found != aBefore.end() && found->second == aSession.mRecord.mRenewals;
  return notRenewed ? "NOT RENEWED" : "live";
}

void
AddMembers(const std::vector<SessionView>& aSessions,
           const RenewalCounts& aBefore,
           ControlResult& aResult)
{
  aResult.mText += "members:\n";
  aResult.mJson["members"] = Json::Value(Json::arrayValue);
  for (const SessionView& session : aSessions) {
    const LeaseMember& member = session.Member();
    Json::Value entry;
    entry["name"] = member.mName;
    entry["role"] = member.mRole;
    entry["dataCentre"] = member.mDataCentre;
    entry["address"] = member.mAddress;
    entry["state"] = StateOf(session, aBefore);
    entry["successor"] = session.mRecord.mSuccessor;
    aResult.mJson["members"].append(entry);
    aResult.mText +=
      "  " + member.mName + " (" + member.mRole + ") in " + member.mDataCentre +
      " at " + member.mAddress + ": " + entry["state"].asString() +
      ", successor " +
      (session.mRecord.mSuccessor.empty() ? "none"
                                          : session.mRecord.mSuccessor) +
      "\n";
  }
}

/// @param aSessions the sessions that exist, to mark owners without one
void
AddShards(const ControlPorts& aPorts,
          const RenewalCounts& aSessions,
          ControlResult& aResult)
{
  const auto rows = aPorts.mTable.mScan("shard/");
  aResult.mJson["shards"] = Json::Value(Json::arrayValue);
  if (!Succeeded(rows)) {
    aResult.mText += "shards can't be read: " + ErrorOf(rows).mMessage + "\n";
    return;
  }
  aResult.mText += "shards:\n";
  std::map<std::string, int> ownedKeyShards;
  for (const TableRow& row : ValueOf(rows)) {
    const Outcome<ShardRecord> shard = ParseShardRecord(row.mValue);
    if (!Succeeded(shard)) {
      aResult.mText += "  " + row.mKey + ": " + ErrorOf(shard).mMessage + "\n";
      continue;
    }
    const std::string id = row.mKey.substr(row.mKey.find('/') + 1);
    const LeaseMember& owner = ValueOf(shard).mOwner;
    const bool hasSession = aSessions.contains(owner.mIncarnation);
    Json::Value entry;
    entry["id"] = id;
    entry["owner"] = owner.mName;
    entry["epoch"] = Json::UInt64(ValueOf(shard).mEpoch);
    entry["ownerHasSession"] = hasSession;
    aResult.mJson["shards"].append(entry);
    // There are many key shards, so the text shows only how many of them each
    // owner has. Those whose owner has no session are listed one by one.
    if (id.starts_with("key/") && hasSession) {
      ++ownedKeyShards[owner.mName];
      continue;
    }
    aResult.mText += "  " + id + ": " + owner.mName + ", epoch " +
                     std::to_string(ValueOf(shard).mEpoch) +
                     (hasSession ? "\n" : ", OWNER HAS NO SESSION\n");
  }
  for (const auto& [name, count] : ownedKeyShards) {
    aResult.mText +=
      "  " + std::to_string(count) + " key shards: " + name + "\n";
  }
}

/// Number of jobs, tasks and evictions, by name of the count.
using JobCounts = std::map<std::string, std::uint64_t>;

/// Adds up the counts of the shards in an answer to scheduler.summary. The
/// counts from "ended" on start at 0 when a shard gets a new owner.
void
AddJobCounts(const Json::Value& aSummary, JobCounts& aJobCounts)
{
  for (const Json::Value& shard : aSummary["shards"]) {
    for (const char* name : { "jobs",
                              "queued",
                              "tasks",
                              "ended",
                              "failed",
                              "held",
                              "lost",
                              "evictions" }) {
      if (shard.isObject() && shard[name].isUInt64()) {
        aJobCounts[name] += shard[name].asUInt64();
      }
    }
  }
}

void
AddJobs(const ControlPorts& aPorts,
        const std::vector<SessionView>& aSessions,
        ControlResult& aResult)
{
  JobCounts jobs;
  aResult.mText += "jobs:\n";
  for (const SessionView& session : aSessions) {
    if (session.Member().mRole != "scheduler") {
      continue;
    }
    const auto summary = aPorts.mCall(
      session.mAddress, "scheduler.summary", Json::Value(Json::objectValue));
    if (!Succeeded(summary) || !ValueOf(summary).isObject()) {
      aResult.mText +=
        "  " + session.Member().mName + " does not answer" +
        (Succeeded(summary) ? "" : ": " + ErrorOf(summary).mMessage) + "\n";
      continue;
    }
    AddJobCounts(ValueOf(summary), jobs);
  }
  aResult.mJson["jobs"] = Json::Value(Json::objectValue);
  for (const auto& [state, count] : jobs) {
    aResult.mJson["jobs"][state] = Json::UInt64(count);
    aResult.mText += "  " + state + ": " + std::to_string(count) + "\n";
  }
}

} // namespace

ControlResult
ShowStatus(const ControlPorts& aPorts)
{
  const Outcome<std::uint64_t> revision = CurrentRevision(aPorts.mTable);
  if (!Succeeded(revision)) {
    return ReadFailure(ErrorOf(revision));
  }
  ControlResult result;
  result.mText = "revision " + std::to_string(ValueOf(revision)) + "\n";
  result.mJson["revision"] = Json::UInt64(ValueOf(revision));
  AddDocuments(aPorts, result);
  AddDataCentres(aPorts, result);
  RenewalCounts before;
  const auto sessions = WatchSessions(aPorts, before);
  if (!Succeeded(sessions)) {
    return ReadFailure(ErrorOf(sessions));
  }
  AddMembers(ValueOf(sessions), before, result);
  AddShards(aPorts, RenewalCountsOf(ValueOf(sessions)), result);
  AddJobs(aPorts, ValueOf(sessions), result);
  return result;
}

} // namespace paddle
