#include <LibRouting/Routing.h>

#include <algorithm>
#include <optional>

#include <LibRouting/RunnerTable.h>

namespace paddle {

namespace {

/// The state, the time, and the actions of the event that is being applied.
struct DecisionContext
{
  RoutingState& mState;
  MonotonicTime mNow;
  RoutingActions& mActions;
};

/// @return the time from @p aStart to @p aEnd; negative if the end is earlier
Micros
TimeBetween(MonotonicTime aEnd, MonotonicTime aStart)
{
  return std::chrono::duration_cast<Micros>(aEnd - aStart);
}

ServiceState&
ServiceOf(RoutingState& aState, const PendingRequest& aRequest)
{
  return aState.mServices[aRequest.mRequest.mService];
}

/// @return the number of usable slots at all runners of a service, free or not
std::uint32_t
UsableSlots(const ServiceState& aService)
{
  std::uint32_t slots = 0;
  for (const RunnerLoad& load : aService.mLoads) {
    slots += load.mUsableSlots;
  }
  return slots;
}

/// @return the expected time until the answer to a request that has @p aAhead
///         requests ahead of it in the queue
Micros
ExpectedResponseTime(const ServiceState& aService, std::size_t aAhead)
{
  const double slots = std::max(1U, UsableSlots(aService));
  const double waiting =
    static_cast<double>(aAhead) * aService.mMeanServiceUs / slots;
  return Micros(static_cast<Micros::rep>(waiting + aService.mMeanServiceUs));
}

/// @return the explanation of a decision with the current figures
Explanation
MakeExplanation(const DecisionContext& aContext,
                const PendingRequest& aRequest,
                DecisionKind aKind,
                RoutingRule aRule)
{
  const ServiceState& service = ServiceOf(aContext.mState, aRequest);
  Explanation explanation;
  explanation.mKind = aKind;
  explanation.mRule = aRule;
  explanation.mWaitingRequests =
    static_cast<std::uint32_t>(service.mWaitingQueue.size());
  explanation.mTries = aRequest.mTries;
  explanation.mTimeToDeadline =
    TimeBetween(aRequest.mRequest.mDeadline, aContext.mNow);
  explanation.mExpectedResponseTime =
    Micros(static_cast<Micros::rep>(service.mMeanServiceUs));
  if (aKind != DecisionKind::Serve) {
    // This scans all runners, so the common case leaves it out.
    explanation.mFreeSlots = FreeSlots(service).mSlots;
    explanation.mExpectedResponseTime =
      ExpectedResponseTime(service, service.mWaitingQueue.size());
  }
  return explanation;
}

/// Ends a request without an answer: as Unknown if it may have run, else as
/// Refuse.
void
EndRequest(const DecisionContext& aContext,
           PendingRequest& aRequest,
           RoutingRule aRule)
{
  const DecisionKind kind =
    aRequest.mMayHaveRun ? DecisionKind::Unknown : DecisionKind::Refuse;
  aContext.mActions.emplace_back(
    EndWithoutAnswer{ aRequest.mRequest.mNumber,
                      MakeExplanation(aContext, aRequest, kind, aRule) });
  aContext.mState.mPending.erase(aRequest.mRequest.mNumber);
}

/// @return the time at which one try fails without an answer. Half of the time
///         to the deadline of an idempotent request is kept for another try,
///         because the connection may have stopped without an error.
MonotonicTime
TryDeadline(const RoutingSettings& aSettings,
            const PendingRequest& aRequest,
            MonotonicTime aNow)
{
  const RequestArrived& request = aRequest.mRequest;
  const bool last = aRequest.mTries >= aSettings.mMaxTries;
  if (request.mKind == RouteKind::Watch ||
      request.mIdempotent == Idempotent::No || last) {
    return request.mDeadline;
  }
  return aNow + (request.mDeadline - aNow) / 2;
}

/// Sends a request to a runner of this process that has a free slot.
/// @return whether there was such a runner
bool
TrySendToOwnRunner(const DecisionContext& aContext, PendingRequest& aRequest)
{
  RoutingState& state = aContext.mState;
  ServiceState& service = ServiceOf(state, aRequest);
  RunnerQuery query{ service.mLoads,
                     aRequest.mRequest.mKind,
                     service.mQueryNumber++,
                     aRequest.mTriedRunners };
  std::size_t chosen = state.mPolicy.mChoose(query);
  if (chosen == kNoRunner && !aRequest.mTriedRunners.empty()) {
    // Another try at a runner that has failed is better than no answer.
    query.mTriedRunners = {};
    chosen = state.mPolicy.mChoose(query);
  }
  if (chosen == kNoRunner) {
    return false;
  }
  aRequest.mRunner = { static_cast<std::uint32_t>(aRequest.mRequest.mService),
                       static_cast<std::uint32_t>(chosen) };
  aRequest.mHasRunner = true;
  aRequest.mTryStarted = aContext.mNow;
  ++aRequest.mTries;
  TakeSlot(state, aRequest.mRunner, aRequest.mRequest.mKind);
  const ShardState& shard =
    state.mShards.find(service.mRunners[chosen].mShard)->second;
  aContext.mActions.emplace_back(
    SendToRunner{ aRequest.mRequest.mNumber,
                  aRequest.mRunner,
                  shard.mEpoch,
                  TryDeadline(state.mSettings, aRequest, aContext.mNow) });
  return true;
}

/// @return the counter of the free slots of a peer for this kind of request, or
///         null if the peer has reported nothing about the service
std::uint32_t*
FreeSlotsAtPeer(PeerState& aPeer, const std::string& aService, RouteKind aKind)
{
  const auto free = aPeer.mFreeByService.find(aService);
  if (free == aPeer.mFreeByService.end()) {
    return nullptr;
  }
  return aKind == RouteKind::Watch ? &free->second.mWatchSlots
                                   : &free->second.mSlots;
}

/// Forwards a request to the nearest peer with free slots; among peers at the
/// same distance, to the one with the most.
/// @return whether there was such a peer
bool
TryForwardToPeer(const DecisionContext& aContext, PendingRequest& aRequest)
{
  if (aRequest.mForwarded || aRequest.mRequest.mOrigin == Origin::Peer) {
    return false;
  }
  RoutingState& state = aContext.mState;
  const std::string& service = ServiceOf(state, aRequest).mName;
  PeerState* best = nullptr;
  std::uint32_t* bestSlots = nullptr;
  for (PeerState& peer : state.mPeers) {
    if (peer.mReportedAt + state.mSettings.mMaxSummaryAge < aContext.mNow) {
      continue;
    }
    std::uint32_t* slots =
      FreeSlotsAtPeer(peer, service, aRequest.mRequest.mKind);
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
  // The next summary replaces this count. Until then the decrement limits the
  // requests that are forwarded to the peer.
  --*bestSlots;
  aRequest.mForwarded = true;
  aRequest.mHasRunner = false;
  ++aRequest.mTries;
  aContext.mActions.emplace_back(
    ForwardToPeer{ aRequest.mRequest.mNumber, best->mName });
  return true;
}

/// @return the rule that forbids a request to wait, or nothing if it may wait
std::optional<RoutingRule>
RuleAgainstWaiting(const DecisionContext& aContext,
                   const PendingRequest& aRequest)
{
  const ServiceState& service = ServiceOf(aContext.mState, aRequest);
  if (UsableSlots(service) == 0) {
    return RoutingRule::NoRunner;
  }
  if (aRequest.mRequest.mKind == RouteKind::Watch) {
    return RoutingRule::WatchShare;
  }
  if (service.mWaitingQueue.size() >=
      aContext.mState.mSettings.mMaxWaitingRequests) {
    return RoutingRule::QueueFull;
  }
  const Micros left = TimeBetween(aRequest.mRequest.mDeadline, aContext.mNow);
  if (ExpectedResponseTime(service, service.mWaitingQueue.size() + 1) > left) {
    return RoutingRule::DeadlineTooShort;
  }
  return std::nullopt;
}

/// Sends a request to an own runner or a peer, or else adds it to the queue or
/// ends it.
void
PlaceRequest(const DecisionContext& aContext, PendingRequest& aRequest)
{
  if (TrySendToOwnRunner(aContext, aRequest) ||
      TryForwardToPeer(aContext, aRequest)) {
    return;
  }
  if (const auto rule = RuleAgainstWaiting(aContext, aRequest)) {
    EndRequest(aContext, aRequest, *rule);
    return;
  }
  aContext.mActions.emplace_back(RecordExplanation{
    aRequest.mRequest.mNumber,
    MakeExplanation(
      aContext, aRequest, DecisionKind::Delay, RoutingRule::WaitsForSlot) });
  aRequest.mIsWaiting = true;
  ServiceOf(aContext.mState, aRequest)
    .mWaitingQueue.push_back(aRequest.mRequest.mNumber);
}

/// Sends waiting requests to own runners or peers, oldest first, until there is
/// no free slot for one.
void
PlaceWaitingRequests(const DecisionContext& aContext, ServiceState& aService)
{
  while (!aService.mWaitingQueue.empty()) {
    PendingRequest& request =
      aContext.mState.mPending.at(aService.mWaitingQueue.front());
    if (!TrySendToOwnRunner(aContext, request) &&
        !TryForwardToPeer(aContext, request)) {
      return;
    }
    request.mIsWaiting = false;
    aService.mWaitingQueue.pop_front();
  }
}

/// Ends the waiting requests that can no longer be answered before their
/// deadlines.
void
RefuseLateRequests(const DecisionContext& aContext, ServiceState& aService)
{
  std::vector<RequestNumber> late;
  const auto service =
    Micros(static_cast<Micros::rep>(aService.mMeanServiceUs));
  std::erase_if(aService.mWaitingQueue, [&](RequestNumber aNumber) {
    const PendingRequest& request = aContext.mState.mPending.at(aNumber);
    if (aContext.mNow + service <= request.mRequest.mDeadline) {
      return false;
    }
    late.push_back(aNumber);
    return true;
  });
  for (const RequestNumber number : late) {
    EndRequest(aContext,
               aContext.mState.mPending.at(number),
               RoutingRule::DeadlinePassed);
  }
}

/// Starts a health probe of a runner unless one is in progress.
void
StartProbe(const DecisionContext& aContext, const RunnerRef& aRunner)
{
  Runner& runner =
    aContext.mState.mServices[aRunner.mService].mRunners[aRunner.mRunner];
  if (runner.mProbeInProgress) {
    return;
  }
  runner.mProbeInProgress = true;
  aContext.mActions.emplace_back(ProbeRunner{ aRunner });
}

/// Records that a new connection to a runner failed. After several consecutive
/// failures the runner is suspect and gets no requests.
void
RecordFailure(const DecisionContext& aContext, const RunnerRef& aRunner)
{
  RoutingState& state = aContext.mState;
  ServiceState& service = state.mServices[aRunner.mService];
  Runner& runner = service.mRunners[aRunner.mRunner];
  ++runner.mFailures;
  runner.mNextProbe = aContext.mNow + state.mSettings.mProbeInterval;
  if (runner.mFailures >= state.mSettings.mFailuresUntilSuspect &&
      !runner.mSuspect) {
    runner.mSuspect = true;
    RefreshUsableSlots(state, service, aContext.mNow);
  }
}

/// Records that a runner answered. It is no longer suspect.
void
RecordSuccess(const DecisionContext& aContext, const RunnerRef& aRunner)
{
  ServiceState& service = aContext.mState.mServices[aRunner.mService];
  Runner& runner = service.mRunners[aRunner.mRunner];
  runner.mFailures = 0;
  if (runner.mSuspect) {
    runner.mSuspect = false;
    RefreshUsableSlots(aContext.mState, service, aContext.mNow);
  }
}

/// Updates the decayed mean latencies of the service and the runner after an
/// answer. Watches do not count.
void
UpdateLatencyMeans(const DecisionContext& aContext,
                   const PendingRequest& aRequest)
{
  if (aRequest.mRequest.mKind == RouteKind::Watch) {
    return;
  }
  ServiceState& service = ServiceOf(aContext.mState, aRequest);
  const double share = aContext.mState.mSettings.mLatencySmoothing;
  const auto latency = static_cast<double>(
    TimeBetween(aContext.mNow, aRequest.mTryStarted).count());
  const auto update = [&](double aOldMean) {
    return aOldMean == 0 ? latency : aOldMean + (latency - aOldMean) * share;
  };
  service.mMeanServiceUs = update(service.mMeanServiceUs);
  RunnerLoad& load = service.mLoads[aRequest.mRunner.mRunner];
  load.mLatencyUs = static_cast<float>(update(load.mLatencyUs));
}

/// @return the time by which the runner of the current try has certainly
///         stopped working on the request
MonotonicTime
LatestPossibleEnd(const RoutingState& aState, const PendingRequest& aRequest)
{
  const ServiceLimits& limits =
    aState.mServices[aRequest.mRequest.mService].mLimits;
  const Millis longest = aRequest.mRequest.mKind == RouteKind::Watch
                           ? limits.mLongestWatch
                           : limits.mLongestRun;
  return aRequest.mTryStarted + aState.mSettings.mMaxSendDelay + longest;
}

/// Releases the slot of a try, or holds it if the request may still run. The
/// runner may work on a request past its deadline, because only the caller
/// knows the deadline.
void
ReleaseOrHoldSlot(const DecisionContext& aContext,
                  PendingRequest& aRequest,
                  TryResult aResult)
{
  if (!aRequest.mHasRunner) {
    return;
  }
  aRequest.mHasRunner = false;
  const MonotonicTime end = LatestPossibleEnd(aContext.mState, aRequest);
  const bool mayRun =
    aResult == TryResult::NoValidAnswer || aResult == TryResult::TimedOut;
  if (mayRun && aContext.mNow < end) {
    aContext.mState.mSlotHolds.push_back(
      { aRequest.mRunner, aRequest.mRequest.mKind, end });
    return;
  }
  ReleaseSlot(aContext.mState, aRequest.mRunner, aRequest.mRequest.mKind);
}

/// Updates the health of a runner after a try and starts a probe if the result
/// does not show whether the runner works.
void
UpdateRunnerHealth(const DecisionContext& aContext,
                   const RunnerRef& aRunner,
                   TryResult aResult)
{
  switch (aResult) {
    case TryResult::Answered:
      RecordSuccess(aContext, aRunner);
      return;
    case TryResult::NotSent:
      // The connection was new, so this counts as a failure of the runner. The
      // probe shows soon whether it was a single failure.
      RecordFailure(aContext, aRunner);
      StartProbe(aContext, aRunner);
      return;
    case TryResult::NoValidAnswer:
    case TryResult::TimedOut:
      // The fault may be in the connection, so only the probe decides whether
      // the runner has failed.
      StartProbe(aContext, aRunner);
      return;
    case TryResult::ShardNotOwned:
    case TryResult::RefusedByPeer:
      return;
  }
}

/// Takes a retry from the budget if the failure may be the runner's fault.
/// @return the rule that forbids another try, or nothing if it is allowed
std::optional<RoutingRule>
RuleAgainstRetry(const DecisionContext& aContext,
                 const PendingRequest& aRequest,
                 TryResult aResult)
{
  RoutingState& state = aContext.mState;
  if (aRequest.mMayHaveRun && aRequest.mRequest.mIdempotent == Idempotent::No) {
    return RoutingRule::NotRepeatable;
  }
  if (aRequest.mRequest.mDeadline <= aContext.mNow) {
    return RoutingRule::DeadlinePassed;
  }
  if (aRequest.mTries >= state.mSettings.mMaxTries) {
    return aResult == TryResult::ShardNotOwned ? RoutingRule::ShardMoved
                                               : RoutingRule::TriesSpent;
  }
  const bool noFault =
    aResult == TryResult::RefusedByPeer || aResult == TryResult::ShardNotOwned;
  if (!noFault && !TrySpendRetry(state.mRetryBudget)) {
    return RoutingRule::RetryBudgetSpent;
  }
  return std::nullopt;
}

/// Tries a request again after a failed try, or ends it if a rule forbids that.
void
RetryOrEnd(const DecisionContext& aContext,
           PendingRequest& aRequest,
           TryResult aResult)
{
  if (aResult == TryResult::NoValidAnswer || aResult == TryResult::TimedOut) {
    aRequest.mMayHaveRun = true;
  }
  if (const auto rule = RuleAgainstRetry(aContext, aRequest, aResult)) {
    EndRequest(aContext, aRequest, *rule);
    return;
  }
  aContext.mActions.emplace_back(RecordExplanation{
    aRequest.mRequest.mNumber,
    MakeExplanation(
      aContext, aRequest, DecisionKind::Delay, RoutingRule::Retried) });
  PlaceRequest(aContext, aRequest);
}

} // namespace

void
Apply(RoutingState& aState,
      const RequestArrived& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const DecisionContext context{ aState, aNow, aActions };
  PendingRequest& request = aState.mPending[aEvent.mNumber];
  request.mRequest = aEvent;
  CreditRetryBudget(aState.mRetryBudget);
  ServiceState& service = ServiceOf(aState, request);
  const bool tooLate =
    aEvent.mKind == RouteKind::Short &&
    aNow + Micros(static_cast<Micros::rep>(service.mMeanServiceUs)) >
      aEvent.mDeadline;
  if (tooLate) {
    // Only answers update the estimate, so a high estimate could refuse all
    // requests forever. Each refusal therefore lowers it a little.
    constexpr double kDecayPerRefusal = 0.98;
    service.mMeanServiceUs *= kDecayPerRefusal;
    EndRequest(context, request, RoutingRule::DeadlineTooShort);
    return;
  }
  PlaceRequest(context, request);
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
  const DecisionContext context{ aState, aNow, aActions };
  PendingRequest& request = found->second;
  ServiceState& service = ServiceOf(aState, request);
  if (request.mHasRunner) {
    UpdateRunnerHealth(context, request.mRunner, aEvent.mResult);
    if (aEvent.mResult == TryResult::Answered) {
      UpdateLatencyMeans(context, request);
    } else {
      request.mTriedRunners.push_back(request.mRunner.mRunner);
    }
  }
  const RoutingRule served =
    request.mHasRunner ? RoutingRule::FreeSlot : RoutingRule::ForwardedToPeer;
  ReleaseOrHoldSlot(context, request, aEvent.mResult);
  if (aEvent.mResult == TryResult::Answered) {
    aActions.emplace_back(RecordExplanation{
      aEvent.mNumber,
      MakeExplanation(context, request, DecisionKind::Serve, served) });
    aState.mPending.erase(found);
  } else {
    RetryOrEnd(context, request, aEvent.mResult);
  }
  PlaceWaitingRequests(context, service);
}

void
Apply(RoutingState& aState,
      const ProbeEnded& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const DecisionContext context{ aState, aNow, aActions };
  ServiceState& service = aState.mServices[aEvent.mRunner.mService];
  service.mRunners[aEvent.mRunner.mRunner].mProbeInProgress = false;
  if (aEvent.mHealthy) {
    RecordSuccess(context, aEvent.mRunner);
    PlaceWaitingRequests(context, service);
  } else {
    RecordFailure(context, aEvent.mRunner);
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
  PlaceWaitingRequests({ aState, aNow, aActions }, service);
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
  shard.mShortRequestsEndBy = aEvent.mOwnership.mSince;
  shard.mWatchesEndBy = aEvent.mOwnership.mSince;
  const Acquisition acquisition = aEvent.mOwnership.mAcquisition;
  Millis longestRun{ 0 };
  Millis longestWatch{ 0 };
  for (const ServiceState& service : aState.mServices) {
    longestRun = std::max(longestRun, service.mLimits.mLongestRun);
    longestWatch = std::max(longestWatch, service.mLimits.mLongestWatch);
  }
  if (acquisition != Acquisition::FirstOwner) {
    // A hand-over does not wait for watches, because the runners would serve no
    // requests for minutes. The new owner counts their slots as in use instead.
    shard.mWatchesEndBy += longestWatch;
  }
  if (acquisition == Acquisition::Successor ||
      acquisition == Acquisition::Takeover) {
    // The previous owner's lease had ended when this process became the owner,
    // so it had assigned its last request before that.
    shard.mShortRequestsEndBy += aState.mSettings.mMaxSendDelay + longestRun;
  }
  RefreshAllUsableSlots(aState, aNow);
  for (ServiceState& service : aState.mServices) {
    PlaceWaitingRequests({ aState, aNow, aActions }, service);
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
  peer->mReportedAt = aNow;
  peer->mFreeByService.clear();
  peer->mFreeByService.insert(aEvent.mServices.begin(), aEvent.mServices.end());
  for (ServiceState& service : aState.mServices) {
    PlaceWaitingRequests({ aState, aNow, aActions }, service);
  }
}

void
Apply(RoutingState& aState,
      const Tick& /*aEvent*/,
      MonotonicTime aNow,
      RoutingActions& aActions)
{
  const DecisionContext context{ aState, aNow, aActions };
  ReleaseExpiredHolds(aState, aNow);
  RefreshAllUsableSlots(aState, aNow);
  for (std::uint32_t s = 0; s < aState.mServices.size(); ++s) {
    ServiceState& service = aState.mServices[s];
    PlaceWaitingRequests(context, service);
    RefuseLateRequests(context, service);
    for (std::uint32_t r = 0; r < service.mRunners.size(); ++r) {
      const Runner& runner = service.mRunners[r];
      if (runner.mListed && runner.mFailures > 0 && runner.mNextProbe <= aNow) {
        StartProbe(context, { s, r });
      }
    }
  }
}

} // namespace paddle
