#include <LibControl/AuditTrail.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>

namespace paddle {

namespace {

/// @param aArray an array of strings, or null for an empty list
std::vector<std::string>
StringsOf(const Json::Value& aArray)
{
  std::vector<std::string> strings;
  for (const Json::Value& value : aArray) {
    strings.push_back(value.asString());
  }
  return strings;
}

/// @return whether StringsOf() can read the value
bool
IsStringList(const Json::Value& aValue)
{
  return aValue.isNull() ||
         (aValue.isArray() && std::all_of(aValue.begin(),
                                          aValue.end(),
                                          [](const Json::Value& aElement) {
                                            return aElement.isString();
                                          }));
}

} // namespace

std::string
AuditKey(std::uint64_t aRevision)
{
  std::array<char, 24> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%012llu",
                static_cast<unsigned long long>(aRevision));
  return kAuditPrefix + std::string(digits.data());
}

Json::Value
ToJson(const AuditEntry& aEntry)
{
  Json::Value value;
  value["revision"] = Json::UInt64(aEntry.mRevision);
  value["time"] = aEntry.mTime;
  value["who"] = aEntry.mWho;
  value["what"] = aEntry.mWhat;
  value["why"] = aEntry.mWhy;
  value["change"]["id"] = aEntry.mId;
  value["change"]["rows"] = Json::Value(Json::arrayValue);
  for (const std::string& row : aEntry.mRows) {
    value["change"]["rows"].append(row);
  }
  value["change"]["fields"] = Json::Value(Json::arrayValue);
  for (const std::string& change : aEntry.mChanges) {
    value["change"]["fields"].append(change);
  }
  return value;
}

Outcome<AuditEntry>
ParseAuditRow(const TableRow& aRow)
{
  const Outcome<JsonText> parsed = ParseJsonText(aRow.mKey, aRow.mValue);
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const Json::Value& root = ValueOf(parsed).mRoot;
  const bool valid = root.isObject() && root["revision"].isUInt64() &&
                     root["time"].isString() && root["who"].isString() &&
                     root["what"].isString() && root["why"].isString() &&
                     root["change"].isObject() &&
                     IsStringList(root["change"]["rows"]) &&
                     IsStringList(root["change"]["fields"]);
  if (!valid) {
    return Error{ ErrorKind::Internal,
                  "row " + aRow.mKey + " is not an audit entry" };
  }
  return AuditEntry{ root["revision"].asUInt64(),
                     root["time"].asString(),
                     root["who"].asString(),
                     root["what"].asString(),
                     root["why"].asString(),
                     root["change"].get("id", "").asString(),
                     StringsOf(root["change"]["rows"]),
                     StringsOf(root["change"]["fields"]) };
}

std::string
Summary(const AuditEntry& aEntry)
{
  return "revision " + std::to_string(aEntry.mRevision) + ", " + aEntry.mTime +
         ", " + aEntry.mWho + ": " + aEntry.mWhat +
         (aEntry.mWhy.empty() ? "" : " (" + aEntry.mWhy + ")");
}

Outcome<std::vector<AuditEntry>>
ReadAuditNewestFirst(const TablePort& aTable,
                     std::uint64_t aNewest,
                     std::size_t aMaxEntries,
                     const std::function<bool(const AuditEntry&)>& aIsLast)
{
  constexpr std::uint64_t kRowsPerRead = 50;
  std::vector<AuditEntry> entries;
  for (std::uint64_t next = aNewest;
       next > 0 && entries.size() < aMaxEntries;) {
    std::vector<std::string> keys;
    for (; next > 0 && keys.size() < kRowsPerRead; --next) {
      keys.push_back(AuditKey(next));
    }
    const auto rows = aTable.mRead(keys);
    if (!Succeeded(rows)) {
      return ErrorOf(rows);
    }
    for (const TableRow& row : ValueOf(rows)) {
      if (row.mVersion == 0 || entries.size() == aMaxEntries) {
        continue; // The row has expired, or the limit is reached.
      }
      Outcome<AuditEntry> entry = ParseAuditRow(row);
      if (!Succeeded(entry)) {
        return ErrorOf(entry);
      }
      entries.push_back(std::move(ValueOf(entry)));
      if (aIsLast(entries.back())) {
        return entries;
      }
    }
  }
  return entries;
}

Outcome<std::optional<AuditEntry>>
LastChangeOfRow(const TablePort& aTable,
                std::uint64_t aNewest,
                const std::string& aKey)
{
  constexpr std::size_t kMaxEntries = 500;
  const auto wrote = [&](const AuditEntry& aEntry) {
    return std::find(aEntry.mRows.begin(), aEntry.mRows.end(), aKey) !=
           aEntry.mRows.end();
  };
  auto entries = ReadAuditNewestFirst(aTable, aNewest, kMaxEntries, wrote);
  if (!Succeeded(entries)) {
    return ErrorOf(entries);
  }
  if (ValueOf(entries).empty() || !wrote(ValueOf(entries).back())) {
    return std::optional<AuditEntry>();
  }
  return std::optional<AuditEntry>(std::move(ValueOf(entries).back()));
}

} // namespace paddle
