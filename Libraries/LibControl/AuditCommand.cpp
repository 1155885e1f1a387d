#include <LibControl/AuditCommand.h>

#include <algorithm>
#include <charconv>

#include <LibControl/AuditTrail.h>
#include <LibControl/CommitChange.h>
#include <LibControl/TimeText.h>

namespace paddle {

namespace {

/// @return whether an entry is older than the requested revision or time
using IsBefore = std::function<bool(const AuditEntry&)>;

/// Parses the argument of --since: a revision or a time in UTC.
Outcome<IsBefore>
ParseSince(const std::string& aSince)
{
  if (aSince.empty()) {
    return IsBefore([](const AuditEntry&) { return false; });
  }
  std::uint64_t revision = 0;
  const char* end = aSince.data() + aSince.size();
  const auto [stop, code] = std::from_chars(aSince.data(), end, revision);
  if (code == std::errc() && stop == end) {
    return IsBefore([revision](const AuditEntry& aEntry) {
      return aEntry.mRevision < revision;
    });
  }
  const auto time = ParseTimeText(aSince);
  if (!time) {
    return Error{ ErrorKind::InvalidInput,
                  "--since must be a revision, or a time in UTC like "
                  "2026-12-04T09:30, is \"" +
                    aSince + "\"" };
  }
  return IsBefore([since = TimeText(*time)](const AuditEntry& aEntry) {
    return aEntry.mTime < since;
  });
}

} // namespace

ControlResult
ShowAudit(const ControlPorts& aPorts, const std::string& aSince)
{
  const Outcome<IsBefore> before = ParseSince(aSince);
  if (!Succeeded(before)) {
    return ReadFailure(ErrorOf(before));
  }
  const Outcome<std::uint64_t> revision = CurrentRevision(aPorts.mTable);
  if (!Succeeded(revision)) {
    return ReadFailure(ErrorOf(revision));
  }
  constexpr std::size_t kMaxEntries = 20000;
  constexpr std::size_t kDefaultEntries = 50;
  auto entries =
    ReadAuditNewestFirst(aPorts.mTable,
                         ValueOf(revision),
                         aSince.empty() ? kDefaultEntries : kMaxEntries,
                         ValueOf(before));
  if (!Succeeded(entries)) {
    return ReadFailure(ErrorOf(entries));
  }
  std::erase_if(ValueOf(entries), ValueOf(before));
  std::reverse(ValueOf(entries).begin(), ValueOf(entries).end());
  ControlResult result;
  result.mJson["entries"] = Json::Value(Json::arrayValue);
  for (const AuditEntry& entry : ValueOf(entries)) {
    result.mJson["entries"].append(ToJson(entry));
    result.mText += Summary(entry) + "\n";
    for (const std::string& change : entry.mChanges) {
      result.mText += "  " + change + "\n";
    }
  }
  if (ValueOf(entries).empty()) {
    result.mText = "no changes\n";
  }
  return result;
}

} // namespace paddle
