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

/// The answer that an RPC thread waits for.
using Reply = std::shared_ptr<std::promise<Outcome<Json::Value>>>;

// What reaches the placement thread.

struct SubmitEvent
{
  std::string mShard;
  JobSpec mSpec;
  Reply mReply;
};

enum class JobQuestion
{
  Cancel,
  Status,
  Explain
};

struct QuestionEvent
{
  std::string mShard;
  std::string mJob;
  JobQuestion mQuestion = JobQuestion::Status;
  Reply mReply;
};

struct HostsEvent
{
  std::shared_ptr<const WorkerShards> mShards;
};

struct ReportEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  WorkerIndex mWorker = 0;
  WorkerReport mReport;
  MonotonicTime mReceived;
};

struct StartAnswerEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  WorkerIndex mWorker = 0;
  std::string mJob;
  std::uint32_t mAttempt = 0;
  StartAnswer mAnswer;
};

enum class CommitState
{
  Committed,
  Refused ///< The job exists already; nothing was written.
};

struct CommittedEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::string mJob;
  std::uint64_t mSequence = 0;
  std::uint32_t mAttempt = 0; ///< As committed.
  CommitState mState = CommitState::Committed;
  std::string mHolder; ///< If refused: the shard that holds the job.
};

struct MovedEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::string mJob;
  MoveResult mResult = MoveResult::Failed;
};

/// All rows of a shard, in order with the commits of the same thread.
struct RowsEvent
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  std::vector<JobRow> mRows;
};

/// Room in the shards of other schedulers, by their summaries.
struct PeersEvent
{
  struct Room
  {
    std::string mShard;
    std::string mDataCentre;
    ResourceVector mLargestFree;
    std::uint64_t mQueued = 0;
  };
  std::vector<Room> mRooms;
};

using SchedulerEvent = std::variant<SubmitEvent,
                                    QuestionEvent,
                                    HostsEvent,
                                    ReportEvent,
                                    StartAnswerEvent,
                                    CommittedEvent,
                                    MovedEvent,
                                    RowsEvent,
                                    PeersEvent>;

using SchedulerRing = Ring<SchedulerEvent>;

} // namespace paddle
