#include <LibControl/DataCentreCommands.h>

#include <set>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibControl/CommitChange.h>
#include <LibControl/PlanPlacesDocument.h>
#include <LibControl/Sessions.h>

namespace paddle {

namespace {

/// @return an error that lists the data centres in the table
Error
UnknownDataCentreError(const TablePort& aTable, const std::string& aName)
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

/// Plans to set the state of a data centre; the plan has no writes if it has
/// that state already.
Outcome<ChangePlan>
PlanStateChange(const TablePort& aTable,
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
    return UnknownDataCentreError(aTable, aName);
  }
  const Outcome<DataCentre> current = ParseDataCentreRow(row);
  if (!Succeeded(current)) {
    return ErrorOf(current);
  }
  const bool out = aWanted == DataCentreState::Out;
  ChangePlan plan;
  plan.mWhat = (out ? "out of service: " : "in service: ") + aName;
  if (ValueOf(current).mState == aWanted) {
    return plan;
  }
  plan.mConditions = { { row.mKey, row.mVersion } };
  plan.mWrites = { { row.mKey,
                     DataCentreRowValue(ValueOf(current).mRegion,
                                        out ? "out" : "in",
                                        aAuthor) } };
  plan.mChanges = { aName + ": " + (out ? "in -> out" : "out -> in") };
  return plan;
}

Outcome<ChangeResult>
CommitStateChange(const ControlPorts& aPorts,
                  const Author& aAuthor,
                  const std::string& aName,
                  DataCentreState aWanted)
{
  return CommitChange(aPorts, aAuthor, [&] {
    return PlanStateChange(aPorts.mTable, aAuthor, aName, aWanted);
  });
}

/// Which schedulers have confirmed a drain.
struct Confirmations
{
  std::set<std::string> mConfirmed;   ///< Incarnations.
  std::set<std::string> mUnconfirmed; ///< Names, after the last poll.
};

/// @return whether the scheduler reports that it uses the configuration of this
///         or a later revision
bool
HasConfirmed(const ControlPorts& aPorts,
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

/// Asks each scheduler that has not confirmed yet. After @p aDeadline no
/// further scheduler is asked, because each one that does not answer costs a
/// time-out.
void
PollSchedulers(const ControlPorts& aPorts,
               std::uint64_t aRevision,
               MonotonicTime aDeadline,
               Confirmations& aConfirmations)
{
  const auto sessions = ReadSessions(aPorts.mTable);
  if (!Succeeded(sessions)) {
    aConfirmations.mUnconfirmed.insert("(the table service can't be read)");
    return;
  }
  aConfirmations.mUnconfirmed.clear();
  for (const SessionView& session : ValueOf(sessions)) {
    if (session.Member().mRole != "scheduler" ||
        aConfirmations.mConfirmed.contains(session.Member().mIncarnation)) {
      continue;
    }
    if (aPorts.mMonotonicNow() < aDeadline &&
        HasConfirmed(aPorts, session, aRevision)) {
      aConfirmations.mConfirmed.insert(session.Member().mIncarnation);
    } else {
      aConfirmations.mUnconfirmed.insert(session.Member().mName);
    }
  }
}

/// Waits until all schedulers have confirmed the revision, or until none can
/// start a task on the basis of a read from before the change.
Confirmations
AwaitConfirmations(const ControlPorts& aPorts, std::uint64_t aRevision)
{
  constexpr Millis kPollInterval{ 100 };
  const MonotonicTime deadline =
    aPorts.mMonotonicNow() + kMaxInServiceConfirmationAge;
  Confirmations confirmations;
  while (true) {
    PollSchedulers(aPorts, aRevision, deadline, confirmations);
    const MonotonicTime now = aPorts.mMonotonicNow();
    if (confirmations.mUnconfirmed.empty() || now >= deadline) {
      return confirmations;
    }
    aPorts.mSleep(
      std::min(kPollInterval, std::chrono::ceil<Millis>(deadline - now)));
  }
}

/// Adds to the result which schedulers have confirmed the drain.
void
AddConfirmations(const Confirmations& aConfirmations, ControlResult& aResult)
{
  aResult.mJson["confirmed"] = Json::UInt64(aConfirmations.mConfirmed.size());
  aResult.mJson["unconfirmed"] = Json::Value(Json::arrayValue);
  if (aConfirmations.mUnconfirmed.empty() &&
      aConfirmations.mConfirmed.empty()) {
    aResult.mText += "no scheduler has a session, so nothing starts there\n";
    return;
  }
  if (aConfirmations.mUnconfirmed.empty()) {
    aResult.mText += "confirmed by all " +
                     std::to_string(aConfirmations.mConfirmed.size()) +
                     " schedulers; no task starts there any more\n";
    return;
  }
  aResult.mText += "confirmed by " +
                   std::to_string(aConfirmations.mConfirmed.size()) +
                   " schedulers; without an answer:";
  for (const std::string& name : aConfirmations.mUnconfirmed) {
    aResult.mText += " " + name;
    aResult.mJson["unconfirmed"].append(name);
  }
  aResult.mText +=
    "\nThese can't start a task there either: their last proof that the data "
    "centre is in service is older than " +
    std::to_string(kMaxInServiceConfirmationAge.count()) + " ms by now.\n";
}

ControlResult
Describe(const ChangeResult& aChange)
{
  ControlResult result;
  result.mText = (aChange.mChanged ? "accepted: " : "unchanged: ") +
                 aChange.mPlan.mWhat + " (revision " +
                 std::to_string(aChange.mRevision) + ")\n";
  result.mJson["changed"] = aChange.mChanged;
  result.mJson["revision"] = Json::UInt64(aChange.mRevision);
  result.mJson["what"] = aChange.mPlan.mWhat;
  return result;
}

} // namespace

ControlResult
DrainDataCentre(const ControlPorts& aPorts,
                const Author& aAuthor,
                const std::string& aName)
{
  const Outcome<ChangeResult> accepted =
    CommitStateChange(aPorts, aAuthor, aName, DataCentreState::Out);
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
  const Outcome<ChangeResult> accepted =
    CommitStateChange(aPorts, aAuthor, aName, DataCentreState::InService);
  if (!Succeeded(accepted)) {
    return ChangeFailure(ErrorOf(accepted));
  }
  return Describe(ValueOf(accepted));
}

} // namespace paddle
