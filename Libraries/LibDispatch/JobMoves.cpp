#include <LibDispatch/JobMoves.h>

#include <algorithm>
#include <tuple>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/Internal.h>
#include <LibDispatch/PreferredRacks.h>

namespace paddle::dispatch {

namespace {

/// Updates the entries of the job's steps in the waiting steps.
void
UpdateWaitingSteps(Dispatcher& aDispatcher, Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t i = 0; i < occurrence.mSteps.size(); ++i) {
      UpdateWaiting(aDispatcher, aJob, number, i);
    }
  }
}

/// @return whether a run of the job that no task accounts for may go on. The
///         other shard would not hear of its end.
bool
HasOrphanRun(const Dispatcher& aDispatcher, const Job& aJob)
{
  return std::any_of(aDispatcher.mRunners.begin(),
                     aDispatcher.mRunners.end(),
                     [&](const Runner& aRunner) {
                       return std::any_of(aRunner.mOrphans.begin(),
                                          aRunner.mOrphans.end(),
                                          [&](const OrphanRun& aOrphan) {
                                            return aOrphan.mTask.mJob ==
                                                   aJob.mSpec.mId;
                                          });
                     });
}

} // namespace

bool
MayMove(const Dispatcher& aDispatcher, const Job& aJob)
{
  // Until the recovery is complete, a run of an earlier owner may be unseen.
  return aDispatcher.mRecovered && !aJob.mInherited &&
         aJob.mPhase == JobPhase::Active && aJob.mActiveRuns == 0 &&
         aJob.mSpec.mOccurrences == 0 && !aJob.mDirty && !aJob.mHeld &&
         !aJob.mHomeShard && aJob.mTasksElsewhere == 0 &&
         !aDispatcher.mRejectedJobs.contains(aJob.mArrivalNumber) &&
         !HasOrphanRun(aDispatcher, aJob);
}

MonotonicTime
IdleForRoomSince(const Job& aJob)
{
  return std::max(aJob.mIdleSince, aJob.mBudgetWaitedAt);
}

std::vector<Job*>
IdleJobsThatMayMove(Dispatcher& aDispatcher,
                    Millis aIdleTime,
                    MonotonicTime aNow)
{
  std::vector<Job*> jobs;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    Job& job = *entry.mJob;
    if (aNow - IdleForRoomSince(job) > aIdleTime && MayStartNext(entry) &&
        MayMove(aDispatcher, job) && !WaitsForRack(aDispatcher, entry)) {
      jobs.push_back(&job);
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const Job* aLeft, const Job* aRight) {
    return std::tie(aLeft->mIdleSince, aLeft->mArrivalNumber) <
           std::tie(aRight->mIdleSince, aRight->mArrivalNumber);
  });
  // A job is listed once for each of its waiting steps.
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
  return jobs;
}

void
HoldJob(Dispatcher& aDispatcher, Job& aJob)
{
  aJob.mHeld = true;
  UpdateWaitingSteps(aDispatcher, aJob);
}

void
ResumeJob(Dispatcher& aDispatcher, Job& aJob)
{
  aJob.mHeld = false;
  UpdateWaitingSteps(aDispatcher, aJob);
}

void
SetAwaitsMove(Dispatcher& aDispatcher, Job& aJob, bool aAwaitsMove)
{
  aJob.mAwaitsMove = aAwaitsMove;
  UpdateWaitingSteps(aDispatcher, aJob);
}

JobProgress
ProgressForOtherShard(const Job& aJob)
{
  JobProgress progress = ProgressOf(aJob);
  for (auto& [number, steps] : progress.mOccurrences) {
    for (StepProgress& step : steps) {
      for (auto& [index, runs] : step.mFailedRuns) {
        std::fill(runs.begin(), runs.end(), kUnlistedRun);
      }
    }
  }
  return progress;
}

void
RemoveMovedJob(Dispatcher& aDispatcher, Job& aJob)
{
  std::erase(aDispatcher.mDirtyJobs, &aJob);
  aDispatcher.mRejectedJobs.erase(aJob.mArrivalNumber);
  const std::string id = aJob.mSpec.mId;
  aDispatcher.mJobs.erase(id);
}

} // namespace paddle::dispatch
