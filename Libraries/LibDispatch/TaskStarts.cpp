#include <LibDispatch/TaskStarts.h>

#include <algorithm>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/PreferredRacks.h>

namespace paddle::dispatch {

void
Start(Dispatcher& aDispatcher,
      const TaskRef& aTask,
      RunnerIndex aRunner,
      std::int64_t aRun,
      MonotonicTime aNow,
      Actions& aActions)
{
  Task& task = TaskOf(aTask);
  Step& step = StepOf(aTask);
  task.mPhase = TaskPhase::Starting;
  task.mStopCause = StopCause::None;
  task.mRun = aRun;
  task.mStartedAt = aNow;
  task.mPacePercent = 100;
  task.mPaceConfirmed = true;
  task.mPaceSentAt = aNow;
  task.mLowPaceSince.reset();
  task.mReportedLoad = 0;
  task.mCpuUseRatio = kDefaultCpuUseRatio;
  --step.mWaitingTasks;
  AssignToRunner(aDispatcher, aRunner, aTask);
  Runner& runner = aDispatcher.mRunners[aRunner];
  ++aDispatcher.mCounters.mStarts;
  if (IsSurplus(aDispatcher, *aTask.mJob)) {
    ++aDispatcher.mCounters.mSurplusStarts;
  }
  CountUnansweredStart(aDispatcher, runner, 1);
  task.mStartLeaseEndMs = GrantLease(aDispatcher, runner, aNow);
  aActions.push_back(StartTask{ aRunner, aTask, aRun, task.mStartLeaseEndMs });
}

void
MarkOvercommitted(Dispatcher& aDispatcher, const TaskRef& aTask)
{
  Task& task = TaskOf(aTask);
  task.mOvercommitted = true;
  aDispatcher.mRunners[task.mRunner].mOvercommittedMilliCores +=
    SpecOf(aTask).mDemand.mMilliCores;
}

namespace {

/// Starts all tasks of a gang on some of the candidates, or none.
/// @return whether they were started
bool
StartGangOn(Dispatcher& aDispatcher,
            std::span<const RunnerIndex> aCandidates,
            const WaitingStep& aWaiting,
            const std::string& aService,
            Overcommit aOvercommit,
            MonotonicTime aNow,
            Actions& aActions)
{
  Job& job = *aWaiting.mJob;
  Step& step = StepOf(aWaiting);
  if (step.mWaitingTasks < step.mTasks.size()) {
    // Some members of the former run have not ended yet.
    return false;
  }
  if (!MayStartNext(aWaiting)) {
    return false;
  }
  if (std::any_of(
        step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
          return MayRunUnseen(aDispatcher, aTask);
        })) {
    return false;
  }
  std::string checkpoint;
  for (const Task& task : step.mTasks) {
    if (!task.mCheckpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
  }
  Actions starts;
  const MonotonicTime idleSince = job.mIdleSince;
  const DispatchCounters countersBefore = aDispatcher.mCounters;
  const std::int64_t run = aDispatcher.mNextRun++;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const TaskRef ref{ &job, aWaiting.mOccurrence, aWaiting.mStep, i };
    const RunnerIndex runner =
      ChooseRunner(aDispatcher, aCandidates, ref, aService, aOvercommit, aNow);
    if (runner == kNoRunner) {
      for (std::uint32_t back = 0; back < i; ++back) {
        EndRun(aDispatcher,
               { &job, aWaiting.mOccurrence, aWaiting.mStep, back },
               RunOutcome::Interrupted,
               0,
               {},
               aNow,
               starts);
      }
      // No order was sent.
      job.mIdleSince = idleSince;
      aDispatcher.mCounters.mStarts = countersBefore.mStarts;
      aDispatcher.mCounters.mSurplusStarts = countersBefore.mSurplusStarts;
      return false;
    }
    step.mTasks[i].mCheckpoint = checkpoint;
    Start(aDispatcher, ref, runner, run, aNow, starts);
    if (aOvercommit != Overcommit::No) {
      MarkOvercommitted(aDispatcher, ref);
    }
  }
  aActions.insert(aActions.end(), starts.begin(), starts.end());
  return true;
}

} // namespace

bool
StartGang(Dispatcher& aDispatcher,
          std::span<const RunnerIndex> aCandidates,
          const WaitingStep& aWaiting,
          const std::string& aService,
          Overcommit aOvercommit,
          MonotonicTime aNow,
          Actions& aActions)
{
  const auto startOn = [&](std::span<const RunnerIndex> aRunners) {
    return StartGangOn(
      aDispatcher, aRunners, aWaiting, aService, aOvercommit, aNow, aActions);
  };
  const GangPlace place = ChooseGangPlace(
    aDispatcher, aCandidates, aWaiting, aService, aOvercommit, aNow);
  if (place.mWaits) {
    return false;
  }
  return (!place.mCandidates.empty() && startOn(place.mCandidates)) ||
         startOn(aCandidates);
}

} // namespace paddle::dispatch
