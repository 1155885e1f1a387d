#include <LibLease/Release.h>

#include <json/json.h>

#include <LibBase/JsonReader.h>
#include <LibLease/LeaseRowText.h>

namespace paddle {

Outcome<Done>
ReleaseMember(const TablePort& aTable,
              const std::string& aMember,
              const std::string& aWho,
              const std::string& aWhy)
{
  const std::string sessionKey = kSessionPrefix + aMember;
  const auto rows = aTable.mRead(std::span(&sessionKey, 1));
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  const TableRow& row = ValueOf(rows).front();
  if (row.mVersion == 0) {
    return Error{ ErrorKind::NotFound,
                  "member \"" + aMember + "\" has no session" };
  }
  const Outcome<SessionRecord> session = ParseSessionRecord(row.mValue);
  if (!Succeeded(session)) {
    return ErrorOf(session);
  }
  Json::Value release(Json::objectValue);
  release["incarnation"] = ValueOf(session).mMember.mIncarnation;
  release["who"] = aWho;
  release["why"] = aWhy;
  const TransactResult result =
    aTable.mTransact({ { { sessionKey, row.mVersion } },
                       { { kReleasePrefix + aMember, WriteJson(release) } } });
  if (std::holds_alternative<Conflict>(result)) {
    return Error{ ErrorKind::Conflict,
                  "member \"" + aMember +
                    "\" has just renewed its session, so it runs" };
  }
  if (const auto* error = std::get_if<Error>(&result)) {
    return *error;
  }
  return Done{};
}

} // namespace paddle
