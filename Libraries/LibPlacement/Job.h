#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <LibPlacement/ResourceVector.h>
#include <LibTime/Time.h>

namespace paddle {

/// Classes of tasks in the order of placement: services, then urgent batch
/// jobs, then other batch jobs.
enum class TaskClass
{
  Service, ///< Long-running and latency-critical; restarted when it ends.
  Urgent,
  Batch
};

/// Number of values of TaskClass.
inline constexpr std::size_t kTaskClasses = 3;

/// A job as it was submitted.
struct JobSpec
{
  std::string mJob;
  std::string mTeam; ///< Owns the job; quotas and budgets are per team.
  TaskClass mClass = TaskClass::Batch;
  ResourceVector mDeclared; ///< What the owner says the task needs.
  /// Time from acceptance within which the job is expected to be complete.
  Seconds mExpectedTime{ 0 };
  std::vector<std::string> mDataCentres; ///< Where it may run; empty: anywhere.
};

/// State of a job. The values from Completed on are final for this shard.
enum class JobPhase
{
  /// After a takeover, the job may run on a worker that has not reported yet.
  Reconciling,
  Queued, ///< The job waits and is known to run nowhere.
          /// A start was sent, and no report has confirmed it or ruled it out
          /// yet.
  Starting,
  Running,  ///< A worker reported the current attempt.
  Evicting, ///< The task is being checkpointed and stopped, to run again later.
            /// The next state is being committed; until then the job does not
            /// start.
  Committing,
  Completed,
  Cancelled,
  Held,  ///< Failed on several workers and is not retried; mReason says why.
  Moving ///< Is being transferred to another shard.
};

/// @return whether this shard does nothing more for a job in this phase
inline bool
IsTerminal(JobPhase aPhase)
{
  return aPhase >= JobPhase::Completed;
}

/// The durable state of a job, as its row in the table holds it.
struct JobRow
{
  JobSpec mSpec;
  JobPhase mPhase = JobPhase::Queued;
  /// Number of the current attempt; each start that may have run has its own.
  std::uint32_t mAttempt = 0;
  std::string mCheckpoint;              ///< The latest one known; empty: none.
  std::uint32_t mCheckpointAttempt = 0; ///< The attempt that made mCheckpoint.
  bool mCancelRequested = false;
  std::string mReason; ///< Why the job is held.
};

/// Index in Shard::mWorkers.
using WorkerIndex = std::uint32_t;

struct Team;

/// A job of this shard.
struct Job
{
  JobRow mRow; ///< The state last committed or being committed.
  Team* mTeam = nullptr;
  JobPhase mPhase = JobPhase::Queued;
  std::uint64_t mOrder = 0; ///< Orders jobs by age; unique in the shard.
  MonotonicTime mAcceptedAt;
  /// The worker of the current attempt, while it starts, runs or is evicted.
  std::optional<WorkerIndex> mWorker;
  MonotonicTime mStartedAt;
  /// The phase after the commit that is under way.
  JobPhase mPhaseAfterCommit = JobPhase::Queued;
  std::uint64_t mLatestCommit = 0; ///< Sequence of the latest commit.
  bool mAccepted = false;          ///< The first commit has taken effect.
  /// End of the latest reservation of a worker for this job.
  std::optional<MonotonicTime> mWorkerReservedUntil;
  /// Different workers on which this job failed.
  std::vector<WorkerIndex> mFailedOn;
  std::uint32_t mFailures = 0; ///< Number of failed attempts.
  /// End of the back-off after a failure, which limits the cost of tasks that
  /// fail right after their start.
  MonotonicTime mNotBefore;
};

} // namespace paddle
