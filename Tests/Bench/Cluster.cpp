#include "Cluster.h"

#include <algorithm>
#include <array>

namespace paddle::bench {

namespace {

constexpr std::array<const char*, 3> kDataCentres{ "dc-1", "dc-2", "dc-3" };
/// Index of the data centre that scenarios take out of service.
constexpr std::size_t kDataCentreTakenOutIndex = 1;
/// Start of the job name of a runner; its index follows.
constexpr const char* kRunnerPrefix = "runner-";
/// Number of the latest polls that are kept. A report shows the usage at the
/// oldest of them, since real usage is measured with a delay.
constexpr std::size_t kUsageLagPolls = 4;
constexpr std::int64_t kRunnerMilliCores = 4000;
/// Speed of a throttled task relative to its full speed.
constexpr double kThrottledSpeed = 0.3;
/// A service reports that it misses its latency target when its latency has
/// more than doubled.
constexpr double kLatencyTargetSlowdown = 2;
/// Most tasks that one step may start.
constexpr std::size_t kMaxStartsPerStep = 1000;

/// @return index of the data centre of a worker
std::size_t
DataCentreOf(std::size_t aWorker, const Deployment& aDeployment)
{
  // Each rack belongs to one data centre as a whole.
  return (aWorker / aDeployment.mWorkersPerRack) % kDataCentres.size();
}

/// @return the number of cores in @p aAmount
double
CoresOf(const ResourceVector& aAmount)
{
  return static_cast<double>(aAmount.mMilliCores) / 1000;
}

} // namespace

Cluster::Cluster(const Deployment& aDeployment,
                 const Scenario& aScenario,
                 const std::vector<BenchJob>& aJobs,
                 const PlacementPolicy& aPolicy)
  : mDeployment(aDeployment)
  , mScenario(aScenario)
  , mJobs(aJobs)
  , mShard(
      MakeShard(PlacementSettings{}, aPolicy, PriorOwner::None, kVirtualStart))
  , mSimulatedWorkers(aDeployment.mWorkerCount)
  , mWorkerOfRunner(aDeployment.mRunnerCount)
  , mBusyShares(aDeployment.mRunnerCount)
{
  for (std::size_t i = 0; i < mSimulatedWorkers.size(); ++i) {
    WorkerSpec spec;
    spec.mName = "w" + std::to_string(i);
    spec.mDataCentre = kDataCentres[DataCentreOf(i, aDeployment)];
    spec.mRack = "r" + std::to_string(i / aDeployment.mWorkersPerRack);
    spec.mCapacity = { aDeployment.mCoresPerWorker * 1000,
                       aDeployment.mMemoryMbPerWorker,
                       0 };
    SetWorker(mShard, spec);
    // Failing workers are spread over the racks, so that they are not all in
    // one data centre.
    mSimulatedWorkers[i].mFailsAllTasks =
      i % (mSimulatedWorkers.size() / (aScenario.mFailingWorkerCount + 1)) ==
        1 &&
      aScenario.mFailingWorkerCount > 0;
  }
  const ResourceVector quota{
    aDeployment.mCoresPerWorker * 1000 *
      static_cast<std::int64_t>(aDeployment.mWorkerCount),
    aDeployment.mMemoryMbPerWorker *
      static_cast<std::int64_t>(aDeployment.mWorkerCount),
    0
  };
  for (int team = 0; team < 4; ++team) {
    SetTeam(mShard, "team-" + std::to_string(team), quota, 600, kVirtualStart);
  }
  SetTeam(mShard, "desk", quota, 600, kVirtualStart);
  for (const BenchJob& job : mJobs) {
    mJobsByName[job.mSpec.mJob] = &job;
  }
}

bool
Cluster::DataCentreInService(std::size_t aWorker) const
{
  return DataCentreOf(aWorker, mDeployment) != kDataCentreTakenOutIndex ||
         !mScenario.mDataCentreOutOfService.Contains(mNowS);
}

void
Cluster::SyncWithTableService()
{
  if (mScenario.mStoreOutage.Contains(mNowS)) {
    return;
  }
  for (std::size_t i = 0; i < kDataCentres.size(); ++i) {
    const bool out = i == kDataCentreTakenOutIndex &&
                     mScenario.mDataCentreOutOfService.Contains(mNowS);
    SetDataCentre(mShard,
                  kDataCentres[i],
                  !out,
                  VirtualTimeAt(mNowS),
                  VirtualTimeAt(mNowS));
  }
  while (!mUncommittedRows.empty()) {
    const CommitRow row = mUncommittedRows.front();
    mUncommittedRows.pop_front();
    Actions actions;
    HandleCommitted(mShard,
                    row.mRow.mSpec.mJob,
                    row.mSequence,
                    VirtualTimeAt(mNowS),
                    actions);
    Execute(std::move(actions));
  }
}

void
Cluster::SubmitArrived()
{
  Actions actions;
  if (mSteps == 2) {
    for (std::size_t i = 0; i < mDeployment.mRunnerCount; ++i) {
      JobSpec spec;
      spec.mJob = kRunnerPrefix + std::to_string(i);
      spec.mTeam = "desk";
      spec.mClass = TaskClass::Service;
      spec.mDeclared = { kRunnerMilliCores, 8000, 0 };
      AcceptJob(mShard, spec, VirtualTimeAt(mNowS), actions);
    }
  }
  while (mNextJob < mJobs.size() && mJobs[mNextJob].mArrivalS <= mNowS) {
    AcceptJob(mShard, mJobs[mNextJob].mSpec, VirtualTimeAt(mNowS), actions);
    ++mNextJob;
  }
  Execute(std::move(actions));
}

void
Cluster::CancelWaveJobs()
{
  const bool due = mScenario.mCancellationAtS > 0 &&
                   mNowS >= mScenario.mCancellationAtS &&
                   mNowS < mScenario.mCancellationAtS + kStepS;
  if (!due) {
    return;
  }
  Actions actions;
  for (const BenchJob& job : mJobs) {
    if (job.mInCancellationWave) {
      CancelJob(mShard, job.mSpec.mJob, VirtualTimeAt(mNowS), actions);
    }
  }
  Execute(std::move(actions));
}

ResourceVector
Cluster::UsageOf(const Task& aTask) const
{
  if (aTask.mRunner) {
    const double busy = 0.1 + 0.9 * mBusyShares[*aTask.mRunner];
    return { static_cast<std::int64_t>(kRunnerMilliCores * busy), 8000, 0 };
  }
  ResourceVector use = aTask.mJob->mTrueUse;
  if (aTask.mThrottled) {
    use.mMilliCores = static_cast<std::int64_t>(
      static_cast<double>(use.mMilliCores) * kThrottledSpeed);
  }
  return use;
}

double
Cluster::CoresForBatch(const SimulatedWorker& aWorker) const
{
  auto cores = static_cast<double>(mDeployment.mCoresPerWorker);
  for (const Task& task : aWorker.mTasks) {
    cores -= task.mRunner ? CoresOf(task.mReserved) : 0;
  }
  return cores;
}

void
Cluster::UpdateInterference(std::size_t aWorker)
{
  SimulatedWorker& worker = mSimulatedWorkers[aWorker];
  const auto cores = static_cast<double>(mDeployment.mCoresPerWorker);
  double used = 0;
  double noise = 0;
  for (const Task& task : worker.mTasks) {
    const double share = CoresOf(UsageOf(task)) / cores;
    used += share;
    noise += task.mJob ? share * task.mJob->mNoisyShare : 0;
  }
  worker.mUtilization = used;
  // Requests queue for processors when more than 80% of the cores are used.
  // Contention for caches and memory bandwidth grows with the square of the
  // noisy share.
  worker.mSlowdown =
    std::min(12.0, 1 + std::max(0.0, used - 0.8) * 4 + 6 * noise * noise);
}

void
Cluster::CountProgress(double aCoreS)
{
  mResult.mBatchCoreS += aCoreS;
  if (mScenario.mDataCentreOutOfService.Contains(mNowS)) {
    mResult.mOutOfServiceBatchCoreS += aCoreS;
  }
}

void
Cluster::FinishTask(SimulatedWorker& aWorker,
                    std::size_t aTask,
                    TaskResult aResult)
{
  const Task task = aWorker.mTasks[aTask];
  aWorker.mTasks.erase(aWorker.mTasks.begin() +
                       static_cast<std::ptrdiff_t>(aTask));
  TaskOutcome outcome{ task.mName, task.mAttempt, aResult, "", "exit 1" };
  if (aResult != TaskResult::Completed && task.mCheckpointedS > 0) {
    outcome.mCheckpoint = "checkpoint/" + task.mName;
    mCheckpointedS[task.mName] = task.mCheckpointedS;
  }
  if (task.mJob) {
    // Progress since the latest checkpoint is lost, unless the job is complete.
    const double lost = aResult == TaskResult::Completed
                          ? 0
                          : task.mProgressS - task.mCheckpointedS;
    CountProgress(-lost * CoresOf(task.mJob->mTrueUse));
    mResult.mFinished += aResult == TaskResult::Completed ? 1 : 0;
  }
  if (task.mRunner) {
    mWorkerOfRunner[*task.mRunner].reset();
  }
  mRunningOn.erase(task.mName);
  aWorker.mOutcomes.push_back(std::move(outcome));
}

void
Cluster::RunTasks(std::size_t aWorker)
{
  SimulatedWorker& worker = mSimulatedWorkers[aWorker];
  const double speed = 1 / std::max(1.0, worker.mUtilization);
  for (std::size_t i = worker.mTasks.size(); i-- > 0;) {
    Task& task = worker.mTasks[i];
    if (worker.mFailsAllTasks) {
      FinishTask(worker, i, TaskResult::Failed);
      continue;
    }
    if (!task.mJob) {
      continue;
    }
    const double progress =
      std::min(kStepS * speed * (task.mThrottled ? kThrottledSpeed : 1),
               task.mJob->mTrueRunTimeS - task.mProgressS);
    task.mProgressS += progress;
    CountProgress(progress * CoresOf(task.mJob->mTrueUse));
    if (task.mProgressS >= task.mJob->mTrueRunTimeS) {
      FinishTask(worker, i, TaskResult::Completed);
    }
  }
}

std::vector<TaskReport>
Cluster::TaskReportsOf(const SimulatedWorker& aWorker) const
{
  std::vector<TaskReport> reports;
  for (const Task& task : aWorker.mTasks) {
    TaskReport report;
    report.mJob = task.mName;
    report.mAttempt = task.mAttempt;
    report.mReserved = task.mReserved;
    report.mUsed = UsageOf(task);
    report.mSinceCheckpoint = Millis(
      static_cast<Millis::rep>((task.mProgressS - task.mCheckpointedS) * 1000));
    if (task.mCheckpointedS > 0) {
      report.mCheckpoint =
        "checkpoint/" + task.mName + "/" + std::to_string(task.mCheckpointedS);
    }
    report.mLatencyRatio =
      task.mRunner ? aWorker.mSlowdown / kLatencyTargetSlowdown : 0;
    reports.push_back(std::move(report));
  }
  return reports;
}

void
Cluster::PollWorker(std::size_t aWorker)
{
  SimulatedWorker& worker = mSimulatedWorkers[aWorker];
  const PollPlan plan = PlanPoll(mShard, static_cast<WorkerIndex>(aWorker));
  for (const auto& acknowledged : plan.mAcknowledge) {
    std::erase_if(worker.mOutcomes, [&](const TaskOutcome& aOutcome) {
      return std::pair(aOutcome.mJob, aOutcome.mAttempt) == acknowledged;
    });
  }
  worker.mPastReports.push_back(TaskReportsOf(worker));
  if (worker.mPastReports.size() > kUsageLagPolls) {
    worker.mPastReports.pop_front();
  }
  // The list of tasks is current, but their usage and latency are those of the
  // oldest report kept.
  WorkerReport report;
  report.mToken = { 1, static_cast<std::uint64_t>(mNowS * 1000) + 1 };
  report.mTasks = worker.mPastReports.back();
  for (TaskReport& task : report.mTasks) {
    task.mUsed = {};
    task.mLatencyRatio = 0;
    for (const TaskReport& past : worker.mPastReports.front()) {
      if (past.mJob == task.mJob && past.mAttempt == task.mAttempt) {
        task.mUsed = past.mUsed;
        task.mLatencyRatio = past.mLatencyRatio;
      }
    }
  }
  report.mOutcomes = worker.mOutcomes;
  Actions actions;
  HandleReport(mShard,
               static_cast<WorkerIndex>(aWorker),
               report,
               VirtualTimeAt(mNowS),
               actions);
  Execute(std::move(actions));
}

Cluster::Task*
Cluster::FindTask(std::size_t aWorker,
                  const std::string& aJob,
                  std::uint32_t aAttempt)
{
  for (Task& task : mSimulatedWorkers[aWorker].mTasks) {
    if (task.mName == aJob && task.mAttempt == aAttempt) {
      return &task;
    }
  }
  return nullptr;
}

void
Cluster::Perform(const StartTask& aStart, Actions& aFollowUpActions)
{
  SimulatedWorker& worker = mSimulatedWorkers[aStart.mWorker];
  ResourceVector reserved = aStart.mReserved;
  for (const Task& task : worker.mTasks) {
    reserved += task.mReserved;
  }
  const ResourceVector capacity{ mDeployment.mCoresPerWorker * 1000,
                                 mDeployment.mMemoryMbPerWorker,
                                 0 };
  mResult.mOvercommittedStarts += Fits(reserved, capacity) ? 0 : 1;
  mResult.mDuplicateStarts += mRunningOn.contains(aStart.mJob) ? 1 : 0;
  const bool late = !DataCentreInService(aStart.mWorker) &&
                    mNowS > mScenario.mDataCentreOutOfService.mFromS + 3;
  mResult.mLateStarts += late ? 1 : 0;
  ++mResult.mStarts;

  Task task;
  task.mName = aStart.mJob;
  task.mAttempt = aStart.mAttempt;
  task.mReserved = aStart.mReserved;
  const auto job = mJobsByName.find(aStart.mJob);
  if (job != mJobsByName.end()) {
    task.mJob = job->second;
    if (!aStart.mCheckpoint.empty()) {
      task.mCheckpointedS = task.mProgressS = mCheckpointedS[aStart.mJob];
    }
    if (aStart.mClass == TaskClass::Urgent && aStart.mAttempt <= 1) {
      mUrgentWaitsS.push_back(mNowS - job->second->mArrivalS);
    }
  } else {
    task.mRunner =
      std::stoul(aStart.mJob.substr(std::string(kRunnerPrefix).size()));
    mWorkerOfRunner[*task.mRunner] = aStart.mWorker;
  }
  mRunningOn[aStart.mJob] = aStart.mWorker;
  worker.mTasks.push_back(std::move(task));
  HandleStartAnswer(
    mShard,
    aStart.mWorker,
    aStart.mJob,
    aStart.mAttempt,
    StartAccepted{ static_cast<std::uint64_t>(mNowS * 1000) + 1 },
    VirtualTimeAt(mNowS),
    aFollowUpActions);
}

void
Cluster::Perform(const StopTask& aStop, Actions& /*aFollowUpActions*/)
{
  Task* task = FindTask(aStop.mWorker, aStop.mJob, aStop.mAttempt);
  if (task) {
    SimulatedWorker& worker = mSimulatedWorkers[aStop.mWorker];
    FinishTask(worker,
               static_cast<std::size_t>(task - worker.mTasks.data()),
               TaskResult::Stopped);
  }
}

void
Cluster::Perform(const CheckpointTask& aCheckpoint,
                 Actions& /*aFollowUpActions*/)
{
  if (Task* task =
        FindTask(aCheckpoint.mWorker, aCheckpoint.mJob, aCheckpoint.mAttempt)) {
    task->mCheckpointedS = task->mProgressS;
  }
}

void
Cluster::Perform(const ThrottleTask& aThrottle, Actions& /*aFollowUpActions*/)
{
  if (Task* task =
        FindTask(aThrottle.mWorker, aThrottle.mJob, aThrottle.mAttempt)) {
    task->mThrottled = aThrottle.mThrottled;
  }
}

void
Cluster::Perform(const CommitRow& aCommit, Actions& aFollowUpActions)
{
  if (mScenario.mStoreOutage.Contains(mNowS)) {
    mUncommittedRows.push_back(aCommit);
    return;
  }
  HandleCommitted(mShard,
                  aCommit.mRow.mSpec.mJob,
                  aCommit.mSequence,
                  VirtualTimeAt(mNowS),
                  aFollowUpActions);
}

void
Cluster::Execute(Actions aActions)
{
  while (!aActions.empty()) {
    Actions followUpActions;
    for (const Action& action : aActions) {
      std::visit(
        [&](const auto& aSpecificAction) {
          Perform(aSpecificAction, followUpActions);
        },
        action);
    }
    aActions = std::move(followUpActions);
  }
}

void
Cluster::Step()
{
  ++mSteps;
  mNowS = static_cast<double>(mSteps) * kStepS;
  SyncWithTableService();
  SubmitArrived();
  CancelWaveJobs();
  for (std::size_t i = 0; i < mSimulatedWorkers.size(); ++i) {
    UpdateInterference(i);
    RunTasks(i);
    if (mScenario.mDataCentreOutOfService.Contains(mNowS) &&
        DataCentreInService(i)) {
      mResult.mOutOfServiceCapacityCoreS +=
        kStepS * CoresForBatch(mSimulatedWorkers[i]);
    }
    PollWorker(i);
  }
  Actions actions;
  HandleTick(mShard, VirtualTimeAt(mNowS), actions);
  PlaceQueued(mShard, VirtualTimeAt(mNowS), kMaxStartsPerStep, actions);
  Execute(std::move(actions));
}

void
Cluster::AdvanceTo(double aSecond)
{
  while (mNowS + kStepS <= aSecond) {
    Step();
  }
}

std::optional<double>
Cluster::Slowdown(std::size_t aRunner) const
{
  if (!mWorkerOfRunner[aRunner]) {
    return std::nullopt;
  }
  return mSimulatedWorkers[*mWorkerOfRunner[aRunner]].mSlowdown;
}

void
Cluster::SetBusy(std::size_t aRunner, double aShare)
{
  mBusyShares[aRunner] = aShare;
}

ClusterResult
Cluster::Result() const
{
  ClusterResult result = mResult;
  result.mEvictions = mShard.mCounters.mEvictions;
  std::vector<double> waits = mUrgentWaitsS;
  if (!waits.empty()) {
    std::sort(waits.begin(), waits.end());
    result.mUrgentWaitP99S = waits[waits.size() * 99 / 100];
  }
  return result;
}

} // namespace paddle::bench
