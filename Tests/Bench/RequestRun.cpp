#include "RequestRun.h"

#include <algorithm>
#include <queue>
#include <unordered_map>

namespace paddle::bench {

namespace {

constexpr double kDeadlineS = 2;
constexpr double kTickS = 0.01;
constexpr double kProbeS = 0.001;
constexpr double kConnectFailureS = 0.001;
constexpr double kHostListS = 1;
/// Room for about a second of requests, as the accept queue of a simple proxy
/// that refuses nothing early.
constexpr std::size_t kBaselineWaiting = 4000;
constexpr const char* kService = "desk";
constexpr const char* kShard = "runner/desk/0";

/// What happens later: the end of a try or of a probe.
struct Later
{
  double mAtS = 0;
  std::uint64_t mOrder = 0;
  bool mIsProbe = false;
  RequestNumber mNumber = 0;
  RunnerRef mRunner;
  TryResult mResult = TryResult::Answered;

  bool operator>(const Later& aOther) const
  {
    return std::pair(mAtS, mOrder) > std::pair(aOther.mAtS, aOther.mOrder);
  }
};

class Run
{
public:
  Run(const Deployment& aDeployment,
      const std::vector<BenchRequest>& aRequests,
      const RoutingPolicy& aPolicy,
      Admission aAdmission,
      Cluster& aCluster)
    : mDeployment(aDeployment)
    , mRequests(aRequests)
    , mAdmission(aAdmission)
    , mCluster(aCluster)
    , mInUse(aDeployment.mRunners)
  {
    mState.mPolicy = aPolicy;
    if (mAdmission == Admission::None) {
      mState.mSettings.mMaxWaitingRequests = kBaselineWaiting;
    }
  }

  RequestResult Execute()
  {
    RoutingActions actions;
    Apply(mState,
          ShardAcquired{ kShard, { 1, Acquisition::FirstOwner, At(0) } },
          At(0),
          actions);
    std::size_t next = 0;
    double nextTick = 0;
    double nextList = 0;
    while (next < mRequests.size() || !mLater.empty()) {
      const double arrival =
        next < mRequests.size() ? mRequests[next].mArrivesS : kRunS * 10;
      const double later = mLater.empty() ? kRunS * 10 : mLater.top().mAtS;
      mNowS = std::min({ arrival, later, nextTick });
      if (mNowS >= nextList) {
        ListRunners();
        nextList += kHostListS;
      }
      if (mNowS == nextTick) {
        mCluster.AdvanceTo(std::min(mNowS, kRunS));
        Send(Tick{});
        nextTick += kTickS;
      } else if (mNowS == arrival) {
        Arrive(next);
        ++next;
      } else {
        Happen();
      }
    }
    mCluster.AdvanceTo(kRunS);
    return Summary();
  }

private:
  template<typename Event>
  void Send(const Event& aEvent)
  {
    RoutingActions actions;
    Apply(mState, aEvent, At(mNowS), actions);
    for (const RoutingAction& action : actions) {
      std::visit([this](const auto& aOne) { Perform(aOne); }, action);
    }
  }

  void ListRunners()
  {
    ServiceListed listed;
    listed.mName = kService;
    for (std::size_t i = 0; i < mDeployment.mRunners; ++i) {
      ListedRunner runner;
      runner.mName = "runner-" + std::to_string(i);
      runner.mShard = kShard;
      runner.mLeaving = !mCluster.Slowdown(i).has_value();
      listed.mRunners.push_back(std::move(runner));
      mCluster.SetBusy(i, mInUse[i] / 8.0);
    }
    Send(listed);
  }

  void Arrive(std::size_t aIndex)
  {
    RequestArrived arrived;
    arrived.mNumber = aIndex;
    arrived.mService = FindService(mState, kService);
    const double deadline =
      mAdmission == Admission::ByDeadline ? kDeadlineS : kDeadlineS * 10;
    arrived.mDeadline = At(mNowS + deadline);
    Send(arrived);
  }

  void Happen()
  {
    const Later later = mLater.top();
    mLater.pop();
    if (later.mIsProbe) {
      const bool healthy = mCluster.Slowdown(later.mRunner.mRunner).has_value();
      Send(ProbeEnded{ later.mRunner, healthy });
      return;
    }
    --mInUse[later.mRunner.mRunner];
    if (later.mResult == TryResult::Answered) {
      Record(later.mNumber, mNowS - mRequests[later.mNumber].mArrivesS);
    }
    Send(TryEnded{ later.mNumber, later.mResult });
  }

  void Perform(const SendToRunner& aSend)
  {
    const std::size_t runner = aSend.mRunner.mRunner;
    const std::optional<double> slowdown = mCluster.Slowdown(runner);
    ++mInUse[runner];
    mResult.mSlotsExceeded += mInUse[runner] > 8 ? 1 : 0;
    Later later;
    later.mOrder = mOrder++;
    later.mNumber = aSend.mNumber;
    later.mRunner = aSend.mRunner;
    if (!slowdown) {
      later.mResult = TryResult::NotSent;
      later.mAtS = mNowS + kConnectFailureS;
      mLater.push(later);
      return;
    }
    later.mAtS = mNowS + mRequests[aSend.mNumber].mServiceS * *slowdown;
    const double ends =
      std::chrono::duration<double>(aSend.mTryDeadline - kEpoch).count();
    if (later.mAtS > ends) {
      later.mAtS = ends;
      later.mResult = TryResult::TimedOut;
    }
    mLater.push(later);
  }

  void Perform(const EndWithoutAnswer& aGiveUp)
  {
    const double waited = mNowS - mRequests[aGiveUp.mNumber].mArrivesS;
    if (aGiveUp.mExplanation.mKind == DecisionKind::Refuse) {
      ++mResult.mRefused;
      mRefusalsS.push_back(waited);
    } else {
      ++mResult.mUnknown;
    }
    mLatenciesS.push_back(kDeadlineS);
  }

  void Perform(const ProbeRunner& aProbe)
  {
    Later later;
    later.mOrder = mOrder++;
    later.mAtS = mNowS + kProbeS;
    later.mIsProbe = true;
    later.mRunner = aProbe.mRunner;
    mLater.push(later);
  }

  void Perform(const ForwardToPeer&) {}
  void Perform(const RecordExplanation&) {}

  void Record(RequestNumber /*aNumber*/, double aLatencyS)
  {
    mResult.mAnsweredInTime += aLatencyS <= kDeadlineS ? 1 : 0;
    mLatenciesS.push_back(std::min(aLatencyS, kDeadlineS));
  }

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

  RequestResult Summary()
  {
    mResult.mArrived = mRequests.size();
    mResult.mP50Ms = Quantile(mLatenciesS, 0.5) * 1000;
    mResult.mP99Ms = Quantile(mLatenciesS, 0.99) * 1000;
    mResult.mRefusalP99Ms = Quantile(mRefusalsS, 0.99) * 1000;
    mResult.mRefusalLongestMs = Quantile(mRefusalsS, 1) * 1000;
    return mResult;
  }

  const Deployment& mDeployment;
  const std::vector<BenchRequest>& mRequests;
  Admission mAdmission;
  Cluster& mCluster;
  RoutingState mState;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> mLater;
  std::vector<int> mInUse;
  std::vector<double> mLatenciesS;
  std::vector<double> mRefusalsS;
  std::uint64_t mOrder = 0;
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
  return Run(aDeployment, aRequests, aPolicy, aAdmission, aCluster).Execute();
}

} // namespace paddle::bench
