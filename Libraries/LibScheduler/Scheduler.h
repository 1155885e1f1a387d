#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <LibHttp/HttpServer.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibRpc/RpcServer.h>
#include <LibScheduler/Committer.h>
#include <LibScheduler/Directory.h>
#include <LibScheduler/PlacementThread.h>
#include <LibScheduler/SchedulerPorts.h>
#include <LibScheduler/WorkerLinks.h>

namespace paddle {

/// One scheduler process without its settings, leases and signals: the
/// threads and the methods that it answers.
class Scheduler
{
public:
  /// @param aPorts must outlive the scheduler
  Scheduler(const SchedulerPorts& aPorts,
            PlacementPolicy aPolicy,
            const LinkSettings& aLinks);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// @return scheduler.submit, scheduler.cancel, scheduler.status,
  ///         scheduler.explain and scheduler.summary
  [[nodiscard]] RpcMethods Methods();

  /// Answers the health and metrics pages; 404 for other paths.
  [[nodiscard]] HttpReply Page(const HttpRequest& aRequest) const;

  /// Refuses submits from now on and reports "leaving".
  void BeginLeave();

  /// @return whether nothing is being sent or committed, so that shards may
  ///         be handed over
  [[nodiscard]] bool Quiescent() const;

  void Stop();

private:
  Outcome<Json::Value> Submit(const Json::Value& aParameters);
  Outcome<Json::Value> SubmitTo(const std::string& aShard,
                                const JobSpec& aSpec,
                                const Json::Value& aParameters);
  Outcome<Json::Value> Ask(JobQuestion aQuestion,
                           const char* aMethod,
                           const Json::Value& aParameters);
  Outcome<Json::Value> Forward(const std::string& aShard,
                               const char* aMethod,
                               Json::Value aParameters);
  Outcome<Json::Value> Await(SchedulerEvent aEvent, const Reply& aReply);
  [[nodiscard]] bool Owns(const std::string& aShard) const;

  const SchedulerPorts& mPorts;
  SchedulerRing mEvents;
  std::atomic<bool> mLeaving{ false };
  Committer mCommitter;
  WorkerLinks mLinks;
  PlacementThread mPlacement;
  Directory mDirectory;
};

} // namespace paddle
