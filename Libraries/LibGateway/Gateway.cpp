#include <LibGateway/Gateway.h>

#include <atomic>

#include <LibGateway/KeyBook.h>
#include <LibGateway/PeerExchange.h>
#include <LibGateway/Prober.h>
#include <LibGateway/RecordWriter.h>
#include <LibGateway/RequestPath.h>
#include <LibGateway/RoutingThread.h>
#include <LibGateway/RunnerFollower.h>
#include <LibGateway/WatchPool.h>
#include <LibKernel/Registry.h>

namespace paddle {

namespace {

constexpr std::string_view kHealthPath = "/savorypaddle/health";
constexpr std::string_view kMetricsPath = "/savorypaddle/metrics";

HttpClientSettings
ClientSettings(const GatewaySettings& aSettings)
{
  HttpClientSettings settings;
  settings.mUserAgent = "savorypaddle/" + aSettings.mSelf.mName;
  // As many as a runner has slots: with those in use it stays far below the
  // 64 connections of a runner, also after its owner has changed.
  settings.mMaxIdlePerEndpoint = 8;
  return settings;
}

} // namespace

/// Members are destroyed in reverse order: first what posts events, last what
/// it refers to.
struct Gateway::State
{
  State(GatewaySettings aSettings, GatewayPorts aPorts, RoutingPolicy aPolicy)
    : mSettings(std::move(aSettings))
    , mPorts(std::move(aPorts))
    , mClient(ClientSettings(mSettings))
    , mRecords(mSettings, mPorts.mObjects, mMetrics)
    , mKeys(mSettings, mPorts, mClient, mMetrics)
    , mProber(
        mClient,
        mSettings.mProbeTimeout,
        [this](std::string_view aService) { return HealthPathOf(aService); },
        [this](const ProbeEnded& aEnd) { mRouting.Post(aEnd); })
    , mRouting(mSettings, aPolicy, Outputs())
    , mPath(mSettings,
            mPorts,
            mClient,
            mRouting,
            mKeys,
            mWatches,
            mRecords,
            mMetrics)
    , mFollower(mSettings, mPorts, mRouting)
    , mPeers(mSettings, mPorts, mClient, mRouting, mKeys)
  {
  }

  ~State()
  {
    // Their threads use members that are destroyed before they are.
    mWatches.Drain();
    mWatches.Wait();
    mProber.Stop();
  }

  RoutingOutputs Outputs()
  {
    return {
      [this](RequestRecord aRecord) { mRecords.Add(std::move(aRecord)); },
      [this](ProbeOrder aOrder) { return mProber.TryOrder(std::move(aOrder)); }
    };
  }

  std::string HealthPathOf(std::string_view aService) const
  {
    const auto configuration = mPorts.mConfiguration();
    if (!configuration) {
      return "/";
    }
    const auto found = configuration->mServices.find(aService);
    return found == configuration->mServices.end() ? "/"
                                                   : found->second.mHealthPath;
  }

  const GatewaySettings mSettings;
  const GatewayPorts mPorts;
  Metrics mMetrics;
  HttpClient mClient;
  RecordWriter mRecords;
  KeyBook mKeys;
  Prober mProber;
  RoutingThread mRouting;
  WatchPool mWatches;
  RequestPath mPath;
  RunnerFollower mFollower;
  PeerExchange mPeers;
  std::atomic<bool> mLeaving{ false };
};

Gateway::Gateway(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Gateway::~Gateway() = default;

Outcome<std::unique_ptr<Gateway>>
Gateway::Start(GatewaySettings aSettings, GatewayPorts aPorts)
{
  const auto policy =
    Registry<RoutingPolicy>::Instance().Find(aSettings.mPolicy);
  if (!Succeeded(policy)) {
    return ErrorOf(policy);
  }
  return std::unique_ptr<Gateway>(new Gateway(std::make_unique<State>(
    std::move(aSettings), std::move(aPorts), ValueOf(policy))));
}

HttpReply
Gateway::Handle(const HttpRequest& aRequest)
{
  if (aRequest.mPath == kHealthPath) {
    return mState->mLeaving ? HttpReply{ 503, {}, "leaving\n" }
                            : HttpReply{ 200, {}, "ok\n" };
  }
  if (aRequest.mPath == kMetricsPath) {
    return HttpReply{ 200,
                      { { "Content-Type", "text/plain" } },
                      mState->mMetrics.Page() };
  }
  return mState->mPath.Handle(aRequest);
}

RpcMethods
Gateway::Methods()
{
  RpcMethods methods = mState->mKeys.Methods();
  methods["gateway.summary"] = [this](const Json::Value& aParameters) {
    return mState->mPeers.HandleSummary(aParameters);
  };
  return methods;
}

bool
Gateway::Quiescent(std::string_view aShard) const
{
  return aShard.starts_with("key/") ? mState->mKeys.Quiescent(aShard)
                                    : mState->mRouting.Quiescent(aShard);
}

void
Gateway::StartLeaving()
{
  mState->mLeaving = true;
  mState->mWatches.Drain();
}

void
Gateway::RefuseRequests()
{
  mState->mPath.Close();
}

unsigned
Gateway::AbandonedWatches() const
{
  return mState->mWatches.Running();
}

} // namespace paddle
