#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <LibPlacement/Job.h>
#include <LibPlacement/Worker.h>

namespace paddle {

/// Orders a worker to start one attempt of a job. The code that sends the
/// command adds the epoch and the lease.
struct StartTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
  ResourceVector mReserved;
  std::string mCheckpoint; ///< The task resumes from it; empty: none.
  WorkerToken mToken;      ///< The worker rejects a start with an old token.
  TaskClass mClass = TaskClass::Batch;
  Seconds mExpectedTime{ 0 };
};

/// Orders a worker to stop one attempt of a job.
struct StopTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
};

/// Orders a worker to checkpoint one attempt of a job, which runs on.
struct CheckpointTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
};

/// Orders a worker to throttle one attempt of a job, or to end the throttling.
struct ThrottleTask
{
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
  bool mThrottled = true;
};

/// Commits the durable state of a job to the table. The caller reports the
/// result by HandleCommitted() or HandleNotAccepted().
struct CommitRow
{
  std::uint64_t mSequence = 0; ///< Identifies the commit within the shard.
  bool mMustNotExist = false;  ///< The commit fails if the row exists already.
  JobRow mRow;
};

using Action =
  std::variant<StartTask, StopTask, CheckpointTask, ThrottleTask, CommitRow>;

using Actions = std::vector<Action>;

/// The content of the next request for a report to a worker.
struct PollPlan
{
  /// Renewed leases end one lease term after this moment of the worker's clock.
  WorkerToken mToken;
  /// Job and attempt of each task whose lease is renewed.
  std::vector<std::pair<std::string, std::uint32_t>> mRenew;
  /// Job and attempt of each outcome that the worker may forget.
  std::vector<std::pair<std::string, std::uint32_t>> mAcknowledge;
};

} // namespace paddle
