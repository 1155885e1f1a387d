#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <LibPlacement/Action.h>
#include <LibScheduler/SchedulerEvent.h>
#include <LibScheduler/SchedulerPorts.h>

namespace paddle {

/// Settings of the requests to workers.
struct LinkSettings
{
  /// Term of a task's lease, which a start or a poll grants or renews.
  Millis mTaskLease{ 10000 };
  /// Time from the answer to a poll to the next poll of the worker.
  Millis mPollInterval{ 500 };
  /// Time from a failed poll to the next poll of the worker. It is longer than
  /// mPollInterval, because each poll of a silent worker delays the other
  /// workers of its group.
  Millis mUnansweredPollInterval{ 2000 };
  /// Time-out of each request to a worker.
  Millis mTimeout{ 500 };
  /// Number of groups of workers; each has its own poll thread.
  unsigned mGroups = 16;
};

/// The connection between the placement thread and the poll thread for one
/// worker: the commands and the poll parameters to send to it.
struct WorkerLink
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  WorkerIndex mWorker = 0;
  Endpoint mAddress;

  std::mutex mMutex;    ///< Guards mCommands, mPlan and mClosed.
  Actions mCommands;    ///< Commands that have not been sent yet.
  PollPlan mPlan;       ///< The content of the next poll.
  bool mClosed = false; ///< This process does not own the shard any more.

  MonotonicTime mNextPoll; ///< Used by the link's poll thread only.
};

/// Runs the poll threads. Each polls the workers of one group and sends
/// commands to them. It checks immediately before each request that this
/// process still holds the shard's lease.
class WorkerLinks
{
public:
  /// @param aPorts  must outlive this object
  /// @param aEvents receives reports and the answers to starts; must outlive
  ///                this object
  WorkerLinks(const SchedulerPorts& aPorts,
              const LinkSettings& aSettings,
              SchedulerRing& aEvents);
  ~WorkerLinks();
  WorkerLinks(const WorkerLinks&) = delete;
  WorkerLinks& operator=(const WorkerLinks&) = delete;

  /// Starts polling a worker.
  std::shared_ptr<WorkerLink> Open(const std::string& aShard,
                                   std::uint64_t aEpoch,
                                   WorkerIndex aWorker,
                                   const Endpoint& aAddress);

  /// Stops polling a worker and discards the commands that were not sent yet.
  static void Close(WorkerLink& aLink);

  /// Queues a command and wakes the poll thread, which sends it.
  void Send(WorkerLink& aLink, Action aCommand);

  /// Sets the content of the following polls.
  static void SetPlan(WorkerLink& aLink, PollPlan aPlan);

  /// @return whether no request to a worker is in flight
  [[nodiscard]] bool Quiescent() const { return mLinksInService == 0; }

  /// Ends the poll threads; requests in flight are completed first.
  void Stop();

private:
  /// The workers of one poll thread.
  struct PollGroup
  {
    std::mutex mMutex; ///< Guards mWakeUp and mLinks.
    std::condition_variable mChanged;
    /// Set when there is a new link or command, or when the thread must end.
    bool mWakeUp = false;
    std::vector<std::shared_ptr<WorkerLink>> mLinks;
    std::thread mThread;
  };

  PollGroup& GroupOf(const Endpoint& aAddress);

  /// The body of a poll thread.
  void Run(PollGroup& aGroup);

  /// Sends the queued commands of a worker, then polls it if a poll is due.
  void Serve(WorkerLink& aLink);
  void SendCommands(WorkerLink& aLink, const Actions& aCommands);
  void SendStarts(WorkerLink& aLink, const std::vector<StartTask>& aStarts);
  void Poll(WorkerLink& aLink);

  /// Calls a method of the worker if the shard's lease holds.
  Outcome<Json::Value> Call(const WorkerLink& aLink,
                            const char* aMethod,
                            const Json::Value& aParameters);

  /// Sends an event to the placement thread, unless the ring is full.
  void PushEvent(SchedulerEvent aEvent);

  const SchedulerPorts& mPorts;
  LinkSettings mSettings;
  SchedulerRing& mEvents;
  std::atomic<bool> mStopping{ false };
  /// Number of links for which a poll thread may have a request in flight.
  std::atomic<unsigned> mLinksInService{ 0 };
  std::vector<std::unique_ptr<PollGroup>> mGroups;
};

} // namespace paddle
