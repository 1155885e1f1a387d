#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

void
AcknowledgeStored(const Dispatcher& aDispatcher, Runner& aRunner)
{
  while (!aRunner.mUnstoredEnds.empty() &&
         aRunner.mUnstoredEnds.front().mCommitSequence != kNoCommit &&
         aRunner.mUnstoredEnds.front().mCommitSequence <=
           aDispatcher.mStoredThrough &&
         !aDispatcher.mRejectedJobs.contains(
           aRunner.mUnstoredEnds.front().mJobArrivalNumber)) {
    aRunner.mHighestStoredEnd = aRunner.mUnstoredEnds.front().mNumber;
    aRunner.mUnstoredEnds.pop_front();
  }
}

std::optional<Commit>
TakeCommit(Dispatcher& aDispatcher)
{
  if (aDispatcher.mDirtyJobs.empty()) {
    return {};
  }
  Commit commit;
  commit.mSequence = aDispatcher.mCommitSequence++;
  commit.mJobs = std::move(aDispatcher.mDirtyJobs);
  aDispatcher.mDirtyJobs.clear();
  aDispatcher.mCommitUrgent = false;
  for (Job* job : commit.mJobs) {
    job->mDirty = false;
  }
  return commit;
}

void
HandleCommitted(Dispatcher& aDispatcher,
                const Commit& aCommit,
                std::span<const JobPhase> aPhases)
{
  aDispatcher.mStoredThrough = aCommit.mSequence;
  for (const Job* job : aCommit.mJobs) {
    aDispatcher.mRejectedJobs.erase(job->mArrivalNumber);
  }
  for (Runner& runner : aDispatcher.mRunners) {
    AcknowledgeStored(aDispatcher, runner);
  }
  for (std::size_t i = 0; i < aCommit.mJobs.size(); ++i) {
    if (aPhases[i] != JobPhase::Active) {
      Job& job = *aCommit.mJobs[i];
      job.mTerminalCommitted = true;
      if (job.mDirty) {
        job.mDirty = false;
        std::erase(aDispatcher.mDirtyJobs, &job);
      }
      EraseIfFinished(aDispatcher, job);
    }
  }
}

void
HandleJobRejected(Dispatcher& aDispatcher, Job& aJob)
{
  aDispatcher.mRejectedJobs.emplace(aJob.mArrivalNumber, &aJob);
}

void
RetryRejectedJobs(Dispatcher& aDispatcher)
{
  for (const auto& [number, job] : aDispatcher.mRejectedJobs) {
    MarkDirty(aDispatcher, *job);
  }
}

std::size_t
ProgressBytesBound(const JobSpec& aJob, std::size_t aOccurrences)
{
  std::size_t bytes = kProgressBytesPerOccurrence;
  for (const StepSpec& step : aJob.mSteps) {
    bytes += kProgressBytesPerStep + kProgressBytesPerTask * step.mTaskCount;
  }
  return kProgressBytes + aOccurrences * bytes;
}

JobProgress
ProgressOf(const Job& aJob)
{
  JobProgress progress;
  progress.mPhase = aJob.mPhase;
  progress.mBegan = aJob.mBegan;
  progress.mOccurrencesBegun = aJob.mOccurrencesBegun;
  progress.mOccurrencesDone = aJob.mOccurrencesDone;
  progress.mHomeShard = aJob.mHomeShard;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    std::vector<StepProgress>& steps = progress.mOccurrences[number];
    for (const Step& step : occurrence.mSteps) {
      StepProgress stored;
      for (std::uint32_t t = 0; t < step.mTasks.size(); ++t) {
        const Task& task = step.mTasks[t];
        stored.mDone.push_back(IsDone(task));
        if (IsDone(task)) {
          continue;
        }
        if (task.mPhase == TaskPhase::Elsewhere) {
          stored.mElsewhere.emplace(t, task.mShard);
        }
        if (!task.mFailedRuns.empty()) {
          stored.mFailedRuns.emplace(t, task.mFailedRuns);
        }
        if (!task.mCheckpoint.empty()) {
          stored.mCheckpoints.emplace(t, task.mCheckpoint);
        }
      }
      steps.push_back(std::move(stored));
    }
  }
  return progress;
}

} // namespace paddle::dispatch
