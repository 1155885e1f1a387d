#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <LibDispatch/JobSpec.h>
#include <LibDispatch/PlacementWait.h>
#include <LibDispatch/UtilizationFilter.h>

namespace paddle::dispatch {

struct AccountBudget;

/// Index of a runner in Dispatcher::mRunners.
using RunnerIndex = std::uint32_t;
inline constexpr RunnerIndex kNoRunner = UINT32_MAX;

/// State of a task as this owner knows it.
enum class TaskPhase : std::uint8_t
{
  Waiting,  ///< No runner runs the task, or its step is not ready yet.
  Starting, ///< A start order was sent and has not been answered.
  Running,
  Stopping, ///< The task may still run. Stop orders are repeated until its run
            ///< is known to have ended.
  Done,
  Elsewhere ///< Another shard has the task, see Task::mShard.
};

/// Stands for a failed run of which only the count is stored, because the
/// numbers of all runs would make the progress too large.
inline constexpr std::int64_t kUnlistedRun = 0;

/// Bounds of the stored progress of a job, which LibNode formats: 65,536 bytes
/// are the largest row of the store. A step takes 24 bytes and up to 10 for
/// each task, if checkpoints and the numbers of earlier failed runs are left
/// out: one for the flag that it is done, and nine for the number of its failed
/// runs and the last one.
inline constexpr std::size_t kMaxProgressBytes = 65536;
inline constexpr std::size_t kProgressBytes = 256; ///< Beside occurrences.
inline constexpr std::size_t kProgressBytesPerOccurrence = 20;
inline constexpr std::size_t kProgressBytesPerStep = 24;
inline constexpr std::size_t kProgressBytesPerTask = 10;

/// Why a task is being stopped.
enum class StopCause : std::uint8_t
{
  None,
  StartUnanswered, ///< The start order got no answer, so the task may run.
  Cancelled,       ///< The job was cancelled or has failed.
  Moved,           ///< The task is to continue on another runner.
  TaskDone         ///< Another run of the task is done, see IsDone().
};

/// CPU use ratio that is assumed until a task has reported. It lies between the
/// values of calm and busy phases.
inline constexpr double kDefaultCpuUseRatio = 0.85;

/// State of one task of a step.
struct Task
{
  TaskPhase mPhase = TaskPhase::Waiting;
  StopCause mStopCause = StopCause::None;
  /// Pace of the task: the percentage of its full speed to which the runner was
  /// last ordered to throttle it.
  std::uint8_t mPacePercent = 100;
  /// Whether the runner can be assumed to apply mPacePercent. An order may be
  /// lost or applied late, and an earlier owner may have ordered another pace.
  bool mPaceConfirmed = true;
  MonotonicTime mPaceSentAt;
  /// Numbers of the runs that failed. They are kept so that no failure is
  /// counted twice: a runner reports an end that was stored but not
  /// acknowledged again to a later owner. kUnlistedRun stands for a failed run
  /// before the next one in the list.
  std::vector<std::int64_t> mFailedRuns;
  std::int64_t mRun = 0;              ///< Number of the latest run.
  RunnerIndex mRunner = kNoRunner;    ///< Runner that may run the task now.
  std::int32_t mProgressPercent = -1; ///< As last reported; -1: unknown.
  /// Load as last reported: of a serving task, the tail latency in
  /// milliseconds; of another task, its CPU use in thousandths of a core. 0:
  /// none has been reported.
  std::int32_t mReportedLoad = 0;
  /// Ratio of the processors that the task uses to those that it demands at its
  /// present pace. Tasks alternate between calm and busy phases of a few
  /// seconds.
  double mCpuUseRatio = kDefaultCpuUseRatio;
  MonotonicTime mStartedAt;       ///< When the latest start order was sent.
  MonotonicTime mStartAnsweredAt; ///< When that order was acknowledged.
  /// End of the lease in that order, on the clock of the runner's process: the
  /// run can't begin later. 0: unknown.
  std::int64_t mStartLeaseEndMs = 0;
  MonotonicTime mProgressChangedAt;
  MonotonicTime mStopSentAt;
  /// When this owner learned that the latest run of a long-running task ended.
  std::optional<MonotonicTime> mInterruptedAt;
  /// When the runner answered a stop order for this run. Only set while the
  /// task is in phase Stopping.
  std::optional<MonotonicTime> mStopAnsweredAt;
  /// Start of the period for which the tail latency has been over its target.
  std::optional<MonotonicTime> mOverTargetSince;
  /// Start of the period for which the task has been throttled strongly.
  std::optional<MonotonicTime> mLowPaceSince;
  /// Whether the runner's present process, as far as it is known, has reported
  /// the run as running.
  bool mReported = false;
  /// Whether an earlier owner may have started a run of the task that this
  /// owner has not seen. Until the recovery after the takeover is complete, the
  /// task is not started.
  bool mMayRunUnseen = false;
  /// Whether the run was started on a runner with too few unused processors, or
  /// beside serving tasks that it disturbs, because nothing else of its job
  /// ran.
  bool mOvercommitted = false;
  /// Whether the latest start order got no answer or was not even sent.
  bool mStartUnanswered = false;
  /// Runner on which the latest run failed. The task avoids it next time.
  RunnerIndex mFailedOn = kNoRunner;
  /// Number of runs of a long-running task that failed early, one after the
  /// other.
  std::uint32_t mEarlyFailures = 0;
  /// Wait for a runner in the preferred rack. Of a gang, only the first member
  /// has one.
  PlaceWait mPlaceWait;
  std::string mCheckpoint;  ///< Latest checkpoint, or empty.
  std::uint32_t mShard = 0; ///< Shard that has the task in phase Elsewhere.
};

/// @return whether the task is done. A later run of it, whose end is not known
///         yet, may still be on a runner.
inline bool
IsDone(const Task& aTask)
{
  return aTask.mPhase == TaskPhase::Done ||
         (aTask.mPhase == TaskPhase::Stopping &&
          aTask.mStopCause == StopCause::TaskDone);
}

/// State of one step of one occurrence.
struct Step
{
  std::vector<Task> mTasks;
  std::uint32_t mDoneTasks = 0;
  std::uint32_t mWaitingTasks = 0; ///< Number of tasks in phase Waiting.
  std::uint32_t mImageIndex = 0;   ///< Index of the image in Interference.
  bool mReady = false;             ///< Whether all predecessors have ended.
  MonotonicTime mReadySince;
  /// Since when some members of a gang run while others wait.
  std::optional<MonotonicTime> mIncompleteSince;
  /// Since when placement passes over all runners have found no room for a
  /// waiting task.
  std::optional<MonotonicTime> mNoRoomSince;
  /// When such a pass last found none; the zero time if it found room since.
  MonotonicTime mNoRoomAt;
  /// Sum of the estimated durations along the longest path from this step to
  /// the end of the job.
  Millis mRemainingCriticalPath{ 0 };
  /// Rack in which the tasks of a step run that requests a single one; empty
  /// if none has been started, or if the setting mRemoteFactor is 1.
  std::string mGroupRack;
  bool mSpread = false; ///< Whether a task has been started outside that rack.
  /// Durations of the latest completed tasks, as they are or would be in the
  /// preferred rack. Only of steps that have one.
  std::vector<Millis> mDurations;
  /// Estimate of a task, corrected by these; 0 if there are none.
  Millis mCorrectedEstimate{ 0 };
  /// Utilization of a serving step without interference.
  UtilizationFilter mUtilizationFilter;
};

/// One execution of all steps of a job.
struct Occurrence
{
  std::vector<Step> mSteps;
  std::uint32_t mStepsDone = 0;
  MonotonicTime mBegunAt; ///< When it was due, or the job was accepted.
  /// Time by which it should end. Later ends are worth less, but allowed.
  MonotonicTime mSoftDeadline;
};

/// State of a job. All phases but Active are final.
enum class JobPhase : std::uint8_t
{
  Active,
  Cancelled, ///< The client cancelled the job. Its runs are being stopped.
  Failed,
  Completed
};

/// State of an accepted job.
struct Job
{
  JobSpec mSpec;
  JobPhase mPhase = JobPhase::Active;
  /// Budget of the job's account, in Dispatcher::mAccountBudgets; null: the
  /// account has no cap, or the job has no account.
  AccountBudget* mBudget = nullptr;
  /// When a step of the job was last passed over because of that budget.
  MonotonicTime mBudgetWaitedAt;
  MonotonicTime mAcceptedAt;
  MonotonicTime mTakenAt; ///< When this owner learned of the job.
  /// Occurrences that have begun, by number. One that has ended is removed when
  /// none of its tasks runs any more.
  std::map<std::uint32_t, Occurrence> mOccurrences;
  std::uint32_t mOccurrencesBegun = 0;
  std::uint32_t mOccurrencesDone = 0;
  /// Number of tasks in the phases Starting, Running and Stopping.
  std::uint32_t mActiveRuns = 0;
  /// When the last of these runs ended, or when the job was accepted. Of a
  /// repeated job, when its only unfinished occurrence began, or this owner
  /// learned of the job.
  MonotonicTime mIdleSince;
  /// Number in the order in which this owner took in its jobs.
  std::uint64_t mArrivalNumber = 0;
  /// When the job counts towards the entitlement of its account, see
  /// AccountShares.h.
  MonotonicTime mArrivedAt;
  /// Whether the job arrived beyond that entitlement.
  bool mSurplus = false;
  /// Whether an earlier owner may have started tasks of the job. It is cleared
  /// when the recovery after the takeover is complete.
  bool mInherited = false;
  /// Whether an earlier owner knew of the job, so that tasks that never ran
  /// here may have run before.
  bool mMayHaveRunBefore = false;
  bool mBegan = false; ///< Whether any task has ever been started.
  /// Whether an occurrence that is due waits for earlier ones to end, because
  /// the progress of all of them would be too large.
  bool mOccurrenceHeld = false;
  /// Whether nothing of the job may be started, see HoldJob().
  bool mHeld = false;
  /// Whether nothing of the job is started, because another shard is to run it,
  /// which has more runners.
  bool mAwaitsMove = false;
  /// Number of times that the job was handed over to another shard.
  std::uint32_t mMoves = 0;
  /// Shard to which the job belongs, if only some of its tasks were handed over
  /// to this one. That shard cancels them, and takes those back for which this
  /// one has no room.
  std::optional<std::uint32_t> mHomeShard;
  std::uint32_t mTasksElsewhere = 0; ///< Number of tasks in phase Elsewhere.
  /// The job is not handed over before this time, because an attempt failed or
  /// no shard had room for it.
  MonotonicTime mMoveRetryAt;
  bool mDirty = false; ///< Whether there are changes that no commit carries.
  /// Sequence number of the commit that stores the latest change; 0 if all that
  /// is known of the job was read from the store.
  std::uint64_t mChangeSequence = 0;
  bool mTerminalCommitted = false; ///< Whether the final phase is stored.
};

/// Reference to a task of a known job.
struct TaskRef
{
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  bool operator==(const TaskRef&) const = default;
};

/// Name of a task, whose job may be unknown.
struct TaskName
{
  std::string mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
};

/// The part of a step's progress that is stored.
struct StepProgress
{
  std::vector<bool> mDone; ///< By task index.
  /// Numbers of the failed runs, by task index, see Task::mFailedRuns.
  std::map<std::uint32_t, std::vector<std::int64_t>> mFailedRuns;
  std::map<std::uint32_t, std::string> mCheckpoints; ///< By task index.
  /// Shards that have tasks in phase Elsewhere, by task index.
  std::map<std::uint32_t, std::uint32_t> mElsewhere{};
};

/// The part of a job's progress that is stored.
struct JobProgress
{
  JobPhase mPhase = JobPhase::Active;
  bool mBegan = false;
  std::uint32_t mOccurrencesBegun = 0;
  std::uint32_t mOccurrencesDone = 0;
  std::map<std::uint32_t, std::vector<StepProgress>> mOccurrences;
  std::optional<std::uint32_t> mHomeShard{}; ///< See Job::mHomeShard.
};

} // namespace paddle::dispatch
