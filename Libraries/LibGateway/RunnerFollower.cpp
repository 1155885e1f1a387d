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
      configuration && configuration->mRevision != mReportedRevision;
    if (now >= nextHosts) {
      ReadHosts();
      nextHosts = now + mSettings.mHostListInterval;
      ReportServices();
    } else if (changed) {
      ReportServices();
    }
    ReportOwnershipChanges();
    // The ring is always empty, so this waits until the interval has passed or
    // the ring is closed.
    (void)mStop.Pop(mSettings.mOwnershipInterval);
  }
}

void
RunnerFollower::ReadHosts()
{
  auto hosts = mPorts.mHosts.mList();
  if (!Succeeded(hosts)) {
    // The last list stays in use. Refused connections and failed probes reveal
    // which of its runners no longer exist.
    LogEvent(LogLevel::Warning,
             "host_list_unavailable",
             { { "error", ErrorOf(hosts).mMessage } });
    return;
  }
  mHosts = std::move(ValueOf(hosts));
}

/// Reports all services with their runners to the routing thread, and all
/// shards to the lease. Key shards are distributed over the data centres that
/// are in service.
void
RunnerFollower::ReportServices()
{
  const auto configuration = mPorts.mConfiguration();
  if (!configuration) {
    return;
  }
  mReportedRevision = configuration->mRevision;
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
  std::vector<DataCentre> dataCentres;
  for (const auto& [name, dataCentre] : configuration->mDataCentres) {
    if (dataCentre.mState == DataCentreState::InService) {
      dataCentres.push_back(dataCentre);
    }
  }
  for (std::uint32_t i = 0; i < kKeyShards && !dataCentres.empty(); ++i) {
    const DataCentre& dataCentre = dataCentres[i % dataCentres.size()];
    shards[KeyShardId(i)] = { KeyShardId(i),
                              dataCentre.mName,
                              dataCentre.mRegion };
  }
  mShards = std::move(shards);
  std::vector<ShardSpec> specs;
  for (const auto& [id, spec] : mShards) {
    specs.push_back(spec);
  }
  mPorts.mSetShards(std::move(specs));
}

/// Reports to the routing thread which runner shards this process has acquired
/// or lost since the last call.
void
RunnerFollower::ReportOwnershipChanges()
{
  for (const auto& [id, spec] : mShards) {
    if (!id.starts_with("runner/")) {
      continue;
    }
    const auto owned = mPorts.mOwns(id);
    const auto known = mOwnedEpochs.find(id);
    if (owned &&
        (known == mOwnedEpochs.end() || known->second != owned->mEpoch)) {
      mOwnedEpochs[id] = owned->mEpoch;
      mRouting.Post(ShardAcquired{ id, *owned });
    } else if (!owned && known != mOwnedEpochs.end()) {
      mOwnedEpochs.erase(known);
      mRouting.Post(ShardLost{ id });
    }
  }
  // A shard that no listed runner belongs to is reported as lost.
  for (auto known = mOwnedEpochs.begin(); known != mOwnedEpochs.end();) {
    if (mShards.contains(known->first)) {
      ++known;
      continue;
    }
    mRouting.Post(ShardLost{ known->first });
    known = mOwnedEpochs.erase(known);
  }
}

} // namespace paddle
