#include "RoutingFixture.h"

using namespace paddle;

TEST_GROUP(Routing){};

// Guards against a runner that gets more requests than it has slots.
TEST(Routing, QueuesTheNinthRequestUntilASlotIsFree)
{
  RoutingFixture routing;
  for (int i = 0; i < 8; ++i) {
    routing.Arrive();
    CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
  }
  const RequestNumber ninth = routing.Arrive();
  CHECK_TRUE(routing.FindAction<SendToRunner>() == nullptr);
  routing.ApplyEvent(TryEnded{ 1, TryResult::Answered });
  CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
  CHECK_EQUAL(ninth, routing.FindAction<SendToRunner>()->mNumber);
}

// Guards against watches that use the slots that short requests need.
TEST(Routing, LimitsWatchesToTheirShare)
{
  RoutingFixture routing;
  routing.Arrive(Idempotent::Yes, RouteKind::Watch);
  routing.Arrive(Idempotent::Yes, RouteKind::Watch);
  routing.Arrive(Idempotent::Yes, RouteKind::Watch);
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::WatchShare));
  routing.Arrive();
  CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
}

// Guards against requests that wait although they can't be answered in time.
TEST(Routing, RefusesAtOnceARequestThatCannotMeetItsDeadline)
{
  RoutingFixture routing;
  routing.Arrive();
  routing.mNow += Millis(100);
  routing.ApplyEvent(TryEnded{ 1, TryResult::Answered });
  for (int i = 0; i < 8; ++i) {
    routing.Arrive();
  }
  routing.Arrive(Idempotent::No, RouteKind::Short, Millis(110));
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::DeadlineTooShort));
  routing.Arrive(Idempotent::No, RouteKind::Short, Millis(200));
  CHECK_TRUE(routing.FindAction<EndWithoutAnswer>() == nullptr);
}

// Guards against a latency estimate that refuses all requests and therefore
// never changes, because only answers update it.
TEST(Routing, RecoversFromAnEstimateThatRefusesEverything)
{
  RoutingFixture routing;
  routing.mState.mServices[0].mMeanServiceUs = 2.5e6;
  routing.Arrive();
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::DeadlineTooShort));
  // 0.98^12 of 2.5 s is less than the deadline of 2 s.
  for (int i = 0; i < 12; ++i) {
    routing.Arrive();
  }
  CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
}

// Guards against a waiting request that is neither sent nor refused.
TEST(Routing, RefusesAWaitingRequestWhenItsDeadlinePasses)
{
  RoutingFixture routing;
  for (int i = 0; i < 9; ++i) {
    routing.Arrive();
  }
  routing.mNow += Millis(2001);
  routing.ApplyEvent(Tick{});
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::DeadlinePassed));
}

// Guards against a second run of a request that must not run twice.
TEST(Routing, NeverRepeatsANonIdempotentRequestThatMayHaveRun)
{
  RoutingFixture routing(2);
  const RequestNumber number = routing.Arrive();
  routing.ApplyEvent(TryEnded{ number, TryResult::NoValidAnswer });
  CHECK_TRUE(routing.FindAction<SendToRunner>() == nullptr);
  CHECK_TRUE(routing.FindAction<EndWithoutAnswer>()->mExplanation.mKind ==
             DecisionKind::Unknown);
}

// Guards against the answer "not run" after an earlier try that may have run.
TEST(Routing, StaysUnknownWhenALaterTryWasNotSent)
{
  RoutingFixture routing(3);
  const RequestNumber number = routing.Arrive(Idempotent::Yes);
  routing.ApplyEvent(TryEnded{ number, TryResult::NoValidAnswer });
  routing.ApplyEvent(TryEnded{ number, TryResult::NotSent });
  routing.ApplyEvent(TryEnded{ number, TryResult::NotSent });
  CHECK_TRUE(routing.FindAction<EndWithoutAnswer>()->mExplanation.mKind ==
             DecisionKind::Unknown);
}

// Guards against a refusal although the request certainly did not run and could
// be tried at another runner.
TEST(Routing, RetriesAnUnsentRequestAtAnotherRunner)
{
  RoutingFixture routing(2);
  const RequestNumber number = routing.Arrive();
  const RunnerRef first = routing.FindAction<SendToRunner>()->mRunner;
  routing.ApplyEvent(TryEnded{ number, TryResult::NotSent });
  CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
  CHECK_FALSE(routing.FindAction<SendToRunner>()->mRunner == first);
}

// Guards against retries that multiply the load of a failing back end.
TEST(Routing, BoundsRetriesByTheBudget)
{
  RoutingFixture routing(50);
  int sends = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    const RequestNumber number = routing.Arrive(Idempotent::Yes);
    while (routing.FindAction<SendToRunner>() != nullptr) {
      ++sends;
      routing.ApplyEvent(TryEnded{ number, TryResult::ShardNotOwned });
      routing.ApplyEvent(TryEnded{ number, TryResult::NotSent });
      for (Runner& runner : routing.mState.mServices[0].mRunners) {
        runner.mFailures = 0; // Only the budget limits retries here.
      }
    }
  }
  const int retries = static_cast<int>(kRequests * 0.1) + 20;
  CHECK_TRUE(routing.mState.mRetryBudget.mAvailableRetries < 1);
  CHECK_TRUE(sends <= kRequests * 2 + retries);
}

// Guards against requests that are still sent to a runner known to fail, and
// against a recovered runner that never gets requests again.
TEST(Routing, SuspectsARunnerAfterThreeFailuresUntilOneSuccess)
{
  RoutingFixture routing;
  routing.ApplyEvent(ProbeEnded{ { 0, 0 }, false });
  routing.ApplyEvent(ProbeEnded{ { 0, 0 }, false });
  routing.Arrive();
  CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
  routing.ApplyEvent(ProbeEnded{ { 0, 0 }, false });
  routing.Arrive();
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::NoRunner));
  routing.mNow += Millis(500);
  routing.ApplyEvent(Tick{});
  CHECK_TRUE(routing.FindAction<ProbeRunner>() != nullptr);
  routing.ApplyEvent(ProbeEnded{ { 0, 0 }, true });
  routing.Arrive();
  CHECK_TRUE(routing.FindAction<SendToRunner>() != nullptr);
}

// Guards against a runner that counts as failing because of one connection that
// stopped without an error.
TEST(Routing, ProbesARunnerAfterATimeOutWithoutCountingAFailure)
{
  RoutingFixture routing;
  const RequestNumber number = routing.Arrive();
  routing.ApplyEvent(TryEnded{ number, TryResult::TimedOut });
  CHECK_TRUE(routing.FindAction<ProbeRunner>() != nullptr);
  CHECK_EQUAL(0U, routing.mState.mServices[0].mRunners[0].mFailures);
}

// Guards against a slot that is assigned again while the runner may still work
// on a request whose connection broke.
TEST(Routing, HoldsTheSlotAfterABrokenConnectionWhileTheRequestMayRun)
{
  RoutingFixture routing;
  const RequestNumber number = routing.Arrive();
  routing.ApplyEvent(TryEnded{ number, TryResult::NoValidAnswer });
  CHECK_EQUAL(1, routing.LoadOf().mSlotsInUse);
  CHECK_FALSE(IsQuiescent(routing.mState, "s", routing.mNow));
  // The deadline of 2 s has passed; the longest run of 4 s has not.
  routing.mNow += Millis(4499);
  routing.ApplyEvent(Tick{});
  CHECK_EQUAL(1, routing.LoadOf().mSlotsInUse);
  routing.mNow += Millis(1);
  routing.ApplyEvent(Tick{});
  CHECK_EQUAL(0, routing.LoadOf().mSlotsInUse);
  CHECK_TRUE(IsQuiescent(routing.mState, "s", routing.mNow));
}

// Guards against a ninth request at a slow runner that still works on eight
// requests whose callers got the answer "unknown".
TEST(Routing, HoldsTheSlotOfATimedOutRequestPastItsDeadline)
{
  RoutingFixture routing;
  for (RequestNumber i = 1; i <= 8; ++i) {
    routing.Arrive();
  }
  routing.mNow += Millis(2000);
  for (RequestNumber i = 1; i <= 8; ++i) {
    routing.ApplyEvent(TryEnded{ i, TryResult::TimedOut });
  }
  routing.Arrive();
  CHECK_TRUE(routing.FindAction<SendToRunner>() == nullptr);
  CHECK_EQUAL(8, routing.LoadOf().mSlotsInUse);
}

// Guards against new requests to a runner that is leaving.
TEST(Routing, SendsNothingToALeavingRunner)
{
  RoutingFixture routing;
  ServiceListed listed = RoutingFixture::MakeService(1);
  listed.mRunners[0].mLeaving = true;
  routing.ApplyEvent(listed);
  routing.Arrive();
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::NoRunner));
}

// Guards against the use of slots in which requests of the previous owner may
// still run.
TEST(Routing, CountsSlotsAsTakenAfterATakeover)
{
  RoutingFixture routing;
  routing.ApplyEvent(ShardLost{ "s" });
  routing.Arrive();
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::NoRunner));
  routing.ApplyEvent(
    ShardAcquired{ "s", { 2, Acquisition::Successor, routing.mNow } });
  CHECK_EQUAL(0, routing.LoadOf().mUsableSlots);
  routing.mNow += Millis(4499);
  routing.ApplyEvent(Tick{});
  CHECK_EQUAL(0, routing.LoadOf().mUsableSlots);
  routing.mNow += Millis(1);
  routing.ApplyEvent(Tick{});
  CHECK_EQUAL(6, routing.LoadOf().mUsableSlots);
  CHECK_EQUAL(0, routing.LoadOf().mUsableWatchSlots);
  routing.mNow += Millis(115500);
  routing.ApplyEvent(Tick{});
  CHECK_EQUAL(8, routing.LoadOf().mUsableSlots);
  CHECK_EQUAL(2, routing.LoadOf().mUsableWatchSlots);
}

// Guards against a hand-over while short requests of a previous owner may still
// run, and against a hand-over that leaves the runners without requests until
// the last watch has ended.
TEST(Routing, IsQuiescentWhenNoShortRequestCanRun)
{
  RoutingFixture routing;
  routing.ApplyEvent(ShardLost{ "s" });
  routing.ApplyEvent(
    ShardAcquired{ "s", { 2, Acquisition::Successor, routing.mNow } });
  // The lease keeper reports a shard as lost before it asks.
  routing.ApplyEvent(ShardLost{ "s" });
  CHECK_FALSE(IsQuiescent(routing.mState, "s", routing.mNow));
  CHECK_FALSE(IsQuiescent(routing.mState, "s", routing.mNow + Millis(4499)));
  CHECK_TRUE(IsQuiescent(routing.mState, "s", routing.mNow + Millis(4500)));
  RoutingFixture watched;
  watched.Arrive(Idempotent::Yes, RouteKind::Watch, Millis(120000));
  CHECK_TRUE(IsQuiescent(watched.mState, "s", watched.mNow));
}

// Guards against idle slots after a hand-over, and against the use of slots in
// which watches of the previous owner may still run.
TEST(Routing, ReservesOnlyWatchSlotsAfterAHandOver)
{
  RoutingFixture routing;
  routing.ApplyEvent(ShardLost{ "s" });
  routing.ApplyEvent(
    ShardAcquired{ "s", { 2, Acquisition::HandOver, routing.mNow } });
  CHECK_EQUAL(6, routing.LoadOf().mUsableSlots);
  CHECK_EQUAL(0, routing.LoadOf().mUsableWatchSlots);
  routing.mNow += Millis(120000);
  routing.ApplyEvent(Tick{});
  CHECK_EQUAL(8, routing.LoadOf().mUsableSlots);
}

// Guards against requests that are refused while a peer has free slots, that
// are sent to a distant peer first, or that are forwarded in a loop.
TEST(Routing, ForwardsOnceToTheNearestPeerWithFreeSlots)
{
  RoutingFixture routing(0);
  routing.ApplyEvent(PeerReported{ "far", 2, { { "desk", { 9, 0 } } } });
  routing.ApplyEvent(PeerReported{ "near", 0, { { "desk", { 1, 0 } } } });
  const RequestNumber number = routing.Arrive();
  STRCMP_EQUAL("near", routing.FindAction<ForwardToPeer>()->mPeer.c_str());
  routing.ApplyEvent(TryEnded{ number, TryResult::RefusedByPeer });
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::NoRunner));
  routing.Arrive();
  STRCMP_EQUAL("far", routing.FindAction<ForwardToPeer>()->mPeer.c_str());
  routing.mNow += Millis(501);
  routing.Arrive();
  CHECK_TRUE(routing.WasRefusedBy(RoutingRule::NoRunner));
}

// Guards against a policy that ignores the load of runners, and against a
// policy name that selects another policy.
TEST(Routing, PoliciesChooseAsNamed)
{
  RoutingFixture leastOutstanding(2);
  leastOutstanding.mState.mServices[0].mLoads[0].mSlotsInUse = 3;
  RoutingFixture roundRobin(2, "round-robin");
  roundRobin.mState.mServices[0].mLoads[0].mSlotsInUse = 3;
  int leastOutstandingBusy = 0;
  int roundRobinBusy = 0;
  for (int i = 0; i < 2; ++i) {
    leastOutstanding.Arrive();
    leastOutstandingBusy +=
      leastOutstanding.FindAction<SendToRunner>()->mRunner.mRunner == 0 ? 1 : 0;
    roundRobin.Arrive();
    roundRobinBusy +=
      roundRobin.FindAction<SendToRunner>()->mRunner.mRunner == 0 ? 1 : 0;
  }
  CHECK_EQUAL(0, leastOutstandingBusy);
  CHECK_EQUAL(1, roundRobinBusy);
}
