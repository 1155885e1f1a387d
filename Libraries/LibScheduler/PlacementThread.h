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

/// The placement thread: owns all task state of the shards of this process,
/// takes events from a ring, and passes actions to the poll threads and the
/// commit thread.
class PlacementThread
{
public:
  PlacementThread(const SchedulerPorts& aPorts,
                  PlacementPolicy aPolicy,
                  SchedulerRing& aEvents,
                  Committer& aCommitter,
                  WorkerLinks& aLinks);
  ~PlacementThread();
  PlacementThread(const PlacementThread&) = delete;
  PlacementThread& operator=(const PlacementThread&) = delete;

  /// @return the result of scheduler.summary, at most 200 ms old
  [[nodiscard]] Json::Value Summary() const;

  void Stop();

private:
  void Run();
  void Tick(MonotonicTime aNow);
  void FollowOwnership(MonotonicTime aNow);
  void Acquire(const std::string& aShard,
               const Ownership& aOwnership,
               MonotonicTime aNow);
  void Drop(OwnedShard& aOwned);
  void FollowHosts(OwnedShard& aOwned);
  void FollowConfiguration(OwnedShard& aOwned, MonotonicTime aNow);
  void FollowServices(MonotonicTime aNow);
  void CancelUnwanted(const std::map<std::string, const WantedTask*>& aWanted,
                      MonotonicTime aNow);
  void MoveWaitingJobs(OwnedShard& aOwned, MonotonicTime aNow);
  void Place(OwnedShard& aOwned, MonotonicTime aNow);
  void Execute(OwnedShard& aOwned, Actions aActions);
  void Push(OwnedShard& aOwned, CommitterItem aItem);
  void FlushBacklog(OwnedShard& aOwned);
  void AnswerWaiters(OwnedShard& aOwned, const CommittedEvent& aEvent);
  void PublishSummary();

  void Handle(const SubmitEvent& aEvent, MonotonicTime aNow);
  void Handle(const QuestionEvent& aEvent, MonotonicTime aNow);
  void Handle(const HostsEvent& aEvent, MonotonicTime aNow);
  void Handle(const ReportEvent& aEvent, MonotonicTime aNow);
  void Handle(const StartAnswerEvent& aEvent, MonotonicTime aNow);
  void Handle(const CommittedEvent& aEvent, MonotonicTime aNow);
  void Handle(const MovedEvent& aEvent, MonotonicTime aNow);
  void Handle(const RowsEvent& aEvent, MonotonicTime aNow);
  void Handle(const PeersEvent& aEvent, MonotonicTime aNow);

  OwnedShard* Find(const std::string& aShard);
  OwnedShard* Find(const std::string& aShard, std::uint64_t aEpoch);

  const SchedulerPorts& mPorts;
  PlacementPolicy mPolicy;
  SchedulerRing& mEvents;
  Committer& mCommitter;
  WorkerLinks& mLinks;
  std::shared_ptr<const WorkerShards> mHosts;
  std::map<std::string, std::unique_ptr<OwnedShard>> mOwned;
  std::map<std::string, std::uint64_t> mSeenEpochs; ///< By shard.
  std::vector<PeersEvent::Room> mRooms;
  MonotonicTime mNextServices;

  mutable std::mutex mSummaryMutex;
  Json::Value mSummary;

  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

/// @return the answer of scheduler.status for a job
Json::Value
JobStatus(const OwnedShard& aOwned, const Job& aJob, MonotonicTime aNow);

} // namespace paddle
