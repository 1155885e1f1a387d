#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Processors in thousandths of a core, memory in megabytes, accelerators.
struct Resources
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
};

/// What the tasks of a step are for.
enum class StepKind
{
  Finite,     ///< Runs to an end on reserved processors.
  LongRunning ///< Serves until the job is cancelled and is restarted when it
              ///< ends.
};

/// Whether a step's tasks reserve processors.
enum class Reservation
{
  Reserved,
  BestEffort ///< Runs on what reserved tasks leave unused; memory is reserved.
};

/// One step of a job: tasks that are alike.
struct StepSpec
{
  std::uint32_t mTaskCount = 0;
  Resources mDemand;
  Millis mEstimatedDuration{
    0
  }; ///< Rough; off by a half and more in practice.
  std::vector<std::uint32_t> mPredecessors;
  StepKind mKind = StepKind::Finite;
  Reservation mReservation = Reservation::Reserved;
  bool mWritesCheckpoints = false;
  bool mGang = false; ///< Tasks start together and end together.
  // FIXME: Placement does not use the next two, nor mMaxInterruptedTasks, yet.
  bool mSameRack = false;           ///< Slower when spread over racks.
  bool mSpeculationAllowed = false; ///< Copies of a task may run in parallel.
  std::string mRequiredLabel;       ///< Empty: none.
  std::string mDataRack;            ///< Slower elsewhere; empty: anywhere.
  std::uint32_t mMaxTasksPerRunner = 0; ///< 0: no limit.
  std::uint32_t mMaxInterruptedTasks =
    0; ///< Tasks that may be interrupted at a time.
  bool mLimitsInterruptions = false;
  std::string mImage;
  Millis mTailLatencyTarget{ 0 }; ///< Of a lasting task; 0: none.
};

/// A job as its client handed it in.
struct JobSpec
{
  std::string mId;
  std::string mQueue;
  std::string mPayload; ///< Opaque text that every start carries.
  std::vector<StepSpec> mSteps;
  std::uint32_t mOccurrences = 0; ///< 0: one, due at once.
  std::int64_t mFirstDueMs = 0;   ///< Unix time in milliseconds.
  std::int64_t mIntervalMs = 0;
};

/// What the configuration grants a queue.
struct QueueSpec
{
  std::string mName;
  std::string mService;
  std::int32_t mPriority = 0; ///< 0 comes first.
  std::uint32_t mMaxAttempts = 1;
  double mStretch = 1;
  Millis mTargetDuration{ 0 };
};

} // namespace paddle::dispatch
