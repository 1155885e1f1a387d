#include <StandIns/Worker/Fleet.h>

#include <algorithm>

namespace paddle {

namespace {

/// Age, by the worker's clock, beyond which a start is rejected.
constexpr std::uint64_t kOldestTokenMs = 2000;

/// Reported use is that of a moment this long ago.
constexpr Millis kUsageLag{ 2000 };

std::uint64_t
ClockMs(MonotonicTime aNow)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(aNow.time_since_epoch()).count());
}

MonotonicTime
TimeAt(std::uint64_t aClockMs)
{
  return MonotonicTime(Millis(static_cast<std::int64_t>(aClockMs)));
}

/// @return a number from 0 to 1 that depends on the text and the seed only
double
Draw(std::uint64_t aSeed, const std::string& aText)
{
  std::uint64_t hash = 1469598103934665603ULL ^ aSeed;
  for (const char character : aText) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  }
  hash ^= hash >> 31;
  hash *= 0x9e3779b97f4a7c15ULL;
  return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

std::string
CheckpointName(const std::string& aJob, Millis aSaved)
{
  return aSaved.count() == 0 ? "" : aJob + "@" + std::to_string(aSaved.count());
}

Millis
ProgressOf(const std::string& aCheckpoint)
{
  const auto at = aCheckpoint.rfind('@');
  return at == std::string::npos
           ? Millis(0)
           : Millis(std::stoll(aCheckpoint.substr(at + 1)));
}

Millis
DoneBy(const FleetTask& aTask, MonotonicTime aNow)
{
  return aTask.mDoneBefore +
         std::chrono::duration_cast<Millis>(aNow - aTask.mStarted);
}

bool
Names(const Json::Value& aList, const std::string& aJob, std::uint32_t aAttempt)
{
  return std::any_of(
    aList.begin(), aList.end(), [&](const Json::Value& aEntry) {
      return aEntry["job"].asString() == aJob &&
             aEntry["attempt"].asUInt() == aAttempt;
    });
}

/// The part of the worker that its tasks have reserved, the largest of all
/// resources.
double
Commitment(const FleetWorker& aWorker)
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
    ++mAudit.mOldEpochs;
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
    FleetOutcome outcome{ aTask.mJob, aTask.mAttempt, "ended", "", "" };
    if (std::min(aTask.mWorkEnd, aTask.mLeaseEnd) > aNow) {
      return false;
    }
    if (aTask.mLeaseEnd < aTask.mWorkEnd) {
      outcome.mResult = "stopped";
      outcome.mReason = "its lease was not renewed";
      outcome.mCheckpoint = CheckpointName(aTask.mJob, aTask.mSaved);
      ++mAudit.mLapsed;
    } else if (aTask.mFails) {
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
  // A lease counts from the token's moment, so a renewal that was delayed on
  // its way does not prolong it.
  const Json::Value& token = aParameters["token"];
  const Millis lease(aParameters["leaseMs"].asInt64());
  for (FleetTask& task : aWorker.mTasks) {
    if (token["boot"].asUInt64() == aWorker.mBoot &&
        Names(aParameters["renew"], task.mJob, task.mAttempt)) {
      task.mLeaseEnd =
        std::max(task.mLeaseEnd, TimeAt(token["clockMs"].asUInt64()) + lease);
    }
  }
  std::erase_if(aWorker.mOutcomes, [&](const FleetOutcome& aOutcome) {
    if (!Names(aParameters["acknowledge"], aOutcome.mJob, aOutcome.mAttempt)) {
      return false;
    }
    if (aOutcome.mResult == "ended") {
      mAudit.mEnded.insert(aOutcome.mJob);
    }
    const auto& starts = mAudit.mStartsByJob[aOutcome.mJob];
    // Once a later attempt runs, what an earlier one saved is too late.
    if (!starts.empty() && starts.back().mAttempt == aOutcome.mAttempt) {
      Millis& saved = mAudit.mSaved[aOutcome.mJob];
      saved = std::max(saved, ProgressOf(aOutcome.mCheckpoint));
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
  for (const FleetOutcome& outcome : aWorker.mOutcomes) {
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
  const bool measured = aNow - aTask.mStarted >= kUsageLag;
  const double cores = aTask.mThrottled ? aTask.mCores / 2 : aTask.mCores;
  shown["used"]["milliCores"] =
    Json::Int64(measured ? static_cast<std::int64_t>(cores * 1000) : 0);
  shown["used"]["memoryMb"] = aTask.mReserved["memoryMb"];
  shown["used"]["accelerators"] = aTask.mReserved["accelerators"];
  shown["checkpoint"] = CheckpointName(aTask.mJob, aTask.mSaved);
  shown["sinceCheckpointMs"] =
    Json::Int64((DoneBy(aTask, aNow) - aTask.mSaved).count());
  double others = 0;
  for (const FleetTask& other : aWorker.mTasks) {
    others += other.mClass == "service" ? 0
              : other.mThrottled        ? other.mCores / 2
                                        : other.mCores;
  }
  // Services slow down as batch work fills the worker.
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
  // From a third to twice what was expected, and from half to one and a half
  // times the reserved processors.
  const double timeFactor = 0.33 + 1.67 * Draw(mSeed, task.mJob + "/time");
  const double useFactor = 0.5 + Draw(mSeed, task.mJob + "/use");
  task.mCores = task.mReserved["milliCores"].asDouble() / 1000 * useFactor;
  task.mStarted = aNow;
  task.mLeaseEnd = TimeAt(aStart["token"]["clockMs"].asUInt64()) + aLease;
  task.mDoneBefore = ProgressOf(aStart["checkpoint"].asString());
  task.mSaved = task.mDoneBefore;
  task.mFails = aWorker.mFaults.mFailsAll;
  const Millis work(static_cast<std::int64_t>(
    timeFactor * 1000 * aStart["expectedSeconds"].asDouble() / mSpeed));
  task.mWorkEnd = task.mFails ? aNow + Millis(50)
                  : task.mClass == "service"
                    ? MonotonicTime::max()
                    : aNow + std::max(Millis(1), work - task.mDoneBefore);
  return task;
}

void
Fleet::CheckPlaces(const FleetWorker& aWorker,
                   const std::string& aJob,
                   MonotonicTime aNow)
{
  for (FleetWorker* place : mPlaces[aJob]) {
    Advance(*place, aNow);
    for (const FleetTask& task : place->mTasks) {
      if (task.mJob == aJob) {
        ++mAudit.mTwoPlaces;
        AddViolation(mAudit,
                     aJob + " runs on " + place->mHost.mName + " and " +
                       aWorker.mHost.mName);
      }
    }
  }
}

Json::Value
Fleet::StartOne(FleetWorker& aWorker,
                const Json::Value& aStart,
                Millis aLease,
                std::uint64_t aEpoch,
                MonotonicTime aNow)
{
  Json::Value answer(Json::objectValue);
  const Json::Value& token = aStart["token"];
  answer["accepted"] =
    token["boot"].asUInt64() == aWorker.mBoot &&
    token["clockMs"].asUInt64() + kOldestTokenMs >= ClockMs(aNow);
  answer["clockMs"] = Json::UInt64(ClockMs(aNow));
  if (!answer["accepted"].asBool()) {
    ++mAudit.mRejected;
    answer["reason"] = "the token is too old";
    return answer;
  }
  const FleetTask task = MakeTask(aWorker, aStart, aLease, aNow);
  CheckPlaces(aWorker, task.mJob, aNow);
  mPlaces[task.mJob].insert(&aWorker);
  AuditStart(mAudit,
             task.mJob,
             { aWorker.mHost.mName,
               aEpoch,
               task.mAttempt,
               aStart["checkpoint"].asString() },
             task.mDoneBefore,
             aWorker.mHost.mDataCentre,
             aNow);
  aWorker.mTasks.push_back(task);
  const double commitment = Commitment(aWorker);
  mAudit.mHighestCommitment = std::max(mAudit.mHighestCommitment, commitment);
  if (commitment > 1) {
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
    result["answers"].append(StartOne(aWorker,
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
    if (!Names(aParameters["tasks"], aTask.mJob, aTask.mAttempt)) {
      return false;
    }
    ++mAudit.mStopped;
    aWorker.mOutcomes.push_back({ aTask.mJob,
                                  aTask.mAttempt,
                                  "stopped",
                                  CheckpointName(aTask.mJob, aTask.mSaved),
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
    if (Names(aParameters["tasks"], task.mJob, task.mAttempt)) {
      task.mSaved = DoneBy(task, aNow);
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
    if (Names(aParameters["tasks"], task.mJob, task.mAttempt)) {
      task.mThrottled = aParameters["throttled"].asBool();
    }
  }
  return Json::Value(Json::objectValue);
}

Fleet::Treatment
Fleet::TreatmentOf(const std::string& aAddress,
                   std::string_view aMember,
                   MonotonicTime aNow)
{
  const std::lock_guard lock(mMutex);
  Treatment treatment;
  treatment.mSilent = mCut.count(aMember) != 0;
  const auto found = mByAddress.find(aAddress);
  if (found == mByAddress.end()) {
    return treatment;
  }
  WorkerFaults& faults = found->second->mFaults;
  treatment.mSilent = treatment.mSilent || faults.mSilentUntil > aNow;
  treatment.mDelay = faults.mDelay;
  if (!treatment.mSilent && faults.mLoseAnswers > 0) {
    --faults.mLoseAnswers;
    treatment.mLoseAnswer = true;
  }
  return treatment;
}

Outcome<Json::Value>
Fleet::ApplyFault(const Json::Value& aParameters, MonotonicTime aNow)
{
  const std::lock_guard lock(mMutex);
  if (aParameters.isMember("cutFrom")) {
    mCut.clear();
    for (const Json::Value& member : aParameters["cutFrom"]["members"]) {
      mCut.insert(member.asString());
    }
  }
  if (aParameters.isMember("dataCentreOut")) {
    mAudit.mOutSince[aParameters["dataCentreOut"].asString()] = aNow;
  }
  if (aParameters.isMember("dataCentreIn")) {
    mAudit.mOutSince.erase(aParameters["dataCentreIn"].asString());
  }
  const std::string name = aParameters["worker"].asString();
  bool found = name.empty();
  for (FleetWorker& worker : mWorkers) {
    if (!name.empty() && worker.mHost.mName != name) {
      continue;
    }
    found = true;
    WorkerFaults& faults = worker.mFaults;
    faults.mFailsAll = aParameters.get("failAll", faults.mFailsAll).asBool();
    faults.mDelay = Millis(
      aParameters.get("delayMs", Json::Int64(faults.mDelay.count())).asInt64());
    faults.mLoseAnswers =
      aParameters.get("loseAnswers", faults.mLoseAnswers).asUInt();
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
