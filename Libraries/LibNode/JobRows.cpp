#include <LibNode/JobRows.h>

#include <cstdint>
#include <json/value.h>
#include <memory>

#include <LibBase/JsonReader.h>
#include <LibDispatch/Dispatcher.h>

namespace paddle {

namespace {

using dispatch::JobPhase;
using dispatch::StepSpec;

/// Position of the end of the leases in the entry of a runner. The member
/// before it, the record of its runs, is null if there is none.
constexpr Json::ArrayIndex kLeasesEndPosition = 6;
/// Position of the flag that the record is final.
constexpr Json::ArrayIndex kRecordFinalPosition = 7;

// The Put functions leave out members that have their default value: rows are
// read and written often, and traffic to and from the store costs money.

void
PutNumber(Json::Value& aObject, const char* aName, std::int64_t aValue)
{
  if (aValue != 0) {
    aObject[aName] = Json::Int64(aValue);
  }
}

void
PutText(Json::Value& aObject, const char* aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aObject[aName] = aValue;
  }
}

void
PutFlag(Json::Value& aObject, const char* aName, bool aValue)
{
  if (aValue) {
    aObject[aName] = true;
  }
}

Json::Value
ToJson(const StepSpec& aStep)
{
  Json::Value value(Json::objectValue);
  PutNumber(value, "tasks", aStep.mTaskCount);
  PutNumber(value, "cores", aStep.mDemand.mMilliCores);
  PutNumber(value, "memory", aStep.mDemand.mMemoryMb);
  PutNumber(value, "accelerators", aStep.mDemand.mAccelerators);
  PutNumber(value, "estimate_ms", aStep.mEstimatedDuration.count());
  for (const std::uint32_t before : aStep.mPredecessors) {
    value["after"].append(before);
  }
  PutFlag(value, "lasting", aStep.mKind == dispatch::StepKind::LongRunning);
  PutFlag(
    value, "leftover", aStep.mReservation == dispatch::Reservation::BestEffort);
  PutFlag(value, "checkpoints", aStep.mWritesCheckpoints);
  PutFlag(value, "gang", aStep.mGang);
  PutFlag(value, "same_rack", aStep.mSameRack);
  PutFlag(value, "copies", aStep.mSpeculationAllowed);
  PutText(value, "label", aStep.mRequiredLabel);
  PutText(value, "data_rack", aStep.mDataRack);
  PutNumber(value, "most_per_runner", aStep.mMaxTasksPerRunner);
  PutNumber(value, "may_be_away", aStep.mMaxInterruptedTasks);
  PutFlag(value, "limits_interruptions", aStep.mLimitsInterruptions);
  PutText(value, "image", aStep.mImage);
  PutNumber(value, "tail_target_ms", aStep.mTailLatencyTarget.count());
  return value;
}

StepSpec
StepFromJson(const Json::Value& aValue)
{
  StepSpec step;
  step.mTaskCount = aValue["tasks"].asUInt();
  step.mDemand.mMilliCores = aValue["cores"].asInt64();
  step.mDemand.mMemoryMb = aValue["memory"].asInt64();
  step.mDemand.mAccelerators = aValue["accelerators"].asInt64();
  step.mEstimatedDuration = Millis(aValue["estimate_ms"].asInt64());
  for (const Json::Value& before : aValue["after"]) {
    step.mPredecessors.push_back(before.asUInt());
  }
  step.mKind = aValue["lasting"].asBool() ? dispatch::StepKind::LongRunning
                                          : dispatch::StepKind::Finite;
  step.mReservation = aValue["leftover"].asBool()
                        ? dispatch::Reservation::BestEffort
                        : dispatch::Reservation::Reserved;
  step.mWritesCheckpoints = aValue["checkpoints"].asBool();
  step.mGang = aValue["gang"].asBool();
  step.mSameRack = aValue["same_rack"].asBool();
  step.mSpeculationAllowed = aValue["copies"].asBool();
  step.mRequiredLabel = aValue["label"].asString();
  step.mDataRack = aValue["data_rack"].asString();
  step.mMaxTasksPerRunner = aValue["most_per_runner"].asUInt();
  step.mMaxInterruptedTasks = aValue["may_be_away"].asUInt();
  step.mLimitsInterruptions = aValue["limits_interruptions"].asBool();
  step.mImage = aValue["image"].asString();
  step.mTailLatencyTarget = Millis(aValue["tail_target_ms"].asInt64());
  return step;
}

const char*
NameOf(JobPhase aPhase)
{
  switch (aPhase) {
    case JobPhase::Active:
      return "active";
    case JobPhase::Cancelled:
      return "cancelled";
    case JobPhase::Failed:
      return "failed";
    case JobPhase::Completed:
      return "completed";
  }
  return "active";
}

/// @return the phase of that name; Active for an unknown name
JobPhase
PhaseFromName(std::string_view aName)
{
  for (const JobPhase phase :
       { JobPhase::Cancelled, JobPhase::Failed, JobPhase::Completed }) {
    if (aName == NameOf(phase)) {
      return phase;
    }
  }
  return JobPhase::Active;
}

} // namespace

std::string
FormatAcceptedJob(const AcceptedJob& aJob)
{
  Json::Value value(Json::objectValue);
  value["id"] = aJob.mSpec.mId;
  value["queue"] = aJob.mSpec.mQueue;
  value["payload"] = aJob.mSpec.mPayload;
  value["accepted_unix_ms"] = Json::Int64(aJob.mAcceptedUnixMs);
  PutNumber(value, "occurrences", aJob.mSpec.mOccurrences);
  PutNumber(value, "first_due_unix_ms", aJob.mSpec.mFirstDueMs);
  PutNumber(value, "interval_ms", aJob.mSpec.mIntervalMs);
  Json::Value steps(Json::arrayValue);
  for (const StepSpec& step : aJob.mSpec.mSteps) {
    steps.append(ToJson(step));
  }
  value["steps"] = steps;
  return WriteJson(value);
}

std::optional<AcceptedJob>
ParseAcceptedJob(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return {};
  }
  AcceptedJob job;
  job.mSpec.mId = (*value)["id"].asString();
  job.mSpec.mQueue = (*value)["queue"].asString();
  job.mSpec.mPayload = (*value)["payload"].asString();
  job.mAcceptedUnixMs = (*value)["accepted_unix_ms"].asInt64();
  job.mSpec.mOccurrences = (*value)["occurrences"].asUInt();
  job.mSpec.mFirstDueMs = (*value)["first_due_unix_ms"].asInt64();
  job.mSpec.mIntervalMs = (*value)["interval_ms"].asInt64();
  for (const Json::Value& step : (*value)["steps"]) {
    job.mSpec.mSteps.push_back(StepFromJson(step));
  }
  return job;
}

std::optional<LimitViolation>
FindJobViolation(const dispatch::JobSpec& aJob, const StoreLimits& aLimits)
{
  const std::size_t bytes = FormatAcceptedJob({ aJob, INT64_MAX }).size();
  if (bytes > aLimits.mRowBytes) {
    return LimitViolation{
      "row_bytes", "accepted/" + aJob.mId, bytes, aLimits.mRowBytes
    };
  }
  return {};
}

std::string
FormatStatus(const JobStatus& aStatus)
{
  Json::Value value(Json::objectValue);
  value["shard"] = aStatus.mShard;
  value["queue"] = aStatus.mQueue;
  value["phase"] = NameOf(aStatus.mPhase);
  PutFlag(value, "began", aStatus.mBegan);
  return WriteJson(value);
}

std::optional<JobStatus>
ParseStatus(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return {};
  }
  return JobStatus{ (*value)["shard"].asUInt(),
                    (*value)["queue"].asString(),
                    PhaseFromName((*value)["phase"].asString()),
                    (*value)["began"].asBool() };
}

std::string
FormatProgress(const dispatch::JobProgress& aProgress)
{
  Json::Value value(Json::objectValue);
  value["phase"] = NameOf(aProgress.mPhase);
  PutFlag(value, "began", aProgress.mBegan);
  PutNumber(value, "occurrences_begun", aProgress.mOccurrencesBegun);
  PutNumber(value, "occurrences_done", aProgress.mOccurrencesDone);
  for (const auto& [number, steps] : aProgress.mOccurrences) {
    Json::Value list(Json::arrayValue);
    for (const dispatch::StepProgress& step : steps) {
      Json::Value entry(Json::objectValue);
      std::string done;
      for (const bool taskDone : step.mDone) {
        done += taskDone ? '1' : '0';
      }
      entry["done"] = done;
      for (const auto& [index, runs] : step.mFailedRuns) {
        for (const std::int64_t run : runs) {
          entry["failed_runs"][std::to_string(index)].append(Json::Int64(run));
        }
      }
      for (const auto& [index, saved] : step.mCheckpoints) {
        entry["saved"][std::to_string(index)] = saved;
      }
      list.append(entry);
    }
    value["occurrences"][std::to_string(number)] = list;
  }
  return WriteJson(value);
}

std::optional<dispatch::JobProgress>
ParseProgress(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return {};
  }
  dispatch::JobProgress progress;
  progress.mPhase = PhaseFromName((*value)["phase"].asString());
  progress.mBegan = (*value)["began"].asBool();
  progress.mOccurrencesBegun = (*value)["occurrences_begun"].asUInt();
  progress.mOccurrencesDone = (*value)["occurrences_done"].asUInt();
  const Json::Value& occurrences = (*value)["occurrences"];
  if (!occurrences.isObject()) {
    return progress;
  }
  const auto indexOf = [](const std::string& aName) {
    return static_cast<std::uint32_t>(std::strtoul(aName.c_str(), nullptr, 10));
  };
  for (const std::string& name : occurrences.getMemberNames()) {
    std::vector<dispatch::StepProgress>& steps =
      progress.mOccurrences[indexOf(name)];
    for (const Json::Value& entry : occurrences[name]) {
      dispatch::StepProgress step;
      for (const char done : entry["done"].asString()) {
        step.mDone.push_back(done == '1');
      }
      const Json::Value& failedRuns = entry["failed_runs"];
      if (failedRuns.isObject()) {
        for (const std::string& index : failedRuns.getMemberNames()) {
          for (const Json::Value& run : failedRuns[index]) {
            step.mFailedRuns[indexOf(index)].push_back(run.asInt64());
          }
        }
      }
      const Json::Value& saved = entry["saved"];
      if (saved.isObject()) {
        for (const std::string& index : saved.getMemberNames()) {
          step.mCheckpoints.emplace(indexOf(index), saved[index].asString());
        }
      }
      steps.push_back(std::move(step));
    }
  }
  return progress;
}

std::string
FormatRunners(std::span<const dispatch::InheritedRunner> aRunners,
              const StoreClock& aClock)
{
  Json::Value value(Json::objectValue);
  for (const dispatch::InheritedRunner& runner : aRunners) {
    Json::Value entry(Json::arrayValue);
    entry.append(runner.mSpec.mAddress);
    entry.append(runner.mSpec.mService);
    entry.append(runner.mSpec.mDataCentre);
    entry.append(runner.mSpec.mRack);
    entry.append(Json::Int64(runner.mSpec.mIncarnation));
    if (runner.mPossibleRuns) {
      Json::Value runs(Json::arrayValue);
      for (const dispatch::PossibleRun& run : *runner.mPossibleRuns) {
        runs.append(dispatch::FormatTaskName(run.mTask));
        runs.append(Json::Int64(run.mRun));
      }
      entry.append(runs);
    }
    const std::optional<std::int64_t> leasesEndMs =
      runner.mLeasesExpireAt ? LatestStoreTime(aClock, *runner.mLeasesExpireAt)
                             : std::nullopt;
    if (leasesEndMs) {
      entry[kLeasesEndPosition] = Json::Int64(*leasesEndMs);
    }
    if (runner.mRecordFinal) {
      entry[kRecordFinalPosition] = true;
    }
    value[runner.mSpec.mId] = entry;
  }
  return WriteJson(value);
}

std::vector<dispatch::InheritedRunner>
ParseRunners(std::string_view aText, const StoreClock& aClock)
{
  std::vector<dispatch::InheritedRunner> runners;
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return runners;
  }
  for (const std::string& id : value->getMemberNames()) {
    const Json::Value& entry = (*value)[id];
    if (!entry.isArray() || entry.size() < 5) {
      continue;
    }
    dispatch::InheritedRunner runner;
    runner.mSpec.mId = id;
    runner.mSpec.mAddress = entry[0].asString();
    runner.mSpec.mService = entry[1].asString();
    runner.mSpec.mDataCentre = entry[2].asString();
    runner.mSpec.mRack = entry[3].asString();
    runner.mSpec.mIncarnation = entry[4].asInt64();
    if (entry.size() > 5 && entry[5].isArray()) {
      runner.mPossibleRuns.emplace();
      for (Json::ArrayIndex i = 0; i + 1 < entry[5].size(); i += 2) {
        const std::optional<dispatch::TaskName> task =
          dispatch::ParseTaskName(entry[5][i].asString());
        if (task) {
          runner.mPossibleRuns->push_back({ *task, entry[5][i + 1].asInt64() });
        }
      }
    }
    // Rows of earlier versions have no lease end.
    if (entry.size() > kLeasesEndPosition &&
        entry[kLeasesEndPosition].isIntegral()) {
      runner.mLeasesExpireAt =
        TimeReached(aClock, entry[kLeasesEndPosition].asInt64());
    }
    runner.mRecordFinal = entry.size() > kRecordFinalPosition &&
                          entry[kRecordFinalPosition].isBool() &&
                          entry[kRecordFinalPosition].asBool();
    runners.push_back(std::move(runner));
  }
  return runners;
}

} // namespace paddle
