#include <LibControl/ReleaseCommand.h>

#include <LibBase/JsonReader.h>
#include <LibControl/CommitChange.h>
#include <LibControl/Sessions.h>
#include <LibControl/TimeText.h>

namespace paddle {

namespace {

/// @return the session of a process, or an error that lists the processes that
///         have one
Outcome<SessionView>
SessionOf(const TablePort& aTable, const std::string& aMember)
{
  const auto sessions = ReadSessions(aTable);
  if (!Succeeded(sessions)) {
    return ErrorOf(sessions);
  }
  std::string message = aMember + " has no session; members with one:";
  for (const SessionView& session : ValueOf(sessions)) {
    if (session.Member().mName == aMember) {
      return session;
    }
    message += " " + session.Member().mName;
  }
  return Error{ ErrorKind::NotFound, message };
}

/// Waits for more than a lease term.
/// @return an error if the session was renewed or replaced in that time
Outcome<Done>
CheckNotRenewed(const ControlPorts& aPorts, const SessionView& aBefore)
{
  // A third is added to the lease term for clocks that run at different rates.
  aPorts.mSleep(aBefore.mRecord.mTerm * 4 / 3);
  const Outcome<SessionView> after =
    SessionOf(aPorts.mTable, aBefore.Member().mName);
  if (!Succeeded(after)) {
    return ErrorOf(after);
  }
  if (ValueOf(after).mRecord.mRenewals != aBefore.mRecord.mRenewals ||
      ValueOf(after).Member().mIncarnation != aBefore.Member().mIncarnation) {
    return Error{ ErrorKind::Conflict,
                  aBefore.Member().mName +
                    " is alive: its session was renewed while this command "
                    "watched it. Stop the process first." };
  }
  return Done{};
}

/// Plans to write the release row of a process.
Outcome<ChangePlan>
PlanRelease(const ControlPorts& aPorts,
            const Author& aAuthor,
            const SessionView& aSession)
{
  const std::string key = "release/" + aSession.Member().mName;
  const Outcome<TableRow> row = ReadRow(aPorts.mTable, key);
  if (!Succeeded(row)) {
    return ErrorOf(row);
  }
  Json::Value value;
  value["incarnation"] = aSession.Member().mIncarnation;
  value["who"] = aAuthor.mWho;
  value["why"] = aAuthor.mWhy;
  value["time"] = TimeText(aPorts.mNow());
  ChangePlan plan;
  plan.mWhat = "release of " + aSession.Member().mName;
  plan.mConditions = { { key, ValueOf(row).mVersion } };
  plan.mWrites = { { key, WriteJson(value) } };
  plan.mChanges = { aSession.Member().mName + ": incarnation " +
                    aSession.Member().mIncarnation + " released" };
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
  const Outcome<Done> notRenewed = CheckNotRenewed(aPorts, ValueOf(session));
  if (!Succeeded(notRenewed)) {
    return ChangeFailure(ErrorOf(notRenewed));
  }
  const Outcome<ChangeResult> accepted = CommitChange(aPorts, aAuthor, [&] {
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
