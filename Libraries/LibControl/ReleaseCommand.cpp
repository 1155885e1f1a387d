#include <LibControl/ReleaseCommand.h>

#include <LibBase/JsonReader.h>
#include <LibControl/Acceptance.h>
#include <LibControl/Sessions.h>
#include <LibControl/TimeText.h>

namespace paddle {

namespace {

Outcome<SessionView>
SessionOf(const TablePort& aTable, const std::string& aMember)
{
  const auto sessions = ReadSessions(aTable);
  if (!Succeeded(sessions)) {
    return ErrorOf(sessions);
  }
  std::string message = aMember + " has no session; members with one:";
  for (const SessionView& session : ValueOf(sessions)) {
    if (session.Self().mName == aMember) {
      return session;
    }
    message += " " + session.Self().mName;
  }
  return Error{ ErrorKind::NotFound, message };
}

Outcome<Done>
CheckNotRenewed(const ControlPorts& aPorts, const SessionView& aBefore)
{
  // A lease term, and a third more for clocks that run at different rates.
  aPorts.mSleep(aBefore.mRecord.mTerm * 4 / 3);
  const Outcome<SessionView> after =
    SessionOf(aPorts.mTable, aBefore.Self().mName);
  if (!Succeeded(after)) {
    return ErrorOf(after);
  }
  if (ValueOf(after).mRecord.mRenewals != aBefore.mRecord.mRenewals ||
      ValueOf(after).Self().mIncarnation != aBefore.Self().mIncarnation) {
    return Error{ ErrorKind::Conflict,
                  aBefore.Self().mName +
                    " is alive: its session was renewed while this command "
                    "watched it. Stop the process first." };
  }
  return Done{};
}

Outcome<ChangePlan>
PlanRelease(const ControlPorts& aPorts,
            const Author& aAuthor,
            const SessionView& aSession)
{
  const std::string key = "release/" + aSession.Self().mName;
  const Outcome<TableRow> row = ReadRow(aPorts.mTable, key);
  if (!Succeeded(row)) {
    return ErrorOf(row);
  }
  Json::Value value;
  value["incarnation"] = aSession.Self().mIncarnation;
  value["who"] = aAuthor.mWho;
  value["why"] = aAuthor.mWhy;
  value["time"] = TimeText(aPorts.mNow());
  ChangePlan plan;
  plan.mWhat = "release of " + aSession.Self().mName;
  plan.mConditions = { { key, ValueOf(row).mVersion } };
  plan.mWrites = { { key, WriteJson(value) } };
  plan.mChanges = { aSession.Self().mName + ": incarnation " +
                    aSession.Self().mIncarnation + " released" };
  return plan;
}

} // namespace

ControlResult
ReleaseMember(const ControlPorts& aPorts,
              const Author& aAuthor,
              const std::string& aMember)
{
  const Outcome<SessionView> session = SessionOf(aPorts.mTable, aMember);
  if (!Succeeded(session)) {
    return ChangeFailure(ErrorOf(session));
  }
  const Outcome<Done> silent = CheckNotRenewed(aPorts, ValueOf(session));
  if (!Succeeded(silent)) {
    return ChangeFailure(ErrorOf(silent));
  }
  const Outcome<Acceptance> accepted = CommitChange(aPorts, aAuthor, [&] {
    return PlanRelease(aPorts, aAuthor, ValueOf(session));
  });
  if (!Succeeded(accepted)) {
    return ChangeFailure(ErrorOf(accepted));
  }
  ControlResult result;
  result.mText = "accepted: release of " + aMember + " (revision " +
                 std::to_string(ValueOf(accepted).mRevision) +
                 "); others take over its shards now\n";
  result.mJson["revision"] = Json::UInt64(ValueOf(accepted).mRevision);
  return result;
}

} // namespace paddle
