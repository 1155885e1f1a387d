#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <LibPlacement/Amount.h>
#include <LibPlacement/Worker.h>

namespace paddle {

/// A task that runs, as its worker reports it. Usage lags.
struct TaskReport
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  Amount mReserved; ///< As the start gave it.
  Amount mUsed;
  std::string mCheckpoint;
  Millis mSinceCheckpoint{ 0 };
  /// Services: measured latency as a multiple of its target; 0: unknown.
  double mLatencyRatio = 0;
};

enum class TaskResult
{
  Ended,  ///< Did all its work.
  Failed, ///< Broke off by itself.
  Stopped ///< Was stopped by command or because its lease ended.
};

/// A task that no longer runs. The worker repeats it in each report until it
/// is acknowledged.
struct TaskOutcome
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  TaskResult mResult = TaskResult::Ended;
  std::string mCheckpoint;
  std::string mReason;
};

/// Everything that a worker holds at one moment of its clock.
struct WorkerReport
{
  WorkerToken mToken;
  std::vector<TaskReport> mTasks;
  std::vector<TaskOutcome> mOutcomes;
};

} // namespace paddle
