#include <LibControl/Sessions.h>

#include <optional>

#include <LibLease/LeaseRowText.h>

namespace paddle {

namespace {

std::optional<SessionView>
ParseSession(const TableRow& aRow)
{
  const Outcome<SessionRecord> record = ParseSessionRecord(aRow.mValue);
  if (!Succeeded(record)) {
    return std::nullopt;
  }
  const LeaseMember& member = ValueOf(record).mMember;
  const Outcome<Endpoint> address = ParseEndpoint(member.mAddress);
  if (!Succeeded(address)) {
    return std::nullopt;
  }
  return SessionView{ ValueOf(record), ValueOf(address) };
}

} // namespace

Outcome<std::vector<SessionView>>
ReadSessions(const TablePort& aTable)
{
  const auto rows = aTable.mScan("session/");
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  std::vector<SessionView> sessions;
  for (const TableRow& row : ValueOf(rows)) {
    if (auto session = ParseSession(row)) {
      sessions.push_back(std::move(*session));
    }
  }
  return sessions;
}

Outcome<std::vector<SessionView>>
SessionsOfRole(const TablePort& aTable, const std::string& aRole)
{
  Outcome<std::vector<SessionView>> sessions = ReadSessions(aTable);
  if (!Succeeded(sessions)) {
    return sessions;
  }
  std::erase_if(ValueOf(sessions), [&](const SessionView& aSession) {
    return aSession.Member().mRole != aRole;
  });
  if (ValueOf(sessions).empty()) {
    return Error{ ErrorKind::Unavailable,
                  "no " + aRole +
                    " has a session in the table service. Start one, or wait "
                    "until one has read the table." };
  }
  return sessions;
}

Outcome<Json::Value>
CallAnyScheduler(const ControlPorts& aPorts,
                 const std::string& aMethod,
                 const Json::Value& aParameters)
{
  const auto schedulers = SessionsOfRole(aPorts.mTable, "scheduler");
  if (!Succeeded(schedulers)) {
    return ErrorOf(schedulers);
  }
  Error last;
  bool uncertain = false;
  for (const SessionView& scheduler : ValueOf(schedulers)) {
    Outcome<Json::Value> answer =
      aPorts.mCall(scheduler.mAddress, aMethod, aParameters);
    if (Succeeded(answer)) {
      return answer;
    }
    last = ErrorOf(answer);
    if (last.mKind != ErrorKind::Unavailable &&
        last.mKind != ErrorKind::Unknown) {
      return last;
    }
    // Schedulers recognise a repeated call by its job id, so another scheduler
    // may be asked although this one may have carried out the call.
    uncertain = uncertain || last.mKind == ErrorKind::Unknown;
  }
  last.mKind = uncertain ? ErrorKind::Unknown : ErrorKind::Unavailable;
  last.mMessage = "no scheduler answered; the last one: " + last.mMessage;
  return last;
}

} // namespace paddle
