#include "RequestRun.h"

#include <algorithm>
#include <queue>
#include <unordered_map>

namespace paddle::bench {

namespace {

/// Time within which a request must be answered.
constexpr double kDeadlineS = 2;
/// Interval of the ticks that the routing state receives.
constexpr double kTickIntervalS = 0.01;
constexpr double kProbeDurationS = 0.001;
/// Time until a send to a runner that does not run fails.
constexpr double kConnectFailureDelayS = 0.001;
/// Interval at which the routing state receives the host list.
constexpr double kHostListIntervalS = 1;
/// Most requests that may wait in the baseline. It holds the requests of about
/// one second, like the accept queue of a simple proxy that refuses none early.
constexpr std::size_t kBaselineMaxWaiting = 4000;
constexpr const char* kServiceName = "desk";
constexpr const char* kShardName = "runner/desk/0";

/// The end of a try or of a probe, at a later point of virtual time.
struct FutureEvent
{
  double mDueS = 0;
  std::uint64_t mSequenceNumber = 0; ///< Orders events of the same time.
  bool mIsProbe = false;
  RequestNumber mNumber = 0;
  RunnerRef mRunner;
  TryResult mResult = TryResult::Answered;

  bool operator>(const FutureEvent& aOther) const
  {
    return std::pair(mDueS, mSequenceNumber) >
           std::pair(aOther.mDueS, aOther.mSequenceNumber);
  }
};

/// One run of RunRequests().
class RequestRun
{
public:
  RequestRun(const Deployment& aDeployment,
             const std::vector<BenchRequest>& aRequests,
             const RoutingPolicy& aPolicy,
             Admission aAdmission,
             Cluster& aCluster)
    : mDeployment(aDeployment)
    , mRequests(aRequests)
    , mAdmission(aAdmission)
    , mCluster(aCluster)
    , mSlotsInUse(aDeployment.mRunnerCount)
  {
    mState.mPolicy = aPolicy;
    if (mAdmission == Admission::None) {
      mState.mSettings.mMaxWaitingRequests = kBaselineMaxWaiting;
    }
  }

  /// Handles arrivals, ticks and events in order of virtual time until all
  /// requests have ended.
  RequestResult Execute()
  {
    RoutingActions actions;
    Apply(mState,
          ShardAcquired{ kShardName,
                         { 1, Acquisition::FirstOwner, VirtualTimeAt(0) } },
          VirtualTimeAt(0),
          actions);
    std::size_t next = 0;
    double nextTickS = 0;
    double nextHostListS = 0;
    while (next < mRequests.size() || !mFutureEvents.empty()) {
      const double nextArrivalS = next < mRequests.size()
                                    ? mRequests[next].mArrivalS
                                    : kRunDurationS * 10;
      const double nextEventS =
        mFutureEvents.empty() ? kRunDurationS * 10 : mFutureEvents.top().mDueS;
      mNowS = std::min({ nextArrivalS, nextEventS, nextTickS });
      if (mNowS >= nextHostListS) {
        UpdateRunnerList();
        nextHostListS += kHostListIntervalS;
      }
      if (mNowS == nextTickS) {
        mCluster.AdvanceTo(std::min(mNowS, kRunDurationS));
        ApplyEvent(Tick{});
        nextTickS += kTickIntervalS;
      } else if (mNowS == nextArrivalS) {
        HandleArrival(next);
        ++next;
      } else {
        HandleFutureEvent();
      }
    }
    mCluster.AdvanceTo(kRunDurationS);
    return Summarize();
  }

private:
  /// Applies an event to the routing state and performs the resulting actions.
  template<typename Event>
  void ApplyEvent(const Event& aEvent)
  {
    RoutingActions actions;
    Apply(mState, aEvent, VirtualTimeAt(mNowS), actions);
    for (const RoutingAction& action : actions) {
      std::visit(
        [this](const auto& aSpecificAction) { Perform(aSpecificAction); },
        action);
    }
  }

  /// Sends the host list to the routing state, with runners that do not run as
  /// leaving, and tells the cluster how busy each runner is.
  void UpdateRunnerList()
  {
    ServiceListed listed;
    listed.mName = kServiceName;
    for (std::size_t i = 0; i < mDeployment.mRunnerCount; ++i) {
      ListedRunner runner;
      runner.mName = "runner-" + std::to_string(i);
      runner.mShard = kShardName;
      runner.mLeaving = !mCluster.Slowdown(i).has_value();
      listed.mRunners.push_back(std::move(runner));
      mCluster.SetBusy(i, mSlotsInUse[i] / 8.0);
    }
    ApplyEvent(listed);
  }

  /// @param aIndex of the request that arrives
  void HandleArrival(std::size_t aIndex)
  {
    RequestArrived arrived;
    arrived.mNumber = aIndex;
    arrived.mService = FindService(mState, kServiceName);
    const double deadline =
      mAdmission == Admission::ByDeadline ? kDeadlineS : kDeadlineS * 10;
    arrived.mDeadline = VirtualTimeAt(mNowS + deadline);
    ApplyEvent(arrived);
  }

  /// Handles the earliest future event.
  void HandleFutureEvent()
  {
    const FutureEvent event = mFutureEvents.top();
    mFutureEvents.pop();
    if (event.mIsProbe) {
      const bool healthy = mCluster.Slowdown(event.mRunner.mRunner).has_value();
      ApplyEvent(ProbeEnded{ event.mRunner, healthy });
      return;
    }
    --mSlotsInUse[event.mRunner.mRunner];
    if (event.mResult == TryResult::Answered) {
      RecordLatency(event.mNumber, mNowS - mRequests[event.mNumber].mArrivalS);
    }
    ApplyEvent(TryEnded{ event.mNumber, event.mResult });
  }

  void Perform(const SendToRunner& aSend)
  {
    const std::size_t runner = aSend.mRunner.mRunner;
    const std::optional<double> slowdown = mCluster.Slowdown(runner);
    ++mSlotsInUse[runner];
    mResult.mSlotsExceeded += mSlotsInUse[runner] > 8 ? 1 : 0;
    FutureEvent event;
    event.mSequenceNumber = mNextSequenceNumber++;
    event.mNumber = aSend.mNumber;
    event.mRunner = aSend.mRunner;
    if (!slowdown) {
      event.mResult = TryResult::NotSent;
      event.mDueS = mNowS + kConnectFailureDelayS;
      mFutureEvents.push(event);
      return;
    }
    event.mDueS = mNowS + mRequests[aSend.mNumber].mServiceS * *slowdown;
    const double ends =
      std::chrono::duration<double>(aSend.mTryDeadline - kVirtualStart).count();
    if (event.mDueS > ends) {
      event.mDueS = ends;
      event.mResult = TryResult::TimedOut;
    }
    mFutureEvents.push(event);
  }

  void Perform(const EndWithoutAnswer& aGiveUp)
  {
    const double waited = mNowS - mRequests[aGiveUp.mNumber].mArrivalS;
    if (aGiveUp.mExplanation.mKind == DecisionKind::Refuse) {
      ++mResult.mRefused;
      mRefusalTimesS.push_back(waited);
    } else {
      ++mResult.mUnknown;
    }
    mLatenciesS.push_back(kDeadlineS);
  }

  void Perform(const ProbeRunner& aProbe)
  {
    FutureEvent event;
    event.mSequenceNumber = mNextSequenceNumber++;
    event.mDueS = mNowS + kProbeDurationS;
    event.mIsProbe = true;
    event.mRunner = aProbe.mRunner;
    mFutureEvents.push(event);
  }

  // The only routing state has no peers, and explanations are not recorded.
  void Perform(const ForwardToPeer&) {}
  void Perform(const RecordExplanation&) {}

  /// Counts a request that was answered.
  void RecordLatency(RequestNumber /*aNumber*/, double aLatencyS)
  {
    mResult.mAnsweredInTime += aLatencyS <= kDeadlineS ? 1 : 0;
    mLatenciesS.push_back(std::min(aLatencyS, kDeadlineS));
  }

  /// @param aValues are reordered
  /// @return the value at quantile @p aQuantile (0 to 1); 0 without values
  static double Quantile(std::vector<double>& aValues, double aQuantile)
  {
    if (aValues.empty()) {
      return 0;
    }
    const auto index = static_cast<std::ptrdiff_t>(
      static_cast<double>(aValues.size() - 1) * aQuantile);
    std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
    return aValues[static_cast<std::size_t>(index)];
  }

  /// Computes the totals and the quantiles of the run.
  RequestResult Summarize()
  {
    mResult.mArrived = mRequests.size();
    mResult.mP50Ms = Quantile(mLatenciesS, 0.5) * 1000;
    mResult.mP99Ms = Quantile(mLatenciesS, 0.99) * 1000;
    mResult.mRefusalP99Ms = Quantile(mRefusalTimesS, 0.99) * 1000;
    mResult.mRefusalLongestMs = Quantile(mRefusalTimesS, 1) * 1000;
    return mResult;
  }

  const Deployment& mDeployment;
  const std::vector<BenchRequest>& mRequests;
  Admission mAdmission;
  Cluster& mCluster;
  RoutingState mState;
  std::priority_queue<FutureEvent, std::vector<FutureEvent>, std::greater<>>
    mFutureEvents;
  std::vector<int> mSlotsInUse;
  std::vector<double> mLatenciesS;
  std::vector<double> mRefusalTimesS;
  std::uint64_t mNextSequenceNumber = 0;
  double mNowS = 0;
  RequestResult mResult;
};

} // namespace

RequestResult
RunRequests(const Deployment& aDeployment,
            const std::vector<BenchRequest>& aRequests,
            const RoutingPolicy& aPolicy,
            Admission aAdmission,
            Cluster& aCluster)
{
  return RequestRun(aDeployment, aRequests, aPolicy, aAdmission, aCluster)
    .Execute();
}

} // namespace paddle::bench
