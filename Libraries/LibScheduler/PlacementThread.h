#pragma once

#include <atomic>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <LibPlacement/PlacementPolicy.h>
#include <LibScheduler/Committer.h>
#include <LibScheduler/OwnedShard.h>
#include <LibScheduler/SchedulerEvent.h>
#include <LibScheduler/SchedulerPorts.h>
#include <LibScheduler/ServiceTaskList.h>
#include <LibScheduler/WorkerLinks.h>

namespace paddle {

/// Runs the placement thread, which alone uses the task state of the shards of
/// this process. It takes events from a ring, and passes commands to the poll
/// threads and commits to the commit thread.
class PlacementThread
{
public:
  /// Starts the thread. The objects given by reference must outlive it.
  /// @param aPolicy decides on which worker and with which reservation each
  ///                task runs
  PlacementThread(const SchedulerPorts& aPorts,
                  PlacementPolicy aPolicy,
                  SchedulerRing& aEvents,
                  Committer& aCommitter,
                  WorkerLinks& aLinks);
  ~PlacementThread();
  PlacementThread(const PlacementThread&) = delete;
  PlacementThread& operator=(const PlacementThread&) = delete;

  /// @return the result of scheduler.summary; it is usually at most 200 ms old
  [[nodiscard]] Json::Value Summary() const;

  /// Ends the thread and drops all shards.
  void Stop();

private:
  /// The body of the placement thread.
  void Run();

  /// Does the periodic work on all shards of this process.
  void Tick(MonotonicTime aNow);

  /// Acquires and drops shards as the leases say.
  void UpdateOwnership(MonotonicTime aNow);
  void Acquire(const std::string& aShard,
               const Ownership& aOwnership,
               MonotonicTime aNow);

  /// Ends the work on a shard that this process does not own any more, and
  /// answers the callers that still wait.
  void Drop(OwnedShard& aOwned);

  /// Adds and updates the workers of a shard by the latest host list.
  void UpdateWorkers(OwnedShard& aOwned);
  void ApplyConfiguration(OwnedShard& aOwned, MonotonicTime aNow);

  /// Accepts the service tasks that the configuration asks for, and cancels
  /// those that it asks for no more.
  void UpdateServiceTasks(MonotonicTime aNow);
  void CancelRemovedServiceTasks(
    const std::map<std::string, const DesiredTask*>& aDesired,
    MonotonicTime aNow);

  /// Moves jobs that have waited long to other shards with free capacity.
  void MoveWaitingJobs(OwnedShard& aOwned, MonotonicTime aNow);

  /// Places queued jobs on workers.
  void Place(OwnedShard& aOwned, MonotonicTime aNow);

  /// Passes commands to the poll threads and commits to the commit thread.
  void Execute(OwnedShard& aOwned, Actions aActions);

  /// Queues an item for the commit thread, behind the shard's backlog.
  void Push(OwnedShard& aOwned, CommitterItem aItem);

  /// Passes the backlog to the commit thread until its ring is full.
  void FlushBacklog(OwnedShard& aOwned);

  /// Sends the replies that are due after the result of a commit.
  void FulfilPendingReplies(OwnedShard& aOwned,
                            const CommitResultEvent& aEvent);

  /// Replaces the result of Summary().
  void PublishSummary();

  void Handle(const SubmitEvent& aEvent, MonotonicTime aNow);
  void Handle(const JobRequestEvent& aEvent, MonotonicTime aNow);
  void Handle(const HostsEvent& aEvent, MonotonicTime aNow);
  void Handle(const ReportEvent& aEvent, MonotonicTime aNow);
  void Handle(const StartAnswerEvent& aEvent, MonotonicTime aNow);
  void Handle(const CommitResultEvent& aEvent, MonotonicTime aNow);
  void Handle(const MoveResultEvent& aEvent, MonotonicTime aNow);
  void Handle(const JobRowsEvent& aEvent, MonotonicTime aNow);
  void Handle(const ShardSummariesEvent& aEvent, MonotonicTime aNow);

  /// @return the shard if this process owns it, else null
  OwnedShard* Find(const std::string& aShard);

  /// @return the shard if this process owns it in the given epoch, else null
  OwnedShard* Find(const std::string& aShard, std::uint64_t aEpoch);

  const SchedulerPorts& mPorts;
  PlacementPolicy mPolicy;
  SchedulerRing& mEvents;
  Committer& mCommitter;
  WorkerLinks& mLinks;
  /// All worker shards by the latest host list; null before the first one.
  std::shared_ptr<const WorkerShards> mWorkerShards;
  std::map<std::string, std::unique_ptr<OwnedShard>> mOwned;
  /// Epoch of the latest acquisition of each shard by this process.
  std::map<std::string, std::uint64_t> mLatestEpochs;
  std::vector<ShardSummariesEvent::ShardSummary> mShardSummaries;
  MonotonicTime mNextServiceTaskUpdate;

  mutable std::mutex mSummaryMutex; ///< Guards mSummary.
  Json::Value mSummary;

  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

/// @return the answer of scheduler.status for a job
Json::Value
JobStatus(const OwnedShard& aOwned, const Job& aJob, MonotonicTime aNow);

} // namespace paddle
