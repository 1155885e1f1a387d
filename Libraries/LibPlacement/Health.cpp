#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle::placement {

namespace {

/// Removes the worker from the failures of the jobs that failed on it, because
/// failures on a faulty worker say nothing about the jobs.
void
ClearJobFailures(Shard& aShard, WorkerIndex aWorker)
{
  for (const std::string& name : aShard.mWorkers[aWorker].mFailedJobs) {
    if (Job* job = FindJob(aShard, name)) {
      std::erase(job->mFailedOn, aWorker);
    }
  }
}

/// Stops placing on the worker for a time that doubles with each quarantine.
void
Quarantine(Shard& aShard, WorkerIndex aWorker, MonotonicTime aNow)
{
  Worker& worker = aShard.mWorkers[aWorker];
  const Seconds longer = worker.mQuarantine * 2;
  worker.mQuarantine = std::clamp(
    longer, aShard.mSettings.mQuarantine, aShard.mSettings.mMaxQuarantine);
  worker.mQuarantinedUntil = aNow + worker.mQuarantine;
  worker.mOnProbation = false;
  ClearJobFailures(aShard, aWorker);
  worker.mFailedJobs.clear();
  ++aShard.mCounters.mQuarantines;
  UpdatePool(aShard, aWorker, aNow);
}

/// @return whether the slot's task is a batch task that is not being terminated
bool
IsActiveBatch(const TaskSlot& aSlot)
{
  return aSlot.mClass != TaskClass::Service &&
         aSlot.mTermination == TaskSlot::Termination::None;
}

/// Throttles all batch tasks of the worker, or ends their throttling.
void
ThrottleBatch(WorkerIndex aIndex,
              Worker& aWorker,
              bool aThrottled,
              Actions& aActions)
{
  for (TaskSlot& slot : aWorker.mSlots) {
    if (IsActiveBatch(slot) && slot.mReported &&
        slot.mThrottled != aThrottled) {
      slot.mThrottled = aThrottled;
      aActions.emplace_back(
        ThrottleTask{ aIndex, slot.mJob, slot.mAttempt, aThrottled });
    }
  }
}

/// Evicts the batch task that loses the least work, if its team's budget of
/// evictions allows it.
void
EvictCheapestBatchTask(Shard& aShard,
                       WorkerIndex aWorker,
                       MonotonicTime aNow,
                       Actions& aActions)
{
  TaskSlot* least = nullptr;
  for (TaskSlot& slot : aShard.mWorkers[aWorker].mSlots) {
    if (IsActiveBatch(slot) && slot.mReported && slot.mTeam &&
        HasEvictionBudget(*slot.mTeam, aNow) &&
        (!least || LostCoreSeconds(slot) < LostCoreSeconds(*least))) {
      least = &slot;
    }
  }
  if (least && SpendEvictionBudget(*least->mTeam, aNow)) {
    EvictSlot(aShard, aWorker, *least, aNow, aActions);
  }
}

/// @return the larger of the latency ratio and the used share of the capacity;
///         above 1, a service misses its target or the worker is overloaded
double
Pressure(const Worker& aWorker, double aLatencyRatio)
{
  ResourceVector used;
  for (const TaskSlot& slot : aWorker.mSlots) {
    used += slot.mUsed;
  }
  return std::max(aLatencyRatio, DominantShare(used, aWorker.mSpec.mCapacity));
}

/// @return the step @p aOffset steps away, limited to the existing ones
InterferenceStep
OffsetStep(InterferenceStep aStep, int aOffset)
{
  const int step = std::clamp(static_cast<int>(aStep) + aOffset,
                              static_cast<int>(InterferenceStep::None),
                              static_cast<int>(InterferenceStep::Evict));
  return static_cast<InterferenceStep>(step);
}

} // namespace

void
RecordWorkerFailure(Shard& aShard,
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
RecordWorkerSuccess(Shard& aShard, WorkerIndex aWorker)
{
  Worker& worker = aShard.mWorkers[aWorker];
  worker.mFailedJobs.clear();
  worker.mOnProbation = false;
  worker.mQuarantine = Seconds(0);
}

void
RespondToInterference(Shard& aShard,
                      WorkerIndex aWorker,
                      double aLatencyRatio,
                      MonotonicTime aNow,
                      Actions& aActions)
{
  // The hysteresis keeps noise in delayed measurements from making the step
  // oscillate: two reports above the upper limit escalate it, five below the
  // lower limit de-escalate it, and pressure in between changes nothing.
  constexpr double kHighPressure = 1.0;
  constexpr double kLowPressure = 0.8;
  constexpr std::uint32_t kReportsToEscalate = 2;
  constexpr std::uint32_t kReportsToDeescalate = 5;
  Worker& worker = aShard.mWorkers[aWorker];
  const double pressure = Pressure(worker, aLatencyRatio);
  if (aShard.mPolicy->mInterferenceResponse ==
      InterferenceResponse::EvictImmediately) {
    if (pressure > kHighPressure) {
      EvictCheapestBatchTask(aShard, aWorker, aNow, aActions);
    }
    return;
  }
  worker.mHighPressureReports =
    pressure > kHighPressure ? worker.mHighPressureReports + 1 : 0;
  worker.mLowPressureReports =
    pressure < kLowPressure ? worker.mLowPressureReports + 1 : 0;
  if (worker.mHighPressureReports >= kReportsToEscalate) {
    worker.mHighPressureReports = 0;
    worker.mInterferenceStep = OffsetStep(worker.mInterferenceStep, 1);
    if (worker.mInterferenceStep == InterferenceStep::Evict) {
      EvictCheapestBatchTask(aShard, aWorker, aNow, aActions);
      worker.mInterferenceStep = InterferenceStep::Throttle;
    }
  } else if (worker.mLowPressureReports >= kReportsToDeescalate) {
    worker.mLowPressureReports = 0;
    worker.mInterferenceStep = OffsetStep(worker.mInterferenceStep, -1);
  }
  ThrottleBatch(aWorker,
                worker,
                worker.mInterferenceStep >= InterferenceStep::Throttle,
                aActions);
  UpdatePool(aShard, aWorker, aNow);
}

} // namespace paddle::placement
