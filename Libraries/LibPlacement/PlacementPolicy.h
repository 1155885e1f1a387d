#pragma once

#include <functional>
#include <optional>

#include <LibPlacement/Report.h>
#include <LibPlacement/Shard.h>
#include <LibTime/Time.h>

namespace paddle {

/// How LibPlacement responds to interference on a worker: services that miss
/// their latency targets, or usage above the capacity.
enum class InterferenceResponse
{
  /// Evict one batch task at each report that shows interference.
  EvictImmediately,
  /// Stop placing, then throttle, then evict, with hysteresis in between.
  EscalateInSteps
};

/// A plug-in that decides how much to reserve for a task and which worker it
/// runs on. LibPlacement checks each choice by MayPlace().
struct PlacementPolicy
{
  /// @return the resources to reserve for the job's task, at least the declared
  ///         ones
  std::function<ResourceVector(const Shard&, const Job&)> mSizeReservation;
  /// @return a worker for which MayPlace() holds, or nothing
  std::function<std::optional<WorkerIndex>(const Shard&,
                                           const Job&,
                                           const ResourceVector& aReservation,
                                           MonotonicTime aNow)>
    mChooseWorker;
  /// Updates the team's usage model with one task's reported usage.
  std::function<void(Team&,
                     TaskClass,
                     const ResourceVector& aDeclared,
                     const ResourceVector& aUsed)>
    mRecordUsage;
  /// Whether mRecordUsage is called, and reservations grow with the reported
  /// usage of their tasks.
  bool mAdjustsReservations = false;
  InterferenceResponse mInterferenceResponse =
    InterferenceResponse::EvictImmediately;
};

} // namespace paddle
