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

/// The thread that follows the host list and the summaries of the other
/// schedulers, and answers which shard should take a job.
class Directory
{
public:
  /// @param aOwnSummary the summary of this process
  Directory(const SchedulerPorts& aPorts,
            SchedulerRing& aEvents,
            std::function<Json::Value()> aOwnSummary);
  ~Directory();
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  /// @return the shards that could hold the job, the best first; empty if no
  ///         host list was read yet
  [[nodiscard]] std::vector<std::string> Candidates(const JobSpec& aSpec) const;

  /// @return why no worker could ever hold the job; nothing if one could or
  ///         no host list was read yet
  [[nodiscard]] std::optional<std::string> WhyNever(const JobSpec& aSpec) const;

  void Stop();

private:
  struct Room
  {
    ResourceVector mLargestFree;
    std::uint64_t mQueued = 0;
    bool mLoaded = false;
  };

  void Run();
  void ReadHosts();
  void ReadSummaries();
  void AddRooms(const Json::Value& aSummary,
                std::map<std::string, Room>& aRooms,
                PeersEvent& aEvent) const;

  const SchedulerPorts& mPorts;
  SchedulerRing& mEvents;
  std::function<Json::Value()> mOwnSummary;
  mutable std::mutex mMutex; ///< Guards the two members below.
  std::shared_ptr<const WorkerShards> mShards;
  std::map<std::string, Room> mRooms;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace paddle
