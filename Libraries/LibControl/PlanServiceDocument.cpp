#include <LibControl/PlanServiceDocument.h>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibControl/AuditTrail.h>
#include <LibControl/JsonDiff.h>
#include <LibDocument/ServiceDocument.h>

namespace paddle {

namespace {

/// The document in force for a service. Version 0 and an empty text if there is
/// none.
struct CurrentDocument
{
  TableRow mRow;
  std::uint64_t mVersion = 0;
  std::string mText;
};

Outcome<CurrentDocument>
ParseCurrentDocument(const TableRow& aRow)
{
  if (aRow.mVersion == 0) {
    return CurrentDocument{ aRow, 0, "" };
  }
  const Outcome<std::string> text = DocumentText(aRow);
  if (!Succeeded(text)) {
    return ErrorOf(text);
  }
  const Outcome<JsonText> row = ParseJsonText(aRow.mKey, aRow.mValue);
  return CurrentDocument{ aRow,
                          ValueOf(row).mRoot["version"].asUInt64(),
                          ValueOf(text) };
}

/// @return the lines of the audit entry that say what differs between two texts
std::vector<std::string>
DescribeChanges(const std::string& aBefore, const std::string& aAfter)
{
  if (aBefore.empty()) {
    return { "first version" };
  }
  const auto before = ParseJsonText("", aBefore);
  const auto after = ParseJsonText("", aAfter);
  std::vector<std::string> lines =
    JsonDiff(Succeeded(before) ? ValueOf(before).mRoot : Json::Value(),
             Succeeded(after) ? ValueOf(after).mRoot : Json::Value());
  if (lines.empty()) {
    lines.emplace_back("only comments or layout");
  }
  return lines;
}

/// @return the error for a change whose author edited a version that is not in
///         force; names the last change of the document
Error
BaseVersionConflict(const TablePort& aTable,
                    const CurrentDocument& aCurrent,
                    std::uint64_t aBaseVersion)
{
  std::string message = aCurrent.mRow.mKey + " is at version " +
                        std::to_string(aCurrent.mVersion) +
                        ", not at version " + std::to_string(aBaseVersion) +
                        " that this change starts from; nothing was changed.";
  const Outcome<std::uint64_t> revision = CurrentRevision(aTable);
  if (Succeeded(revision)) {
    const auto last =
      LastChangeOfRow(aTable, ValueOf(revision), aCurrent.mRow.mKey);
    if (Succeeded(last) && ValueOf(last)) {
      message += "\nNow in force: " + Summary(*ValueOf(last));
    }
  }
  return Error{ ErrorKind::Conflict, message };
}

/// @return the service of another document that names the same team; empty if
///         there is none
Outcome<std::string>
OtherServiceOfTeam(const TablePort& aTable, const ServiceDocument& aDocument)
{
  const auto rows = aTable.mScan(kDocumentPrefix);
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  for (const TableRow& row : ValueOf(rows)) {
    const Outcome<ServiceDocument> otherService = ParseDocumentRow(row);
    if (Succeeded(otherService) &&
        ValueOf(otherService).mTeam == aDocument.mTeam &&
        ValueOf(otherService).mService != aDocument.mService) {
      return ValueOf(otherService).mService;
    }
  }
  return std::string();
}

} // namespace

Outcome<ChangePlan>
PlanServiceDocument(const TablePort& aTable, const ApplyRequest& aRequest)
{
  const Outcome<ServiceDocument> parsed =
    ParseServiceDocument(aRequest.mFile, aRequest.mText);
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const ServiceDocument& document = ValueOf(parsed);
  const std::string key = kDocumentPrefix + document.mService;
  const Outcome<TableRow> row = ReadRow(aTable, key);
  if (!Succeeded(row)) {
    return ErrorOf(row);
  }
  const Outcome<CurrentDocument> read = ParseCurrentDocument(ValueOf(row));
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  const CurrentDocument& current = ValueOf(read);
  ChangePlan plan;
  plan.mWhat =
    document.mService + " version " + std::to_string(current.mVersion);
  if (current.mText == aRequest.mText) {
    return plan;
  }
  if (aRequest.mBaseVersion && *aRequest.mBaseVersion != current.mVersion) {
    return BaseVersionConflict(aTable, current, *aRequest.mBaseVersion);
  }
  const Outcome<std::string> otherService =
    OtherServiceOfTeam(aTable, document);
  if (!Succeeded(otherService)) {
    return ErrorOf(otherService);
  }
  if (!ValueOf(otherService).empty()) {
    return Error{ ErrorKind::Conflict,
                  "team " + document.mTeam + " owns the document of service " +
                    ValueOf(otherService) +
                    " already; a team owns one document. Use another team "
                    "name in " +
                    aRequest.mFile + "." };
  }
  Json::Value value;
  value["version"] = Json::UInt64(current.mVersion + 1);
  value["text"] = aRequest.mText;
  plan.mWhat =
    document.mService + " version " + std::to_string(current.mVersion + 1);
  plan.mConditions = { { key, current.mRow.mVersion } };
  plan.mWrites = { { key, WriteJson(value) } };
  plan.mChanges = DescribeChanges(current.mText, aRequest.mText);
  return plan;
}

} // namespace paddle
