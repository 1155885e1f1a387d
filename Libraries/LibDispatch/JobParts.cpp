#include <LibDispatch/JobParts.h>

#include <algorithm>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

namespace {

/// Only jobs that run once have parts, so that they have one occurrence.
constexpr std::uint32_t kOccurrence = 0;

/// @return the step of the job's occurrence, or null if there is none
Step*
FindStep(Job& aJob, std::uint32_t aStep)
{
  const auto occurrence = aJob.mOccurrences.find(kOccurrence);
  if (occurrence == aJob.mOccurrences.end() ||
      aStep >= occurrence->second.mSteps.size()) {
    return nullptr;
  }
  return &occurrence->second.mSteps[aStep];
}

} // namespace

std::vector<StepWithoutRoom>
StepsWithoutRoom(Dispatcher& aDispatcher, Millis aWait, MonotonicTime aNow)
{
  std::vector<StepWithoutRoom> steps;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const Job& job = *entry.mJob;
    const Step& step = StepOf(entry);
    if (entry.mKind != StepKind::LongRunning || job.mSpec.mOccurrences > 0 ||
        job.mSpec.mSteps[entry.mStep].mGang || !step.mNoRoomSince ||
        aNow - *step.mNoRoomSince <= aWait) {
      continue;
    }
    StepWithoutRoom found{ entry.mJob, entry.mStep, {}, *step.mNoRoomSince };
    for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
      if (step.mTasks[i].mPhase == TaskPhase::Waiting &&
          !MayRunUnseen(aDispatcher, step.mTasks[i])) {
        found.mTasks.push_back(i);
      }
    }
    if (!found.mTasks.empty()) {
      steps.push_back(std::move(found));
    }
  }
  return steps;
}

std::vector<std::uint32_t>
SetElsewhere(Dispatcher& aDispatcher,
             Job& aJob,
             std::uint32_t aStep,
             std::span<const std::uint32_t> aTasks,
             std::uint32_t aShard)
{
  std::vector<std::uint32_t> marked;
  Step* step = FindStep(aJob, aStep);
  if (step == nullptr || aJob.mPhase != JobPhase::Active) {
    return marked;
  }
  for (const std::uint32_t index : aTasks) {
    if (index >= step->mTasks.size()) {
      continue;
    }
    Task& task = step->mTasks[index];
    if (task.mPhase != TaskPhase::Waiting || MayRunUnseen(aDispatcher, task)) {
      continue;
    }
    task.mPhase = TaskPhase::Elsewhere;
    task.mShard = aShard;
    --step->mWaitingTasks;
    ++aJob.mTasksElsewhere;
    marked.push_back(index);
  }
  UpdateWaiting(aDispatcher, aJob, kOccurrence, aStep);
  return marked;
}

void
TakeFrom(Dispatcher& aDispatcher,
         Job& aJob,
         std::uint32_t aStep,
         std::span<const std::uint32_t> aTasks,
         std::uint32_t aShard,
         PriorRuns aPriorRuns,
         MonotonicTime aNow)
{
  Step* step = FindStep(aJob, aStep);
  if (step == nullptr) {
    return;
  }
  for (const std::uint32_t index : aTasks) {
    if (index >= step->mTasks.size()) {
      continue;
    }
    Task& task = step->mTasks[index];
    if (task.mPhase != TaskPhase::Elsewhere || task.mShard != aShard) {
      continue;
    }
    task.mPhase = TaskPhase::Waiting;
    task.mMayRunUnseen =
      aPriorRuns == PriorRuns::Possible && !aDispatcher.mRecovered;
    ++step->mWaitingTasks;
    --aJob.mTasksElsewhere;
  }
  step->mNoRoomSince.reset();
  MarkReadySteps(aDispatcher, aJob, kOccurrence, aNow);
  UpdateWaiting(aDispatcher, aJob, kOccurrence, aStep);
  AdoptOrphans(aDispatcher, aJob, aNow);
  aDispatcher.mPlacementDue = true;
}

void
SetCheckpoint(Job& aJob,
              std::uint32_t aStep,
              std::uint32_t aIndex,
              std::string_view aCheckpoint)
{
  Step* step = FindStep(aJob, aStep);
  if (step != nullptr && aIndex < step->mTasks.size() &&
      step->mTasks[aIndex].mPhase == TaskPhase::Waiting) {
    step->mTasks[aIndex].mCheckpoint = aCheckpoint;
  }
}

void
NoteChange(Dispatcher& aDispatcher, Job& aJob)
{
  MarkDirty(aDispatcher, aJob);
}

std::set<std::uint32_t>
OtherShardsOf(const Job& aJob)
{
  std::set<std::uint32_t> shards;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (const Step& step : occurrence.mSteps) {
      for (const Task& task : step.mTasks) {
        if (task.mPhase == TaskPhase::Elsewhere) {
          shards.insert(task.mShard);
        }
      }
    }
  }
  return shards;
}

std::uint32_t
TasksInShard(const Job& aJob, std::uint32_t aStep, std::uint32_t aShard)
{
  const std::vector<Task>& tasks =
    aJob.mOccurrences.at(kOccurrence).mSteps[aStep].mTasks;
  return static_cast<std::uint32_t>(
    std::count_if(tasks.begin(), tasks.end(), [&](const Task& aTask) {
      return aTask.mPhase == TaskPhase::Elsewhere && aTask.mShard == aShard;
    }));
}

bool
IsEmptyPart(const Job& aJob)
{
  const auto isGone = [](const Task& aTask) {
    return aTask.mPhase == TaskPhase::Elsewhere ||
           aTask.mPhase == TaskPhase::Done;
  };
  return aJob.mHomeShard &&
         std::all_of(aJob.mOccurrences.begin(),
                     aJob.mOccurrences.end(),
                     [&](const auto& aEntry) {
                       return std::all_of(
                         aEntry.second.mSteps.begin(),
                         aEntry.second.mSteps.end(),
                         [&](const Step& aStep) {
                           return std::all_of(
                             aStep.mTasks.begin(), aStep.mTasks.end(), isGone);
                         });
                     });
}

JobProgress
ProgressOfNewPart(const Job& aJob, std::uint32_t aHomeShard)
{
  JobProgress progress;
  progress.mBegan = true;
  progress.mOccurrencesBegun = aJob.mOccurrencesBegun;
  progress.mHomeShard = aHomeShard;
  std::vector<StepProgress>& steps = progress.mOccurrences[kOccurrence];
  for (const StepSpec& spec : aJob.mSpec.mSteps) {
    StepProgress& step = steps.emplace_back();
    step.mDone.resize(spec.mTaskCount, false);
    for (std::uint32_t i = 0; i < spec.mTaskCount; ++i) {
      step.mElsewhere.emplace(i, aHomeShard);
    }
  }
  return progress;
}

} // namespace paddle::dispatch
