#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <LibPlacement/ResourceVector.h>
#include <LibPlacement/Worker.h>

namespace paddle {

/// A running task as its worker reports it. The reported usage is delayed.
struct TaskReport
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  ResourceVector mReserved; ///< As the start command gave it.
  ResourceVector mUsed;
  std::string mCheckpoint;
  Millis mSinceCheckpoint{ 0 }; ///< Run time since the latest checkpoint.
  /// Latency of a service as a multiple of its target; 0: unknown.
  double mLatencyRatio = 0;
};

enum class TaskResult
{
  Completed, ///< The task did all its work.
  Failed,    ///< The task ended by itself before its work was done.
  Stopped    ///< The task was stopped by command or at the end of its lease.
};

/// A task that no longer runs. The worker repeats it in each report until it
/// is acknowledged.
struct TaskOutcome
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  TaskResult mResult = TaskResult::Completed;
  std::string mCheckpoint; ///< The latest one; empty: none.
  std::string mReason;     ///< Why the task failed.
};

/// All tasks and unacknowledged outcomes of a worker at one moment of its
/// clock.
struct WorkerReport
{
  WorkerToken mToken;
  std::vector<TaskReport> mTasks;
  std::vector<TaskOutcome> mOutcomes;
};

} // namespace paddle
