#include <LibControl/JobCommands.h>

#include <LibBase/JsonReader.h>
#include <LibControl/Sessions.h>
#include <LibDocument/JobDocument.h>

namespace paddle {

namespace {

/// @return the document with the job id replaced by @p aJob; the text unchanged
///         if @p aJob is empty or the text is not a JSON object
std::string
WithJobId(const std::string& aText, const std::string& aJob)
{
  const Outcome<JsonText> parsed = ParseJsonText("", aText);
  if (aJob.empty() || !Succeeded(parsed) || !ValueOf(parsed).mRoot.isObject()) {
    return aText;
  }
  Json::Value root = ValueOf(parsed).mRoot;
  root["job"] = aJob;
  return WriteJson(root);
}

/// @param aText what was done
/// @param aAnswer the scheduler's answer; a state in it is shown after the text
ControlResult
AnswerResult(const std::string& aText, const Json::Value& aAnswer)
{
  ControlResult result;
  result.mText = aText + "\n";
  result.mJson = aAnswer;
  if (aAnswer.isObject() && aAnswer["state"].isString()) {
    result.mText = aText + " (" + aAnswer["state"].asString() + ")\n";
  }
  return result;
}

/// Turns an error that a scheduler returned into a result. InvalidInput becomes
/// a refusal: the exit code for bad input is only for arguments that the
/// command itself rejects.
ControlResult
SchedulerFailure(Error aError)
{
  if (aError.mKind == ErrorKind::InvalidInput) {
    aError.mKind = ErrorKind::Conflict;
  }
  return ChangeFailure(aError);
}

} // namespace

ControlResult
SubmitJob(const ControlPorts& aPorts,
          const std::string& aFile,
          const std::string& aText,
          const std::string& aJob)
{
  const std::string text = WithJobId(aText, aJob);
  const Outcome<JobDocument> job = ParseJobDocument(aFile, text);
  if (!Succeeded(job)) {
    return ChangeFailure(ErrorOf(job));
  }
  Json::Value parameters;
  parameters["text"] = text;
  const auto answer = CallAnyScheduler(aPorts, "scheduler.submit", parameters);
  if (!Succeeded(answer)) {
    return SchedulerFailure(ErrorOf(answer));
  }
  return AnswerResult("accepted: job " + ValueOf(job).mJobId, ValueOf(answer));
}

ControlResult
CancelJob(const ControlPorts& aPorts,
          const Author& aAuthor,
          const std::string& aJob)
{
  Json::Value parameters;
  parameters["job"] = aJob;
  parameters["why"] = aAuthor.mWho + ": " + aAuthor.mWhy;
  const auto answer = CallAnyScheduler(aPorts, "scheduler.cancel", parameters);
  if (!Succeeded(answer)) {
    return SchedulerFailure(ErrorOf(answer));
  }
  return AnswerResult("cancelled: job " + aJob, ValueOf(answer));
}

} // namespace paddle
