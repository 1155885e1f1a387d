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

struct LinkSettings
{
  Millis mTaskLease{ 10000 };
  Millis mPollInterval{ 500 };
  /// Of a worker that did not answer: a silent one must not hold up others.
  Millis mSilentInterval{ 2000 };
  Millis mTimeout{ 500 };
  unsigned mGroups = 16;
};

/// What the placement thread wants to be sent to one worker.
struct WorkerLink
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  WorkerIndex mWorker = 0;
  Endpoint mAddress;

  std::mutex mMutex; ///< Guards the members below.
  Actions mCommands;
  PollPlan mPlan;
  bool mClosed = false; ///< The shard is not ours any more.

  MonotonicTime mNextPoll; ///< Used by the link's poll thread only.
};

/// The poll threads: each polls a group of workers and sends the commands
/// for them. The lease is checked immediately before each request.
class WorkerLinks
{
public:
  WorkerLinks(const SchedulerPorts& aPorts,
              const LinkSettings& aSettings,
              SchedulerRing& aEvents);
  ~WorkerLinks();
  WorkerLinks(const WorkerLinks&) = delete;
  WorkerLinks& operator=(const WorkerLinks&) = delete;

  /// Begins to poll a worker.
  std::shared_ptr<WorkerLink> Open(const std::string& aShard,
                                   std::uint64_t aEpoch,
                                   WorkerIndex aWorker,
                                   const Endpoint& aAddress);

  /// Ends the polling of a worker; commands not yet sent are dropped.
  static void Close(WorkerLink& aLink);

  /// Queues a command; it is sent at once.
  void Send(WorkerLink& aLink, Action aCommand);

  static void SetPlan(WorkerLink& aLink, PollPlan aPlan);

  /// @return whether no request is under way
  [[nodiscard]] bool Quiescent() const { return mUnderWay == 0; }

  void Stop();

private:
  struct Group
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    bool mWork = false;
    std::vector<std::shared_ptr<WorkerLink>> mLinks;
    std::thread mThread;
  };

  Group& GroupOf(const Endpoint& aAddress);
  void Run(Group& aGroup);
  void Serve(WorkerLink& aLink);
  void SendCommands(WorkerLink& aLink, const Actions& aCommands);
  void SendStarts(WorkerLink& aLink, const std::vector<StartTask>& aStarts);
  void Poll(WorkerLink& aLink);
  Outcome<Json::Value> Call(const WorkerLink& aLink,
                            const char* aMethod,
                            const Json::Value& aParameters);
  void Answer(SchedulerEvent aEvent);

  const SchedulerPorts& mPorts;
  LinkSettings mSettings;
  SchedulerRing& mEvents;
  std::atomic<bool> mStopping{ false };
  std::atomic<unsigned> mUnderWay{ 0 };
  std::vector<std::unique_ptr<Group>> mGroups;
};

} // namespace paddle
