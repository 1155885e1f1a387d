#include <LibGateway/RoutingThread.h>

#include <algorithm>

namespace paddle {

namespace {

/// Bounds how late a waiting request is refused and a held slot returns.
constexpr Millis kTickMs{ 5 };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

RoutingThread::RoutingThread(const GatewaySettings& aSettings,
                             RoutingPolicy aPolicy,
                             RoutingOutputs aOutputs)
  : mMostArrivals(aSettings.mEventCapacity / 2)
  , mOutputs(std::move(aOutputs))
  , mRing(aSettings.mEventCapacity)
{
  mState.mSettings = aSettings.mRouting;
  mState.mPolicy = aPolicy;
  mThread = std::thread([this] { Run(); });
}

RoutingThread::~RoutingThread()
{
  mRing.Close();
  mThread.join();
}

bool
RoutingThread::TryArrive(Arrival aArrival)
{
  if (mRing.Size() >= mMostArrivals) {
    return false;
  }
  return mRing.TryPush(std::move(aArrival)) == PushResult::Accepted;
}

void
RoutingThread::Post(const RoutingEvent& aEvent)
{
  constexpr Micros kPause{ 100 };
  while (mRing.TryPush(aEvent) == PushResult::Full) {
    std::this_thread::sleep_for(kPause);
  }
}

Summary
RoutingThread::LatestSummary() const
{
  std::lock_guard lock(mPublishedMutex);
  return mSummary;
}

bool
RoutingThread::Quiescent(std::string_view aShard) const
{
  // One look may be under way already; the second one starts after this call.
  constexpr Millis kLongestWait{ 200 };
  std::unique_lock lock(mPublishedMutex);
  const std::uint64_t wanted = mLooks + 2;
  if (!mLooked.wait_for(lock, kLongestWait, [&] { return mLooks >= wanted; })) {
    return false;
  }
  return std::find(mBusyShards.begin(), mBusyShards.end(), aShard) ==
         mBusyShards.end();
}

void
RoutingThread::Run()
{
  for (;;) {
    auto event = mRing.Pop(kTickMs);
    if (event) {
      Handle(*event);
    } else if (mRing.Closed()) {
      return;
    }
    if (Now() >= mNextTick) {
      Tend();
    }
  }
}

void
RoutingThread::Handle(RoutingEvent& aEvent)
{
  mActions.clear();
  if (auto* arrival = std::get_if<Arrival>(&aEvent)) {
    HandleArrival(*arrival);
  } else {
    std::visit(
      [this](const auto& aInner) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(aInner)>,
                                      Arrival>) {
          Apply(mState, aInner, Now(), mActions);
        }
      },
      aEvent);
  }
  for (const RoutingAction& action : mActions) {
    Carry(action);
  }
  if (const auto* end = std::get_if<TryEnded>(&aEvent)) {
    if (!mState.mPending.contains(end->mNumber)) {
      mMailboxes.erase(end->mNumber);
    }
  }
}

void
RoutingThread::HandleArrival(Arrival& aArrival)
{
  RequestArrived& request = aArrival.mRequest;
  mMailboxes[request.mNumber] = aArrival.mMailbox;
  request.mService = FindService(mState, aArrival.mMailbox->Label().mService);
  if (request.mService == kNoService) {
    Explanation explanation;
    explanation.mKind = DecisionKind::Refuse;
    explanation.mRule = RoutingRule::NoRunner;
    mActions.emplace_back(EndWithoutAnswer{ request.mNumber, explanation });
    return;
  }
  Apply(mState, request, Now(), mActions);
}

void
RoutingThread::Carry(const RoutingAction& aAction)
{
  std::visit([this](const auto& aInner) { CarryOut(aInner); }, aAction);
}

void
RoutingThread::CarryOut(const SendToRunner& aAction)
{
  const Runner& runner = mState.mServices[aAction.mRunner.mService]
                           .mRunners[aAction.mRunner.mRunner];
  mMailboxes.at(aAction.mNumber)
    ->Put(RunnerCommand{ { runner.mHost, runner.mPort },
                         runner.mShard,
                         aAction.mEpoch,
                         aAction.mTryDeadline });
}

void
RoutingThread::CarryOut(const ForwardToPeer& aAction)
{
  mMailboxes.at(aAction.mNumber)->Put(PeerCommand{ aAction.mPeer });
}

void
RoutingThread::CarryOut(const RecordExplanation& aAction)
{
  Record(aAction.mNumber, aAction.mExplanation);
}

void
RoutingThread::CarryOut(const EndWithoutAnswer& aAction)
{
  Record(aAction.mNumber, aAction.mExplanation);
  mMailboxes.at(aAction.mNumber)->Put(GiveUpCommand{ aAction.mExplanation });
  mMailboxes.erase(aAction.mNumber);
}

void
RoutingThread::CarryOut(const ProbeRunner& aAction)
{
  const ServiceState& service = mState.mServices[aAction.mRunner.mService];
  Runner& runner = mState.mServices[aAction.mRunner.mService]
                     .mRunners[aAction.mRunner.mRunner];
  const bool taken = mOutputs.mProbe(
    { aAction.mRunner, service.mName, { runner.mHost, runner.mPort } });
  if (!taken) {
    // Not the runner's fault: the next tick asks again.
    runner.mProbeInProgress = false;
  }
}

void
RoutingThread::Record(RequestNumber aNumber, const Explanation& aExplanation)
{
  const auto found = mMailboxes.find(aNumber);
  if (found != mMailboxes.end()) {
    mOutputs.mRecord(
      { std::chrono::system_clock::now(), found->second, aExplanation, {} });
  }
}

void
RoutingThread::Tend()
{
  mNextTick = Now() + kTickMs;
  mActions.clear();
  Apply(mState, Tick{}, Now(), mActions);
  for (const RoutingAction& action : mActions) {
    Carry(action);
  }
  Publish();
}

void
RoutingThread::Publish()
{
  Summary summary;
  for (const ServiceState& service : mState.mServices) {
    summary.emplace_back(service.mName, FreeSlots(service));
  }
  std::vector<std::string> busy;
  for (const auto& [shard, state] : mState.mShards) {
    if (!IsQuiescent(mState, shard, Now())) {
      busy.push_back(shard);
    }
  }
  {
    std::lock_guard lock(mPublishedMutex);
    mSummary = std::move(summary);
    mBusyShards = std::move(busy);
    ++mLooks;
  }
  mLooked.notify_all();
}

} // namespace paddle
