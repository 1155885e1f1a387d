#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <LibPlacement/Job.h>
#include <LibPlacement/ResourceVector.h>
#include <LibTime/Time.h>

namespace paddle {

/// A worker as the list of hosts describes it.
struct WorkerSpec
{
  std::string mName;
  std::string mDataCentre;
  std::string mRack;
  ResourceVector mCapacity;
  bool mLeaving = false; ///< Gets no new tasks; its tasks are evicted.
};

/// A moment on a worker's own clock. A command carries the token of the latest
/// report, so that the worker can reject a command that was delayed.
struct WorkerToken
{
  std::uint64_t mBoot = 0; ///< Rises each time the worker starts.
  std::uint64_t mClockMs = 0;

  auto operator<=>(const WorkerToken&) const = default;
};

/// The reservation on a worker for one attempt of a job. It can outlive the
/// job: the resources become free only when the task is known to run no longer.
struct TaskSlot
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  ResourceVector mDeclared;
  ResourceVector mReserved;
  ResourceVector mUsed;  ///< As last reported.
  Team* mTeam = nullptr; ///< Null if the shard did not know the job.
  TaskClass mClass = TaskClass::Batch;
  WorkerToken mToken; ///< The token that the start carried.
  /// The worker's clock when it accepted the start, if the answer arrived.
  std::optional<std::uint64_t> mAcceptedClockMs;
  bool mReported = false; ///< Some report has listed the task.
  /// Worker::mReportCount at the latest report that listed the task.
  std::uint64_t mLastListedInReport = 0;
  std::string mCheckpoint; ///< The latest checkpoint reported.
  /// How long the task has run since that checkpoint, as last reported.
  Millis mSinceCheckpoint{ 0 };
  bool mThrottled = false;
  /// How far the termination of the task by this shard has come.
  enum class Termination
  {
    None,
    Checkpointing, ///< A checkpoint was ordered; the stop follows it.
    Stopping       ///< The stop was ordered; the lease is renewed no more.
  } mTermination = Termination::None;
  /// The value of mCheckpoint when a new checkpoint was ordered; another value
  /// shows that the new one is done.
  std::string mCheckpointWhenRequested;
  MonotonicTime mTerminationSince; ///< When mTermination last changed.
  MonotonicTime mLastCommandAt;    ///< When the latest order was issued.
};

/// Steps against interference on a worker. Each step includes those before.
enum class InterferenceStep
{
  None,
  StopPlacing, ///< No new tasks are placed on the worker.
  Throttle,    ///< Batch tasks are throttled.
  Evict        ///< Batch tasks are evicted, one at a time.
};

/// The state of one worker and of the tasks that may run on it.
struct Worker
{
  WorkerSpec mSpec;
  std::uint32_t mDataCentre = 0; ///< Index in Shard::mDataCentres.
  std::uint32_t mPool = 0;       ///< Index in Shard::mPools.
  ResourceVector mFree;          ///< The capacity less all reservations.
  /// The free thousandths of a core by which the pool lists the worker; nothing
  /// while the worker is not in its pool.
  std::optional<std::int64_t> mPoolKey;
  /// When the latest report was received; nothing before the first one.
  std::optional<MonotonicTime> mLastReportAt;
  WorkerToken mToken;             ///< The token of the latest report.
  std::uint64_t mReportCount = 0; ///< Number of reports received.
  std::vector<TaskSlot> mSlots;
  /// Job and attempt of each outcome to acknowledge with the next request.
  std::vector<std::pair<std::string, std::uint32_t>> mAcknowledge;

  /// Different jobs that failed here since the last success or quarantine.
  std::vector<std::string> mFailedJobs;
  std::optional<MonotonicTime> mQuarantinedUntil;
  /// After a quarantine: gets one task at a time until a job succeeds.
  bool mOnProbation = false;
  Seconds mQuarantine{ 0 }; ///< The latest quarantine; reset by a success.

  /// The only job that may be placed here until mReservedUntil; empty: any job.
  std::string mReservedFor;
  MonotonicTime mReservedUntil;

  InterferenceStep mInterferenceStep = InterferenceStep::None;
  /// Consecutive reports with high and with low pressure since the last step.
  std::uint32_t mHighPressureReports = 0;
  std::uint32_t mLowPressureReports = 0;
};

} // namespace paddle
