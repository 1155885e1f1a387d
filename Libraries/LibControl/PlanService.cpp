#include <LibControl/PlanService.h>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibControl/AuditTrail.h>
#include <LibControl/JsonDiff.h>
#include <LibDocument/ServiceDocument.h>

namespace paddle {

namespace {

/// The document in force.
struct Present
{
  TableRow mRow;
  std::uint64_t mVersion = 0;
  std::string mText;
};

Outcome<Present>
ParsePresent(const TableRow& aRow)
{
  if (aRow.mVersion == 0) {
    return Present{ aRow, 0, "" };
  }
  const Outcome<std::string> text = DocumentText(aRow);
  if (!Succeeded(text)) {
    return ErrorOf(text);
  }
  const Outcome<JsonText> row = ParseJsonText(aRow.mKey, aRow.mValue);
  return Present{ aRow,
                  ValueOf(row).mRoot["version"].asUInt64(),
                  ValueOf(text) };
}

std::vector<std::string>
Changes(const std::string& aBefore, const std::string& aAfter)
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

Error
NotTheVersionExpected(const TablePort& aTable,
                      const Present& aPresent,
                      std::uint64_t aFrom)
{
  std::string message = aPresent.mRow.mKey + " is at version " +
                        std::to_string(aPresent.mVersion) +
                        ", not at version " + std::to_string(aFrom) +
                        " that this change starts from; nothing was changed.";
  const Outcome<std::uint64_t> revision = CurrentRevision(aTable);
  if (Succeeded(revision)) {
    const auto last =
      LastChangeOf(aTable, ValueOf(revision), aPresent.mRow.mKey);
    if (Succeeded(last) && ValueOf(last)) {
      message += "\nNow in force: " + Summary(*ValueOf(last));
    }
  }
  return Error{ ErrorKind::Conflict, message };
}

/// @return the service of another document that this team owns, if any
Outcome<std::string>
OtherDocumentOf(const TablePort& aTable, const ServiceDocument& aDocument)
{
  const auto rows = aTable.mScan(kDocumentPrefix);
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  for (const TableRow& row : ValueOf(rows)) {
    const Outcome<ServiceDocument> other = ParseDocumentRow(row);
    if (Succeeded(other) && ValueOf(other).mTeam == aDocument.mTeam &&
        ValueOf(other).mService != aDocument.mService) {
      return ValueOf(other).mService;
    }
  }
  return std::string();
}

} // namespace

Outcome<ChangePlan>
PlanService(const TablePort& aTable, const ApplyRequest& aRequest)
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
  const Outcome<Present> read = ParsePresent(ValueOf(row));
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  const Present& present = ValueOf(read);
  ChangePlan plan;
  plan.mWhat =
    document.mService + " version " + std::to_string(present.mVersion);
  if (present.mText == aRequest.mText) {
    return plan;
  }
  if (aRequest.mFrom && *aRequest.mFrom != present.mVersion) {
    return NotTheVersionExpected(aTable, present, *aRequest.mFrom);
  }
  const Outcome<std::string> other = OtherDocumentOf(aTable, document);
  if (!Succeeded(other)) {
    return ErrorOf(other);
  }
  if (!ValueOf(other).empty()) {
    return Error{ ErrorKind::Conflict,
                  "team " + document.mTeam + " owns the document of service " +
                    ValueOf(other) +
                    " already; a team owns one document. Use another team "
                    "name in " +
                    aRequest.mFile + "." };
  }
  Json::Value value;
  value["version"] = Json::UInt64(present.mVersion + 1);
  value["text"] = aRequest.mText;
  plan.mWhat =
    document.mService + " version " + std::to_string(present.mVersion + 1);
  plan.mConditions = { { key, present.mRow.mVersion } };
  plan.mWrites = { { key, WriteJson(value) } };
  plan.mChanges = Changes(present.mText, aRequest.mText);
  return plan;
}

} // namespace paddle
