#include <LibNode/JobRows.h>

#include <algorithm>
#include <cstdint>
#include <json/value.h>
#include <memory>

#include <LibBase/JsonReader.h>
#include <LibDispatch/Dispatcher.h>
#include <LibNode/ShardState.h>

namespace paddle {

namespace {

using dispatch::JobPhase;
using dispatch::StepSpec;

/// Position of the end of the leases in the entry of a runner. The member
/// before it, the record of its runs, is null if there is none.
constexpr Json::ArrayIndex kLeasesEndPosition = 6;
/// Position of the flag that the record is final.
constexpr Json::ArrayIndex kRecordFinalPosition = 7;
/// Position of the runner's capacity, which earlier versions don't read.
constexpr Json::ArrayIndex kCapacityPosition = 8;

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

/// @return the entry of a runner in the list
Json::Value
EntryToJson(const dispatch::InheritedRunner& aRunner, const StoreClock& aClock)
{
  Json::Value entry(Json::arrayValue);
  entry.append(aRunner.mSpec.mAddress);
  entry.append(aRunner.mSpec.mService);
  entry.append(aRunner.mSpec.mDataCentre);
  entry.append(aRunner.mSpec.mRack);
  entry.append(Json::Int64(aRunner.mSpec.mIncarnation));
  if (aRunner.mPossibleRuns) {
    entry.append(RunsToJson(*aRunner.mPossibleRuns));
  }
  const std::optional<std::int64_t> leasesEndMs =
    aRunner.mLeasesExpireAt ? LatestStoreTime(aClock, *aRunner.mLeasesExpireAt)
                            : std::nullopt;
  if (leasesEndMs) {
    entry[kLeasesEndPosition] = Json::Int64(*leasesEndMs);
  }
  if (aRunner.mRecordFinal) {
    entry[kRecordFinalPosition] = true;
  }
  const dispatch::Resources& capacity = aRunner.mSpec.mCapacity;
  if (capacity != dispatch::Resources{}) {
    for (const auto of : dispatch::kResourceMembers) {
      entry[kCapacityPosition].append(Json::Int64(capacity.*of));
    }
  }
  return entry;
}

/// Digits of the compact form of failed runs. None of them is escaped in JSON.
constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// A digit holds five bits of a number; the sixth tells that more follow.
constexpr int kBitsPerDigit = 5;
constexpr std::uint64_t kDigitMask = (1U << kBitsPerDigit) - 1;
/// Largest values in the compact form, which take 2 and 6 digits. 2^30 runs
/// are those of 1,024 epochs.
constexpr std::uint64_t kMaxFailureCount = (1U << 10) - 1;
constexpr std::uint64_t kMaxRunDistance = (1U << 30) - 1;

/// How the failed runs of a job are stored.
enum class FailedRuns
{
  Listed, ///< All numbers. Versions before the compact form read only this.
  Compact ///< For each task, the number of failed runs and the last one.
};

void
AppendNumber(std::string& aText, std::uint64_t aNumber)
{
  for (; aNumber > kDigitMask; aNumber >>= kBitsPerDigit) {
    aText += kDigits[(aNumber & kDigitMask) + kDigitMask + 1];
  }
  aText += kDigits[aNumber];
}

/// Takes a number that AppendNumber() wrote from the beginning of a text.
/// @return nothing if there is none
std::optional<std::uint64_t>
TakeNumber(std::string_view& aText)
{
  std::uint64_t number = 0;
  for (int shift = 0; !aText.empty() && shift < 60; shift += kBitsPerDigit) {
    const std::size_t digit = kDigits.find(aText.front());
    if (digit == std::string_view::npos) {
      return {};
    }
    aText.remove_prefix(1);
    number |= (digit & kDigitMask) << shift;
    if (digit <= kDigitMask) {
      return number;
    }
  }
  return {};
}

std::int64_t
LastOf(const std::vector<std::int64_t>& aRuns)
{
  return *std::max_element(aRuns.begin(), aRuns.end());
}

/// @return the highest number of a failed run, or 0 if none has failed
std::int64_t
LastFailedRun(const dispatch::JobProgress& aProgress)
{
  std::int64_t last = 0;
  for (const auto& [number, steps] : aProgress.mOccurrences) {
    for (const dispatch::StepProgress& step : steps) {
      for (const auto& [index, runs] : step.mFailedRuns) {
        last = std::max(last, LastOf(runs));
      }
    }
  }
  return last;
}

/// @param aLastRun the highest number of a failed run of the job
/// @return three numbers for each task with failed runs: the distance from the
///         index of the task before, the number of failed runs, and the
///         distance of the last one from aLastRun
std::string
FormatCompactRuns(const dispatch::StepProgress& aStep, std::int64_t aLastRun)
{
  std::string text;
  std::uint32_t next = 0;
  for (const auto& [index, runs] : aStep.mFailedRuns) {
    AppendNumber(text, index - next);
    AppendNumber(text, std::min<std::uint64_t>(runs.size(), kMaxFailureCount));
    AppendNumber(text,
                 std::min(static_cast<std::uint64_t>(aLastRun - LastOf(runs)),
                          kMaxRunDistance));
    next = index + 1;
  }
  return text;
}

/// Adds the failed runs that FormatCompactRuns() wrote to those of the step. A
/// malformed text ends early.
void
ReadCompactRuns(std::string_view aText,
                std::int64_t aLastRun,
                dispatch::StepProgress& aStep)
{
  std::uint64_t next = 0;
  while (!aText.empty()) {
    const std::optional<std::uint64_t> skipped = TakeNumber(aText);
    const std::optional<std::uint64_t> count = TakeNumber(aText);
    const std::optional<std::uint64_t> distance = TakeNumber(aText);
    if (!skipped || !count || !distance || *count == 0 ||
        *count > kMaxFailureCount || *distance > kMaxRunDistance ||
        next + *skipped >= aStep.mDone.size()) {
      return;
    }
    std::vector<std::int64_t>& runs =
      aStep.mFailedRuns[static_cast<std::uint32_t>(next + *skipped)];
    runs.assign(*count, dispatch::kUnlistedRun);
    runs.back() = aLastRun - static_cast<std::int64_t>(*distance);
    next += *skipped + 1;
  }
}

/// @return the index that is the name of a member
std::uint32_t
IndexOf(const std::string& aName)
{
  return static_cast<std::uint32_t>(std::strtoul(aName.c_str(), nullptr, 10));
}

/// Reads checkpoints by the index of their task.
void
ReadCheckpoints(const Json::Value& aSaved,
                std::map<std::uint32_t, std::string>& aCheckpoints)
{
  if (!aSaved.isObject()) {
    return;
  }
  for (const std::string& index : aSaved.getMemberNames()) {
    aCheckpoints.emplace(IndexOf(index), aSaved[index].asString());
  }
}

/// Adds the tasks that other shards have: for each of these shards its number
/// and a digit for each task. Versions that don't know of them must not start
/// them, so they count as done as well.
void
PutElsewhere(Json::Value& aEntry,
             const dispatch::StepProgress& aStep,
             std::string& aDone)
{
  std::map<std::uint32_t, std::string> digits;
  for (const auto& [index, shard] : aStep.mElsewhere) {
    std::string& ofShard = digits[shard];
    ofShard.resize(aDone.size(), '0');
    ofShard.at(index) = '1';
  }
  for (const auto& [index, shard] : aStep.mElsewhere) {
    aDone.at(index) = '1';
  }
  for (const auto& [shard, tasks] : digits) {
    Json::Value pair(Json::arrayValue);
    pair.append(shard);
    pair.append(tasks);
    aEntry["elsewhere"].append(pair);
  }
}

/// Reads the tasks that PutElsewhere() has added, after the flags of those that
/// are done.
void
ReadElsewhere(const Json::Value& aEntry, dispatch::StepProgress& aStep)
{
  for (const Json::Value& pair : aEntry["elsewhere"]) {
    const std::uint32_t shard = pair[0].asUInt();
    const std::string tasks = pair[1].asString();
    const std::size_t count = std::min(tasks.size(), aStep.mDone.size());
    for (std::uint32_t i = 0; i < count; ++i) {
      if (tasks[i] == '1') {
        aStep.mDone[i] = false;
        aStep.mElsewhere.emplace(i, shard);
      }
    }
  }
}

/// @return the progress without the checkpoints
Json::Value
ProgressToJson(const dispatch::JobProgress& aProgress, FailedRuns aForm)
{
  Json::Value value(Json::objectValue);
  value["phase"] = NameOf(aProgress.mPhase);
  PutFlag(value, "began", aProgress.mBegan);
  PutNumber(value, "occurrences_begun", aProgress.mOccurrencesBegun);
  PutNumber(value, "occurrences_done", aProgress.mOccurrencesDone);
  const std::int64_t lastRun =
    aForm == FailedRuns::Compact ? LastFailedRun(aProgress) : 0;
  PutNumber(value, "last_failed_run", lastRun);
  if (aProgress.mHomeShard) {
    value["home"] = *aProgress.mHomeShard;
  }
  for (const auto& [number, steps] : aProgress.mOccurrences) {
    Json::Value list(Json::arrayValue);
    for (const dispatch::StepProgress& step : steps) {
      Json::Value entry(Json::objectValue);
      std::string done;
      for (const bool taskDone : step.mDone) {
        done += taskDone ? '1' : '0';
      }
      PutElsewhere(entry, step, done);
      entry["done"] = done;
      if (aForm == FailedRuns::Compact) {
        PutText(entry, "failed", FormatCompactRuns(step, lastRun));
      } else {
        for (const auto& [index, runs] : step.mFailedRuns) {
          Json::Value& listed = entry["failed_runs"][std::to_string(index)];
          for (const std::int64_t run : runs) {
            listed.append(Json::Int64(run));
          }
        }
      }
      list.append(entry);
    }
    value["occurrences"][std::to_string(number)] = list;
  }
  return value;
}

/// Adds the checkpoints, in the order of the tasks, that fit into a number of
/// bytes.
/// @param aValue what ProgressToJson() has returned
void
AddCheckpoints(Json::Value& aValue,
               const dispatch::JobProgress& aProgress,
               std::size_t aBytes)
{
  constexpr std::size_t kMemberBytes = 11; // Of ,"saved":{}
  constexpr std::size_t kEntryBytes = 4;   // Of "": and the comma
  for (const auto& [number, steps] : aProgress.mOccurrences) {
    Json::Value& list = aValue["occurrences"][std::to_string(number)];
    for (Json::ArrayIndex i = 0; i < steps.size(); ++i) {
      std::size_t memberBytes = kMemberBytes;
      for (const auto& [index, checkpoint] : steps[i].mCheckpoints) {
        const std::string name = std::to_string(index);
        const std::size_t bytes =
          memberBytes + kEntryBytes + name.size() +
          (aBytes == SIZE_MAX ? 0 : WriteJson(checkpoint).size());
        if (bytes <= aBytes) {
          list[i]["saved"][name] = checkpoint;
          memberBytes = 0;
          aBytes -= aBytes == SIZE_MAX ? 0 : bytes;
        }
      }
    }
  }
}

} // namespace

std::string
FormatAcceptedJob(const AcceptedJob& aJob)
{
  Json::Value value(Json::objectValue);
  value["id"] = aJob.mSpec.mId;
  value["queue"] = aJob.mSpec.mQueue;
  PutText(value, "account", aJob.mSpec.mAccount);
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
  PutNumber(value, "moves", aJob.mMoves);
  if (aJob.mProgress) {
    value["progress"] =
      ParseJsonObject(FormatProgress(*aJob.mProgress)).value_or(Json::Value());
  }
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
  job.mSpec.mAccount = (*value)["account"].asString();
  job.mSpec.mPayload = (*value)["payload"].asString();
  job.mAcceptedUnixMs = (*value)["accepted_unix_ms"].asInt64();
  job.mSpec.mOccurrences = (*value)["occurrences"].asUInt();
  job.mSpec.mFirstDueMs = (*value)["first_due_unix_ms"].asInt64();
  job.mSpec.mIntervalMs = (*value)["interval_ms"].asInt64();
  for (const Json::Value& step : (*value)["steps"]) {
    job.mSpec.mSteps.push_back(StepFromJson(step));
  }
  job.mMoves = (*value)["moves"].asUInt();
  if ((*value)["progress"].isObject()) {
    job.mProgress = ParseProgress(WriteJson((*value)["progress"]));
  }
  return job;
}

std::optional<LimitViolation>
FindJobViolation(const dispatch::JobSpec& aJob, const StoreLimits& aLimits)
{
  const std::size_t bytes = FormatAcceptedJob({ aJob, INT64_MAX }).size();
  if (bytes > aLimits.mRowBytes) {
    return LimitViolation{
      "row_bytes", kAcceptedPrefix + aJob.mId, bytes, aLimits.mRowBytes
    };
  }
  const std::size_t progress = dispatch::ProgressBytesBound(aJob, 1);
  if (progress > aLimits.mRowBytes) {
    return LimitViolation{
      "row_bytes", kJobPrefix + aJob.mId, progress, aLimits.mRowBytes
    };
  }
  return {};
}

std::string
FormatTaskHandOver(const TaskHandOver& aTasks)
{
  Json::Value value(Json::objectValue);
  value["job"] = aTasks.mJob;
  value["from"] = aTasks.mFromShard;
  value["step"] = aTasks.mStep;
  value["tasks"] = Json::Value(Json::arrayValue);
  for (const std::uint32_t index : aTasks.mTasks) {
    value["tasks"].append(index);
  }
  for (const auto& [index, checkpoint] : aTasks.mCheckpoints) {
    value["saved"][std::to_string(index)] = checkpoint;
  }
  return WriteJson(value);
}

std::optional<TaskHandOver>
ParseTaskHandOver(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return {};
  }
  TaskHandOver handOver;
  handOver.mJob = (*value)["job"].asString();
  handOver.mFromShard = (*value)["from"].asUInt();
  handOver.mStep = (*value)["step"].asUInt();
  for (const Json::Value& index : (*value)["tasks"]) {
    handOver.mTasks.push_back(index.asUInt());
  }
  ReadCheckpoints((*value)["saved"], handOver.mCheckpoints);
  return handOver;
}

std::string
FormatStatus(const JobStatus& aStatus)
{
  Json::Value value(Json::objectValue);
  value["shard"] = aStatus.mShard;
  value["queue"] = aStatus.mQueue;
  value["phase"] = NameOf(aStatus.mPhase);
  PutFlag(value, "began", aStatus.mBegan);
  PutFlag(value, "tombstone", aStatus.mTombstone);
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
                    (*value)["began"].asBool(),
                    (*value)["tombstone"].asBool() };
}

std::string
FormatProgress(const dispatch::JobProgress& aProgress, std::size_t aMaxBytes)
{
  Json::Value value = ProgressToJson(aProgress, FailedRuns::Listed);
  AddCheckpoints(value, aProgress, SIZE_MAX);
  std::string text = WriteJson(value);
  if (text.size() <= aMaxBytes) {
    return text;
  }
  for (const FailedRuns form : { FailedRuns::Listed, FailedRuns::Compact }) {
    value = ProgressToJson(aProgress, form);
    text = WriteJson(value);
    if (text.size() <= aMaxBytes) {
      AddCheckpoints(value, aProgress, aMaxBytes - text.size());
      return WriteJson(value);
    }
  }
  return text;
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
  if ((*value)["home"].isUInt()) {
    progress.mHomeShard = (*value)["home"].asUInt();
  }
  const Json::Value& occurrences = (*value)["occurrences"];
  if (!occurrences.isObject()) {
    return progress;
  }
  const std::int64_t lastRun = (*value)["last_failed_run"].asInt64();
  for (const std::string& name : occurrences.getMemberNames()) {
    std::vector<dispatch::StepProgress>& steps =
      progress.mOccurrences[IndexOf(name)];
    for (const Json::Value& entry : occurrences[name]) {
      dispatch::StepProgress step;
      for (const char done : entry["done"].asString()) {
        step.mDone.push_back(done == '1');
      }
      ReadElsewhere(entry, step);
      const Json::Value& failedRuns = entry["failed_runs"];
      if (failedRuns.isObject()) {
        for (const std::string& index : failedRuns.getMemberNames()) {
          for (const Json::Value& run : failedRuns[index]) {
            step.mFailedRuns[IndexOf(index)].push_back(run.asInt64());
          }
        }
      }
      ReadCompactRuns(entry["failed"].asString(), lastRun, step);
      ReadCheckpoints(entry["saved"], step.mCheckpoints);
      steps.push_back(std::move(step));
    }
  }
  return progress;
}

Json::Value
RunsToJson(std::span<const dispatch::PossibleRun> aRuns)
{
  Json::Value runs(Json::arrayValue);
  for (const dispatch::PossibleRun& run : aRuns) {
    runs.append(dispatch::FormatTaskName(run.mTask));
    runs.append(Json::Int64(run.mRun));
  }
  return runs;
}

std::vector<dispatch::PossibleRun>
RunsFromJson(const Json::Value& aRuns)
{
  std::vector<dispatch::PossibleRun> runs;
  for (Json::ArrayIndex i = 0; i + 1 < aRuns.size(); i += 2) {
    const std::optional<dispatch::TaskName> task =
      dispatch::ParseTaskName(aRuns[i].asString());
    if (task) {
      runs.push_back({ *task, aRuns[i + 1].asInt64() });
    }
  }
  return runs;
}

std::string
FormatRunnerEntry(const dispatch::InheritedRunner& aRunner,
                  const StoreClock& aClock)
{
  Json::Value value(Json::objectValue);
  value[aRunner.mSpec.mId] = EntryToJson(aRunner, aClock);
  const std::string text = WriteJson(value);
  return text.substr(1, text.size() - 2);
}

std::string
FormatRunners(std::span<const dispatch::InheritedRunner> aRunners,
              const StoreClock& aClock)
{
  Json::Value value(Json::objectValue);
  for (const dispatch::InheritedRunner& runner : aRunners) {
    value[runner.mSpec.mId] = EntryToJson(runner, aClock);
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
      runner.mPossibleRuns = RunsFromJson(entry[5]);
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
    const Json::Value& capacity = entry.size() > kCapacityPosition
                                    ? entry[kCapacityPosition]
                                    : Json::Value::nullSingleton();
    Json::ArrayIndex position = 0;
    for (const auto of : dispatch::kResourceMembers) {
      if (capacity.isArray() && position < capacity.size()) {
        runner.mSpec.mCapacity.*of = capacity[position++].asInt64();
      }
    }
    runners.push_back(std::move(runner));
  }
  return runners;
}

} // namespace paddle
