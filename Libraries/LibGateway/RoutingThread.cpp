#include <LibGateway/RoutingThread.h>

#include <algorithm>

namespace paddle {

namespace {

/// Interval between ticks of the routing state. A waiting request is refused,
/// and a slot that is held becomes free again, late by at most this time.
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
  : mMaxQueuedArrivals(aSettings.mEventCapacity / 2)
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
RoutingThread::TryPostArrival(Arrival aArrival)
{
  if (mRing.Size() >= mMaxQueuedArrivals) {
    return false;
  }
  return mRing.TryPush(std::move(aArrival)) == PushResult::Accepted;
}

void
RoutingThread::Post(const RoutingEvent& aEvent)
{
  // The pause between attempts to queue an event while the queue is full.
  constexpr Micros kFullRingPause{ 100 };
  while (mRing.TryPush(aEvent) == PushResult::Full) {
    std::this_thread::sleep_for(kFullRingPause);
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
  // A Publish() may have read the state already when this call begins; the
  // one after it certainly reads the state later.
  constexpr Millis kMaxWait{ 200 };
  std::unique_lock lock(mPublishedMutex);
  const std::uint64_t wanted = mPublishCount + 2;
  if (!mPublished.wait_for(
        lock, kMaxWait, [&] { return mPublishCount >= wanted; })) {
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
      HandleTick();
    }
  }
}

/// Applies one event to the routing state and carries out the actions.
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
    ExecuteAction(action);
  }
  if (const auto* end = std::get_if<TryEnded>(&aEvent)) {
    if (!mState.mPending.contains(end->mNumber)) {
      mMailboxes.erase(end->mNumber);
    }
  }
}

/// Applies a new request to the routing state. Refuses it at once if its
/// service is not known.
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
RoutingThread::ExecuteAction(const RoutingAction& aAction)
{
  std::visit([this](const auto& aInner) { Execute(aInner); }, aAction);
}

void
RoutingThread::Execute(const SendToRunner& aAction)
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
RoutingThread::Execute(const ForwardToPeer& aAction)
{
  mMailboxes.at(aAction.mNumber)->Put(PeerCommand{ aAction.mPeer });
}

void
RoutingThread::Execute(const RecordExplanation& aAction)
{
  Record(aAction.mNumber, aAction.mExplanation);
}

void
RoutingThread::Execute(const EndWithoutAnswer& aAction)
{
  Record(aAction.mNumber, aAction.mExplanation);
  mMailboxes.at(aAction.mNumber)
    ->Put(EndWithoutAnswerCommand{ aAction.mExplanation });
  mMailboxes.erase(aAction.mNumber);
}

void
RoutingThread::Execute(const ProbeRunner& aAction)
{
  const ServiceState& service = mState.mServices[aAction.mRunner.mService];
  Runner& runner = mState.mServices[aAction.mRunner.mService]
                     .mRunners[aAction.mRunner.mRunner];
  const bool taken = mOutputs.mProbe(
    { aAction.mRunner, service.mName, { runner.mHost, runner.mPort } });
  if (!taken) {
    // The prober's queue is full, which says nothing about the runner. The
    // next tick asks for the probe again.
    runner.mProbeInProgress = false;
  }
}

/// Passes a decision about a request to the RecordWriter.
void
RoutingThread::Record(RequestNumber aNumber, const Explanation& aExplanation)
{
  const auto found = mMailboxes.find(aNumber);
  if (found != mMailboxes.end()) {
    mOutputs.mRecord(
      { std::chrono::system_clock::now(), found->second, aExplanation, {} });
  }
}

/// Applies the passing of time to the routing state and publishes it.
void
RoutingThread::HandleTick()
{
  mNextTick = Now() + kTickMs;
  mActions.clear();
  Apply(mState, Tick{}, Now(), mActions);
  for (const RoutingAction& action : mActions) {
    ExecuteAction(action);
  }
  Publish();
}

/// Publishes the free slots and the busy shards for other threads.
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
    ++mPublishCount;
  }
  mPublished.notify_all();
}

} // namespace paddle
