#include <LibControl/Sessions.h>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

std::string
TextOf(const Json::Value& aObject, const char* aMember)
{
  const Json::Value& value = aObject[aMember];
  return value.isString() ? value.asString() : std::string();
}

std::optional<SessionView>
ParseSession(const TableRow& aRow)
{
  const Outcome<JsonText> parsed = ParseJsonText(aRow.mKey, aRow.mValue);
  if (!Succeeded(parsed) || !ValueOf(parsed).mRoot.isObject()) {
    return std::nullopt;
  }
  const Json::Value& root = ValueOf(parsed).mRoot;
  const Outcome<Endpoint> address = ParseEndpoint(TextOf(root, "address"));
  if (!Succeeded(address)) {
    return std::nullopt;
  }
  SessionView session;
  session.mName = TextOf(root, "name");
  session.mIncarnation = TextOf(root, "incarnation");
  session.mRole = TextOf(root, "role");
  session.mDataCentre = TextOf(root, "dataCentre");
  session.mRegion = TextOf(root, "region");
  session.mAddress = ValueOf(address);
  session.mRenewal =
    root["renewal"].isUInt64() ? root["renewal"].asUInt64() : 0;
  session.mSuccessor = TextOf(root, "successor");
  return session;
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
    return aSession.mRole != aRole;
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
    // The calls are recognised by their job id, so another scheduler may be
    // asked even though this one may have acted.
    uncertain = uncertain || last.mKind == ErrorKind::Unknown;
  }
  last.mKind = uncertain ? ErrorKind::Unknown : ErrorKind::Unavailable;
  last.mMessage = "no scheduler answered; the last one: " + last.mMessage;
  return last;
}

} // namespace paddle
