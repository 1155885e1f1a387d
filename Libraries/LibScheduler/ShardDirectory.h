#pragma once

#include <atomic>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <LibScheduler/SchedulerEvent.h>
#include <LibScheduler/SchedulerPorts.h>
#include <LibScheduler/WorkerShards.h>

namespace paddle {

/// Knows all worker shards and their load, and answers which shard should take
/// a job. Its thread reads the host list and the summaries of the other
/// schedulers.
class ShardDirectory
{
public:
  /// @param aPorts      must outlive the directory
  /// @param aEvents     receives what was read; must outlive the directory
  /// @param aOwnSummary returns the summary of this process
  ShardDirectory(const SchedulerPorts& aPorts,
                 SchedulerRing& aEvents,
                 std::function<Json::Value()> aOwnSummary);
  ~ShardDirectory();
  ShardDirectory(const ShardDirectory&) = delete;
  ShardDirectory& operator=(const ShardDirectory&) = delete;

  /// @return the shards with a worker that could ever run the job, the best
  ///         first; empty if no host list was read yet
  [[nodiscard]] std::vector<std::string> CandidateShards(
    const JobSpec& aSpec) const;

  /// @return why no worker could ever run the job; nothing if one could or
  ///         no host list was read yet
  [[nodiscard]] std::optional<std::string> WhyJobUnplaceable(
    const JobSpec& aSpec) const;

  /// Ends the thread.
  void Stop();

private:
  /// Load of a shard by its owner's summary.
  struct ShardLoad
  {
    /// Free capacity of the worker with the most free cores.
    ResourceVector mLargestFree;
    std::uint64_t mQueued = 0; ///< Number of queued jobs.
    bool mLoaded = false;      ///< The owner has read the shard's job rows.
  };

  /// The body of the thread.
  void Run();
  void ReadHosts();
  void ReadSummaries();

  /// Adds the shards of a summary to the loads and to the event.
  void AddShardLoads(const Json::Value& aSummary,
                     std::map<std::string, ShardLoad>& aLoads,
                     ShardSummariesEvent& aEvent) const;

  const SchedulerPorts& mPorts;
  SchedulerRing& mEvents;
  std::function<Json::Value()> mOwnSummary;
  mutable std::mutex mMutex; ///< Guards mShards and mShardLoads.
  /// All worker shards by the latest host list; null before the first one.
  std::shared_ptr<const WorkerShards> mShards;
  std::map<std::string, ShardLoad> mShardLoads; ///< By shard.
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace paddle
