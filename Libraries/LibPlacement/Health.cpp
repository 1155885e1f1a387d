#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle::placement {

namespace {

/// A worker that fails everything must not make jobs look bad.
void
ForgiveJobs(Shard& aShard, WorkerIndex aWorker)
{
  for (const std::string& name : aShard.mWorkers[aWorker].mFailedJobs) {
    if (Job* job = FindJob(aShard, name)) {
      std::erase(job->mFailedOn, aWorker);
    }
  }
}

void
Quarantine(Shard& aShard, WorkerIndex aWorker, MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  const Seconds longer = worker.mQuarantine * 2;
  worker.mQuarantine = std::clamp(
    longer, aShard.mSettings.mQuarantine, aShard.mSettings.mLongestQuarantine);
  worker.mQuarantinedUntil = aNow + worker.mQuarantine;
  worker.mOnProbation = false;
  ForgiveJobs(aShard, aWorker);
  worker.mFailedJobs.clear();
  ++aShard.mCounters.mQuarantines;
  UpdatePool(aShard, aWorker, aNow);
}

bool
IsBatch(const TaskSlot& aSlot)
{
  return aSlot.mClass != TaskClass::Service &&
         aSlot.mEnding == TaskSlot::Ending::No;
}

void
ThrottleBatch(WorkerIndex aIndex,
              Worker& aWorker,
              bool aThrottled,
              Actions& aActions)
{
  for (TaskSlot& slot : aWorker.mSlots) {
    if (IsBatch(slot) && slot.mReported && slot.mThrottled != aThrottled) {
      slot.mThrottled = aThrottled;
      aActions.emplace_back(
        ThrottleTask{ aIndex, slot.mJob, slot.mAttempt, aThrottled });
    }
  }
}

void
EvictOne(Shard& aShard,
         WorkerIndex aWorker,
         MonotonicTime aNow,
         Actions& aActions)
{
  TaskSlot* least = nullptr;
  for (TaskSlot& slot : aShard.mWorkers[aWorker].mSlots) {
    if (IsBatch(slot) && slot.mReported && slot.mTeam &&
        HasEviction(*slot.mTeam, aNow) &&
        (!least || LostWork(slot) < LostWork(*least))) {
      least = &slot;
    }
  }
  if (least && SpendEviction(*least->mTeam, aNow)) {
    EvictSlot(aShard, aWorker, *least, aNow, aActions);
  }
}

/// Latency above its target, or use above the capacity, counts as pressure
/// above 1.
double
Pressure(const Worker& aWorker, double aLatencyRatio)
{
  Amount used;
  for (const TaskSlot& slot : aWorker.mSlots) {
    used += slot.mUsed;
  }
  return std::max(aLatencyRatio, DominantShare(used, aWorker.mSpec.mCapacity));
}

InterferenceStep
Neighbour(InterferenceStep aStep, int aBy)
{
  const int step = std::clamp(static_cast<int>(aStep) + aBy,
                              static_cast<int>(InterferenceStep::None),
                              static_cast<int>(InterferenceStep::Evict));
  return static_cast<InterferenceStep>(step);
}

} // namespace

void
BlameWorker(Shard& aShard,
            WorkerIndex aWorker,
            const std::string& aJob,
            MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  if (std::find(worker.mFailedJobs.begin(), worker.mFailedJobs.end(), aJob) ==
      worker.mFailedJobs.end()) {
    worker.mFailedJobs.push_back(aJob);
  }
  if (worker.mOnProbation ||
      worker.mFailedJobs.size() >= aShard.mSettings.mFailuresToQuarantine) {
    Quarantine(aShard, aWorker, aNow);
  }
}

void
PraiseWorker(Shard& aShard, WorkerIndex aWorker)
{
  Worker& worker = aShard.mWorkers[aWorker];
  worker.mFailedJobs.clear();
  worker.mOnProbation = false;
  worker.mQuarantine = Seconds(0);
}

void
AnswerInterference(Shard& aShard,
                   WorkerIndex aWorker,
                   double aLatencyRatio,
                   MonotonicTime aNow,
                   Actions& aActions)
{
  // Steps up fast and down slowly, and nothing in between, so that noise in
  // lagging measurements does not make the steps swing.
  constexpr double kPressed = 1.0;
  constexpr double kCalm = 0.8;
  constexpr std::uint32_t kReportsUp = 2;
  constexpr std::uint32_t kReportsDown = 5;
  Worker& worker = aShard.mWorkers[aWorker];
  const double pressure = Pressure(worker, aLatencyRatio);
  if (aShard.mPolicy->mPressure == PressureAnswer::EvictAtOnce) {
    if (pressure > kPressed) {
      EvictOne(aShard, aWorker, aNow, aActions);
    }
    return;
  }
  worker.mPressedReports = pressure > kPressed ? worker.mPressedReports + 1 : 0;
  worker.mCalmReports = pressure < kCalm ? worker.mCalmReports + 1 : 0;
  if (worker.mPressedReports >= kReportsUp) {
    worker.mPressedReports = 0;
    worker.mStep = Neighbour(worker.mStep, 1);
    if (worker.mStep == InterferenceStep::Evict) {
      EvictOne(aShard, aWorker, aNow, aActions);
      worker.mStep = InterferenceStep::Throttle;
    }
  } else if (worker.mCalmReports >= kReportsDown) {
    worker.mCalmReports = 0;
    worker.mStep = Neighbour(worker.mStep, -1);
  }
  ThrottleBatch(
    aWorker, worker, worker.mStep >= InterferenceStep::Throttle, aActions);
  UpdatePool(aShard, aWorker, aNow);
}

} // namespace paddle::placement
