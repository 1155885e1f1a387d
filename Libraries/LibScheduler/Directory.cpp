#include <LibScheduler/Directory.h>

#include <algorithm>
#include <tuple>

#include <LibBase/Log.h>
#include <LibRpc/RpcClient.h>
#include <LibScheduler/WorkerJson.h>

namespace paddle {

namespace {

constexpr Millis kInterval{ 500 };

/// A peer that does not answer in time is left out of this round.
constexpr Millis kPeerTimeout{ 300 };

bool
CouldHoldOne(const WorkerShard& aShard, const JobSpec& aSpec)
{
  return std::any_of(aShard.mWorkers.begin(),
                     aShard.mWorkers.end(),
                     [&](const WorkerHost& aWorker) {
                       return CouldEverRun(aWorker.mSpec, aSpec);
                     });
}

} // namespace

Directory::Directory(const SchedulerPorts& aPorts,
                     SchedulerRing& aEvents,
                     std::function<Json::Value()> aOwnSummary)
  : mPorts(aPorts)
  , mEvents(aEvents)
  , mOwnSummary(std::move(aOwnSummary))
  , mThread([this] { Run(); })
{
}

Directory::~Directory()
{
  Stop();
}

void
Directory::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Directory::Run()
{
  constexpr Millis kStep{ 50 };
  MonotonicTime next;
  while (!mStopping) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (now >= next) {
      next = now + kInterval;
      ReadHosts();
      ReadSummaries();
    }
    std::this_thread::sleep_for(kStep);
  }
}

void
Directory::ReadHosts()
{
  const auto hosts = mPorts.mHosts.mList();
  if (!Succeeded(hosts)) {
    mPorts.mMetrics->Count("host_list_failures");
    return; // The last list stays in force.
  }
  auto shards =
    std::make_shared<const WorkerShards>(DivideWorkers(ValueOf(hosts)));
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
Directory::AddRooms(const Json::Value& aSummary,
                    std::map<std::string, Room>& aRooms,
                    PeersEvent& aEvent) const
{
  for (const Json::Value& shard : aSummary["shards"]) {
    const std::string id = shard["shard"].asString();
    Room room;
    room.mLargestFree = AmountFromJson(shard["largestFree"]);
    room.mQueued = shard["queued"].asUInt64();
    room.mLoaded = shard["loaded"].asBool();
    aRooms[id] = room;
    if (room.mLoaded) {
      aEvent.mRooms.push_back({ id,
                                shard["dataCentre"].asString(),
                                room.mLargestFree,
                                room.mQueued });
    }
  }
}

void
Directory::ReadSummaries()
{
  std::map<std::string, Room> rooms;
  PeersEvent event;
  for (const Member& peer : mPorts.mLease.mSchedulers()) {
    if (peer.mName == mPorts.mSelf.mName) {
      AddRooms(mOwnSummary(), rooms, event);
      continue;
    }
    const auto summary = CallRpc(*mPorts.mClient,
                                 peer.mAddress,
                                 "scheduler.summary",
                                 Json::Value(Json::objectValue),
                                 kPeerTimeout);
    try {
      if (Succeeded(summary)) {
        AddRooms(ValueOf(summary), rooms, event);
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
  mRooms = std::move(rooms);
}

std::vector<std::string>
Directory::Candidates(const JobSpec& aSpec) const
{
  // Shards with a live owner first, then those where the job fits at once,
  // then those with the shortest queue and the most room.
  using Rank = std::tuple<bool, bool, std::uint64_t, std::int64_t>;
  std::vector<std::pair<Rank, std::string>> ranked;
  const std::lock_guard lock(mMutex);
  if (!mShards) {
    return {};
  }
  for (const auto& [id, shard] : *mShards) {
    if (!CouldHoldOne(shard, aSpec)) {
      continue;
    }
    const auto found = mRooms.find(id);
    const Room room = found == mRooms.end() ? Room{} : found->second;
    ranked.emplace_back(Rank{ !room.mLoaded,
                              !Fits(aSpec.mDeclared, room.mLargestFree),
                              room.mQueued,
                              -room.mLargestFree.mMilliCores },
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
Directory::WhyNever(const JobSpec& aSpec) const
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
