#include <LibGateway/Gateway.h>

#include <atomic>

#include <LibGateway/IdempotencyKeyStore.h>
#include <LibGateway/PeerExchange.h>
#include <LibGateway/Prober.h>
#include <LibGateway/RecordWriter.h>
#include <LibGateway/RequestHandler.h>
#include <LibGateway/RoutingThread.h>
#include <LibGateway/RunnerFollower.h>
#include <LibGateway/WatchPool.h>
#include <LibKernel/Registry.h>

namespace paddle {

namespace {

constexpr std::string_view kHealthPath = "/savorypaddle/health";
constexpr std::string_view kMetricsPath = "/savorypaddle/metrics";

/// @return the settings of the client that calls runners and peers
HttpClientSettings
ClientSettings(const GatewaySettings& aSettings)
{
  HttpClientSettings settings;
  settings.mUserAgent = "savorypaddle/" + aSettings.mSelf.mName;
  // As many idle connections as a runner has slots. Together with the
  // connections in use they stay far below the limit of 64 connections per
  // runner, also while a runner's shard changes its owner.
  settings.mMaxIdlePerEndpoint = 8;
  return settings;
}

} // namespace

/// The components of a gateway. Members are destroyed in reverse order: the
/// components that post events first, and the components that they refer to
/// afterwards.
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
    , mHandler(mSettings,
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
    // The threads of these components use members that are destroyed earlier
    // than the components themselves, so they are stopped first.
    mWatches.Drain();
    mWatches.Wait();
    mProber.Stop();
  }

  /// @return the receivers of decision records and health probes
  RoutingOutputs Outputs()
  {
    return { [this](RequestRecord aRecord) {
              mRecords.Add(std::move(aRecord));
            },
             [this](ProbeRequest aRequest) {
               return mProber.TryEnqueue(std::move(aRequest));
             } };
  }

  /// @return the path of a service's health checks, "/" if it is not known
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
  IdempotencyKeyStore mKeys;
  Prober mProber;
  RoutingThread mRouting;
  WatchPool mWatches;
  RequestHandler mHandler;
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
  return mState->mHandler.Handle(aRequest);
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
  mState->mHandler.RefuseRequests();
}

unsigned
Gateway::AbandonedWatches() const
{
  return mState->mWatches.Running();
}

} // namespace paddle
