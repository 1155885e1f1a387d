#include <LibRouting/Routing.h>

#include <algorithm>
#include <optional>

#include <LibRouting/RunnerTable.h>

namespace paddle {

namespace {

/// One event's surroundings, passed through the steps of a decision.
struct Decision
{
  RoutingState& mState;
  MonotonicTime mNow;
  RoutingActions& mActions;
};

Micros
LeftUntil(MonotonicTime aEnd, MonotonicTime aNow)
{
  return std::chrono::duration_cast<Micros>(aEnd - aNow);
}

ServiceState&
ServiceOf(RoutingState& aState, const PendingRequest& aRequest)
{
  return aState.mServices[aRequest.mRequest.mService];
}

std::uint32_t
UsableSlots(const ServiceState& aService)
{
  std::uint32_t slots = 0;
  for (const RunnerLoad& load : aService.mLoads) {
    slots += load.mUsableSlots;
  }
  return slots;
}

/// @return the expected time until an answer of a request that has @p aAhead
///         requests before it in the queue
Micros
ExpectedTime(const ServiceState& aService, std::size_t aAhead)
{
  const double slots = std::max(1U, UsableSlots(aService));
  const double waiting =
    static_cast<double>(aAhead) * aService.mMeanServiceUs / slots;
  return Micros(static_cast<Micros::rep>(waiting + aService.mMeanServiceUs));
}

Explanation
Explained(const Decision& aDecision,
          const PendingRequest& aRequest,
          DecisionKind aKind,
          Rule aRule)
{
  const ServiceState& service = ServiceOf(aDecision.mState, aRequest);
  Explanation explanation;
  explanation.mKind = aKind;
  explanation.mRule = aRule;
  explanation.mWaiting = static_cast<std::uint32_t>(service.mWaiting.size());
  explanation.mTries = aRequest.mTries;
  explanation.mDeadlineLeft =
    LeftUntil(aRequest.mRequest.mDeadline, aDecision.mNow);
  explanation.mExpected =
    Micros(static_cast<Micros::rep>(service.mMeanServiceUs));
  if (aKind != DecisionKind::Serve) {
    // A scan of all runners, so not for the common case.
    explanation.mFreeSlots = FreeSlots(service).mSlots;
    explanation.mExpected = ExpectedTime(service, service.mWaiting.size());
  }
  return explanation;
}

/// Ends a request without an answer of its own; certainty decides the kind.
void
End(const Decision& aDecision, PendingRequest& aRequest, Rule aRule)
{
  const DecisionKind kind =
    aRequest.mMayHaveRun ? DecisionKind::Unknown : DecisionKind::Refuse;
  aDecision.mActions.emplace_back(GiveUp{
    aRequest.mRequest.mNumber, Explained(aDecision, aRequest, kind, aRule) });
  aDecision.mState.mPending.erase(aRequest.mRequest.mNumber);
}

/// When to give up one try. An idempotent request keeps time for another
/// try, because the connection may be silent.
MonotonicTime
TryEnd(const RoutingSettings& aSettings,
       const PendingRequest& aRequest,
       MonotonicTime aNow)
{
  const RequestArrived& request = aRequest.mRequest;
  const bool last = aRequest.mTries >= aSettings.mMostTries;
  if (request.mKind == RouteKind::Watch ||
      request.mIdempotent == Idempotent::No || last) {
    return request.mDeadline;
  }
  return aNow + (request.mDeadline - aNow) / 2;
}

bool
TryOwnRunner(const Decision& aDecision, PendingRequest& aRequest)
{
  RoutingState& state = aDecision.mState;
  ServiceState& service = ServiceOf(state, aRequest);
  RunnerQuestion question{
    service.mLoads, aRequest.mRequest.mKind, service.mTurn++, aRequest.mTried
  };
  std::size_t chosen = state.mPolicy.mChoose(question);
  if (chosen == kNoRunner && !aRequest.mTried.empty()) {
    // Better the same runner again than no answer.
    question.mTried = {};
    chosen = state.mPolicy.mChoose(question);
  }
  if (chosen == kNoRunner) {
    return false;
  }
  aRequest.mRunner = { static_cast<std::uint32_t>(aRequest.mRequest.mService),
                       static_cast<std::uint32_t>(chosen) };
  aRequest.mHasRunner = true;
  aRequest.mTryStarted = aDecision.mNow;
  ++aRequest.mTries;
  TakeSlot(state, aRequest.mRunner, aRequest.mRequest.mKind);
  const ShardState& shard =
    state.mShards.find(service.mRunners[chosen].mShard)->second;
  aDecision.mActions.emplace_back(
    SendToRunner{ aRequest.mRequest.mNumber,
                  aRequest.mRunner,
                  shard.mEpoch,
                  TryEnd(state.mSettings, aRequest, aDecision.mNow) });
  return true;
}

/// @return the free slots of a peer that count for a request
std::uint32_t*
UsefulSlots(PeerState& aPeer, const std::string& aService, RouteKind aKind)
{
  const auto free = aPeer.mFree.find(aService);
  if (free == aPeer.mFree.end()) {
    return nullptr;
  }
  return aKind == RouteKind::Watch ? &free->second.mWatchSlots
                                   : &free->second.mSlots;
}

bool
TryPeer(const Decision& aDecision, PendingRequest& aRequest)
{
  if (aRequest.mForwarded || aRequest.mRequest.mOrigin == Origin::Peer) {
    return false;
  }
  RoutingState& state = aDecision.mState;
  const std::string& service = ServiceOf(state, aRequest).mName;
  PeerState* best = nullptr;
  std::uint32_t* bestSlots = nullptr;
  for (PeerState& peer : state.mPeers) {
    if (peer.mReported + state.mSettings.mSummaryLifetime < aDecision.mNow) {
      continue;
    }
    std::uint32_t* slots = UsefulSlots(peer, service, aRequest.mRequest.mKind);
    if (!slots || *slots == 0) {
      continue;
    }
    const bool better =
      !best || peer.mDistance < best->mDistance ||
      (peer.mDistance == best->mDistance && *slots > *bestSlots);
    if (better) {
      best = &peer;
      bestSlots = slots;
    }
  }
  if (!best) {
    return false;
  }
  --*bestSlots; // Until the next summary, so that one peer isn't flooded.
  aRequest.mForwarded = true;
  aRequest.mHasRunner = false;
  ++aRequest.mTries;
  aDecision.mActions.emplace_back(
    ForwardToPeer{ aRequest.mRequest.mNumber, best->mName });
  return true;
}

/// @return the rule by which a request may not wait, if there is one
std::optional<Rule>
RefusalToWait(const Decision& aDecision, const PendingRequest& aRequest)
{
  const ServiceState& service = ServiceOf(aDecision.mState, aRequest);
  if (UsableSlots(service) == 0) {
    return Rule::NoRunner;
  }
  if (aRequest.mRequest.mKind == RouteKind::Watch) {
    return Rule::WatchShare;
  }
  if (service.mWaiting.size() >= aDecision.mState.mSettings.mMostWaiting) {
    return Rule::QueueFull;
  }
  const Micros left = LeftUntil(aRequest.mRequest.mDeadline, aDecision.mNow);
  if (ExpectedTime(service, service.mWaiting.size() + 1) > left) {
    return Rule::DeadlineTooShort;
  }
  return std::nullopt;
}

/// Finds a place for a request: own runner, peer, or the queue.
void
Place(const Decision& aDecision, PendingRequest& aRequest)
{
  if (TryOwnRunner(aDecision, aRequest) || TryPeer(aDecision, aRequest)) {
    return;
  }
  if (const auto rule = RefusalToWait(aDecision, aRequest)) {
    End(aDecision, aRequest, *rule);
    return;
  }
  aDecision.mActions.emplace_back(Explain{
    aRequest.mRequest.mNumber,
    Explained(aDecision, aRequest, DecisionKind::Delay, Rule::WaitsForSlot) });
  aRequest.mWaiting = true;
  ServiceOf(aDecision.mState, aRequest)
    .mWaiting.push_back(aRequest.mRequest.mNumber);
}

/// Places waiting requests, oldest first, until one finds no place.
void
PlaceWaiting(const Decision& aDecision, ServiceState& aService)
{
  while (!aService.mWaiting.empty()) {
    PendingRequest& request =
      aDecision.mState.mPending.at(aService.mWaiting.front());
    if (!TryOwnRunner(aDecision, request) && !TryPeer(aDecision, request)) {
      return;
    }
    request.mWaiting = false;
    aService.mWaiting.pop_front();
  }
}

/// Refuses waiting requests that can't be answered in time any more.
void
RefuseLate(const Decision& aDecision, ServiceState& aService)
{
  std::vector<RequestNumber> late;
  const auto service =
    Micros(static_cast<Micros::rep>(aService.mMeanServiceUs));
  std::erase_if(aService.mWaiting, [&](RequestNumber aNumber) {
    const PendingRequest& request = aDecision.mState.mPending.at(aNumber);
    if (aDecision.mNow + service <= request.mRequest.mDeadline) {
      return false;
    }
    late.push_back(aNumber);
    return true;
  });
  for (const RequestNumber number : late) {
    End(aDecision, aDecision.mState.mPending.at(number), Rule::DeadlinePassed);
  }
}

void
StartProbe(const Decision& aDecision, const RunnerRef& aRunner)
{
  Runner& runner =
    aDecision.mState.mServices[aRunner.mService].mRunners[aRunner.mRunner];
  if (runner.mProbing) {
    return;
  }
  runner.mProbing = true;
  aDecision.mActions.emplace_back(ProbeRunner{ aRunner });
}

/// Counts a failure on a new connection.
void
CountFailure(const Decision& aDecision, const RunnerRef& aRunner)
{
  RoutingState& state = aDecision.mState;
  ServiceState& service = state.mServices[aRunner.mService];
  Runner& runner = service.mRunners[aRunner.mRunner];
  ++runner.mFailures;
  runner.mNextProbe = aDecision.mNow + state.mSettings.mProbeInterval;
  if (runner.mFailures >= state.mSettings.mFailuresUntilSuspect &&
      !runner.mSuspect) {
    runner.mSuspect = true;
    RefreshUsableSlots(state, service, aDecision.mNow);
  }
}

void
CountSuccess(const Decision& aDecision, const RunnerRef& aRunner)
{
  ServiceState& service = aDecision.mState.mServices[aRunner.mService];
  Runner& runner = service.mRunners[aRunner.mRunner];
  runner.mFailures = 0;
  if (runner.mSuspect) {
    runner.mSuspect = false;
    RefreshUsableSlots(aDecision.mState, service, aDecision.mNow);
  }
}

/// Updates the decayed means after an answer.
void
LearnLatency(const Decision& aDecision, const PendingRequest& aRequest)
{
  if (aRequest.mRequest.mKind == RouteKind::Watch) {
    return;
  }
  ServiceState& service = ServiceOf(aDecision.mState, aRequest);
  const double share = aDecision.mState.mSettings.mNewLatencyShare;
  const auto latency = static_cast<double>(
    LeftUntil(aDecision.mNow, aRequest.mTryStarted).count());
  const auto learn = [&](double aOld) {
    return aOld == 0 ? latency : aOld + (latency - aOld) * share;
  };
  service.mMeanServiceUs = learn(service.mMeanServiceUs);
  RunnerLoad& load = service.mLoads[aRequest.mRunner.mRunner];
  load.mLatencyUs = static_cast<float>(learn(load.mLatencyUs));
}

/// @return when a request of the present try surely runs no longer
MonotonicTime
LatestEnd(const RoutingState& aState, const PendingRequest& aRequest)
{
  const ServiceLimits& limits =
    aState.mServices[aRequest.mRequest.mService].mLimits;
  const Millis longest = aRequest.mRequest.mKind == RouteKind::Watch
                           ? limits.mLongestWatch
                           : limits.mLongestRun;
  return aRequest.mTryStarted + aState.mSettings.mLongestSend + longest;
}

/// Takes back the slot of a try. The runner may still work on a request that
/// ended without certainty, also past the deadline that only its caller knows.
void
ReturnSlot(const Decision& aDecision,
           PendingRequest& aRequest,
           TryResult aResult)
{
  if (!aRequest.mHasRunner) {
    return;
  }
  aRequest.mHasRunner = false;
  const MonotonicTime end = LatestEnd(aDecision.mState, aRequest);
  const bool mayRun =
    aResult == TryResult::Broken || aResult == TryResult::TimedOut;
  if (mayRun && aDecision.mNow < end) {
    aDecision.mState.mHolds.push_back(
      { aRequest.mRunner, aRequest.mRequest.mKind, end });
    return;
  }
  FreeSlot(aDecision.mState, aRequest.mRunner, aRequest.mRequest.mKind);
}

void
JudgeRunner(const Decision& aDecision,
            const RunnerRef& aRunner,
            TryResult aResult)
{
  switch (aResult) {
    case TryResult::Answered:
      CountSuccess(aDecision, aRunner);
      return;
    case TryResult::NotSent:
      // The connection was new, so this counts; the probe finds out soon
      // whether it was an accident.
      CountFailure(aDecision, aRunner);
      StartProbe(aDecision, aRunner);
      return;
    case TryResult::Broken:
    case TryResult::TimedOut:
      // The connection may be at fault; only the probe judges the runner.
      StartProbe(aDecision, aRunner);
      return;
    case TryResult::Withheld:
    case TryResult::PeerNotRun:
      return;
  }
}

/// @return the rule that forbids another try, if there is one
std::optional<Rule>
RefusalToRetry(const Decision& aDecision,
               const PendingRequest& aRequest,
               TryResult aResult)
{
  RoutingState& state = aDecision.mState;
  if (aRequest.mMayHaveRun && aRequest.mRequest.mIdempotent == Idempotent::No) {
    return Rule::NotRepeatable;
  }
  if (aRequest.mRequest.mDeadline <= aDecision.mNow) {
    return Rule::DeadlinePassed;
  }
  if (aRequest.mTries >= state.mSettings.mMostTries) {
    return aResult == TryResult::Withheld ? Rule::ShardMoved : Rule::TriesSpent;
  }
  const bool noFault =
    aResult == TryResult::PeerNotRun || aResult == TryResult::Withheld;
  if (!noFault && !SpendRetry(state.mRetryBudget)) {
    return Rule::RetryBudgetSpent;
  }
  return std::nullopt;
}

void
ContinueAfterFailure(const Decision& aDecision,
                     PendingRequest& aRequest,
                     TryResult aResult)
{
  if (aResult == TryResult::Broken || aResult == TryResult::TimedOut) {
    aRequest.mMayHaveRun = true;
  }
  if (const auto rule = RefusalToRetry(aDecision, aRequest, aResult)) {
    End(aDecision, aRequest, *rule);
    return;
  }
  aDecision.mActions.emplace_back(Explain{
    aRequest.mRequest.mNumber,
    Explained(aDecision, aRequest, DecisionKind::Delay, Rule::Retried) });
  Place(aDecision, aRequest);
}

} // namespace

void
Apply(RoutingState& aState,
      const RequestArrived& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const Decision decision{ aState, aNow, aActions };
  PendingRequest& request = aState.mPending[aEvent.mNumber];
  request.mRequest = aEvent;
  EarnRetry(aState.mRetryBudget);
  ServiceState& service = ServiceOf(aState, request);
  const bool tooLate =
    aEvent.mKind == RouteKind::Short &&
    aNow + Micros(static_cast<Micros::rep>(service.mMeanServiceUs)) >
      aEvent.mDeadline;
  if (tooLate) {
    // Without answers the estimate would never change, so that a high one
    // could refuse forever. Each refusal lowers it a little.
    constexpr double kDecayPerRefusal = 0.98;
    service.mMeanServiceUs *= kDecayPerRefusal;
    End(decision, request, Rule::DeadlineTooShort);
    return;
  }
  Place(decision, request);
}

void
Apply(RoutingState& aState,
      const TryEnded& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const auto found = aState.mPending.find(aEvent.mNumber);
  if (found == aState.mPending.end()) {
    return;
  }
  const Decision decision{ aState, aNow, aActions };
  PendingRequest& request = found->second;
  ServiceState& service = ServiceOf(aState, request);
  if (request.mHasRunner) {
    JudgeRunner(decision, request.mRunner, aEvent.mResult);
    if (aEvent.mResult == TryResult::Answered) {
      LearnLatency(decision, request);
    } else {
      request.mTried.push_back(request.mRunner.mRunner);
    }
  }
  const Rule served =
    request.mHasRunner ? Rule::FreeSlot : Rule::ForwardedToPeer;
  ReturnSlot(decision, request, aEvent.mResult);
  if (aEvent.mResult == TryResult::Answered) {
    aActions.emplace_back(
      Explain{ aEvent.mNumber,
               Explained(decision, request, DecisionKind::Serve, served) });
    aState.mPending.erase(found);
  } else {
    ContinueAfterFailure(decision, request, aEvent.mResult);
  }
  PlaceWaiting(decision, service);
}

void
Apply(RoutingState& aState,
      const ProbeEnded& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const Decision decision{ aState, aNow, aActions };
  ServiceState& service = aState.mServices[aEvent.mRunner.mService];
  service.mRunners[aEvent.mRunner.mRunner].mProbing = false;
  if (aEvent.mHealthy) {
    CountSuccess(decision, aEvent.mRunner);
    PlaceWaiting(decision, service);
  } else {
    CountFailure(decision, aEvent.mRunner);
  }
}

void
Apply(RoutingState& aState,
      const ServiceListed& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  UpdateRunners(aState, aEvent);
  ServiceState& service = aState.mServices[FindService(aState, aEvent.mName)];
  RefreshUsableSlots(aState, service, aNow);
  PlaceWaiting({ aState, aNow, aActions }, service);
}

void
Apply(RoutingState& aState,
      const ShardAcquired& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  ShardState& shard = aState.mShards[aEvent.mShard];
  shard.mOwned = true;
  shard.mEpoch = aEvent.mOwnership.mEpoch;
  shard.mShortsFreeFrom = aEvent.mOwnership.mSince;
  shard.mWatchesFreeFrom = aEvent.mOwnership.mSince;
  const Acquisition acquisition = aEvent.mOwnership.mAcquisition;
  Millis longestRun{ 0 };
  Millis longestWatch{ 0 };
  for (const ServiceState& service : aState.mServices) {
    longestRun = std::max(longestRun, service.mLimits.mLongestRun);
    longestWatch = std::max(longestWatch, service.mLimits.mLongestWatch);
  }
  if (acquisition != Acquisition::FirstOwner) {
    // A hand-over doesn't wait for watches: the runners would serve nobody for
    // minutes. Their slots count as taken here instead.
    shard.mWatchesFreeFrom += longestWatch;
  }
  if (acquisition == Acquisition::Successor ||
      acquisition == Acquisition::Takeover) {
    // The predecessor's lease had ended when this process became the owner,
    // so its last request was assigned before that.
    shard.mShortsFreeFrom += aState.mSettings.mLongestSend + longestRun;
  }
  RefreshAllUsableSlots(aState, aNow);
  for (ServiceState& service : aState.mServices) {
    PlaceWaiting({ aState, aNow, aActions }, service);
  }
}

void
Apply(RoutingState& aState,
      const ShardLost& aEvent,
      MonotonicTime aNow,
      RoutingActions& /*aActions*/)
{
  aState.mShards[aEvent.mShard].mOwned = false;
  RefreshAllUsableSlots(aState, aNow);
}

void
Apply(RoutingState& aState,
      const PeerReported& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  auto peer = std::find_if(
    aState.mPeers.begin(), aState.mPeers.end(), [&](const PeerState& aPeer) {
      return aPeer.mName == aEvent.mPeer;
    });
  if (peer == aState.mPeers.end()) {
    aState.mPeers.emplace_back().mName = aEvent.mPeer;
    peer = std::prev(aState.mPeers.end());
  }
  peer->mDistance = aEvent.mDistance;
  peer->mReported = aNow;
  peer->mFree.clear();
  peer->mFree.insert(aEvent.mServices.begin(), aEvent.mServices.end());
  for (ServiceState& service : aState.mServices) {
    PlaceWaiting({ aState, aNow, aActions }, service);
  }
}

void
Apply(RoutingState& aState,
      const Tick& /*aEvent*/,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const Decision decision{ aState, aNow, aActions };
  ReleaseHolds(aState, aNow);
  RefreshAllUsableSlots(aState, aNow);
  for (std::uint32_t s = 0; s < aState.mServices.size(); ++s) {
    ServiceState& service = aState.mServices[s];
    PlaceWaiting(decision, service);
    RefuseLate(decision, service);
    for (std::uint32_t r = 0; r < service.mRunners.size(); ++r) {
      const Runner& runner = service.mRunners[r];
      if (runner.mListed && runner.mFailures > 0 && runner.mNextProbe <= aNow) {
        StartProbe(decision, { s, r });
      }
    }
  }
}

} // namespace paddle
