#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <LibPlacement/Job.h>
#include <LibPlacement/Worker.h>

namespace paddle {

/// Start one attempt of a job on a worker. The shell adds epoch and lease.
struct StartTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
  Amount mReserved;
  std::string mCheckpoint;
  WorkerToken mToken;
  TaskClass mClass = TaskClass::Batch;
  Seconds mExpectedTime{ 0 };
};

struct StopTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
};

struct CheckpointTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
};

struct ThrottleTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
  bool mThrottled = true;
};

/// Commit the durable state of a job; answered by HandleCommitted().
struct CommitRow
{
  std::uint64_t mSequence = 0;
  bool mFirst = false; ///< The row must not exist yet.
  JobRow mRow;
};

using Action =
  std::variant<StartTask, StopTask, CheckpointTask, ThrottleTask, CommitRow>;

using Actions = std::vector<Action>;

/// What the next report request to a worker carries.
struct PollPlan
{
  WorkerToken mToken; ///< Leases end a lease time after this moment.
  std::vector<std::pair<std::string, std::uint32_t>> mRenew;
  std::vector<std::pair<std::string, std::uint32_t>> mAcknowledge;
};

} // namespace paddle
