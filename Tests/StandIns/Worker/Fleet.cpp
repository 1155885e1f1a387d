#include <StandIns/Worker/Fleet.h>

#include <algorithm>

namespace paddle {

namespace {

/// Age of a start's token, by the worker's clock, beyond which the worker
/// rejects the start.
constexpr std::uint64_t kMaxTokenAgeMs = 2000;

/// Reported resource use is this old: a task that runs for less reports no use
/// of processors.
constexpr Millis kUsageReportDelay{ 2000 };

/// @return the time as the reading of a worker's clock, in milliseconds
std::uint64_t
ClockMs(MonotonicTime aNow)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(aNow.time_since_epoch()).count());
}

/// @return the time at which a worker's clock shows @p aClockMs
MonotonicTime
TimeAt(std::uint64_t aClockMs)
{
  return MonotonicTime(Millis(static_cast<std::int64_t>(aClockMs)));
}

/// Hashes with FNV-1a and a final mix.
/// @return a number in [0, 1) that depends on the text and the seed only
double
UniformFromSeed(std::uint64_t aSeed, const std::string& aText)
{
  std::uint64_t hash = 1469598103934665603ULL ^ aSeed;
  for (const char character : aText) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  }
  hash ^= hash >> 31;
  hash *= 0x9e3779b97f4a7c15ULL;
  return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

/// @return the name "JOB@MILLISECONDS" of a checkpoint with the saved work, or
///         empty if no work is saved
std::string
CheckpointName(const std::string& aJob, Millis aSaved)
{
  return aSaved.count() == 0 ? "" : aJob + "@" + std::to_string(aSaved.count());
}

/// @return the work that a checkpoint holds, by its name
Millis
WorkInCheckpoint(const std::string& aCheckpoint)
{
  const auto at = aCheckpoint.rfind('@');
  return at == std::string::npos
           ? Millis(0)
           : Millis(std::stoll(aCheckpoint.substr(at + 1)));
}

/// @return the work that the task has done, with that of its checkpoint
Millis
WorkDoneAt(const FleetTask& aTask, MonotonicTime aNow)
{
  return aTask.mWorkBeforeStart +
         std::chrono::duration_cast<Millis>(aNow - aTask.mStarted);
}

/// @return whether a list of {"job", "attempt"} names this attempt of the job
bool
ListsTask(const Json::Value& aList,
          const std::string& aJob,
          std::uint32_t aAttempt)
{
  return std::any_of(
    aList.begin(), aList.end(), [&](const Json::Value& aEntry) {
      return aEntry["job"].asString() == aJob &&
             aEntry["attempt"].asUInt() == aAttempt;
    });
}

/// @return the share of the worker's capacity that its tasks have reserved, of
///         the resource whose share is largest
double
ReservedShare(const FleetWorker& aWorker)
{
  double cores = 0;
  double memory = 0;
  double accelerators = 0;
  for (const FleetTask& task : aWorker.mTasks) {
    cores += task.mReserved["milliCores"].asDouble() / 1000;
    memory += task.mReserved["memoryMb"].asDouble();
    accelerators += task.mReserved["accelerators"].asDouble();
  }
  const auto share = [](double aPart, double aWhole) {
    return aPart <= 0 ? 0 : aWhole <= 0 ? 1e9 : aPart / aWhole;
  };
  return std::max({ share(cores, aWorker.mHost.mCores),
                    share(memory, static_cast<double>(aWorker.mHost.mMemoryMb)),
                    share(accelerators, aWorker.mHost.mAccelerators) });
}

} // namespace

Fleet::Fleet(std::vector<HostEntry> aHosts, std::uint64_t aSeed, double aSpeed)
  : mSeed(aSeed)
  , mSpeed(aSpeed)
{
  for (HostEntry& host : aHosts) {
    if (host.mKind == HostKind::Worker) {
      FleetWorker worker;
      worker.mHost = std::move(host);
      mWorkers.push_back(std::move(worker));
    }
  }
  for (FleetWorker& worker : mWorkers) {
    mByAddress[ToText(worker.mHost.mAddress)] = &worker;
  }
}

Outcome<Json::Value>
Fleet::Call(const std::string& aAddress,
            const std::string& aMethod,
            const Json::Value& aParameters,
            MonotonicTime aNow)
{
  const std::lock_guard lock(mMutex);
  const auto found = mByAddress.find(aAddress);
  if (found == mByAddress.end()) {
    return Error{ ErrorKind::NotFound, "no worker at " + aAddress };
  }
  FleetWorker& worker = *found->second;
  const std::uint64_t epoch = aParameters["epoch"].asUInt64();
  if (epoch < worker.mEpoch) {
    ++mAudit.mStaleEpochCommands;
    return Error{ ErrorKind::Conflict,
                  "epoch " + std::to_string(epoch) + " is older than " +
                    std::to_string(worker.mEpoch) };
  }
  worker.mEpoch = epoch;
  Advance(worker, aNow);
  if (aMethod == "worker.report") {
    return Report(worker, aParameters, aNow);
  }
  if (aMethod == "worker.start") {
    return Start(worker, aParameters, aNow);
  }
  if (aMethod == "worker.stop") {
    return Stop(worker, aParameters, aNow);
  }
  if (aMethod == "worker.checkpoint") {
    return Checkpoint(worker, aParameters, aNow);
  }
  return Throttle(worker, aParameters, aNow);
}

void
Fleet::Advance(FleetWorker& aWorker, MonotonicTime aNow)
{
  std::erase_if(aWorker.mTasks, [&](const FleetTask& aTask) {
    FleetTaskOutcome outcome{ aTask.mJob, aTask.mAttempt, "ended", "", "" };
    if (std::min(aTask.mWorkEnd, aTask.mLeaseEnd) > aNow) {
      return false;
    }
    if (aTask.mLeaseEnd < aTask.mWorkEnd) {
      outcome.mResult = "stopped";
      outcome.mReason = "its lease was not renewed";
      outcome.mCheckpoint = CheckpointName(aTask.mJob, aTask.mCheckpointedWork);
      ++mAudit.mExpiredLeases;
    } else if (aTask.mWillFail) {
      outcome.mResult = "failed";
      outcome.mReason = "exit code 1";
      ++mAudit.mFailed;
    } else {
      ++mAudit.mFinished;
    }
    aWorker.mOutcomes.push_back(outcome);
    return true;
  });
}

Json::Value
Fleet::Report(FleetWorker& aWorker,
              const Json::Value& aParameters,
              MonotonicTime aNow)
{
  // The lease starts at the time of the token, so that a renewal that was
  // delayed on the network does not extend it.
  const Json::Value& token = aParameters["token"];
  const Millis lease(aParameters["leaseMs"].asInt64());
  for (FleetTask& task : aWorker.mTasks) {
    if (token["boot"].asUInt64() == aWorker.mBoot &&
        ListsTask(aParameters["renew"], task.mJob, task.mAttempt)) {
      task.mLeaseEnd =
        std::max(task.mLeaseEnd, TimeAt(token["clockMs"].asUInt64()) + lease);
    }
  }
  std::erase_if(aWorker.mOutcomes, [&](const FleetTaskOutcome& aOutcome) {
    if (!ListsTask(
          aParameters["acknowledge"], aOutcome.mJob, aOutcome.mAttempt)) {
      return false;
    }
    if (aOutcome.mResult == "ended") {
      mAudit.mAcknowledgedJobs.insert(aOutcome.mJob);
    }
    const auto& starts = mAudit.mStartsByJob[aOutcome.mJob];
    // A checkpoint counts only if no later attempt has started, because that
    // one could not resume from it.
    if (!starts.empty() && starts.back().mAttempt == aOutcome.mAttempt) {
      Millis& saved = mAudit.mAcknowledgedWork[aOutcome.mJob];
      saved = std::max(saved, WorkInCheckpoint(aOutcome.mCheckpoint));
    }
    return true;
  });
  Json::Value report(Json::objectValue);
  report["boot"] = Json::UInt64(aWorker.mBoot);
  report["clockMs"] = Json::UInt64(ClockMs(aNow));
  report["tasks"] = Json::Value(Json::arrayValue);
  for (const FleetTask& task : aWorker.mTasks) {
    report["tasks"].append(TaskJson(aWorker, task, aNow));
  }
  report["outcomes"] = Json::Value(Json::arrayValue);
  for (const FleetTaskOutcome& outcome : aWorker.mOutcomes) {
    Json::Value shown(Json::objectValue);
    shown["job"] = outcome.mJob;
    shown["attempt"] = outcome.mAttempt;
    shown["result"] = outcome.mResult;
    shown["checkpoint"] = outcome.mCheckpoint;
    shown["reason"] = outcome.mReason;
    report["outcomes"].append(shown);
  }
  return report;
}

Json::Value
Fleet::TaskJson(const FleetWorker& aWorker,
                const FleetTask& aTask,
                MonotonicTime aNow) const
{
  Json::Value shown(Json::objectValue);
  shown["job"] = aTask.mJob;
  shown["attempt"] = aTask.mAttempt;
  shown["reserved"] = aTask.mReserved;
  const bool measured = aNow - aTask.mStarted >= kUsageReportDelay;
  const double cores =
    aTask.mThrottled ? aTask.mCoresUsed / 2 : aTask.mCoresUsed;
  shown["used"]["milliCores"] =
    Json::Int64(measured ? static_cast<std::int64_t>(cores * 1000) : 0);
  shown["used"]["memoryMb"] = aTask.mReserved["memoryMb"];
  shown["used"]["accelerators"] = aTask.mReserved["accelerators"];
  shown["checkpoint"] = CheckpointName(aTask.mJob, aTask.mCheckpointedWork);
  shown["sinceCheckpointMs"] =
    Json::Int64((WorkDoneAt(aTask, aNow) - aTask.mCheckpointedWork).count());
  double others = 0;
  for (const FleetTask& other : aWorker.mTasks) {
    others += other.mClass == "service" ? 0
              : other.mThrottled        ? other.mCoresUsed / 2
                                        : other.mCoresUsed;
  }
  // The latency of a service rises with the load of batch tasks on its worker.
  const double load =
    aWorker.mHost.mCores > 0 ? others / aWorker.mHost.mCores : 0;
  shown["latencyRatio"] = aTask.mClass == "service" ? 0.4 + load * 0.8 : 0.0;
  return shown;
}

FleetTask
Fleet::MakeTask(const FleetWorker& aWorker,
                const Json::Value& aStart,
                Millis aLease,
                MonotonicTime aNow) const
{
  FleetTask task;
  task.mJob = aStart["job"].asString();
  task.mAttempt = aStart["attempt"].asUInt();
  task.mClass = aStart["class"].asString();
  task.mReserved = aStart["reserved"];
  // The true run time is 0.33 to 2 times the expected one, and the true use of
  // processors 0.5 to 1.5 times the reserved one.
  const double timeFactor =
    0.33 + 1.67 * UniformFromSeed(mSeed, task.mJob + "/time");
  const double useFactor = 0.5 + UniformFromSeed(mSeed, task.mJob + "/use");
  task.mCoresUsed = task.mReserved["milliCores"].asDouble() / 1000 * useFactor;
  task.mStarted = aNow;
  task.mLeaseEnd = TimeAt(aStart["token"]["clockMs"].asUInt64()) + aLease;
  task.mWorkBeforeStart = WorkInCheckpoint(aStart["checkpoint"].asString());
  task.mCheckpointedWork = task.mWorkBeforeStart;
  task.mWillFail = aWorker.mFaults.mFailAllTasks;
  const Millis work(static_cast<std::int64_t>(
    timeFactor * 1000 * aStart["expectedSeconds"].asDouble() / mSpeed));
  task.mWorkEnd = task.mWillFail ? aNow + Millis(50)
                  : task.mClass == "service"
                    ? MonotonicTime::max()
                    : aNow + std::max(Millis(1), work - task.mWorkBeforeStart);
  return task;
}

void
Fleet::CheckNotRunningElsewhere(const FleetWorker& aWorker,
                                const std::string& aJob,
                                MonotonicTime aNow)
{
  for (FleetWorker* otherWorker : mWorkersByJob[aJob]) {
    Advance(*otherWorker, aNow);
    for (const FleetTask& task : otherWorker->mTasks) {
      if (task.mJob == aJob) {
        ++mAudit.mConcurrentRuns;
        AddViolation(mAudit,
                     aJob + " runs on " + otherWorker->mHost.mName + " and " +
                       aWorker.mHost.mName);
      }
    }
  }
}

Json::Value
Fleet::StartFleetTask(FleetWorker& aWorker,
                      const Json::Value& aStart,
                      Millis aLease,
                      std::uint64_t aEpoch,
                      MonotonicTime aNow)
{
  Json::Value answer(Json::objectValue);
  const Json::Value& token = aStart["token"];
  answer["accepted"] =
    token["boot"].asUInt64() == aWorker.mBoot &&
    token["clockMs"].asUInt64() + kMaxTokenAgeMs >= ClockMs(aNow);
  answer["clockMs"] = Json::UInt64(ClockMs(aNow));
  if (!answer["accepted"].asBool()) {
    ++mAudit.mRejectedStarts;
    answer["reason"] = "the token is too old";
    return answer;
  }
  const FleetTask task = MakeTask(aWorker, aStart, aLease, aNow);
  CheckNotRunningElsewhere(aWorker, task.mJob, aNow);
  mWorkersByJob[task.mJob].insert(&aWorker);
  AuditStart(mAudit,
             task.mJob,
             { aWorker.mHost.mName,
               aEpoch,
               task.mAttempt,
               aStart["checkpoint"].asString() },
             task.mWorkBeforeStart,
             aWorker.mHost.mDataCentre,
             aNow);
  aWorker.mTasks.push_back(task);
  const double reservedShare = ReservedShare(aWorker);
  mAudit.mHighestReservedShare =
    std::max(mAudit.mHighestReservedShare, reservedShare);
  if (reservedShare > 1) {
    ++mAudit.mCapacityViolations;
    AddViolation(mAudit,
                 aWorker.mHost.mName + " is committed beyond its capacity");
  }
  return answer;
}

Json::Value
Fleet::Start(FleetWorker& aWorker,
             const Json::Value& aParameters,
             MonotonicTime aNow)
{
  Json::Value result(Json::objectValue);
  result["answers"] = Json::Value(Json::arrayValue);
  for (const Json::Value& start : aParameters["starts"]) {
    result["answers"].append(
      StartFleetTask(aWorker,
                     start,
                     Millis(aParameters["leaseMs"].asInt64()),
                     aParameters["epoch"].asUInt64(),
                     aNow));
  }
  return result;
}

Json::Value
Fleet::Stop(FleetWorker& aWorker, const Json::Value& aParameters, MonotonicTime)
{
  std::erase_if(aWorker.mTasks, [&](const FleetTask& aTask) {
    if (!ListsTask(aParameters["tasks"], aTask.mJob, aTask.mAttempt)) {
      return false;
    }
    ++mAudit.mStopped;
    aWorker.mOutcomes.push_back(
      { aTask.mJob,
        aTask.mAttempt,
        "stopped",
        CheckpointName(aTask.mJob, aTask.mCheckpointedWork),
        "stopped by command" });
    return true;
  });
  return Json::Value(Json::objectValue);
}

Json::Value
Fleet::Checkpoint(FleetWorker& aWorker,
                  const Json::Value& aParameters,
                  MonotonicTime aNow)
{
  for (FleetTask& task : aWorker.mTasks) {
    if (ListsTask(aParameters["tasks"], task.mJob, task.mAttempt)) {
      task.mCheckpointedWork = WorkDoneAt(task, aNow);
    }
  }
  return Json::Value(Json::objectValue);
}

Json::Value
Fleet::Throttle(FleetWorker& aWorker,
                const Json::Value& aParameters,
                MonotonicTime)
{
  for (FleetTask& task : aWorker.mTasks) {
    if (ListsTask(aParameters["tasks"], task.mJob, task.mAttempt)) {
      task.mThrottled = aParameters["throttled"].asBool();
    }
  }
  return Json::Value(Json::objectValue);
}

Fleet::FaultEffects
Fleet::FaultEffectsOf(const std::string& aAddress,
                      std::string_view aMember,
                      MonotonicTime aNow)
{
  const std::lock_guard lock(mMutex);
  FaultEffects effects;
  effects.mSilent = mPartitionedMembers.count(aMember) != 0;
  const auto found = mByAddress.find(aAddress);
  if (found == mByAddress.end()) {
    return effects;
  }
  WorkerFaults& faults = found->second->mFaults;
  effects.mSilent = effects.mSilent || faults.mSilentUntil > aNow;
  effects.mDelay = faults.mDelay;
  if (!effects.mSilent && faults.mAnswersToLose > 0) {
    --faults.mAnswersToLose;
    effects.mLoseAnswer = true;
  }
  return effects;
}

Outcome<Json::Value>
Fleet::ApplyFault(const Json::Value& aParameters, MonotonicTime aNow)
{
  const std::lock_guard lock(mMutex);
  if (aParameters.isMember("cutFrom")) {
    mPartitionedMembers.clear();
    for (const Json::Value& member : aParameters["cutFrom"]["members"]) {
      mPartitionedMembers.insert(member.asString());
    }
  }
  if (aParameters.isMember("dataCentreOut")) {
    mAudit.mOutOfServiceSince[aParameters["dataCentreOut"].asString()] = aNow;
  }
  if (aParameters.isMember("dataCentreIn")) {
    mAudit.mOutOfServiceSince.erase(aParameters["dataCentreIn"].asString());
  }
  const std::string name = aParameters["worker"].asString();
  bool found = name.empty();
  for (FleetWorker& worker : mWorkers) {
    if (!name.empty() && worker.mHost.mName != name) {
      continue;
    }
    found = true;
    WorkerFaults& faults = worker.mFaults;
    faults.mFailAllTasks =
      aParameters.get("failAll", faults.mFailAllTasks).asBool();
    faults.mDelay = Millis(
      aParameters.get("delayMs", Json::Int64(faults.mDelay.count())).asInt64());
    faults.mAnswersToLose =
      aParameters.get("loseAnswers", faults.mAnswersToLose).asUInt();
    if (aParameters.isMember("silentMs")) {
      faults.mSilentUntil = aNow + Millis(aParameters["silentMs"].asInt64());
    }
    if (aParameters["reboot"].asBool()) {
      ++worker.mBoot;
      worker.mTasks.clear();
      worker.mOutcomes.clear();
    }
  }
  if (!found) {
    return Error{ ErrorKind::NotFound, "no worker is named " + name };
  }
  return Json::Value(Json::objectValue);
}

Json::Value
Fleet::Stats(const Json::Value& aParameters, MonotonicTime aNow)
{
  const std::lock_guard lock(mMutex);
  std::uint64_t running = 0;
  for (FleetWorker& worker : mWorkers) {
    Advance(worker, aNow);
    running += worker.mTasks.size();
  }
  Json::Value stats = ToJson(mAudit);
  stats["workers"] = Json::UInt64(mWorkers.size());
  stats["running"] = Json::UInt64(running);
  if (aParameters["jobs"].asBool()) {
    stats["jobs"] = StartsToJson(mAudit);
    for (const FleetWorker& worker : mWorkers) {
      for (const FleetTask& task : worker.mTasks) {
        stats["places"][task.mJob] = worker.mHost.mName;
      }
    }
  }
  return stats;
}

} // namespace paddle
