#pragma once

#include <cstdint>
#include <json/value.h>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibDispatch/Job.h>
#include <LibDispatch/Runner.h>
#include <LibNode/StoreClock.h>
#include <LibNode/StoreLimits.h>

namespace paddle {

/// A job as the node that accepted it stores it in the inbox of a shard, where
/// the shard's owner reads it.
struct AcceptedJob
{
  dispatch::JobSpec mSpec;
  std::int64_t mAcceptedUnixMs = 0;
  /// Number of times that the job was handed over from one shard to another.
  std::uint32_t mMoves = 0;
  /// Progress of the job when it was handed over last, if a task had started.
  std::optional<dispatch::JobProgress> mProgress{};
};

/// The status row of a job, from which any node answers clients.
struct JobStatus
{
  std::uint32_t mShard = 0;
  std::string mQueue;
  dispatch::JobPhase mPhase = dispatch::JobPhase::Active;
  bool mBegan = false; ///< A task of the job has started.
  /// The job was cancelled before a submission was stored. The row makes the
  /// check of a submission fail that is carried out later.
  bool mTombstone = false;
};

/// Formats the row of a job in a shard's inbox.
std::string
FormatAcceptedJob(const AcceptedJob& aJob);
std::optional<AcceptedJob>
ParseAcceptedJob(std::string_view aText);

/// Finds out before a job is accepted whether the store takes its rows: the row
/// in the inbox, and the progress row at its largest with one occurrence. The
/// status row has only texts that the row in the inbox has too.
/// @return the bound that the job exceeds, if any
std::optional<LimitViolation>
FindJobViolation(const dispatch::JobSpec& aJob, const StoreLimits& aLimits);

/// Tasks that one shard hands over to another, as its owner stores them in the
/// inbox of the other.
struct TaskHandOver
{
  std::string mJob;
  std::uint32_t mFromShard = 0;
  std::uint32_t mStep = 0;
  std::vector<std::uint32_t> mTasks;                   ///< Their indexes.
  std::map<std::uint32_t, std::string> mCheckpoints{}; ///< By task index.
};

/// Formats the row of tasks that are handed over.
std::string
FormatTaskHandOver(const TaskHandOver& aTasks);
std::optional<TaskHandOver>
ParseTaskHandOver(std::string_view aText);

/// Formats the row of a job in the status table.
std::string
FormatStatus(const JobStatus& aStatus);
std::optional<JobStatus>
ParseStatus(std::string_view aText);

/// Formats the progress row of a job, which the shard's owner writes. Where it
/// would be too large, checkpoints are left out, so that their tasks start from
/// the beginning, and then the numbers of all failed runs of a task but the
/// last one. What remains is at most dispatch::ProgressBytesBound(), which
/// FindJobViolation() checks for each job that is accepted.
/// @param aMaxBytes largest size of the row
std::string
FormatProgress(const dispatch::JobProgress& aProgress,
               std::size_t aMaxBytes = StoreLimits{}.mRowBytes);
std::optional<dispatch::JobProgress>
ParseProgress(std::string_view aText);

/// Formats the row that tells a later owner on which runners tasks of the shard
/// may still run. The row states times on the store's clock, and the capacities
/// of runners that have one.
std::string
FormatRunners(std::span<const dispatch::InheritedRunner> aRunners,
              const StoreClock& aClock);
/// @return the entry of one runner in that row, without the braces around it
std::string
FormatRunnerEntry(const dispatch::InheritedRunner& aRunner,
                  const StoreClock& aClock);
std::vector<dispatch::InheritedRunner>
ParseRunners(std::string_view aText, const StoreClock& aClock);

/// Formats the runs of a record: names and numbers in turn.
Json::Value
RunsToJson(std::span<const dispatch::PossibleRun> aRuns);
std::vector<dispatch::PossibleRun>
RunsFromJson(const Json::Value& aRuns);

} // namespace paddle
