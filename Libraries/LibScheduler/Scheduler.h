#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <LibHttp/HttpServer.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibRpc/RpcServer.h>
#include <LibScheduler/Committer.h>
#include <LibScheduler/PlacementThread.h>
#include <LibScheduler/SchedulerPorts.h>
#include <LibScheduler/ShardDirectory.h>
#include <LibScheduler/WorkerLinks.h>

namespace paddle {

/// The threads and RPC methods of one scheduler process. The settings, leases
/// and signals are the caller's.
class Scheduler
{
public:
  /// Starts the threads.
  /// @param aPorts  must outlive the scheduler
  /// @param aPolicy see PlacementThread
  Scheduler(const SchedulerPorts& aPorts,
            PlacementPolicy aPolicy,
            const LinkSettings& aLinks);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// @return the RPC methods scheduler.submit, scheduler.cancel,
  ///         scheduler.status, scheduler.explain and scheduler.summary
  [[nodiscard]] RpcMethods Methods();

  /// Answers the health and metrics pages; 404 for other paths.
  [[nodiscard]] HttpReply Page(const HttpRequest& aRequest) const;

  /// Refuses submits from now on, and reports "leaving" on the health page.
  void BeginLeave();

  /// @return whether no request to a worker and no commit is in flight, so
  ///         that shards may be handed over
  [[nodiscard]] bool Quiescent() const;

  /// Ends all threads.
  void Stop();

private:
  /// Answers scheduler.submit: tries the shard that the parameters name, or
  /// else the best candidates.
  Outcome<Json::Value> Submit(const Json::Value& aParameters);

  /// Submits a job to one shard, here or at its owner.
  Outcome<Json::Value> SubmitTo(const std::string& aShard,
                                const JobSpec& aSpec,
                                const Json::Value& aParameters);

  /// Answers scheduler.cancel, scheduler.status and scheduler.explain, here or
  /// by the owner of the job's shard.
  Outcome<Json::Value> HandleJobRequest(JobRequest aRequest,
                                        const char* aMethod,
                                        const Json::Value& aParameters);

  /// Calls a method of the shard's owner. A call that was forwarded before is
  /// not forwarded again.
  Outcome<Json::Value> Forward(const std::string& aShard,
                               const char* aMethod,
                               Json::Value aParameters);

  /// Sends an event to the placement thread and waits for the reply.
  Outcome<Json::Value> Await(SchedulerEvent aEvent, const ReplyPromise& aReply);
  [[nodiscard]] bool Owns(const std::string& aShard) const;

  const SchedulerPorts& mPorts;
  SchedulerRing mEvents;
  std::atomic<bool> mLeaving{ false };
  Committer mCommitter;
  WorkerLinks mLinks;
  PlacementThread mPlacement;
  ShardDirectory mDirectory;
};

} // namespace paddle
