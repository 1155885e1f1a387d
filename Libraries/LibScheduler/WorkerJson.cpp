#include <LibScheduler/WorkerJson.h>

#include <LibScheduler/JobRows.h>

namespace paddle {

namespace {

Json::Value
ToJson(const WorkerToken& aToken)
{
  Json::Value token(Json::objectValue);
  token["boot"] = Json::UInt64(aToken.mBoot);
  token["clockMs"] = Json::UInt64(aToken.mClockMs);
  return token;
}

Json::Value
TaskAttemptsToJson(const TaskAttempts& aTasks)
{
  Json::Value attempts(Json::arrayValue);
  for (const auto& [job, attempt] : aTasks) {
    Json::Value entry(Json::objectValue);
    entry["job"] = job;
    entry["attempt"] = attempt;
    attempts.append(entry);
  }
  return attempts;
}

TaskReport
TaskFromJson(const Json::Value& aTask)
{
  TaskReport task;
  task.mJob = aTask["job"].asString();
  task.mAttempt = aTask["attempt"].asUInt();
  task.mReserved = ResourceVectorFromJson(aTask["reserved"]);
  task.mUsed = ResourceVectorFromJson(aTask["used"]);
  task.mCheckpoint = aTask["checkpoint"].asString();
  task.mSinceCheckpoint = Millis(aTask["sinceCheckpointMs"].asInt64());
  task.mLatencyRatio = aTask["latencyRatio"].asDouble();
  return task;
}

TaskOutcome
OutcomeFromJson(const Json::Value& aOutcome)
{
  TaskOutcome outcome;
  outcome.mJob = aOutcome["job"].asString();
  outcome.mAttempt = aOutcome["attempt"].asUInt();
  const std::string result = aOutcome["result"].asString();
  outcome.mResult = result == "ended"    ? TaskResult::Completed
                    : result == "failed" ? TaskResult::Failed
                                         : TaskResult::Stopped;
  outcome.mCheckpoint = aOutcome["checkpoint"].asString();
  outcome.mReason = aOutcome["reason"].asString();
  return outcome;
}

} // namespace

Json::Value
ToJson(const ResourceVector& aResources)
{
  Json::Value resources(Json::objectValue);
  resources["milliCores"] = Json::Int64(aResources.mMilliCores);
  resources["memoryMb"] = Json::Int64(aResources.mMemoryMb);
  resources["accelerators"] = Json::Int64(aResources.mAccelerators);
  return resources;
}

ResourceVector
ResourceVectorFromJson(const Json::Value& aResources)
{
  return { aResources["milliCores"].asInt64(),
           aResources["memoryMb"].asInt64(),
           aResources["accelerators"].asInt64() };
}

Json::Value
ReportParameters(std::uint64_t aEpoch, Millis aLease, const PollPlan& aPlan)
{
  Json::Value parameters(Json::objectValue);
  parameters["epoch"] = Json::UInt64(aEpoch);
  parameters["leaseMs"] = Json::Int64(aLease.count());
  parameters["token"] = ToJson(aPlan.mToken);
  parameters["renew"] = TaskAttemptsToJson(aPlan.mRenew);
  parameters["acknowledge"] = TaskAttemptsToJson(aPlan.mAcknowledge);
  return parameters;
}

WorkerReport
ReportFromJson(const Json::Value& aReport)
{
  WorkerReport report;
  report.mToken.mBoot = aReport["boot"].asUInt64();
  report.mToken.mClockMs = aReport["clockMs"].asUInt64();
  for (const Json::Value& task : aReport["tasks"]) {
    report.mTasks.push_back(TaskFromJson(task));
  }
  for (const Json::Value& outcome : aReport["outcomes"]) {
    report.mOutcomes.push_back(OutcomeFromJson(outcome));
  }
  return report;
}

Json::Value
StartParameters(std::uint64_t aEpoch,
                Millis aLease,
                const std::vector<StartTask>& aStarts)
{
  Json::Value parameters(Json::objectValue);
  parameters["epoch"] = Json::UInt64(aEpoch);
  parameters["leaseMs"] = Json::Int64(aLease.count());
  parameters["starts"] = Json::Value(Json::arrayValue);
  for (const StartTask& task : aStarts) {
    Json::Value start(Json::objectValue);
    start["job"] = task.mJob;
    start["attempt"] = task.mAttempt;
    start["class"] = ClassName(task.mClass);
    start["reserved"] = ToJson(task.mReserved);
    start["checkpoint"] = task.mCheckpoint;
    start["expectedSeconds"] = Json::Int64(task.mExpectedTime.count());
    start["token"] = ToJson(task.mToken);
    parameters["starts"].append(start);
  }
  return parameters;
}

std::vector<StartAnswer>
StartAnswersFromJson(const Json::Value& aResult, std::size_t aCount)
{
  std::vector<StartAnswer> answers(aCount, StartUnknown{});
  const Json::Value& list = aResult["answers"];
  for (Json::ArrayIndex i = 0; i < aCount && i < list.size(); ++i) {
    const Json::Value& answer = list[i];
    if (!answer.isObject() || !answer["accepted"].isBool()) {
      continue;
    }
    if (answer["accepted"].asBool()) {
      answers[i] = StartAccepted{ answer["clockMs"].asUInt64() };
    } else {
      answers[i] = StartRejected{ answer["reason"].asString() };
    }
  }
  return answers;
}

Json::Value
TaskParameters(std::uint64_t aEpoch, const TaskAttempts& aTasks)
{
  Json::Value parameters(Json::objectValue);
  parameters["epoch"] = Json::UInt64(aEpoch);
  parameters["tasks"] = TaskAttemptsToJson(aTasks);
  return parameters;
}

} // namespace paddle
