#pragma once

#include <cstdint>
#include <future>
#include <json/value.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <LibBase/Ring.h>
#include <LibPlacement/Job.h>
#include <LibPlacement/Report.h>
#include <LibPlacement/Shard.h>
#include <LibScheduler/WorkerShards.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// The promise of the result that an RPC thread waits for.
using ReplyPromise = std::shared_ptr<std::promise<Outcome<Json::Value>>>;

// The events that other threads send to the placement thread. An event with an
// epoch is ignored unless this process owns the shard in that epoch.

/// A job was submitted to a shard of this process.
struct SubmitEvent
{
  std::string mShard;
  JobSpec mSpec;
  ReplyPromise mReply;
};

/// What a caller requests about a job that was submitted before.
enum class JobRequest
{
  Cancel,
  Status,
  Explain
};

/// A call that cancels, shows or explains a job.
struct JobRequestEvent
{
  std::string mShard;
  std::string mJob;
  JobRequest mRequest = JobRequest::Status;
  ReplyPromise mReply;
};

/// The host list was read.
struct HostsEvent
{
  std::shared_ptr<const WorkerShards> mShards;
};

/// A worker answered a poll.
struct ReportEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  WorkerIndex mWorker = 0;
  WorkerReport mReport;
  MonotonicTime mReceived; ///< When the answer arrived.
};

/// The result of a request to a worker to start one attempt of a job.
struct StartAnswerEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
  StartAnswer mAnswer;
};

/// Result of the commit of a job.
enum class CommitResult
{
  Committed,
  JobExists ///< A job with this id exists already; nothing was written.
};

/// The commit of a job has a result.
struct CommitResultEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::string mJob;
  std::uint64_t mSequence = 0; ///< As in the CommitRow of the commit.
  /// The attempt in the committed row; it may be higher than requested.
  std::uint32_t mAttempt = 0;
  CommitResult mResult = CommitResult::Committed;
  /// The shard that holds the job, if the result is JobExists.
  std::string mHolder;
};

/// The transaction that moves a job to another shard has a result.
struct MoveResultEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::string mJob;
  MoveResult mResult = MoveResult::Failed;
};

/// All job rows of a shard were read. The commit thread sends this event and
/// the results of commits in the order in which it read and wrote the rows.
struct JobRowsEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::vector<JobRow> mRows;
};

/// The summaries of all schedulers that answered were read.
struct ShardSummariesEvent
{
  /// Load of one shard, of this process or of another one.
  struct ShardSummary
  {
    std::string mShard;
    std::string mDataCentre;
    /// Free capacity of the worker with the most free cores.
    ResourceVector mLargestFree;
    std::uint64_t mQueued = 0; ///< Number of queued jobs.
  };
  std::vector<ShardSummary> mSummaries;
};

using SchedulerEvent = std::variant<SubmitEvent,
                                    JobRequestEvent,
                                    HostsEvent,
                                    ReportEvent,
                                    StartAnswerEvent,
                                    CommitResultEvent,
                                    MoveResultEvent,
                                    JobRowsEvent,
                                    ShardSummariesEvent>;

/// The bounded queue in front of the placement thread.
using SchedulerRing = Ring<SchedulerEvent>;

} // namespace paddle
