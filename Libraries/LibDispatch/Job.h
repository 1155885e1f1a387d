#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <LibDispatch/JobSpec.h>
#include <LibDispatch/UtilizationFilter.h>

namespace paddle::dispatch {

using RunnerIndex = std::uint32_t;
inline constexpr RunnerIndex kNoRunner = UINT32_MAX;

enum class TaskPhase : std::uint8_t
{
  Waiting,  ///< Runs nowhere, or its step's turn has not come.
  Starting, ///< A start was sent and is unanswered.
  Running,
  Stopping, ///< May run; a stop is being sent until its end is known.
  Done
};

/// Why a task is being stopped.
enum class StopCause : std::uint8_t
{
  None,
  StartUnanswered, ///< Its start got no answer.
  Cancelled,
  Moved ///< Runs again elsewhere.
};

/// Activity of a task that has not reported yet, between the two phases.
inline constexpr double kDefaultCpuUseRatio = 0.85;

struct Task
{
  TaskPhase mPhase = TaskPhase::Waiting;
  StopCause mStopCause = StopCause::None;
  std::uint8_t mPacePercent = 100; ///< Percent, as last ordered.
  /// Whether the runner is known to have taken the order. An order may be lost,
  /// carried out late, or have been given by an earlier owner.
  bool mPaceConfirmed = true;
  MonotonicTime mPaceSentAt;
  /// Runs that failed. Their numbers are kept because an end that is stored but
  /// not yet acknowledged is listed again to a later owner.
  std::vector<std::int64_t> mFailedRuns;
  std::int64_t mRun = 0; ///< Number of the latest start.
  RunnerIndex mRunner = kNoRunner;
  std::int32_t mProgressPercent = -1; ///< Percent, as last reported.
  std::int32_t mReportedLoad = 0;     ///< Tail in ms, or thousandths of a core.
  /// Share of the processors asked for, at its pace, that it uses. Tasks
  /// alternate between calm and busy phases of a few seconds.
  double mCpuUseRatio = kDefaultCpuUseRatio;
  MonotonicTime mStartedAt;         ///< When the latest start was sent.
  MonotonicTime mStartAnsweredAt;   ///< When that start was acknowledged.
  MonotonicTime mProgressChangedAt; ///< When the progress last changed.
  MonotonicTime mStopSentAt;
  /// When the runner answered a stop of this run; set while Stopping.
  std::optional<MonotonicTime> mStopAnsweredAt;
  std::optional<MonotonicTime> mOverTargetSince;
  /// Since when its pace has been low.
  std::optional<MonotonicTime> mLowPaceSince;
  RunnerIndex mFailedOn = kNoRunner;
  std::string mCheckpoint; ///< Latest checkpoint, empty if none.
};

/// One step of one occurrence.
struct Step
{
  std::vector<Task> mTasks;
  std::uint32_t mDoneTasks = 0;
  std::uint32_t mWaitingTasks = 0; ///< Tasks in phase Waiting.
  std::uint32_t mImageIndex = 0;   ///< Index of its image in Interference.
  bool mReady = false;             ///< All earlier steps have ended.
  MonotonicTime mReadySince;
  /// Longest chain of estimates from this step to the job's end.
  Millis mRemainingCriticalPath{ 0 };
  UtilizationFilter mUtilizationFilter; ///< Of a serving step.
};

struct Occurrence
{
  std::vector<Step> mSteps;
  std::uint32_t mStepsDone = 0;
  MonotonicTime mSoftDeadline; ///< When its objective ends.
};

enum class JobPhase : std::uint8_t
{
  Active,
  Cancelled, ///< Cancelled by its client; its tasks are being stopped.
  Failed,
  Completed
};

struct Job
{
  JobSpec mSpec;
  JobPhase mPhase = JobPhase::Active;
  MonotonicTime mAcceptedAt;
  std::map<std::uint32_t, Occurrence> mOccurrences; ///< Begun, not all done.
  std::uint32_t mOccurrencesBegun = 0;
  std::uint32_t mOccurrencesDone = 0;
  std::uint32_t mActiveRuns = 0; ///< Tasks Starting, Running or Stopping.
  std::uint64_t mArrivalNumber = 0;
  bool mInherited =
    false;             ///< Known to an earlier owner, which may have begun it.
  bool mBegan = false; ///< A task has been started at some time.
  bool mDirty = false; ///< Has changes that no commit carries yet.
  bool mTerminalCommitted = false;
};

/// Names one task of a job.
struct TaskRef
{
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  bool operator==(const TaskRef&) const = default;
};

/// A task by name, before it is looked up.
struct TaskName
{
  std::string mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
};

/// The durable part of a job's progress.
struct StepProgress
{
  std::vector<bool> mDone;
  std::map<std::uint32_t, std::vector<std::int64_t>> mFailedRuns;
  std::map<std::uint32_t, std::string> mCheckpoints;
};

struct JobProgress
{
  JobPhase mPhase = JobPhase::Active;
  bool mBegan = false;
  std::uint32_t mOccurrencesBegun = 0;
  std::uint32_t mOccurrencesDone = 0;
  std::map<std::uint32_t, std::vector<StepProgress>> mOccurrences;
};

} // namespace paddle::dispatch
