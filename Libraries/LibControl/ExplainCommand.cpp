#include <LibControl/ExplainCommand.h>

#include <LibControl/Sessions.h>
#include <LibControl/TimeText.h>
#include <LibDocument/DecisionSentence.h>

namespace paddle {

namespace {

/// @param aAnswer the answer to scheduler.explain
/// @return the present state of the job in one line
std::string
JobStateLine(const std::string& aJob, const Json::Value& aAnswer)
{
  std::string line = "Job " + aJob + " now: " +
                     aAnswer.get("state", "in an unknown state").asString();
  if (aAnswer["worker"].isString()) {
    line += " on " + aAnswer["worker"].asString();
  }
  if (aAnswer["explanation"].isString()) {
    line += "; " + aAnswer["explanation"].asString();
  }
  return line + "\n";
}

/// Asks the schedulers in turn until one knows the job.
/// @param aJson receives the answer
/// @return the present state of the job in one line; empty if no scheduler
///         knows the subject, for instance because it is a request
std::string
AskSchedulers(const ControlPorts& aPorts,
              const std::string& aSubject,
              Json::Value& aJson)
{
  const auto schedulers = ReadSessions(aPorts.mTable);
  if (!Succeeded(schedulers)) {
    return "";
  }
  Json::Value parameters;
  parameters["job"] = aSubject;
  for (const SessionView& session : ValueOf(schedulers)) {
    if (session.Member().mRole != "scheduler") {
      continue;
    }
    const auto answer =
      aPorts.mCall(session.mAddress, "scheduler.explain", parameters);
    if (!Succeeded(answer) || !ValueOf(answer).isObject()) {
      continue;
    }
    aJson["scheduler"] = ValueOf(answer);
    return JobStateLine(aSubject, ValueOf(answer));
  }
  return "";
}

/// @return a line that says how many records were searched and whether some
///         were left out
std::string
SearchedWindowText(const RecordWindow& aWindow, const RecordsRead& aRead)
{
  return "looked through " + std::to_string(aRead.mBatches) +
         " batches of records since " + TimeText(aWindow.mSince) +
         (aRead.mComplete ? ""
                          : "; the oldest were left out, raise --batches to "
                            "read them") +
         "\n";
}

/// @return the latest record about the subject, or null
const DecisionRecord*
LastRecordOf(const std::vector<DecisionRecord>& aRecords,
             const std::string& aSubject)
{
  const DecisionRecord* last = nullptr;
  for (const DecisionRecord& record : aRecords) {
    if (record.mSubject == aSubject) {
      last = &record;
    }
  }
  return last;
}

} // namespace

ControlResult
ExplainSubject(const ControlPorts& aPorts,
               const RecordWindow& aWindow,
               const std::string& aSubject,
               const std::string& aOther)
{
  const auto read =
    ReadRecords(aPorts.mObjects, aWindow, [&](const DecisionRecord& aRecord) {
      return aRecord.mSubject == aSubject ||
             (!aOther.empty() && aRecord.mSubject == aOther);
    });
  if (!Succeeded(read)) {
    return ReadFailure(ErrorOf(read));
  }
  ControlResult result;
  result.mJson["records"] = Json::Value(Json::arrayValue);
  const std::vector<DecisionRecord>& records = ValueOf(read).mRecords;
  for (const DecisionRecord& record : records) {
    result.mText += TimeText(record.mTime) + " " + record.mMember + ": " +
                    ExplainDecision(record) + "\n";
    result.mJson["records"].append(ToJson(record));
  }
  const DecisionRecord* subject = LastRecordOf(records, aSubject);
  const DecisionRecord* other = LastRecordOf(records, aOther);
  if (subject && other) {
    result.mText += CompareDecisions(*subject, *other) + "\n";
    result.mJson["comparison"] = CompareDecisions(*subject, *other);
  }
  const bool mayBeJob = !subject || subject->mSubjectKind == SubjectKind::Job;
  const std::string jobState =
    mayBeJob ? AskSchedulers(aPorts, aSubject, result.mJson) : "";
  result.mText += jobState;
  if (!subject && jobState.empty()) {
    result = ReadFailure({ ErrorKind::NotFound,
                           "no decision about " + aSubject +
                             " was found, and no scheduler knows it; " +
                             SearchedWindowText(aWindow, ValueOf(read)) +
                             "Go further back with --since TIME, or name the "
                             "process with --member." });
  }
  return result;
}

} // namespace paddle
