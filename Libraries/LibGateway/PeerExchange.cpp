#include <LibGateway/PeerExchange.h>

#include <LibRpc/RpcClient.h>

namespace paddle {

namespace {

/// Back-off after a failed call to a peer. Without it, each call to a peer that
/// can't be reached would delay the calls to all others.
constexpr Millis kPeerBackOffMs{ 1000 };

/// @return 0 if the peer is in the same data centre as @p aSelf, 1 if it is in
///         the same region, and 2 otherwise
std::uint32_t
DistanceTo(const Member& aSelf, const Json::Value& aPeer)
{
  if (aPeer["dataCentre"].asString() == aSelf.mDataCentre) {
    return 0;
  }
  return aPeer["region"].asString() == aSelf.mRegion ? 1 : 2;
}

} // namespace

PeerExchange::PeerExchange(const GatewaySettings& aSettings,
                           const GatewayPorts& aPorts,
                           HttpClient& aClient,
                           RoutingThread& aRouting,
                           IdempotencyKeyStore& aKeys)
  : mSettings(aSettings)
  , mPorts(aPorts)
  , mClient(aClient)
  , mRouting(aRouting)
  , mKeys(aKeys)
  , mThread([this] { Run(); })
{
}

PeerExchange::~PeerExchange()
{
  mStop.Close();
  mThread.join();
}

void
PeerExchange::Run()
{
  while (!mStop.Closed()) {
    CallPeers();
    mKeys.Maintain();
    // The ring is always empty, so this waits until the interval has passed or
    // the ring is closed.
    (void)mStop.Pop(mSettings.mSummaryInterval);
  }
}

/// Exchanges summaries with all peers whose name sorts after the own one.
void
PeerExchange::CallPeers()
{
  for (const Member& peer : mPorts.mMembers()) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (peer.mName <= mSettings.mSelf.mName ||
        now < mBackOffUntil[peer.mIncarnation]) {
      continue;
    }
    const auto answer = CallRpc(mClient,
                                peer.mAddress,
                                "gateway.summary",
                                OwnSummary(),
                                mSettings.mPeerTimeout);
    if (Succeeded(answer)) {
      Report(ValueOf(answer));
    } else {
      mBackOffUntil[peer.mIncarnation] = now + kPeerBackOffMs;
    }
  }
}

/// @return the summary of this gateway's free slots as peers receive it
Json::Value
PeerExchange::OwnSummary() const
{
  Json::Value summary(Json::objectValue);
  summary["member"] = mSettings.mSelf.mName;
  summary["dataCentre"] = mSettings.mSelf.mDataCentre;
  summary["region"] = mSettings.mSelf.mRegion;
  summary["services"] = Json::Value(Json::objectValue);
  for (const auto& [service, free] : mRouting.LatestSummary()) {
    Json::Value figures(Json::objectValue);
    figures["slots"] = free.mSlots;
    figures["watchSlots"] = free.mWatchSlots;
    summary["services"][service] = figures;
  }
  return summary;
}

/// Passes a peer's summary to the routing thread.
void
PeerExchange::Report(const Json::Value& aSummary)
{
  PeerReported report;
  report.mPeer = aSummary["member"].asString();
  report.mDistance = DistanceTo(mSettings.mSelf, aSummary);
  for (const std::string& service : aSummary["services"].getMemberNames()) {
    const Json::Value& figures = aSummary["services"][service];
    report.mServices.emplace_back(
      service,
      PeerFreeSlots{ figures["slots"].asUInt(),
                     figures["watchSlots"].asUInt() });
  }
  mRouting.Post(std::move(report));
}

Outcome<Json::Value>
PeerExchange::HandleSummary(const Json::Value& aParameters)
{
  Report(aParameters);
  return OwnSummary();
}

} // namespace paddle
