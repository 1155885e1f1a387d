#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <LibPlacement/Amount.h>
#include <LibTime/Time.h>

namespace paddle {

/// Order of placement: services first, then urgent batch, then the rest.
enum class TaskClass
{
  Service, ///< Long-running and latency-critical; restarted when it ends.
  Urgent,
  Batch
};

inline constexpr std::size_t kTaskClasses = 3;

/// What a job's owner asked for.
struct JobSpec
{
  std::string mJob;
  std::string mTeam;
  TaskClass mClass = TaskClass::Batch;
  Amount mDeclared;
  Seconds mExpectedTime{ 0 };
  std::vector<std::string> mDataCentres; ///< Allowed ones; empty: all.
};

enum class JobPhase
{
  Doubtful,  ///< After a takeover: may run on a worker not yet heard from.
  Queued,    ///< Surely runs nowhere.
  Starting,  ///< A start was sent and is not yet confirmed or ruled out.
  Running,   ///< A worker reported it.
  Evicting,  ///< Being checkpointed and stopped to run again later.
  Recording, ///< Its next state is being committed; nothing else happens.
  Ended,
  Cancelled,
  Held, ///< Failed on several workers; its team is told why.
  Moved ///< Given to another shard.
};

/// @return whether a job in this phase is done with for this shard
inline bool
IsTerminal(JobPhase aPhase)
{
  return aPhase >= JobPhase::Ended;
}

/// The durable part of a job, as its row in the table holds it.
struct JobRow
{
  JobSpec mSpec;
  JobPhase mPhase = JobPhase::Queued;
  std::uint32_t mAttempt = 0;
  std::string mCheckpoint;
  std::uint32_t mCheckpointAttempt = 0; ///< The attempt that made it.
  bool mCancelRequested = false;
  std::string mReason;
};

using WorkerIndex = std::uint32_t;

struct Team;

/// A job of this shard.
struct Job
{
  JobRow mRow; ///< As last committed or being committed.
  Team* mTeam = nullptr;
  JobPhase mPhase = JobPhase::Queued;
  std::uint64_t mOrder = 0; ///< Position by age within the shard.
  MonotonicTime mAcceptedAt;
  /// While starting, running or evicting.
  std::optional<WorkerIndex> mWorker;
  MonotonicTime mStartedAt;
  /// The phase after the commit that is under way.
  JobPhase mAfterCommit = JobPhase::Queued;
  std::uint64_t mCommit = 0; ///< Sequence of the latest commit.
  bool mAccepted = false;    ///< The first commit took effect.
  /// A worker is kept free for this job until then.
  std::optional<MonotonicTime> mKeptUntil;
  /// Different workers on which this job failed.
  std::vector<WorkerIndex> mFailedOn;
  std::uint32_t mFailures = 0;
  /// A failed job waits, so that a task that fails at once costs little.
  MonotonicTime mNotBefore;
};

} // namespace paddle
