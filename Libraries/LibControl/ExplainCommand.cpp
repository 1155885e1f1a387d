#include <LibControl/ExplainCommand.h>

#include <LibControl/Sessions.h>
#include <LibControl/TimeText.h>
#include <LibDocument/DecisionSentence.h>

namespace paddle {

namespace {

/// @return the answer of scheduler.explain in a line
std::string
JobNow(const std::string& aJob, const Json::Value& aAnswer)
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

/// What the scheduler that holds the job says, if it is one.
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
    if (session.Self().mRole != "scheduler") {
      continue;
    }
    const auto answer =
      aPorts.mCall(session.mAddress, "scheduler.explain", parameters);
    if (!Succeeded(answer) || !ValueOf(answer).isObject()) {
      continue;
    }
    aJson["scheduler"] = ValueOf(answer);
    return JobNow(aSubject, ValueOf(answer));
  }
  return "";
}

std::string
LookedBack(const RecordWindow& aWindow, const RecordsRead& aRead)
{
  return "looked through " + std::to_string(aRead.mBatches) +
         " batches of records since " + TimeText(aWindow.mSince) +
         (aRead.mComplete ? ""
                          : "; the oldest were left out, raise --batches to "
                            "read them") +
         "\n";
}

const DecisionRecord*
LastOf(const std::vector<DecisionRecord>& aRecords, const std::string& aSubject)
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
  const DecisionRecord* subject = LastOf(records, aSubject);
  const DecisionRecord* other = LastOf(records, aOther);
  if (subject && other) {
    result.mText += CompareDecisions(*subject, *other) + "\n";
    result.mJson["comparison"] = CompareDecisions(*subject, *other);
  }
  const bool mayBeJob = !subject || subject->mSubjectKind == SubjectKind::Job;
  const std::string now =
    mayBeJob ? AskSchedulers(aPorts, aSubject, result.mJson) : "";
  result.mText += now;
  if (!subject && now.empty()) {
    result = ReadFailure({ ErrorKind::NotFound,
                           "no decision about " + aSubject +
                             " was found, and no scheduler knows it; " +
                             LookedBack(aWindow, ValueOf(read)) +
                             "Go further back with --since TIME, or name the "
                             "process with --member." });
  }
  return result;
}

} // namespace paddle
