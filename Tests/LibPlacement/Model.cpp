#include "Model.h"

#include <algorithm>

#include <LibKernel/Registry.h>

namespace paddle::test {

namespace {

constexpr std::uint64_t kStepMs = 100; // Interval of ticks and placements.
constexpr std::uint64_t kPollMs = 500;
// A report that takes longer than this from its request is dropped.
constexpr std::uint64_t kPollTimeoutMs = 1000;
// The defaults of PlacementSettings::mTaskLease and mMaxTokenAge.
constexpr std::uint64_t kLeaseMs = 10000;
constexpr std::uint64_t kMaxTokenAgeMs = 2000;
// How long after a data centre goes out of service starts may still arrive.
constexpr std::uint64_t kOutOfServiceGraceMs = 3000;

/// @return the name of a checkpoint, from which ProgressOf() reads the progress
std::string
CheckpointName(const std::string& aJob, std::uint64_t aProgressMs)
{
  return aProgressMs == 0 ? "" : aJob + "@" + std::to_string(aProgressMs);
}

std::uint64_t
ProgressOf(const std::string& aCheckpoint)
{
  const auto at = aCheckpoint.find('@');
  return at == std::string::npos ? 0 : std::stoull(aCheckpoint.substr(at + 1));
}

} // namespace

Model::Model(const ModelSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mPolicy(
      ValueOf(Registry<PlacementPolicy>::Instance().Find(aSettings.mPolicy)))
{
  mSettings.mFaultsUntilMs += mNowMs;
  mSettings.mEndMs += mNowMs;
  for (std::size_t i = 0; i < mSettings.mWorkers; ++i) {
    ModelWorker worker;
    worker.mSpec = { "w" + std::to_string(i),
                     i % 2 == 0 ? "dc-1" : "dc-2",
                     "r" + std::to_string(i / 4),
                     { 16000, 60000, 0 },
                     false };
    worker.mClockOffsetMs = Random(1000000);
    mWorkers.push_back(worker);
  }
  TakeOver(PriorOwner::None);
}

MonotonicTime
Model::Now() const
{
  return MonotonicTime(Millis(mNowMs));
}

std::uint64_t
Model::Random(std::uint64_t aBelow)
{
  return mRandom() % aBelow;
}

bool
Model::Chance(std::uint64_t aPercent)
{
  return Random(100) < aPercent;
}

/// @return the delay of a message: up to 20 ms, with faults sometimes up to 6 s
std::uint64_t
Model::RandomDelayMs()
{
  return FaultsEnabled() && Chance(5) ? Random(6000) : 1 + Random(20);
}

void
Model::ScheduleAt(std::uint64_t aMs, std::function<void()> aEvent)
{
  mEvents.emplace(aMs, std::move(aEvent));
}

void
Model::AddViolation(const std::string& aWhat)
{
  mViolations.push_back("at " + std::to_string(mNowMs) + " ms: " + aWhat);
}

/// The new owner loads the rows of the table. Commands of the previous owner
/// may still arrive.
void
Model::TakeOver(PriorOwner aPriorOwner)
{
  ++mEpoch;
  mShard = MakeShard({}, mPolicy, aPriorOwner, Now());
  for (const ModelWorker& worker : mWorkers) {
    SetWorker(mShard, worker.mSpec);
  }
  SetTeam(mShard, "team-0", { 32000, 120000, 0 }, 600, Now());
  for (const auto& [name, row] : mTable) {
    if (!row.mDone) {
      LoadJob(mShard, row.mRow, Now());
    }
  }
}

void
Model::Submit()
{
  JobSpec spec;
  spec.mJob = "job-" + std::to_string(mSubmitted++);
  spec.mTeam = "team-" + std::to_string(Random(3));
  const std::uint64_t kind = Random(20);
  spec.mClass = kind == 0  ? TaskClass::Service
                : kind < 4 ? TaskClass::Urgent
                           : TaskClass::Batch;
  spec.mDeclared = { static_cast<std::int64_t>(500 + Random(9000)),
                     static_cast<std::int64_t>(500 + Random(20000)),
                     0 };
  spec.mExpectedTime = Seconds(1 + Random(30));
  mRunTimeMs[spec.mJob] = 500 + Random(20000);
  Actions actions;
  AcceptJob(mShard, spec, Now(), actions);
  Execute(actions);
}

void
Model::Run()
{
  while (mNowMs < mSettings.mEndMs && mViolations.empty()) {
    const std::uint64_t until = mNowMs + kStepMs;
    while (!mEvents.empty() && mEvents.begin()->first <= until) {
      auto event = mEvents.begin();
      mNowMs = std::max(mNowMs, event->first);
      const auto perform = std::move(event->second);
      mEvents.erase(event);
      perform();
    }
    mNowMs = until;
    Step();
    const bool idle =
      !FaultsEnabled() && mSubmitted == mSettings.mJobs && mShard.mJobs.empty();
    if (idle) {
      break;
    }
  }
  CheckFinished();
}

void
Model::Step()
{
  if (mSubmitted < mSettings.mJobs && Chance(20)) {
    Submit();
  }
  if (FaultsEnabled()) {
    InjectFaults();
  } else {
    mOutSinceMs.clear();
    for (ModelWorker& worker : mWorkers) {
      worker.mFailsAll = false;
    }
    // Services run until they are cancelled, so the run ends only if they are.
    for (const auto& [name, row] : mTable) {
      if (!row.mDone && row.mRow.mSpec.mClass == TaskClass::Service &&
          !row.mRow.mCancelRequested) {
        Actions actions;
        CancelJob(mShard, name, Now(), actions);
        Execute(actions);
        break;
      }
    }
  }
  if (mNowMs % kPollMs == 0) {
    PollWorkers();
    for (const char* name : { "dc-1", "dc-2" }) {
      if (mTableDownUntilMs < mNowMs) {
        SetDataCentre(mShard, name, mOutSinceMs.count(name) == 0, Now(), Now());
      }
    }
  }
  Actions actions;
  HandleTick(mShard, Now(), actions);
  PlaceQueued(mShard, Now(), 100, actions);
  Execute(actions);
}

void
Model::InjectFaults()
{
  ModelWorker& worker = mWorkers[Random(mWorkers.size())];
  switch (Random(250)) {
    case 0:
      worker.mSilentUntilMs = mNowMs + Random(25000);
      break;
    case 1:
      EndDueTasks(worker);
      ++worker.mBoot;
      worker.mTasks.clear();
      worker.mOutcomes.clear();
      break;
    case 2:
      worker.mFailsAll = Chance(30);
      break;
    case 3:
      mTableDownUntilMs = mNowMs + Random(8000);
      break;
    case 4: {
      const std::string name = Chance(50) ? "dc-1" : "dc-2";
      if (mOutSinceMs.erase(name) == 0) {
        mOutSinceMs[name] = mNowMs;
      }
      break;
    }
    case 5:
    case 6:
      ++mTakeovers;
      mEvictions += mShard.mCounters.mEvictions;
      TakeOver(PriorOwner::Possible);
      break;
    case 7:
    case 8: {
      Actions actions;
      CancelJob(mShard,
                "job-" + std::to_string(Random(mSettings.mJobs)),
                Now(),
                actions);
      Execute(actions);
      break;
    }
    default:
      break;
  }
}

void
Model::PollWorkers()
{
  for (WorkerIndex i = 0; i < mWorkers.size(); ++i) {
    if (FaultsEnabled() && Chance(5)) {
      continue; // The request is lost.
    }
    const Poll poll{ mEpoch, PlanPoll(mShard, i), mNowMs };
    ScheduleAt(mNowMs + RandomDelayMs(),
               [this, i, poll] { ReceivePoll(i, poll); });
  }
}

void
Model::Execute(const Actions& aActions)
{
  for (const Action& action : aActions) {
    std::visit([this](const auto& aAction) { Perform(aAction); }, action);
  }
}

void
Model::Perform(const StartTask& aStart)
{
  const std::uint64_t epoch = mEpoch;
  const bool lost = FaultsEnabled() && Chance(5);
  if (lost) {
    return;
  }
  ScheduleAt(mNowMs + RandomDelayMs(), [this, epoch, aStart] {
    const StartAnswer answer = ReceiveStart(aStart.mWorker, epoch, aStart);
    if (FaultsEnabled() && Chance(10)) {
      return; // The answer is lost.
    }
    ScheduleAt(mNowMs + RandomDelayMs(), [this, epoch, aStart, answer] {
      if (epoch != mEpoch) {
        return;
      }
      Actions actions;
      HandleStartAnswer(mShard,
                        aStart.mWorker,
                        aStart.mJob,
                        aStart.mAttempt,
                        answer,
                        Now(),
                        actions);
      Execute(actions);
    });
  });
}

void
Model::Perform(const StopTask& aStop)
{
  const std::uint64_t epoch = mEpoch;
  ScheduleAt(mNowMs + RandomDelayMs(), [this, epoch, aStop] {
    ModelWorker& worker = mWorkers[aStop.mWorker];
    if (!AcceptEpoch(worker, epoch)) {
      return;
    }
    std::erase_if(worker.mTasks, [&](const ModelTask& aTask) {
      if (aTask.mJob != aStop.mJob || aTask.mAttempt != aStop.mAttempt) {
        return false;
      }
      worker.mOutcomes.push_back(
        { aTask.mJob,
          aTask.mAttempt,
          TaskResult::Stopped,
          CheckpointName(aTask.mJob, aTask.mCheckpointedMs),
          "" });
      return true;
    });
  });
}

void
Model::Perform(const CheckpointTask& aCheckpoint)
{
  const std::uint64_t epoch = mEpoch;
  ScheduleAt(mNowMs + RandomDelayMs(), [this, epoch, aCheckpoint] {
    ModelWorker& worker = mWorkers[aCheckpoint.mWorker];
    if (!AcceptEpoch(worker, epoch)) {
      return;
    }
    for (ModelTask& task : worker.mTasks) {
      if (task.mJob == aCheckpoint.mJob) {
        task.mCheckpointedMs = task.mProgressMs;
      }
    }
  });
}

void
Model::Perform(const CommitRow& aCommit)
{
  const std::uint64_t epoch = mEpoch;
  // One thread of the owner commits, so commits take effect in order.
  mLastCommitMs =
    std::max({ mNowMs, mTableDownUntilMs, mLastCommitMs }) + 1 + Random(20);
  ScheduleAt(mLastCommitMs, [this, epoch, aCommit] { Commit(epoch, aCommit); });
}

/// The table refuses commits of a process that no longer owns the shard.
void
Model::Commit(std::uint64_t aEpoch, const CommitRow& aCommit)
{
  if (aEpoch != mEpoch) {
    return;
  }
  const std::string& name = aCommit.mRow.mSpec.mJob;
  mTable[name] = { aCommit.mRow, IsTerminal(aCommit.mRow.mPhase) };
  const bool answered = !(FaultsEnabled() && Chance(2));
  ScheduleAt(mNowMs + (answered ? 1 : 1500), [this, aEpoch, name, aCommit] {
    if (aEpoch != mEpoch) {
      return;
    }
    Actions actions;
    HandleCommitted(mShard, name, aCommit.mSequence, Now(), actions);
    Execute(actions);
  });
}

std::uint64_t
Model::ClockOf(const ModelWorker& aWorker) const
{
  return mNowMs + aWorker.mClockOffsetMs;
}

void
Model::EndDueTasks(ModelWorker& aWorker)
{
  const std::uint64_t clock = ClockOf(aWorker);
  std::erase_if(aWorker.mTasks, [&](ModelTask& aTask) {
    TaskOutcome outcome{
      aTask.mJob, aTask.mAttempt, TaskResult::Completed, "", ""
    };
    if (aTask.mLeaseEndMs <= clock) {
      outcome.mResult = TaskResult::Stopped;
      outcome.mCheckpoint = CheckpointName(aTask.mJob, aTask.mCheckpointedMs);
    } else if (aTask.mFails) {
      outcome.mResult = TaskResult::Failed;
      outcome.mReason = "exit code 1";
    } else if (aTask.mProgressMs < mRunTimeMs[aTask.mJob]) {
      return false;
    }
    aWorker.mOutcomes.push_back(outcome);
    return true;
  });
}

bool
Model::AcceptEpoch(ModelWorker& aWorker, std::uint64_t aEpoch)
{
  if (mNowMs < aWorker.mSilentUntilMs || aEpoch < aWorker.mEpoch) {
    return false;
  }
  aWorker.mEpoch = aEpoch;
  EndDueTasks(aWorker);
  return true;
}

StartAnswer
Model::ReceiveStart(WorkerIndex aWorker,
                    std::uint64_t aEpoch,
                    const StartTask& aStart)
{
  ModelWorker& worker = mWorkers[aWorker];
  if (mNowMs < worker.mSilentUntilMs) {
    return StartUnknown{};
  }
  if (!AcceptEpoch(worker, aEpoch)) {
    return StartRejected{ "older epoch" };
  }
  if (aStart.mToken.mBoot != worker.mBoot ||
      aStart.mToken.mClockMs + kMaxTokenAgeMs < ClockOf(worker)) {
    return StartRejected{ "old token" };
  }
  CheckStart(aWorker, aEpoch, aStart);
  ModelTask task;
  task.mJob = aStart.mJob;
  task.mAttempt = aStart.mAttempt;
  task.mEpoch = aEpoch;
  task.mReserved = aStart.mReserved;
  task.mLeaseEndMs = aStart.mToken.mClockMs + kLeaseMs;
  task.mProgressMs = ProgressOf(aStart.mCheckpoint);
  task.mCheckpointedMs = task.mProgressMs;
  task.mFails = worker.mFailsAll;
  worker.mTasks.push_back(task);
  mLatestStart[aStart.mJob] = { aWorker, aStart.mAttempt };
  ++mStarts;
  return StartAccepted{ ClockOf(worker) };
}

void
Model::CheckStart(WorkerIndex aWorker,
                  std::uint64_t aEpoch,
                  const StartTask& aStart)
{
  ResourceVector used = aStart.mReserved;
  for (WorkerIndex i = 0; i < mWorkers.size(); ++i) {
    ModelWorker& worker = mWorkers[i];
    EndDueTasks(worker);
    for (const ModelTask& task : worker.mTasks) {
      if (task.mJob == aStart.mJob) {
        AddViolation(aStart.mJob +
                     " runs in two places: " + worker.mSpec.mName + " and " +
                     mWorkers[aWorker].mSpec.mName);
      }
      if (i == aWorker) {
        used += task.mReserved;
      }
    }
  }
  const ModelWorker& worker = mWorkers[aWorker];
  if (!Fits(used, worker.mSpec.mCapacity)) {
    AddViolation(worker.mSpec.mName + " is committed beyond its capacity");
  }
  if (mFinished.count(aStart.mJob) != 0) {
    AddViolation(aStart.mJob + " starts after its end was acknowledged");
  }
  if (!mStarted.insert({ aStart.mJob, { aEpoch, aStart.mAttempt } }).second) {
    AddViolation(aStart.mJob + " starts twice with one attempt");
  }
  if (ProgressOf(aStart.mCheckpoint) < mSavedProgressMs[aStart.mJob]) {
    AddViolation(aStart.mJob + " resumes from an old checkpoint");
  }
  const auto out = mOutSinceMs.find(worker.mSpec.mDataCentre);
  if (out != mOutSinceMs.end() && mNowMs > out->second + kOutOfServiceGraceMs) {
    AddViolation(aStart.mJob +
                 " starts in a data centre that is out of service");
  }
}

void
Model::ReceivePoll(WorkerIndex aWorker, const Poll& aPoll)
{
  ModelWorker& worker = mWorkers[aWorker];
  if (!AcceptEpoch(worker, aPoll.mEpoch)) {
    return;
  }
  for (const auto& [name, attempt] : aPoll.mPlan.mRenew) {
    for (ModelTask& task : worker.mTasks) {
      if (task.mJob == name && task.mAttempt == attempt &&
          aPoll.mPlan.mToken.mBoot == worker.mBoot) {
        task.mLeaseEndMs =
          std::max(task.mLeaseEndMs, aPoll.mPlan.mToken.mClockMs + kLeaseMs);
      }
    }
  }
  for (const auto& acknowledged : aPoll.mPlan.mAcknowledge) {
    const std::string& name = acknowledged.first;
    const std::uint32_t attempt = acknowledged.second;
    std::erase_if(worker.mOutcomes, [&](const TaskOutcome& aOutcome) {
      if (aOutcome.mJob != name || aOutcome.mAttempt != attempt) {
        return false;
      }
      // A service is never finished: it is started again when it completes.
      if (aOutcome.mResult == TaskResult::Completed &&
          mTable[name].mRow.mSpec.mClass != TaskClass::Service) {
        mFinished.insert(name);
      }
      // A checkpoint of an earlier attempt is no longer expected to be used
      // once a later attempt has started.
      if (mLatestStart[name] == std::pair(aWorker, attempt)) {
        mSavedProgressMs[name] =
          std::max(mSavedProgressMs[name], ProgressOf(aOutcome.mCheckpoint));
      }
      return true;
    });
  }
  const WorkerReport report = MakeReport(worker);
  if (FaultsEnabled() && Chance(5)) {
    return;
  }
  ScheduleAt(mNowMs + RandomDelayMs(), [this, aWorker, aPoll, report] {
    if (aPoll.mEpoch != mEpoch || mNowMs > aPoll.mSentMs + kPollTimeoutMs) {
      return;
    }
    Actions actions;
    HandleReport(mShard, aWorker, report, Now(), actions);
    Execute(actions);
  });
}

WorkerReport
Model::MakeReport(ModelWorker& aWorker)
{
  WorkerReport report;
  report.mToken = { aWorker.mBoot, ClockOf(aWorker) };
  report.mOutcomes = aWorker.mOutcomes;
  for (ModelTask& task : aWorker.mTasks) {
    task.mProgressMs += kPollMs;
    TaskReport shown;
    shown.mJob = task.mJob;
    shown.mAttempt = task.mAttempt;
    shown.mReserved = task.mReserved;
    shown.mUsed = task.mReserved;
    shown.mUsed.mMilliCores = shown.mUsed.mMilliCores *
                              static_cast<std::int64_t>(50 + Random(80)) / 100;
    shown.mCheckpoint = CheckpointName(task.mJob, task.mCheckpointedMs);
    shown.mSinceCheckpoint = Millis(task.mProgressMs - task.mCheckpointedMs);
    report.mTasks.push_back(shown);
  }
  return report;
}

void
Model::CheckFinished()
{
  for (const auto& [name, row] : mTable) {
    if (!row.mDone && mViolations.empty()) {
      const Job* job = FindJob(mShard, name);
      AddViolation(
        name + " did not finish: " +
        (job ? ExplainJob(mShard, *job, Now()) : "unknown to its owner"));
    }
  }
  mEvictions += mShard.mCounters.mEvictions;
}

} // namespace paddle::test
