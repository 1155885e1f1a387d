#include <LibScheduler/JobRows.h>

#include <LibBase/JsonReader.h>
#include <LibScheduler/WorkerJson.h>

namespace paddle {

namespace {

TaskClass
ClassFromName(const std::string& aName)
{
  return aName == "service"  ? TaskClass::Service
         : aName == "urgent" ? TaskClass::Urgent
                             : TaskClass::Batch;
}

/// Parses the JSON text of a row and converts it. A member of the wrong type
/// makes the result an error.
/// @param aKind what the row is, for the error's message
template<typename Row, typename Convert>
Outcome<Row>
ParseRow(const char* aKind, const std::string& aText, Convert aConvert)
{
  const Outcome<JsonText> parsed = ParseJsonText(aKind, aText);
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    return aConvert(ValueOf(parsed).mRoot);
  } catch (const Json::Exception& e) {
    return Error{ ErrorKind::Internal,
                  std::string("malformed ") + aKind + ": " + e.what() };
  }
}

} // namespace

std::string
JobPrefix(std::string_view aShard)
{
  return "job/" + std::string(aShard) + "/";
}

std::string
JobKey(std::string_view aShard, std::string_view aJob)
{
  return JobPrefix(aShard) + std::string(aJob);
}

std::string
JobIdKey(std::string_view aJob)
{
  return "jobid/" + std::string(aJob);
}

const char*
ClassName(TaskClass aClass)
{
  switch (aClass) {
    case TaskClass::Service:
      return "service";
    case TaskClass::Urgent:
      return "urgent";
    case TaskClass::Batch:
      break;
  }
  return "batch";
}

const char*
PhaseName(JobPhase aPhase)
{
  switch (aPhase) {
    case JobPhase::Reconciling:
      return "doubtful";
    case JobPhase::Queued:
      return "queued";
    case JobPhase::Starting:
      return "starting";
    case JobPhase::Running:
      return "running";
    case JobPhase::Evicting:
      return "evicting";
    case JobPhase::Committing:
      return "recording";
    case JobPhase::Completed:
      return "ended";
    case JobPhase::Cancelled:
      return "cancelled";
    case JobPhase::Held:
      return "held";
    case JobPhase::Moving:
      break;
  }
  return "moving";
}

std::string
JobRowText(const JobRow& aRow)
{
  const JobSpec& spec = aRow.mSpec;
  Json::Value row(Json::objectValue);
  row["job"] = spec.mJob;
  row["team"] = spec.mTeam;
  row["class"] = ClassName(spec.mClass);
  row["declared"] = ToJson(spec.mDeclared);
  row["expectedSeconds"] = Json::Int64(spec.mExpectedTime.count());
  row["dataCentres"] = Json::Value(Json::arrayValue);
  for (const std::string& dataCentre : spec.mDataCentres) {
    row["dataCentres"].append(dataCentre);
  }
  row["attempt"] = aRow.mAttempt;
  row["checkpoint"] = aRow.mCheckpoint;
  row["checkpointAttempt"] = aRow.mCheckpointAttempt;
  row["cancelRequested"] = aRow.mCancelRequested;
  return WriteJson(row);
}

Outcome<JobRow>
ParseJobRow(const std::string& aText)
{
  return ParseRow<JobRow>("job row", aText, [](const Json::Value& aRow) {
    JobRow row;
    row.mSpec.mJob = aRow["job"].asString();
    row.mSpec.mTeam = aRow["team"].asString();
    row.mSpec.mClass = ClassFromName(aRow["class"].asString());
    row.mSpec.mDeclared = ResourceVectorFromJson(aRow["declared"]);
    row.mSpec.mExpectedTime = Seconds(aRow["expectedSeconds"].asInt64());
    for (const Json::Value& dataCentre : aRow["dataCentres"]) {
      row.mSpec.mDataCentres.push_back(dataCentre.asString());
    }
    row.mAttempt = aRow["attempt"].asUInt();
    row.mCheckpoint = aRow["checkpoint"].asString();
    row.mCheckpointAttempt = aRow["checkpointAttempt"].asUInt();
    row.mCancelRequested = aRow["cancelRequested"].asBool();
    return row;
  });
}

std::string
JobIdRowText(const JobIdRow& aRow)
{
  Json::Value row(Json::objectValue);
  row["shard"] = aRow.mShard;
  row["state"] = aRow.mState;
  row["reason"] = aRow.mReason;
  row["attempt"] = aRow.mAttempt;
  return WriteJson(row);
}

Outcome<JobIdRow>
ParseJobIdRow(const std::string& aText)
{
  return ParseRow<JobIdRow>("job id row", aText, [](const Json::Value& aRow) {
    return JobIdRow{ aRow["shard"].asString(),
                     aRow["state"].asString(),
                     aRow["reason"].asString(),
                     aRow["attempt"].asUInt() };
  });
}

} // namespace paddle
