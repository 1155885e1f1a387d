#include "Cluster.h"

#include <algorithm>
#include <array>

namespace paddle::bench {

namespace {

constexpr std::array<const char*, 3> kDataCentres{ "dc-1", "dc-2", "dc-3" };
constexpr std::size_t kDataCentreTaken = 1;
constexpr const char* kRunnerPrefix = "runner-";
/// Reports show usage of this many polls ago.
constexpr std::size_t kUsageLagPolls = 4;
constexpr std::int64_t kRunnerMilliCores = 4000;
constexpr double kThrottledSpeed = 0.3;
/// Latency may double before a service reports that its target is missed.
constexpr double kTargetSlowdown = 2;
constexpr std::size_t kStartsPerStep = 1000;

std::size_t
DataCentreOf(std::size_t aMachine, const Deployment& aDeployment)
{
  // Whole racks, so that a data centre leaves with its racks.
  return (aMachine / aDeployment.mRackSize) % kDataCentres.size();
}

double
CoreShare(const ResourceVector& aAmount)
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
  , mShard(MakeShard(PlacementSettings{}, aPolicy, PriorOwner::None, kEpoch))
  , mMachines(aDeployment.mWorkers)
  , mRunnerMachine(aDeployment.mRunners)
  , mBusy(aDeployment.mRunners)
{
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    WorkerSpec spec;
    spec.mName = "w" + std::to_string(i);
    spec.mDataCentre = kDataCentres[DataCentreOf(i, aDeployment)];
    spec.mRack = "r" + std::to_string(i / aDeployment.mRackSize);
    spec.mCapacity = { aDeployment.mCores * 1000, aDeployment.mMemoryMb, 0 };
    SetWorker(mShard, spec);
    // Spread over the racks, so that no single data centre has all of them.
    mMachines[i].mFailsAll =
      i % (mMachines.size() / (aScenario.mBadWorkers + 1)) == 1 &&
      aScenario.mBadWorkers > 0;
  }
  const ResourceVector quota{
    aDeployment.mCores * 1000 * static_cast<std::int64_t>(aDeployment.mWorkers),
    aDeployment.mMemoryMb * static_cast<std::int64_t>(aDeployment.mWorkers),
    0
  };
  for (int team = 0; team < 4; ++team) {
    SetTeam(mShard, "team-" + std::to_string(team), quota, 600, kEpoch);
  }
  SetTeam(mShard, "desk", quota, 600, kEpoch);
  for (const BenchJob& job : mJobs) {
    mByName[job.mSpec.mJob] = &job;
  }
}

bool
Cluster::DataCentreIn(std::size_t aMachine) const
{
  return DataCentreOf(aMachine, mDeployment) != kDataCentreTaken ||
         !mScenario.mDataCentreOut.Contains(mNowS);
}

void
Cluster::RefreshDataCentres()
{
  if (mScenario.mStoreOutage.Contains(mNowS)) {
    return;
  }
  for (std::size_t i = 0; i < kDataCentres.size(); ++i) {
    const bool out =
      i == kDataCentreTaken && mScenario.mDataCentreOut.Contains(mNowS);
    SetDataCentre(mShard, kDataCentres[i], !out, At(mNowS), At(mNowS));
  }
  while (!mUncommitted.empty()) {
    const CommitRow row = mUncommitted.front();
    mUncommitted.pop_front();
    Actions actions;
    HandleCommitted(
      mShard, row.mRow.mSpec.mJob, row.mSequence, At(mNowS), actions);
    Execute(std::move(actions));
  }
}

void
Cluster::SubmitArrived()
{
  Actions actions;
  if (mSteps == 2) {
    for (std::size_t i = 0; i < mDeployment.mRunners; ++i) {
      JobSpec spec;
      spec.mJob = kRunnerPrefix + std::to_string(i);
      spec.mTeam = "desk";
      spec.mClass = TaskClass::Service;
      spec.mDeclared = { kRunnerMilliCores, 8000, 0 };
      AcceptJob(mShard, spec, At(mNowS), actions);
    }
  }
  while (mNextJob < mJobs.size() && mJobs[mNextJob].mArrivesS <= mNowS) {
    AcceptJob(mShard, mJobs[mNextJob].mSpec, At(mNowS), actions);
    ++mNextJob;
  }
  Execute(std::move(actions));
}

void
Cluster::CancelSome()
{
  const bool due = mScenario.mCancelAtS > 0 && mNowS >= mScenario.mCancelAtS &&
                   mNowS < mScenario.mCancelAtS + kStepS;
  if (!due) {
    return;
  }
  Actions actions;
  for (const BenchJob& job : mJobs) {
    if (job.mCancelled) {
      CancelJob(mShard, job.mSpec.mJob, At(mNowS), actions);
    }
  }
  Execute(std::move(actions));
}

ResourceVector
Cluster::UseOf(const Task& aTask) const
{
  if (aTask.mRunner) {
    const double busy = 0.1 + 0.9 * mBusy[*aTask.mRunner];
    return { static_cast<std::int64_t>(kRunnerMilliCores * busy), 8000, 0 };
  }
  ResourceVector use = aTask.mJob->mUse;
  if (aTask.mThrottled) {
    use.mMilliCores = static_cast<std::int64_t>(
      static_cast<double>(use.mMilliCores) * kThrottledSpeed);
  }
  return use;
}

double
Cluster::CoresForBatch(const Machine& aMachine) const
{
  auto cores = static_cast<double>(mDeployment.mCores);
  for (const Task& task : aMachine.mTasks) {
    cores -= task.mRunner ? CoreShare(task.mReserved) : 0;
  }
  return cores;
}

void
Cluster::Measure(std::size_t aMachine)
{
  Machine& machine = mMachines[aMachine];
  const auto cores = static_cast<double>(mDeployment.mCores);
  double used = 0;
  double noise = 0;
  for (const Task& task : machine.mTasks) {
    const double share = CoreShare(UseOf(task)) / cores;
    used += share;
    noise += task.mJob ? share * task.mJob->mNoise : 0;
  }
  machine.mContention = used;
  // Queueing for processors beyond 80% use, and shared caches and memory
  // bandwidth, which suffer with the square of the noisy share.
  machine.mSlowdown =
    std::min(12.0, 1 + std::max(0.0, used - 0.8) * 4 + 6 * noise * noise);
}

void
Cluster::CountProgress(double aCoreS)
{
  mResult.mBatchCoreS += aCoreS;
  if (mScenario.mDataCentreOut.Contains(mNowS)) {
    mResult.mOutCoreS += aCoreS;
  }
}

void
Cluster::Finish(Machine& aMachine, std::size_t aTask, TaskResult aResult)
{
  const Task task = aMachine.mTasks[aTask];
  aMachine.mTasks.erase(aMachine.mTasks.begin() +
                        static_cast<std::ptrdiff_t>(aTask));
  TaskOutcome outcome{ task.mName, task.mAttempt, aResult, "", "exit 1" };
  if (aResult != TaskResult::Completed && task.mSavedS > 0) {
    outcome.mCheckpoint = "checkpoint/" + task.mName;
    mSavedS[task.mName] = task.mSavedS;
  }
  if (task.mJob) {
    // Progress after the latest checkpoint is lost unless the job ended.
    const double lost =
      aResult == TaskResult::Completed ? 0 : task.mDoneS - task.mSavedS;
    CountProgress(-lost * CoreShare(task.mJob->mUse));
    mResult.mFinished += aResult == TaskResult::Completed ? 1 : 0;
  }
  if (task.mRunner) {
    mRunnerMachine[*task.mRunner].reset();
  }
  mRunningOn.erase(task.mName);
  aMachine.mOutcomes.push_back(std::move(outcome));
}

void
Cluster::RunTasks(std::size_t aMachine)
{
  Machine& machine = mMachines[aMachine];
  const double speed = 1 / std::max(1.0, machine.mContention);
  for (std::size_t i = machine.mTasks.size(); i-- > 0;) {
    Task& task = machine.mTasks[i];
    if (machine.mFailsAll) {
      Finish(machine, i, TaskResult::Failed);
      continue;
    }
    if (!task.mJob) {
      continue;
    }
    const double progress =
      std::min(kStepS * speed * (task.mThrottled ? kThrottledSpeed : 1),
               task.mJob->mWorkS - task.mDoneS);
    task.mDoneS += progress;
    CountProgress(progress * CoreShare(task.mJob->mUse));
    if (task.mDoneS >= task.mJob->mWorkS) {
      Finish(machine, i, TaskResult::Completed);
    }
  }
}

std::vector<TaskReport>
Cluster::ReportOf(const Machine& aMachine) const
{
  std::vector<TaskReport> reports;
  for (const Task& task : aMachine.mTasks) {
    TaskReport report;
    report.mJob = task.mName;
    report.mAttempt = task.mAttempt;
    report.mReserved = task.mReserved;
    report.mUsed = UseOf(task);
    report.mSinceCheckpoint =
      Millis(static_cast<Millis::rep>((task.mDoneS - task.mSavedS) * 1000));
    if (task.mSavedS > 0) {
      report.mCheckpoint =
        "checkpoint/" + task.mName + "/" + std::to_string(task.mSavedS);
    }
    report.mLatencyRatio =
      task.mRunner ? aMachine.mSlowdown / kTargetSlowdown : 0;
    reports.push_back(std::move(report));
  }
  return reports;
}

void
Cluster::PollWorker(std::size_t aMachine)
{
  Machine& machine = mMachines[aMachine];
  const PollPlan plan = PlanPoll(mShard, static_cast<WorkerIndex>(aMachine));
  for (const auto& acknowledged : plan.mAcknowledge) {
    std::erase_if(machine.mOutcomes, [&](const TaskOutcome& aOutcome) {
      return std::pair(aOutcome.mJob, aOutcome.mAttempt) == acknowledged;
    });
  }
  machine.mPastReports.push_back(ReportOf(machine));
  if (machine.mPastReports.size() > kUsageLagPolls) {
    machine.mPastReports.pop_front();
  }
  // What runs is current; what it uses is seen late.
  WorkerReport report;
  report.mToken = { 1, static_cast<std::uint64_t>(mNowS * 1000) + 1 };
  report.mTasks = machine.mPastReports.back();
  for (TaskReport& task : report.mTasks) {
    task.mUsed = {};
    task.mLatencyRatio = 0;
    for (const TaskReport& past : machine.mPastReports.front()) {
      if (past.mJob == task.mJob && past.mAttempt == task.mAttempt) {
        task.mUsed = past.mUsed;
        task.mLatencyRatio = past.mLatencyRatio;
      }
    }
  }
  report.mOutcomes = machine.mOutcomes;
  Actions actions;
  HandleReport(
    mShard, static_cast<WorkerIndex>(aMachine), report, At(mNowS), actions);
  Execute(std::move(actions));
}

Cluster::Task*
Cluster::FindTask(std::size_t aMachine,
                  const std::string& aJob,
                  std::uint32_t aAttempt)
{
  for (Task& task : mMachines[aMachine].mTasks) {
    if (task.mName == aJob && task.mAttempt == aAttempt) {
      return &task;
    }
  }
  return nullptr;
}

void
Cluster::Perform(const StartTask& aStart, Actions& aMore)
{
  Machine& machine = mMachines[aStart.mWorker];
  ResourceVector reserved = aStart.mReserved;
  for (const Task& task : machine.mTasks) {
    reserved += task.mReserved;
  }
  const ResourceVector capacity{ mDeployment.mCores * 1000,
                                 mDeployment.mMemoryMb,
                                 0 };
  mResult.mOvercommitted += Fits(reserved, capacity) ? 0 : 1;
  mResult.mDoubled += mRunningOn.contains(aStart.mJob) ? 1 : 0;
  const bool late = !DataCentreIn(aStart.mWorker) &&
                    mNowS > mScenario.mDataCentreOut.mFromS + 3;
  mResult.mLateStarts += late ? 1 : 0;
  ++mResult.mStarts;

  Task task;
  task.mName = aStart.mJob;
  task.mAttempt = aStart.mAttempt;
  task.mReserved = aStart.mReserved;
  const auto job = mByName.find(aStart.mJob);
  if (job != mByName.end()) {
    task.mJob = job->second;
    if (!aStart.mCheckpoint.empty()) {
      task.mSavedS = task.mDoneS = mSavedS[aStart.mJob];
    }
    if (aStart.mClass == TaskClass::Urgent && aStart.mAttempt <= 1) {
      mUrgentWaitsS.push_back(mNowS - job->second->mArrivesS);
    }
  } else {
    task.mRunner =
      std::stoul(aStart.mJob.substr(std::string(kRunnerPrefix).size()));
    mRunnerMachine[*task.mRunner] = aStart.mWorker;
  }
  mRunningOn[aStart.mJob] = aStart.mWorker;
  machine.mTasks.push_back(std::move(task));
  HandleStartAnswer(
    mShard,
    aStart.mWorker,
    aStart.mJob,
    aStart.mAttempt,
    StartAccepted{ static_cast<std::uint64_t>(mNowS * 1000) + 1 },
    At(mNowS),
    aMore);
}

void
Cluster::Perform(const StopTask& aStop, Actions& /*aMore*/)
{
  Task* task = FindTask(aStop.mWorker, aStop.mJob, aStop.mAttempt);
  if (task) {
    Machine& machine = mMachines[aStop.mWorker];
    Finish(machine,
           static_cast<std::size_t>(task - machine.mTasks.data()),
           TaskResult::Stopped);
  }
}

void
Cluster::Perform(const CheckpointTask& aCheckpoint, Actions& /*aMore*/)
{
  if (Task* task =
        FindTask(aCheckpoint.mWorker, aCheckpoint.mJob, aCheckpoint.mAttempt)) {
    task->mSavedS = task->mDoneS;
  }
}

void
Cluster::Perform(const ThrottleTask& aThrottle, Actions& /*aMore*/)
{
  if (Task* task =
        FindTask(aThrottle.mWorker, aThrottle.mJob, aThrottle.mAttempt)) {
    task->mThrottled = aThrottle.mThrottled;
  }
}

void
Cluster::Perform(const CommitRow& aCommit, Actions& aMore)
{
  if (mScenario.mStoreOutage.Contains(mNowS)) {
    mUncommitted.push_back(aCommit);
    return;
  }
  HandleCommitted(
    mShard, aCommit.mRow.mSpec.mJob, aCommit.mSequence, At(mNowS), aMore);
}

void
Cluster::Execute(Actions aActions)
{
  while (!aActions.empty()) {
    Actions more;
    for (const Action& action : aActions) {
      std::visit([&](const auto& aOne) { Perform(aOne, more); }, action);
    }
    aActions = std::move(more);
  }
}

void
Cluster::Step()
{
  ++mSteps;
  mNowS = static_cast<double>(mSteps) * kStepS;
  RefreshDataCentres();
  SubmitArrived();
  CancelSome();
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    Measure(i);
    RunTasks(i);
    if (mScenario.mDataCentreOut.Contains(mNowS) && DataCentreIn(i)) {
      mResult.mOutCapacityS += kStepS * CoresForBatch(mMachines[i]);
    }
    PollWorker(i);
  }
  Actions actions;
  HandleTick(mShard, At(mNowS), actions);
  PlaceQueued(mShard, At(mNowS), kStartsPerStep, actions);
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
  if (!mRunnerMachine[aRunner]) {
    return std::nullopt;
  }
  return mMachines[*mRunnerMachine[aRunner]].mSlowdown;
}

void
Cluster::SetBusy(std::size_t aRunner, double aShare)
{
  mBusy[aRunner] = aShare;
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
