// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include "NodeProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <memory>
#include <string_view>

#include <LibAsyncHttp/ConnectionBudget.h>
#include <LibAsyncHttp/HttpServer.h>
#include <LibBase/ProcessSignals.h>
#include <LibNode/Node.h>
#include <LibTime/BootClock.h>

#include "../../platform/ClientCalls.h"
#include "../../platform/Directory.h"
#include "../../platform/Process.h"
#include "../../platform/RunnerClient.h"
#include "../../platform/StoreClient.h"
#include "PeerCalls.h"

namespace paddle {

namespace {

/// Interval at which deadlines and due calls are checked. A shorter one would
/// cost more processor time for wake-ups.
constexpr Millis kTickInterval{ 25 };
/// A draining process serves clients for at least this long: the load balancer
/// notices within two seconds that a node is not ready, and may send clients
/// until then.
constexpr Millis kDrainServingTime{ 3300 };
/// A draining process exits at the latest this long before its grace period
/// ends.
constexpr Millis kGraceMargin{ 900 };
/// The number of waiting jobs may leave out jobs that were accepted up to two
/// seconds longer ago than the time after which a job must be visible; half a
/// second of it is left for the answer to arrive.
constexpr Millis kPendingAgeBeyondVisible{ 1500 };

/// Shortest time between two log lines about refused callers.
constexpr Millis kRefusalLogInterval{ 1000 };

/// @return the method as part of a metric's name. Clients choose methods, and
///         each name takes memory for ever.
std::string_view
MetricNameOf(std::string_view aMethod)
{
  for (const std::string_view known : { "GET", "POST", "DELETE" }) {
    if (aMethod == known) {
      return known;
    }
  }
  return "other";
}

/// The node's process: an event loop with the node, its connections and its
/// servers.
class Process
{
public:
  Process(const platform::Settings& aSettings, const std::string& aPath);
  int Run();

private:
  void ServeClients(const HttpIncomingRequest& aRequest, ReplyHandler aReply);
  void ServeReadiness(const HttpIncomingRequest& aRequest,
                      const ReplyHandler& aReply);
  void WaitForTick();
  void WaitForSignal();
  /// Reads the settings again on SIGHUP; drains the node on other signals.
  void HandleSignal(int aSignal);
  /// Applies the limits of the deployment that the settings file states.
  void ApplyLimits(const platform::Settings& aSettings);
  /// Applies the limits on client requests after a change of the configuration.
  void UpdateLimits();
  /// Counts the refused callers in the metrics, and logs them.
  void ReportRefusals(MonotonicTime aNow);
  /// @return whether a draining process may exit
  [[nodiscard]] bool MayExit(MonotonicTime aNow) const;

  boost::asio::io_context mLoop{ 1 };
  boost::asio::steady_timer mTimer{ mLoop };
  boost::asio::signal_set mSignals{ mLoop, SIGTERM, SIGINT, SIGHUP };
  Deadlines mDeadlines;
  platform::Settings mSettings;
  std::string mPath; ///< Of the settings file.
  EventLog mLog;
  Metrics mMetrics;
  NodeContext mContext;
  platform::StoreClient mStore;
  platform::RunnerClient mRunners;
  PeerClient mPeers;
  std::shared_ptr<ConnectionBudget> mBudget; ///< Of all servers.
  BudgetCounts mReported; ///< What the log and the metrics show.
  MonotonicTime mRefusalsLoggedAt;
  AsyncHttpServer mPeerCalls; ///< Serves the calls of other nodes.
  AsyncHttpServer mClients;   ///< Serves the requests of clients.
  AsyncHttpServer mReadiness; ///< Serves readiness checks and metrics.
  std::unique_ptr<Node> mNode;
  /// Version of the configuration whose limits the client server uses.
  std::int64_t mLimitsVersion = 0;
  bool mDraining = false;
  MonotonicTime mDrainBegunAt;
};

Process::Process(const platform::Settings& aSettings, const std::string& aPath)
  : mSettings(aSettings)
  , mPath(aPath)
  , mLog("node", {})
  , mStore(
      mLoop,
      mDeadlines,
      aSettings.mStoreAddress,
      [this] { mContext.mStoreAnsweredAt = BootTime(); },
      [this] { mContext.mOperatorProgressAt = BootTime(); },
      [this](const std::string& aProblem) {
        mLog.Write(
          LogLevel::Warning, "store_answer_unusable", aProblem, BootTime());
      })
  , mRunners(mLoop,
             mDeadlines,
             [this](const std::string& aProblem) {
               mLog.Write(LogLevel::Warning,
                          "runner_answer_unusable",
                          aProblem,
                          BootTime());
             })
  , mPeers(mLoop, mDeadlines)
  , mBudget(std::make_shared<ConnectionBudget>(BudgetLimits{}))
  , mPeerCalls(
      mLoop,
      mDeadlines,
      {},
      [this](const HttpIncomingRequest& aRequest, ReplyHandler aReply) {
        HandlePeerCall(*mNode, aRequest, std::move(aReply));
      },
      mBudget)
  , mClients(
      mLoop,
      mDeadlines,
      {},
      [this](const HttpIncomingRequest& aRequest, ReplyHandler aReply) {
        ServeClients(aRequest, std::move(aReply));
      },
      mBudget)
  , mReadiness(
      mLoop,
      mDeadlines,
      {},
      [this](const HttpIncomingRequest& aRequest, const ReplyHandler& aReply) {
        ServeReadiness(aRequest, aReply);
      },
      mBudget)
{
  mContext.mSelf.mName = mSettings.mNodeName;
  mContext.mSelf.mDataCentre = mSettings.mDataCentre;
  mContext.mSelf.mRegion = mSettings.mRegion;
  mContext.mSelf.mIncarnation = UnixMs();
  mContext.mSelf.mMilliCores = mSettings.mMilliCores;
  mContext.mSelf.mLinkMbps = mSettings.mLinkMbps;
  ApplyLimits(mSettings);
  mContext.mPartitions.mTransactionsSpanPartitions =
    mSettings.mStoreSpansPartitions;
  mContext.mStore = mStore.Port();
  mContext.mRunners = mRunners.Port();
  mContext.mDirectory = platform::MakeDirectoryPort(
    mContext.mStore, [this](const std::string& aProblem) {
      mLog.Write(
        LogLevel::Warning, "directory_entry_unusable", aProblem, BootTime());
    });
  mContext.mPeers = mPeers.Port();
  mContext.mDeadlines = &mDeadlines;
  mContext.mLog = &mLog;
  mContext.mMetrics = &mMetrics;
  mNode = std::make_unique<Node>(mContext);
}

void
Process::ServeClients(const HttpIncomingRequest& aRequest, ReplyHandler aReply)
{
  const MonotonicTime begin = BootTime();
  platform::HandleClientCall(
    *mNode,
    mContext.mSettings,
    aRequest,
    [this,
     begin,
     name = "client_" + std::string(MetricNameOf(aRequest.mMethod)),
     reply = std::move(aReply)](HttpReply aAnswer) {
      mMetrics.Observe(name,
                       std::chrono::duration_cast<Micros>(BootTime() - begin));
      mMetrics.Count(name + "_" + std::to_string(aAnswer.mStatus));
      reply(std::move(aAnswer));
    });
}

void
Process::ServeReadiness(const HttpIncomingRequest& aRequest,
                        const ReplyHandler& aReply)
{
  if (aRequest.mTarget == platform::kReadinessPath) {
    aReply({ mNode->Ready() ? 200 : 503, {}, {}, {} });
    return;
  }
  if (aRequest.mTarget == "/metrics") {
    const ConfigurationCopy copy = mNode->ConfigurationInForce();
    std::string page = mMetrics.Page() + "configuration_version " +
                       std::to_string(copy.mVersion) + "\n";
    if (copy.mAge) {
      page +=
        "configuration_age_ms " + std::to_string(copy.mAge->count()) + "\n";
    }
    page += mNode->AccountMetrics();
    aReply({ 200, "text/plain", std::move(page), {} });
    return;
  }
  aReply({ 404, {}, {}, {} });
}

void
Process::UpdateLimits()
{
  const std::optional<Configuration>& configuration = mNode->Config();
  if (!configuration || configuration->mVersion == mLimitsVersion) {
    return;
  }
  mLimitsVersion = configuration->mVersion;
  const ClientLimits& limits = configuration->mLimits;
  HttpLimits http;
  http.mHeaderBytes = limits.mHeaderBytes;
  http.mBodyBytes = limits.mBodyBytes;
  http.mRequestTimeout = limits.mRequestTimeout;
  http.mIdleTimeout = limits.mIdleTimeout;
  mClients.SetLimits(http);
  mPeerCalls.SetLimits(http);
}

void
Process::ReportRefusals(MonotonicTime aNow)
{
  const BudgetCounts& counts = mBudget->mCounts;
  if (counts == mReported || aNow - mRefusalsLoggedAt < kRefusalLogInterval) {
    return;
  }
  mRefusalsLoggedAt = aNow;
  std::string fields;
  for (const auto& [name, member] :
       { std::pair{ "closed_for_memory", &BudgetCounts::mClosedForMemory },
         std::pair{ "closed_for_others", &BudgetCounts::mClosedForOthers },
         std::pair{ "not_accepted", &BudgetCounts::mNotAccepted },
         std::pair{ "not_begun", &BudgetCounts::mNotBegun },
         std::pair{ "malformed", &BudgetCounts::mMalformed },
         std::pair{ "body_too_long", &BudgetCounts::mBodyTooLong },
         std::pair{ "head_too_long", &BudgetCounts::mHeadTooLong } }) {
    const std::uint64_t count = counts.*member - mReported.*member;
    if (count > 0) {
      mMetrics.Count(std::string("connections_") + name, count);
      fields += name + ("=" + std::to_string(count)) + " ";
    }
  }
  fields += "connections=" + std::to_string(mBudget->Connections()) +
            " buffered_bytes=" + std::to_string(mBudget->BufferedBytes());
  mLog.Write(LogLevel::Warning, "callers_refused", fields, aNow);
  mReported = counts;
}

bool
Process::MayExit(MonotonicTime aNow) const
{
  const Millis latest = mSettings.mShutdownGrace - kGraceMargin;
  const Millis since = std::chrono::duration_cast<Millis>(aNow - mDrainBegunAt);
  if (since >= latest) {
    return true;
  }
  return since >= kDrainServingTime && mNode->Drained() &&
         mClients.Active() == 0;
}

void
Process::WaitForTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const MonotonicTime now = BootTime();
    mContext.mTimerLag = std::chrono::duration_cast<Millis>(
      std::chrono::steady_clock::now() - mTimer.expiry());
    mDeadlines.Expire(now);
    mNode->Tick(now);
    UpdateLimits();
    ReportRefusals(now);
    mLog.Flush(now);
    if (mDraining && MayExit(now)) {
      mLog.Write(LogLevel::Notice, "stopped", {}, now);
      mLog.Flush(now);
      mLoop.stop();
      return;
    }
    WaitForTick();
  });
}

void
Process::WaitForSignal()
{
  mSignals.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (!aError) {
        HandleSignal(aSignal);
        WaitForSignal();
      }
    });
}

void
Process::ApplyLimits(const platform::Settings& aSettings)
{
  mContext.mSettings.mDispatch = aSettings.mDispatch;
  mContext.mSettings.mMaxPendingAge =
    aSettings.mJobVisibleTime + kPendingAgeBeyondVisible;
  mContext.mSettings.mMaxKeyCopyAge = MaxKeyCopyAge(aSettings.mRevocationBound);
  mBudget->SetLimits(
    BudgetOf(aSettings.mMemoryBytes, aSettings.mMaxDescriptors));
}

void
Process::HandleSignal(int aSignal)
{
  const MonotonicTime now = BootTime();
  if (aSignal == SIGHUP) {
    const Outcome<platform::Settings> settings = platform::ReadSettings(mPath);
    if (!Succeeded(settings)) {
      mLog.Write(LogLevel::Error,
                 "settings_rejected",
                 FormatFields({ { "error", ErrorOf(settings).mMessage } }),
                 now);
      return;
    }
    // Addresses and the node's identity can't change while the process runs.
    // The new limits apply to shards that are claimed from now on.
    ApplyLimits(ValueOf(settings));
    mLog.Write(LogLevel::Notice, "settings_read", {}, now);
    return;
  }
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainBegunAt = now;
  mNode->Drain();
  mClients.Drain();
}

int
Process::Run()
{
  UnblockHangUp();
  const MonotonicTime now = BootTime();
  for (const auto& [server, address] :
       { std::pair{ &mClients, mSettings.mClientAddress },
         std::pair{ &mReadiness, mSettings.mReadinessAddress } }) {
    const Outcome<Done> listening = server->Listen(address);
    if (!Succeeded(listening)) {
      mLog.Write(LogLevel::Error,
                 "start_failed",
                 FormatFields({ { "error", ErrorOf(listening).mMessage } }),
                 now);
      mLog.Flush(now);
      return 1;
    }
  }
  if (!mSettings.mControlAddress.empty()) {
    const Outcome<Done> listening =
      mPeerCalls.Listen(mSettings.mControlAddress);
    if (Succeeded(listening)) {
      mContext.mSelf.mPeerAddress = mSettings.mControlAddress;
    } else {
      // Without it, the node only serves no rows to its peers.
      mLog.Write(LogLevel::Error,
                 "peer_calls_not_served",
                 FormatFields({ { "error", ErrorOf(listening).mMessage } }),
                 now);
    }
  }
  mLog.Write(
    LogLevel::Notice,
    "started",
    "node=" + mSettings.mNodeName + " data_centre=" + mSettings.mDataCentre +
      " incarnation=" + std::to_string(mContext.mSelf.mIncarnation) +
      " milli_cores=" + std::to_string(mSettings.mMilliCores) +
      " allowed_lease_ms=" +
      std::to_string(mSettings.mDispatch.mMaxLease.count()) +
      " longest_lease_ms=" +
      std::to_string(dispatch::LongestGrant(mSettings.mDispatch).count()),
    now);
  mNode->Begin();
  WaitForTick();
  WaitForSignal();
  mLoop.run();
  return 0;
}

} // namespace

int
RunNode(const platform::Settings& aSettings, const std::string& aPath)
{
  Process process(aSettings, aPath);
  return process.Run();
}

} // namespace paddle
