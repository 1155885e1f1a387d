#include <LibControl/StatusCommand.h>

#include <algorithm>
#include <map>

#include <LibConfig/ConfigRows.h>
#include <LibControl/Acceptance.h>
#include <LibControl/Sessions.h>
#include <LibLease/LeaseRowText.h>

namespace paddle {

namespace {

/// Adds one part to the result, or says why it can't be shown.
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
    const Outcome<DataCentre> place = ParseDataCentreRow(row);
    if (!Succeeded(place)) {
      aResult.mText += "  " + ErrorOf(place).mMessage + "\n";
      continue;
    }
    const bool in = ValueOf(place).mState == DataCentreState::InService;
    Json::Value entry;
    entry["name"] = ValueOf(place).mName;
    entry["region"] = ValueOf(place).mRegion;
    entry["state"] = in ? "in" : "out";
    aResult.mJson["dataCentres"].append(entry);
    aResult.mText += "  " + ValueOf(place).mName + " in region " +
                     ValueOf(place).mRegion +
                     (in ? ": in service\n" : ": OUT of service\n");
  }
}

using Renewals = std::map<std::string, std::uint64_t>;

Renewals
RenewalsOf(const std::vector<SessionView>& aSessions)
{
  Renewals renewals;
  for (const SessionView& session : aSessions) {
    renewals[session.Self().mIncarnation] = session.mRecord.mRenewals;
  }
  return renewals;
}

/// Reads the sessions again until each was renewed, at most for half of the
/// longest term.
Outcome<std::vector<SessionView>>
WatchSessions(const ControlPorts& aPorts, Renewals& aBefore)
{
  constexpr Millis kBetweenReads{ 200 };
  auto sessions = ReadSessions(aPorts.mTable);
  if (!Succeeded(sessions)) {
    return sessions;
  }
  aBefore = RenewalsOf(ValueOf(sessions));
  Millis longest{ 0 };
  for (const SessionView& session : ValueOf(sessions)) {
    longest = std::max(longest, session.mRecord.mTerm);
  }
  const MonotonicTime end = aPorts.mMonotonicNow() + longest / 2;
  while (aPorts.mMonotonicNow() < end) {
    const bool all =
      std::all_of(ValueOf(sessions).begin(),
                  ValueOf(sessions).end(),
                  [&](const SessionView& aSession) {
                    const auto found =
                      aBefore.find(aSession.Self().mIncarnation);
                    return found == aBefore.end() ||
                           found->second != aSession.mRecord.mRenewals;
                  });
    if (all) {
      break;
    }
    aPorts.mSleep(kBetweenReads);
    sessions = ReadSessions(aPorts.mTable);
    if (!Succeeded(sessions)) {
      break;
    }
  }
  return sessions;
}

std::string
StateOf(const SessionView& aSession, const Renewals& aBefore)
{
  if (aSession.mRecord.mLeaving) {
    return "leaving";
  }
  const auto found = aBefore.find(aSession.Self().mIncarnation);
  const bool silent =
    found != aBefore.end() && found->second == aSession.mRecord.mRenewals;
  return silent ? "NOT RENEWED" : "live";
}

void
AddMembers(const std::vector<SessionView>& aSessions,
           const Renewals& aBefore,
           ControlResult& aResult)
{
  aResult.mText += "members:\n";
  aResult.mJson["members"] = Json::Value(Json::arrayValue);
  for (const SessionView& session : aSessions) {
    const LeaseMember& self = session.Self();
    Json::Value entry;
    entry["name"] = self.mName;
    entry["role"] = self.mRole;
    entry["dataCentre"] = self.mDataCentre;
    entry["address"] = self.mAddress;
    entry["state"] = StateOf(session, aBefore);
    entry["successor"] = session.mRecord.mSuccessor;
    aResult.mJson["members"].append(entry);
    aResult.mText +=
      "  " + self.mName + " (" + self.mRole + ") in " + self.mDataCentre +
      " at " + self.mAddress + ": " + entry["state"].asString() +
      ", successor " +
      (session.mRecord.mSuccessor.empty() ? "none"
                                          : session.mRecord.mSuccessor) +
      "\n";
  }
}

void
AddShards(const ControlPorts& aPorts,
          const Renewals& aLive,
          ControlResult& aResult)
{
  const auto rows = aPorts.mTable.mScan("shard/");
  aResult.mJson["shards"] = Json::Value(Json::arrayValue);
  if (!Succeeded(rows)) {
    aResult.mText += "shards can't be read: " + ErrorOf(rows).mMessage + "\n";
    return;
  }
  aResult.mText += "shards:\n";
  std::map<std::string, int> owned;
  for (const TableRow& row : ValueOf(rows)) {
    const Outcome<ShardRecord> shard = ParseShardRecord(row.mValue);
    if (!Succeeded(shard)) {
      aResult.mText += "  " + row.mKey + ": " + ErrorOf(shard).mMessage + "\n";
      continue;
    }
    const std::string id = row.mKey.substr(row.mKey.find('/') + 1);
    const LeaseMember& owner = ValueOf(shard).mOwner;
    const bool live = aLive.contains(owner.mIncarnation);
    Json::Value entry;
    entry["id"] = id;
    entry["owner"] = owner.mName;
    entry["epoch"] = Json::UInt64(ValueOf(shard).mEpoch);
    entry["ownerHasSession"] = live;
    aResult.mJson["shards"].append(entry);
    // Key shards are many and alike; people see their number only.
    if (id.starts_with("key/") && live) {
      ++owned[owner.mName];
      continue;
    }
    aResult.mText += "  " + id + ": " + owner.mName + ", epoch " +
                     std::to_string(ValueOf(shard).mEpoch) +
                     (live ? "\n" : ", OWNER HAS NO SESSION\n");
  }
  for (const auto& [name, count] : owned) {
    aResult.mText +=
      "  " + std::to_string(count) + " key shards: " + name + "\n";
  }
}

using Counts = std::map<std::string, std::uint64_t>;

/// Adds the counts of each shard in the answer to scheduler.summary. Ended and
/// the counts after it are those since the shard's present owner took it.
void
AddCounts(const Json::Value& aSummary, Counts& aCounts)
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
        aCounts[name] += shard[name].asUInt64();
      }
    }
  }
}

void
AddJobs(const ControlPorts& aPorts,
        const std::vector<SessionView>& aSessions,
        ControlResult& aResult)
{
  Counts jobs;
  aResult.mText += "jobs:\n";
  for (const SessionView& session : aSessions) {
    if (session.Self().mRole != "scheduler") {
      continue;
    }
    const auto status = aPorts.mCall(
      session.mAddress, "scheduler.summary", Json::Value(Json::objectValue));
    if (!Succeeded(status) || !ValueOf(status).isObject()) {
      aResult.mText +=
        "  " + session.Self().mName + " does not answer" +
        (Succeeded(status) ? "" : ": " + ErrorOf(status).mMessage) + "\n";
      continue;
    }
    AddCounts(ValueOf(status), jobs);
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
  Renewals before;
  const auto sessions = WatchSessions(aPorts, before);
  if (!Succeeded(sessions)) {
    return ReadFailure(ErrorOf(sessions));
  }
  AddMembers(ValueOf(sessions), before, result);
  AddShards(aPorts, RenewalsOf(ValueOf(sessions)), result);
  AddJobs(aPorts, ValueOf(sessions), result);
  return result;
}

} // namespace paddle
