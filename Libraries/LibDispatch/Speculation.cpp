#include <LibDispatch/Speculation.h>

#include <string>
#include <utility>
#include <vector>

#include <LibDispatch/AccountBudget.h>

namespace paddle::dispatch {

namespace {

/// Silence after which copies are started. A renewal counts as unanswered only
/// after its long poll and a time-out, and is repeated at once: after this
/// time, more than one answer was lost.
constexpr Millis kSilenceBeforeCopy{ 600 };

} // namespace

bool
MayRunCopies(const Dispatcher& aDispatcher, const TaskRef& aTask)
{
  const StepSpec& spec = SpecOf(aTask);
  const Task& task = TaskOf(aTask);
  // A start that was not reported may be carried out late, when its runner has
  // other tasks again.
  return spec.mSpeculationAllowed && spec.mKind == StepKind::Finite &&
         !spec.mGang && task.mPhase == TaskPhase::Running && task.mReported &&
         aTask.mJob->mPhase == JobPhase::Active &&
         FindBudget(aDispatcher, aTask.mJob->mSpec.mAccount) == nullptr;
}

void
GiveUpRun(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          MonotonicTime aNow,
          Actions& aActions)
{
  const Task& task = TaskOf(aTask);
  Runner& runner = aDispatcher.mRunners[task.mRunner];
  OrphanRun orphan{ NameOf(aTask), task.mRun, task.mCheckpoint, {} };
  if (!runner.mSilent) {
    orphan.mStopSentAt = aNow;
    aActions.push_back(StopTask{ task.mRunner, orphan.mTask, orphan.mRun });
  }
  runner.mOrphans.push_back(std::move(orphan));
  EndRun(aDispatcher, aTask, RunOutcome::Interrupted, 0, {}, aNow, aActions);
}

void
CopyTasksOfSilentRunners(Dispatcher& aDispatcher,
                         MonotonicTime aNow,
                         Actions& aActions)
{
  for (const Runner& runner : aDispatcher.mRunners) {
    if (runner.mPhase != RunnerPhase::Live || !runner.mSilent ||
        aNow - runner.mSilentSince < kSilenceBeforeCopy) {
      continue;
    }
    const std::vector<TaskRef> tasks = runner.mTasks;
    for (const TaskRef& ref : tasks) {
      if (!MayRunCopies(aDispatcher, ref)) {
        continue;
      }
      Emit(aDispatcher,
           "task_copied",
           ref.mJob,
           "task=" + FormatTaskName(NameOf(ref)) +
             " run=" + std::to_string(TaskOf(ref).mRun) +
             " runner=" + runner.mSpec.mId + " silent_ms=" +
             std::to_string(
               std::chrono::duration_cast<Millis>(aNow - runner.mSilentSince)
                 .count()));
      ++aDispatcher.mCounters.mCopies;
      GiveUpRun(aDispatcher, ref, aNow, aActions);
      aDispatcher.mPlacementDue = true;
    }
  }
}

} // namespace paddle::dispatch
