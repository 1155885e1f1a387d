#include <LibControl/ApplyCommand.h>

#include <LibBase/JsonReader.h>
#include <LibControl/CommitChange.h>
#include <LibControl/PlanPlacesDocument.h>
#include <LibControl/PlanServiceDocument.h>
#include <LibDocument/DocumentKind.h>

namespace paddle {

namespace {

/// Checks the document and selects the planner for its kind. The planner holds
/// references to the arguments.
/// @return an error if the document is invalid or of a kind that can't be
///         applied
Outcome<ChangePlanner>
PlannerFor(const ControlPorts& aPorts,
           const Author& aAuthor,
           const ApplyRequest& aRequest)
{
  const Outcome<DocumentKind> kind =
    CheckDocument(aRequest.mFile, aRequest.mText);
  if (!Succeeded(kind)) {
    return ErrorOf(kind);
  }
  switch (ValueOf(kind)) {
    case DocumentKind::Service:
      return ChangePlanner(
        [&] { return PlanServiceDocument(aPorts.mTable, aRequest); });
    case DocumentKind::Places:
      return ChangePlanner(
        [&] { return PlanPlacesDocument(aPorts.mTable, aAuthor, aRequest); });
    case DocumentKind::Job:
      return Error{ ErrorKind::InvalidInput,
                    aRequest.mFile + " is a job; use savorypaddle submit " +
                      aRequest.mFile };
    case DocumentKind::Settings:
      break;
  }
  return Error{ ErrorKind::InvalidInput,
                aRequest.mFile +
                  " holds settings of a process, which reads them from the "
                  "file when it starts; use savorypaddle check " +
                  aRequest.mFile };
}

ControlResult
Describe(const ChangeResult& aChange)
{
  ControlResult result;
  result.mJson["revision"] = Json::UInt64(aChange.mRevision);
  result.mJson["changed"] = aChange.mChanged;
  result.mJson["what"] = aChange.mPlan.mWhat;
  result.mJson["fields"] = Json::Value(Json::arrayValue);
  const std::string revision = std::to_string(aChange.mRevision);
  if (!aChange.mChanged) {
    result.mText = "unchanged: " + aChange.mPlan.mWhat +
                   " is in force already (revision " + revision + ")\n";
    return result;
  }
  result.mText =
    "accepted: " + aChange.mPlan.mWhat + " (revision " + revision + ")\n";
  for (const std::string& change : aChange.mPlan.mChanges) {
    result.mText += "  " + change + "\n";
    result.mJson["fields"].append(change);
  }
  return result;
}

} // namespace

ControlResult
ApplyDocument(const ControlPorts& aPorts,
              const Author& aAuthor,
              const ApplyRequest& aRequest)
{
  const Outcome<ChangePlanner> planner = PlannerFor(aPorts, aAuthor, aRequest);
  if (!Succeeded(planner)) {
    return ChangeFailure(ErrorOf(planner));
  }
  const Outcome<ChangeResult> accepted =
    CommitChange(aPorts, aAuthor, ValueOf(planner));
  if (!Succeeded(accepted)) {
    return ChangeFailure(ErrorOf(accepted));
  }
  return Describe(ValueOf(accepted));
}

ControlResult
CheckDocumentFile(std::string_view aFile, std::string_view aText)
{
  const Outcome<DocumentKind> kind = CheckDocument(aFile, aText);
  if (!Succeeded(kind)) {
    return ReadFailure(ErrorOf(kind));
  }
  ControlResult result;
  result.mText = std::string(aFile) + ": good " + ToText(ValueOf(kind)) + "\n";
  result.mJson["kind"] = ToText(ValueOf(kind));
  return result;
}

} // namespace paddle
