#include <LibControl/DataCentreCommands.h>

#include <set>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibControl/Acceptance.h>
#include <LibControl/PlanPlaces.h>
#include <LibControl/Sessions.h>

namespace paddle {

namespace {

Error
NoSuchDataCentre(const TablePort& aTable, const std::string& aName)
{
  std::string message = "there is no data centre " + aName + "; known are:";
  const auto rows = aTable.mScan(kDataCentrePrefix);
  if (Succeeded(rows)) {
    for (const TableRow& row : ValueOf(rows)) {
      message += " " + row.mKey.substr(row.mKey.find('/') + 1);
    }
  }
  return Error{ ErrorKind::NotFound, message };
}

Outcome<ChangePlan>
PlanState(const TablePort& aTable,
          const Author& aAuthor,
          const std::string& aName,
          DataCentreState aWanted)
{
  const Outcome<TableRow> read = ReadRow(aTable, kDataCentrePrefix + aName);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  const TableRow& row = ValueOf(read);
  if (row.mVersion == 0) {
    return NoSuchDataCentre(aTable, aName);
  }
  const Outcome<DataCentre> present = ParseDataCentreRow(row);
  if (!Succeeded(present)) {
    return ErrorOf(present);
  }
  const bool out = aWanted == DataCentreState::Out;
  ChangePlan plan;
  plan.mWhat = (out ? "out of service: " : "in service: ") + aName;
  if (ValueOf(present).mState == aWanted) {
    return plan;
  }
  plan.mConditions = { { row.mKey, row.mVersion } };
  plan.mWrites = { { row.mKey,
                     DataCentreRowValue(ValueOf(present).mRegion,
                                        out ? "out" : "in",
                                        aAuthor) } };
  plan.mChanges = { aName + ": " + (out ? "in -> out" : "out -> in") };
  return plan;
}

Outcome<Acceptance>
Change(const ControlPorts& aPorts,
       const Author& aAuthor,
       const std::string& aName,
       DataCentreState aWanted)
{
  return CommitChange(aPorts, aAuthor, [&] {
    return PlanState(aPorts.mTable, aAuthor, aName, aWanted);
  });
}

/// What is known about the schedulers after a drain.
struct Confirmations
{
  std::set<std::string> mConfirmed;
  std::set<std::string> mMissing;
};

/// @return whether the scheduler follows the revision, by its own word
bool
Confirms(const ControlPorts& aPorts,
         const SessionView& aScheduler,
         std::uint64_t aRevision)
{
  const Outcome<Json::Value> summary = aPorts.mCall(
    aScheduler.mAddress, "scheduler.summary", Json::Value(Json::objectValue));
  if (!Succeeded(summary) || !ValueOf(summary).isObject()) {
    return false;
  }
  const Json::Value& revision = ValueOf(summary)["configRevision"];
  return revision.isUInt64() && revision.asUInt64() >= aRevision;
}

/// Asks each scheduler that has not confirmed yet; after @p aEnd none is
/// asked, because silent ones would take a time-out each.
void
AskOnce(const ControlPorts& aPorts,
        std::uint64_t aRevision,
        MonotonicTime aEnd,
        Confirmations& aState)
{
  const auto sessions = ReadSessions(aPorts.mTable);
  if (!Succeeded(sessions)) {
    aState.mMissing.insert("(the table service can't be read)");
    return;
  }
  aState.mMissing.clear();
  for (const SessionView& session : ValueOf(sessions)) {
    if (session.Self().mRole != "scheduler" ||
        aState.mConfirmed.contains(session.Self().mIncarnation)) {
      continue;
    }
    if (aPorts.mMonotonicNow() < aEnd && Confirms(aPorts, session, aRevision)) {
      aState.mConfirmed.insert(session.Self().mIncarnation);
    } else {
      aState.mMissing.insert(session.Self().mName);
    }
  }
}

/// Waits until no process can start a task on a proof from before the change.
Confirmations
AwaitConfirmations(const ControlPorts& aPorts, std::uint64_t aRevision)
{
  constexpr Millis kBetweenRounds{ 100 };
  const MonotonicTime end = aPorts.mMonotonicNow() + kProofAge;
  Confirmations state;
  while (true) {
    AskOnce(aPorts, aRevision, end, state);
    const MonotonicTime now = aPorts.mMonotonicNow();
    if (state.mMissing.empty() || now >= end) {
      return state;
    }
    aPorts.mSleep(
      std::min(kBetweenRounds, std::chrono::ceil<Millis>(end - now)));
  }
}

void
AddConfirmations(const Confirmations& aState, ControlResult& aResult)
{
  aResult.mJson["confirmed"] = Json::UInt64(aState.mConfirmed.size());
  aResult.mJson["unconfirmed"] = Json::Value(Json::arrayValue);
  if (aState.mMissing.empty() && aState.mConfirmed.empty()) {
    aResult.mText += "no scheduler has a session, so nothing starts there\n";
    return;
  }
  if (aState.mMissing.empty()) {
    aResult.mText += "confirmed by all " +
                     std::to_string(aState.mConfirmed.size()) +
                     " schedulers; no task starts there any more\n";
    return;
  }
  aResult.mText += "confirmed by " + std::to_string(aState.mConfirmed.size()) +
                   " schedulers; without an answer:";
  for (const std::string& name : aState.mMissing) {
    aResult.mText += " " + name;
    aResult.mJson["unconfirmed"].append(name);
  }
  aResult.mText +=
    "\nThese can't start a task there either: their last proof that the data "
    "centre is in service is older than " +
    std::to_string(kProofAge.count()) + " ms by now.\n";
}

ControlResult
Describe(const Acceptance& aAcceptance)
{
  ControlResult result;
  result.mText = (aAcceptance.mChanged ? "accepted: " : "unchanged: ") +
                 aAcceptance.mPlan.mWhat + " (revision " +
                 std::to_string(aAcceptance.mRevision) + ")\n";
  result.mJson["changed"] = aAcceptance.mChanged;
  result.mJson["revision"] = Json::UInt64(aAcceptance.mRevision);
  result.mJson["what"] = aAcceptance.mPlan.mWhat;
  return result;
}

} // namespace

ControlResult
DrainDataCentre(const ControlPorts& aPorts,
                const Author& aAuthor,
                const std::string& aName)
{
  const Outcome<Acceptance> accepted =
    Change(aPorts, aAuthor, aName, DataCentreState::Out);
  if (!Succeeded(accepted)) {
    return ChangeFailure(ErrorOf(accepted));
  }
  ControlResult result = Describe(ValueOf(accepted));
  AddConfirmations(AwaitConfirmations(aPorts, ValueOf(accepted).mRevision),
                   result);
  return result;
}

ControlResult
ReturnDataCentre(const ControlPorts& aPorts,
                 const Author& aAuthor,
                 const std::string& aName)
{
  const Outcome<Acceptance> accepted =
    Change(aPorts, aAuthor, aName, DataCentreState::InService);
  if (!Succeeded(accepted)) {
    return ChangeFailure(ErrorOf(accepted));
  }
  return Describe(ValueOf(accepted));
}

} // namespace paddle
