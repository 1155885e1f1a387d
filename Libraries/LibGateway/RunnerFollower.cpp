#include <LibGateway/RunnerFollower.h>

#include <algorithm>

#include <LibBase/Log.h>

namespace paddle {

std::string
RunnerShardOf(const GatewaySettings& aSettings, const HostEntry& aRunner)
{
  const std::uint32_t number =
    KeyShardOf(aRunner.mName) % aSettings.mShardsPerDataCentre;
  return "runner/" + aRunner.mService + "/" + aRunner.mDataCentre + "/" +
         std::to_string(number);
}

std::string
KeyShardId(std::uint32_t aNumber)
{
  return "key/" + std::to_string(aNumber);
}

ServiceLimits
LimitsOf(const ServiceDocument& aDocument)
{
  ServiceLimits limits;
  limits.mSlotsPerRunner = aDocument.mSlotsPerRunner;
  limits.mConnectionsPerRunner = aDocument.mConnectionsPerRunner;
  limits.mWatchSlotsPerRunner = aDocument.mWatchSlotsPerRunner;
  limits.mLongestWatch = aDocument.mLongestWatch;
  limits.mLongestRun = aDocument.mLongestRun;
  return limits;
}

RunnerFollower::RunnerFollower(const GatewaySettings& aSettings,
                               const GatewayPorts& aPorts,
                               RoutingThread& aRouting)
  : mSettings(aSettings)
  , mPorts(aPorts)
  , mRouting(aRouting)
  , mThread([this] { Run(); })
{
}

RunnerFollower::~RunnerFollower()
{
  mStop.Close();
  mThread.join();
}

void
RunnerFollower::Run()
{
  MonotonicTime nextHosts{};
  while (!mStop.Closed()) {
    const auto configuration = mPorts.mConfiguration();
    const MonotonicTime now = std::chrono::steady_clock::now();
    const bool changed =
      configuration && configuration->mRevision != mListedRevision;
    if (now >= nextHosts) {
      ReadHosts();
      nextHosts = now + mSettings.mHostInterval;
      ListServices();
    } else if (changed) {
      ListServices();
    }
    FollowShards();
    // Nothing is ever pushed; this waits until the interval ends or the ring
    // is closed.
    (void)mStop.Pop(mSettings.mOwnerInterval);
  }
}

void
RunnerFollower::ReadHosts()
{
  auto hosts = mPorts.mHosts.mList();
  if (!Succeeded(hosts)) {
    // The last list stays in force; refused connections and probes tell which
    // of its runners are gone.
    LogEvent(LogLevel::Warning,
             "host_list_unavailable",
             { { "error", ErrorOf(hosts).mMessage } });
    return;
  }
  mHosts = std::move(ValueOf(hosts));
}

void
RunnerFollower::ListServices()
{
  const auto configuration = mPorts.mConfiguration();
  if (!configuration) {
    return;
  }
  mListedRevision = configuration->mRevision;
  std::map<std::string, ShardSpec> shards;
  for (const auto& [name, document] : configuration->mServices) {
    ServiceListed listed{ name, LimitsOf(document), {} };
    for (const HostEntry& host : mHosts) {
      if (host.mKind != HostKind::Runner || host.mService != name) {
        continue;
      }
      const std::string shard = RunnerShardOf(mSettings, host);
      shards[shard] = { shard, host.mDataCentre, host.mRegion };
      listed.mRunners.push_back({ host.mName,
                                  host.mAddress.mHost,
                                  host.mAddress.mPort,
                                  shard,
                                  host.mState == HostState::Leaving });
    }
    mRouting.Post(std::move(listed));
  }
  std::vector<DataCentre> places;
  for (const auto& [name, place] : configuration->mDataCentres) {
    if (place.mState == DataCentreState::InService) {
      places.push_back(place);
    }
  }
  for (std::uint32_t i = 0; i < kKeyShards && !places.empty(); ++i) {
    const DataCentre& place = places[i % places.size()];
    shards[KeyShardId(i)] = { KeyShardId(i), place.mName, place.mRegion };
  }
  mShards = std::move(shards);
  std::vector<ShardSpec> specs;
  for (const auto& [id, spec] : mShards) {
    specs.push_back(spec);
  }
  mPorts.mSetShards(std::move(specs));
}

void
RunnerFollower::FollowShards()
{
  for (const auto& [id, spec] : mShards) {
    if (!id.starts_with("runner/")) {
      continue;
    }
    const auto owned = mPorts.mOwns(id);
    const auto known = mEpochs.find(id);
    if (owned && (known == mEpochs.end() || known->second != owned->mEpoch)) {
      mEpochs[id] = owned->mEpoch;
      mRouting.Post(ShardAcquired{ id, *owned });
    } else if (!owned && known != mEpochs.end()) {
      mEpochs.erase(known);
      mRouting.Post(ShardLost{ id });
    }
  }
  // A shard without listed runners is not followed any more.
  for (auto known = mEpochs.begin(); known != mEpochs.end();) {
    if (mShards.contains(known->first)) {
      ++known;
      continue;
    }
    mRouting.Post(ShardLost{ known->first });
    known = mEpochs.erase(known);
  }
}

} // namespace paddle
