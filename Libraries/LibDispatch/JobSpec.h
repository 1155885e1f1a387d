#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Resources that a task needs or a runner has.
struct Resources
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  bool operator==(const Resources&) const = default;
};

inline Resources&
operator+=(Resources& aTotal, const Resources& aAmount)
{
  aTotal.mMilliCores += aAmount.mMilliCores;
  aTotal.mMemoryMb += aAmount.mMemoryMb;
  aTotal.mAccelerators += aAmount.mAccelerators;
  return aTotal;
}

inline Resources&
operator-=(Resources& aTotal, const Resources& aAmount)
{
  aTotal.mMilliCores -= aAmount.mMilliCores;
  aTotal.mMemoryMb -= aAmount.mMemoryMb;
  aTotal.mAccelerators -= aAmount.mAccelerators;
  return aTotal;
}

/// Whether the tasks of a step run to completion.
enum class StepKind
{
  Finite,     ///< The task runs to completion.
  LongRunning ///< The task runs until its job is cancelled. It is restarted
              ///< whenever it ends.
};

/// Whether the tasks of a step reserve processors.
enum class Reservation
{
  Reserved,
  BestEffort ///< The task uses processors that reserved tasks leave idle. Its
             ///< memory and accelerators are reserved nevertheless.
};

/// One step of a job. All tasks of a step are alike.
struct StepSpec
{
  std::uint32_t mTaskCount = 0;
  Resources mDemand; ///< What each task needs.
  /// Expected duration of a task. In practice it is off by half and more.
  Millis mEstimatedDuration{ 0 };
  /// Indexes of the steps that must have ended before this one starts.
  std::vector<std::uint32_t> mPredecessors;
  StepKind mKind = StepKind::Finite;
  Reservation mReservation = Reservation::Reserved;
  bool mWritesCheckpoints = false; ///< A task can resume from a checkpoint.
  bool mGang = false; ///< All tasks start together and end together.
  /// The tasks run slower when spread over racks. It has an effect where the
  /// setting mRemoteFactor is above 1.
  bool mSameRack = false;
  // FIXME: Placement ignores mMaxInterruptedTasks.
  /// A second copy of a slow task may run in parallel.
  bool mSpeculationAllowed = false;
  std::string mRequiredLabel; ///< Label that the runner must have, or empty.
  /// Rack that holds the input data, or empty. Tasks run slower elsewhere.
  std::string mDataRack;
  std::uint32_t mMaxTasksPerRunner = 0; ///< 0: no limit.
  /// Number of tasks that may be interrupted at the same time.
  std::uint32_t mMaxInterruptedTasks = 0;
  bool mLimitsInterruptions = false; ///< Whether mMaxInterruptedTasks applies.
  /// Name of the image that the tasks run. What is learned about interference
  /// between tasks is kept by image.
  std::string mImage;
  /// Tail latency that a long-running task should keep; 0: none.
  Millis mTailLatencyTarget{ 0 };
};

/// A job as its client submitted it.
struct JobSpec
{
  std::string mId;
  std::string mQueue;
  /// Client account that submitted the job; empty: none, as on a public route.
  std::string mAccount{};
  std::string mPayload; ///< Opaque text that is passed to each task.
  std::vector<StepSpec> mSteps;
  /// Number of times that the steps run; 0: once, immediately.
  std::uint32_t mOccurrences = 0;
  std::int64_t mFirstDueMs = 0; ///< Unix time of the first occurrence.
  std::int64_t mIntervalMs = 0; ///< Time between two occurrences.
};

/// What the configuration says about a client account's use of runners.
struct AccountSpec
{
  std::string mName;
  /// Share of the account when all runners are full, relative to the others;
  /// also the number of jobs a second to which the account is entitled.
  double mWeight = 1;
  /// What the account may have running on all runners of all shards together;
  /// 0: no limit on this resource.
  Resources mCap{};
};

/// What the configuration says about a queue.
struct QueueSpec
{
  std::string mName;
  std::string mService; ///< Service whose runners execute the queue's jobs.
  std::int32_t mPriority = 0; ///< 0 is the highest priority.
  /// A job fails when one of its tasks has failed this many times.
  std::uint32_t mMaxAttempts = 1;
  /// A job should end within this multiple of its critical path, plus
  /// mTargetDuration.
  double mStretch = 1;
  Millis mTargetDuration{ 0 };
};

} // namespace paddle::dispatch
