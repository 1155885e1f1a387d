#include <LibScheduler/ShardDirectory.h>

#include <algorithm>
#include <tuple>

#include <LibBase/Log.h>
#include <LibRpc/RpcClient.h>
#include <LibScheduler/WorkerJson.h>

namespace paddle {

namespace {

/// Interval between reads of the host list and the summaries.
constexpr Millis kReadInterval{ 500 };

/// Time-out of the call for a peer's summary. The shards of a peer that does
/// not answer in time have no summary until the next read.
constexpr Millis kPeerTimeout{ 300 };

bool
AnyWorkerCouldRun(const WorkerShard& aShard, const JobSpec& aSpec)
{
  return std::any_of(aShard.mWorkers.begin(),
                     aShard.mWorkers.end(),
                     [&](const WorkerHost& aWorker) {
                       return CouldEverRun(aWorker.mSpec, aSpec);
                     });
}

} // namespace

ShardDirectory::ShardDirectory(const SchedulerPorts& aPorts,
                               SchedulerRing& aEvents,
                               std::function<Json::Value()> aOwnSummary)
  : mPorts(aPorts)
  , mEvents(aEvents)
  , mOwnSummary(std::move(aOwnSummary))
  , mThread([this] { Run(); })
{
}

ShardDirectory::~ShardDirectory()
{
  Stop();
}

void
ShardDirectory::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ShardDirectory::Run()
{
  // How often the thread checks whether it must stop.
  constexpr Millis kStopCheckInterval{ 50 };
  MonotonicTime next;
  while (!mStopping) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (now >= next) {
      next = now + kReadInterval;
      ReadHosts();
      ReadSummaries();
    }
    std::this_thread::sleep_for(kStopCheckInterval);
  }
}

void
ShardDirectory::ReadHosts()
{
  const auto hosts = mPorts.mHosts.mList();
  if (!Succeeded(hosts)) {
    mPorts.mMetrics->Count("host_list_failures");
    return; // The list of the last successful read stays in use.
  }
  auto shards =
    std::make_shared<const WorkerShards>(AssignWorkersToShards(ValueOf(hosts)));
  std::vector<ShardSpec> specs;
  specs.reserve(shards->size());
  for (const auto& [id, shard] : *shards) {
    specs.push_back(shard.mSpec);
  }
  mPorts.mLease.mSetShards(std::move(specs));
  if (mEvents.TryPush(HostsEvent{ shards }) != PushResult::Accepted) {
    mPorts.mMetrics->Count("placement_ring_full");
  }
  const std::lock_guard lock(mMutex);
  mShards = std::move(shards);
}

void
ShardDirectory::AddShardLoads(const Json::Value& aSummary,
                              std::map<std::string, ShardLoad>& aLoads,
                              ShardSummariesEvent& aEvent) const
{
  for (const Json::Value& shard : aSummary["shards"]) {
    const std::string id = shard["shard"].asString();
    ShardLoad load;
    load.mLargestFree = ResourceVectorFromJson(shard["largestFree"]);
    load.mQueued = shard["queued"].asUInt64();
    load.mLoaded = shard["loaded"].asBool();
    aLoads[id] = load;
    if (load.mLoaded) {
      aEvent.mSummaries.push_back({ id,
                                    shard["dataCentre"].asString(),
                                    load.mLargestFree,
                                    load.mQueued });
    }
  }
}

void
ShardDirectory::ReadSummaries()
{
  std::map<std::string, ShardLoad> loads;
  ShardSummariesEvent event;
  for (const Member& peer : mPorts.mLease.mSchedulers()) {
    if (peer.mName == mPorts.mSelf.mName) {
      AddShardLoads(mOwnSummary(), loads, event);
      continue;
    }
    const auto summary = CallRpc(*mPorts.mClient,
                                 peer.mAddress,
                                 "scheduler.summary",
                                 Json::Value(Json::objectValue),
                                 kPeerTimeout);
    try {
      if (Succeeded(summary)) {
        AddShardLoads(ValueOf(summary), loads, event);
      }
    } catch (const Json::Exception& e) {
      LogEvent(LogLevel::Error,
               "peer_summary_malformed",
               { { "peer", peer.mName }, { "why", e.what() } });
    }
  }
  if (mEvents.TryPush(event) != PushResult::Accepted) {
    mPorts.mMetrics->Count("placement_ring_full");
  }
  const std::lock_guard lock(mMutex);
  mShardLoads = std::move(loads);
}

std::vector<std::string>
ShardDirectory::CandidateShards(const JobSpec& aSpec) const
{
  // The order is: shards whose owner is live and has read their rows, shards
  // where the job fits at once, the shortest queue, the most free cores.
  using Rank = std::tuple<bool, bool, std::uint64_t, std::int64_t>;
  std::vector<std::pair<Rank, std::string>> ranked;
  const std::lock_guard lock(mMutex);
  if (!mShards) {
    return {};
  }
  for (const auto& [id, shard] : *mShards) {
    if (!AnyWorkerCouldRun(shard, aSpec)) {
      continue;
    }
    const auto found = mShardLoads.find(id);
    const ShardLoad load =
      found == mShardLoads.end() ? ShardLoad{} : found->second;
    ranked.emplace_back(Rank{ !load.mLoaded,
                              !Fits(aSpec.mDeclared, load.mLargestFree),
                              load.mQueued,
                              -load.mLargestFree.mMilliCores },
                        id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> shards;
  shards.reserve(ranked.size());
  for (auto& [rank, id] : ranked) {
    shards.push_back(std::move(id));
  }
  return shards;
}

std::optional<std::string>
ShardDirectory::WhyJobUnplaceable(const JobSpec& aSpec) const
{
  std::shared_ptr<const WorkerShards> shards;
  {
    const std::lock_guard lock(mMutex);
    shards = mShards;
  }
  if (!shards) {
    return std::nullopt;
  }
  return WhyUnplaceable(AllWorkers(*shards), aSpec);
}

} // namespace paddle
