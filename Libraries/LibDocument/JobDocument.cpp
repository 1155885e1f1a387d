#include <LibDocument/JobDocument.h>

#include <LibBase/JsonReader.h>
#include <LibDocument/DocumentFields.h>

namespace paddle {

Outcome<JobDocument>
ParseJobDocument(std::string_view aFile, std::string_view aText)
{
  // The limit is 30 days.
  constexpr std::int64_t kMaxExpectedSeconds = 30LL * 24 * 3600;
  const Outcome<JsonText> parsed = ParseJsonText(aFile, std::string(aText));
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const JsonText& text = ValueOf(parsed);
  std::vector<std::string> errors;
  ObjectReader reader(text, text.mRoot, "", errors);
  JobDocument job;
  job.mJobId = ReadName(reader, "job", Presence::Required);
  job.mTeam = ReadName(reader, "team", Presence::Required);
  const std::string kind =
    reader.Choice("class", { "batch", "urgent" }, Presence::Optional, "batch");
  job.mClass = kind == "urgent" ? JobClass::Urgent : JobClass::Batch;
  job.mSize = ReadResources(text, reader, "size", kTaskLimits, errors);
  job.mExpectedRunTime = Seconds(reader.Integer(
    "expectedSeconds", 1, kMaxExpectedSeconds, Presence::Required));
  job.mDataCentres = reader.TextList("dataCentres", Presence::Optional);
  reader.Finish();
  if (!errors.empty()) {
    return JoinErrors(errors);
  }
  return job;
}

} // namespace paddle
