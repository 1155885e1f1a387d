#include <LibDispatch/Internal.h>

#include <algorithm>
#include <tuple>

#include <LibDispatch/AccountBudget.h>

namespace paddle::dispatch {

namespace {

/// @return the sum of the estimated durations along the longest path through
///         the steps
Millis
CriticalPath(const JobSpec& aSpec)
{
  std::vector<Millis> ends(aSpec.mSteps.size(), Millis(0));
  Millis longest(0);
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    Millis begin(0);
    for (const std::uint32_t before : aSpec.mSteps[i].mPredecessors) {
      begin = std::max(begin, ends[before]);
    }
    ends[i] = begin + aSpec.mSteps[i].mEstimatedDuration;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

/// @return the time by which an occurrence that begins at @p aBegin should end
MonotonicTime
SoftDeadlineOf(const Dispatcher& aDispatcher,
               const Job& aJob,
               MonotonicTime aBegin)
{
  const QueueSpec* queue = FindQueue(aDispatcher, aJob.mSpec.mQueue);
  const double stretch = queue != nullptr ? queue->mStretch : 1;
  const Millis target = queue != nullptr ? queue->mTargetDuration : Millis(0);
  const double criticalPath =
    static_cast<double>(CriticalPath(aJob.mSpec).count());
  return aBegin + Millis(static_cast<Millis::rep>(criticalPath * stretch)) +
         target;
}

/// @return an occurrence of which this owner has started no task
Occurrence
MakeOccurrence(Dispatcher& aDispatcher, const Job& aJob)
{
  Task task;
  task.mMayRunUnseen = aJob.mInherited && !aDispatcher.mRecovered;
  Occurrence occurrence;
  for (const StepSpec& spec : aJob.mSpec.mSteps) {
    Step step;
    step.mTasks.resize(spec.mTaskCount, task);
    step.mWaitingTasks = spec.mTaskCount;
    step.mImageIndex = ImageIndex(aDispatcher.mInterference, spec.mImage);
    occurrence.mSteps.push_back(std::move(step));
  }
  return occurrence;
}

/// Restores the stored progress of an occurrence.
void
ApplyProgress(Job& aJob,
              Occurrence& aOccurrence,
              const std::vector<StepProgress>& aProgress)
{
  for (std::size_t i = 0;
       i < std::min(aProgress.size(), aOccurrence.mSteps.size());
       ++i) {
    Step& step = aOccurrence.mSteps[i];
    const StepProgress& stored = aProgress[i];
    for (std::size_t t = 0;
         t < std::min(stored.mDone.size(), step.mTasks.size());
         ++t) {
      if (stored.mDone[t]) {
        step.mTasks[t].mPhase = TaskPhase::Done;
        ++step.mDoneTasks;
        --step.mWaitingTasks;
      }
    }
    for (const auto& [index, runs] : stored.mFailedRuns) {
      if (index < step.mTasks.size()) {
        step.mTasks[index].mFailedRuns = runs;
      }
    }
    for (const auto& [index, checkpoint] : stored.mCheckpoints) {
      if (index < step.mTasks.size()) {
        step.mTasks[index].mCheckpoint = checkpoint;
      }
    }
    for (const auto& [index, shard] : stored.mElsewhere) {
      if (index < step.mTasks.size() &&
          step.mTasks[index].mPhase == TaskPhase::Waiting) {
        step.mTasks[index].mPhase = TaskPhase::Elsewhere;
        step.mTasks[index].mShard = shard;
        --step.mWaitingTasks;
        ++aJob.mTasksElsewhere;
      }
    }
    if (step.mDoneTasks == step.mTasks.size()) {
      ++aOccurrence.mStepsDone;
    }
  }
}

/// Begins the next occurrence, unless the progress of all unfinished ones would
/// be too large.
/// @return whether it has begun
bool
BeginNextOccurrence(Dispatcher& aDispatcher, Job& aJob, MonotonicTime aNow)
{
  if (!aJob.mOccurrences.empty() &&
      ProgressBytesBound(aJob.mSpec, aJob.mOccurrences.size() + 1) >
        kMaxProgressBytes) {
    if (!aJob.mOccurrenceHeld) {
      Emit(aDispatcher,
           "occurrence_held",
           &aJob,
           "unfinished=" + std::to_string(aJob.mOccurrences.size()) +
             " cause=progress_bytes");
    }
    aJob.mOccurrenceHeld = true;
    return false;
  }
  aJob.mOccurrenceHeld = false;
  const std::uint32_t number = aJob.mOccurrencesBegun++;
  Occurrence occurrence = MakeOccurrence(aDispatcher, aJob);
  const bool timed = aJob.mSpec.mOccurrences > 0;
  occurrence.mBegunAt = timed ? aNow : aJob.mAcceptedAt;
  occurrence.mSoftDeadline =
    SoftDeadlineOf(aDispatcher, aJob, occurrence.mBegunAt);
  aJob.mOccurrences.emplace(number, std::move(occurrence));
  if (timed) {
    if (aJob.mActiveRuns == 0 && aJob.mOccurrences.size() == 1) {
      aJob.mIdleSince = aNow;
    }
    MarkDirty(aDispatcher, aJob);
  }
  MarkReadySteps(aDispatcher, aJob, number, aNow);
  if (timed) {
    AdoptOrphans(aDispatcher, aJob, aNow);
  }
  return true;
}

} // namespace

void
AdoptOrphans(Dispatcher& aDispatcher, Job& aJob, MonotonicTime aNow)
{
  for (RunnerIndex index = 0; index < aDispatcher.mRunners.size(); ++index) {
    Runner& runner = aDispatcher.mRunners[index];
    std::erase_if(runner.mOrphans, [&](const OrphanRun& aOrphan) {
      if (aOrphan.mTask.mJob != aJob.mSpec.mId) {
        return false;
      }
      const TaskRef ref = FindTask(aDispatcher, aOrphan.mTask);
      if (ref.mJob == nullptr) {
        return false;
      }
      Task& task = TaskOf(ref);
      if (task.mPhase != TaskPhase::Waiting) {
        return false;
      }
      MarkSeen(ref);
      --StepOf(ref).mWaitingTasks;
      aJob.mBegan = true;
      // A stop order may be under way, so the run counts as being stopped.
      task.mRun = aOrphan.mRun;
      task.mReported = true;
      task.mPhase = TaskPhase::Stopping;
      task.mStopCause = StopCause::Moved;
      task.mStopSentAt = aOrphan.mStopSentAt;
      task.mStartedAt = aNow;
      AssignToRunner(aDispatcher, index, ref);
      UpdateWaiting(aDispatcher, aJob, ref.mOccurrence, ref.mStep);
      return true;
    });
  }
}

bool
MayRunUnseen(const Dispatcher& aDispatcher, const Task& aTask)
{
  return aTask.mMayRunUnseen && !aDispatcher.mRecovered;
}

void
MarkSeen(const TaskRef& aTask)
{
  if (!TaskOf(aTask).mMayRunUnseen) {
    return;
  }
  TaskOf(aTask).mMayRunUnseen = false;
  const std::vector<StepSpec>& specs = aTask.mJob->mSpec.mSteps;
  std::vector<Step>& steps =
    aTask.mJob->mOccurrences.at(aTask.mOccurrence).mSteps;
  // Predecessors have lower numbers, so one pass finds all that follow.
  std::vector<bool> follows(specs.size(), false);
  follows[aTask.mStep] = true;
  for (std::size_t i = aTask.mStep + 1; i < specs.size(); ++i) {
    follows[i] =
      std::any_of(specs[i].mPredecessors.begin(),
                  specs[i].mPredecessors.end(),
                  [&](std::uint32_t aBefore) { return follows[aBefore]; });
    if (follows[i]) {
      for (Task& task : steps[i].mTasks) {
        task.mMayRunUnseen = false;
      }
    }
  }
}

Millis
RemainingCriticalPath(const Job& aJob,
                      std::uint32_t aOccurrence,
                      std::uint32_t aStep)
{
  const std::vector<StepSpec>& steps = aJob.mSpec.mSteps;
  const Occurrence& occurrence = aJob.mOccurrences.at(aOccurrence);
  std::vector<Millis> ends(steps.size(), Millis(0));
  Millis longest(0);
  for (std::size_t i = aStep; i < steps.size(); ++i) {
    const bool follows =
      i == aStep || std::any_of(steps[i].mPredecessors.begin(),
                                steps[i].mPredecessors.end(),
                                [&](std::uint32_t aBefore) {
                                  return ends[aBefore].count() > 0;
                                });
    const bool done =
      occurrence.mSteps[i].mDoneTasks == occurrence.mSteps[i].mTasks.size();
    if (!follows || done) {
      continue;
    }
    Millis begin(0);
    for (const std::uint32_t before : steps[i].mPredecessors) {
      begin = std::max(begin, ends[before]);
    }
    ends[i] = begin + std::max(Millis(1), steps[i].mEstimatedDuration);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

bool
WaitingStep::operator<(const WaitingStep& aOther) const
{
  // Long-running steps come first, because their tasks must be restarted within
  // seconds.
  const bool finite = mKind == StepKind::Finite;
  const bool otherFinite = aOther.mKind == StepKind::Finite;
  return std::tie(mPriority,
                  finite,
                  mSoftDeadline,
                  mArrivalNumber,
                  mOccurrence,
                  mStep) < std::tie(aOther.mPriority,
                                    otherFinite,
                                    aOther.mSoftDeadline,
                                    aOther.mArrivalNumber,
                                    aOther.mOccurrence,
                                    aOther.mStep);
}

void
UpdateWaiting(Dispatcher& aDispatcher,
              Job& aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep)
{
  const QueueSpec* queue = FindQueue(aDispatcher, aJob.mSpec.mQueue);
  const auto occurrence = aJob.mOccurrences.find(aOccurrence);
  const WaitingStep entry{ queue != nullptr ? queue->mPriority : 0,
                           aJob.mSpec.mSteps[aStep].mKind,
                           occurrence != aJob.mOccurrences.end()
                             ? occurrence->second.mSoftDeadline
                             : MonotonicTime{},
                           aJob.mArrivalNumber,
                           &aJob,
                           aOccurrence,
                           aStep };
  const bool waits = aJob.mPhase == JobPhase::Active && !aJob.mHeld &&
                     !aJob.mAwaitsMove &&
                     occurrence != aJob.mOccurrences.end() &&
                     occurrence->second.mSteps[aStep].mReady &&
                     occurrence->second.mSteps[aStep].mWaitingTasks > 0;
  if (waits) {
    if (aDispatcher.mWaitingSteps.insert(entry).second) {
      aDispatcher.mPlacementDue = true;
    }
  } else {
    aDispatcher.mWaitingSteps.erase(entry);
    if (occurrence != aJob.mOccurrences.end()) {
      occurrence->second.mSteps[aStep].mNoRoomSince.reset();
    }
  }
}

void
MarkReadySteps(Dispatcher& aDispatcher,
               Job& aJob,
               std::uint32_t aOccurrence,
               MonotonicTime aNow)
{
  Occurrence& occurrence = aJob.mOccurrences.at(aOccurrence);
  for (std::uint32_t i = 0; i < occurrence.mSteps.size(); ++i) {
    Step& step = occurrence.mSteps[i];
    if (step.mReady) {
      continue;
    }
    const std::vector<std::uint32_t>& predecessors =
      aJob.mSpec.mSteps[i].mPredecessors;
    const bool predecessorsDone = std::all_of(
      predecessors.begin(), predecessors.end(), [&](std::uint32_t aBefore) {
        const Step& before = occurrence.mSteps[aBefore];
        return before.mDoneTasks == before.mTasks.size();
      });
    // Tasks are handed over only once their step is ready. This shard does not
    // learn of the ends of other steps.
    if (!predecessorsDone && !aJob.mHomeShard) {
      continue;
    }
    step.mReady = true;
    step.mReadySince = aNow;
    step.mRemainingCriticalPath = RemainingCriticalPath(aJob, aOccurrence, i);
    UpdateWaiting(aDispatcher, aJob, aOccurrence, i);
  }
}

void
BeginOccurrences(Dispatcher& aDispatcher,
                 Job& aJob,
                 std::int64_t aUnixMs,
                 MonotonicTime aNow)
{
  if (aJob.mPhase != JobPhase::Active) {
    return;
  }
  const std::uint32_t total = std::max(1U, aJob.mSpec.mOccurrences);
  while (aJob.mOccurrencesBegun < total) {
    const std::int64_t due =
      aJob.mSpec.mFirstDueMs + aJob.mOccurrencesBegun * aJob.mSpec.mIntervalMs;
    if (aJob.mSpec.mOccurrences > 0 && due > aUnixMs) {
      return;
    }
    if (!BeginNextOccurrence(aDispatcher, aJob, aNow)) {
      return;
    }
  }
}

void
BeginOccurrencesThrough(Dispatcher& aDispatcher,
                        Job& aJob,
                        std::uint32_t aOccurrence,
                        MonotonicTime aNow)
{
  if (aJob.mPhase != JobPhase::Active ||
      aOccurrence >= aJob.mSpec.mOccurrences) {
    return;
  }
  while (aJob.mOccurrencesBegun <= aOccurrence) {
    const std::uint32_t number = aJob.mOccurrencesBegun;
    if (!BeginNextOccurrence(aDispatcher, aJob, aNow)) {
      return;
    }
    Emit(aDispatcher,
         "occurrence_inferred",
         &aJob,
         "occurrence=" + std::to_string(number) +
           " seen=" + std::to_string(aOccurrence));
  }
}

void
AddJob(Dispatcher& aDispatcher,
       JobSpec aSpec,
       const JobProgress* aProgress,
       PriorRuns aPriorRuns,
       MonotonicTime aAcceptedAt,
       MonotonicTime aNow)
{
  if (aDispatcher.mJobs.contains(aSpec.mId)) {
    return;
  }
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.mSpec = std::move(aSpec);
  job.mAcceptedAt = aAcceptedAt;
  job.mTakenAt = aNow;
  job.mIdleSince = job.mSpec.mOccurrences > 0 ? aNow : aAcceptedAt;
  job.mArrivalNumber = aDispatcher.mNextArrivalNumber++;
  job.mInherited = aPriorRuns == PriorRuns::Possible && !aDispatcher.mRecovered;
  job.mMayHaveRunBefore = aPriorRuns == PriorRuns::Possible;
  job.mBudget = FindBudget(aDispatcher, job.mSpec.mAccount);
  job.mArrivedAt = aAcceptedAt;
  if (!job.mSpec.mAccount.empty()) {
    aDispatcher.mNewAccountJobs.push_back(job.mSpec.mId);
  }
  aDispatcher.mJobs.emplace(job.mSpec.mId, std::move(owned));
  if (aProgress != nullptr) {
    aDispatcher.mAttemptsUnchecked = true;
    job.mPhase = aProgress->mPhase;
    job.mBegan = aProgress->mBegan;
    job.mHomeShard = aProgress->mHomeShard;
    job.mOccurrencesBegun = aProgress->mOccurrencesBegun;
    job.mOccurrencesDone = aProgress->mOccurrencesDone;
    for (const auto& [number, steps] : aProgress->mOccurrences) {
      Occurrence occurrence = MakeOccurrence(aDispatcher, job);
      // When it was due isn't known here.
      occurrence.mBegunAt = job.mSpec.mOccurrences > 0 ? aNow : aAcceptedAt;
      occurrence.mSoftDeadline = SoftDeadlineOf(aDispatcher, job, aAcceptedAt);
      ApplyProgress(job, occurrence, steps);
      job.mOccurrences.emplace(number, std::move(occurrence));
      MarkReadySteps(aDispatcher, job, number, aNow);
    }
  }
  if (job.mSpec.mOccurrences == 0) {
    BeginOccurrences(aDispatcher, job, 0, aNow);
  }
  AdoptOrphans(aDispatcher, job, aNow);
  if (job.mPhase != JobPhase::Active) {
    MarkDirty(aDispatcher, job);
  }
}

void
EndJob(Dispatcher& aDispatcher,
       Job& aJob,
       JobPhase aPhase,
       MonotonicTime aNow,
       Actions& aActions)
{
  aJob.mPhase = aPhase;
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t i = 0; i < occurrence.mSteps.size(); ++i) {
      UpdateWaiting(aDispatcher, aJob, number, i);
      for (std::uint32_t t = 0; t < occurrence.mSteps[i].mTasks.size(); ++t) {
        const TaskRef ref{ &aJob, number, i, t };
        const TaskPhase phase = TaskOf(ref).mPhase;
        if (phase == TaskPhase::Starting || phase == TaskPhase::Running) {
          BeginStop(aDispatcher, ref, StopCause::Cancelled, aNow, aActions);
        }
      }
    }
  }
  MarkDirty(aDispatcher, aJob);
}

void
CancelJob(Dispatcher& aDispatcher,
          std::string_view aJob,
          MonotonicTime aNow,
          Actions& aActions)
{
  const auto found = aDispatcher.mJobs.find(aJob);
  if (found == aDispatcher.mJobs.end() ||
      found->second->mPhase != JobPhase::Active) {
    return;
  }
  ++aDispatcher.mCounters.mJobsCancelled;
  EndJob(aDispatcher, *found->second, JobPhase::Cancelled, aNow, aActions);
}

void
EraseIfFinished(Dispatcher& aDispatcher, Job& aJob)
{
  if (!aJob.mTerminalCommitted || aJob.mActiveRuns > 0) {
    return;
  }
  const std::string id = aJob.mSpec.mId;
  aDispatcher.mJobs.erase(id);
}

void
MarkDirty(Dispatcher& aDispatcher, Job& aJob)
{
  if (aJob.mTerminalCommitted) {
    return;
  }
  aJob.mChangeSequence = aDispatcher.mCommitSequence;
  if (aJob.mDirty) {
    return;
  }
  aJob.mDirty = true;
  aDispatcher.mDirtyJobs.push_back(&aJob);
}

std::map<std::string, std::uint64_t>
PendingJobs(const Dispatcher& aDispatcher)
{
  std::map<std::string, std::uint64_t> pending;
  for (const auto& [id, job] : aDispatcher.mJobs) {
    if (!job->mBegan && job->mPhase == JobPhase::Active &&
        FindQueue(aDispatcher, job->mSpec.mQueue) != nullptr) {
      ++pending[job->mSpec.mQueue];
    }
  }
  return pending;
}

} // namespace paddle::dispatch
