#include "RoutingFixture.h"

#include <map>
#include <random>
#include <set>

using namespace paddle;

namespace {

constexpr std::size_t kGateways = 3;
constexpr std::size_t kRunners = 4;

/// A request that really runs at a runner. An abandoned request runs on past
/// its deadline, for as long as the limits of the service allow.
struct Running
{
  std::size_t mOwner = 0;
  RequestNumber mNumber = 0;
  std::size_t mRunner = 0;
  RouteKind mKind = RouteKind::Short;
  MonotonicTime mRunsUntil{};
  bool mAbandoned = false; ///< Its gateway no longer waits for it.
};

/// Simulates several gateways that own the same shard one after another.
class SlotSimulation
{
public:
  explicit SlotSimulation(unsigned aSeed)
    : mRandom(aSeed)
    , mGateways(kGateways, RoutingFixture(kRunners))
  {
    for (std::size_t i = 1; i < kGateways; ++i) {
      mGateways[i].ApplyEvent(ShardLost{ "s" });
    }
  }

  void Step()
  {
    mNow += Millis(RandomBelow(40));
    for (RoutingFixture& gateway : mGateways) {
      gateway.mNow = mNow;
    }
    std::erase_if(mRunning, [&](const Running& aRunning) {
      return aRunning.mRunsUntil <= mNow;
    });
    TickOwner();
    switch (RandomBelow(40)) {
      case 0:
        ChangeOwner();
        break;
      case 1:
      case 2:
      case 3:
      case 4:
        EndRandomRequest(TryResult::NoValidAnswer);
        break;
      default:
        RandomBelow(3) == 0 ? EndRandomRequest(TryResult::Answered) : Arrive();
    }
    CheckSlotLimits();
  }

private:
  std::size_t RandomBelow(std::size_t aBelow)
  {
    return static_cast<std::size_t>(mRandom() % aBelow);
  }

  void TickOwner()
  {
    mGateways[mOwner].ApplyEvent(Tick{});
    StartSentRequests();
  }

  void Arrive()
  {
    const bool watch = RandomBelow(8) == 0;
    mGateways[mOwner].Arrive(RandomBelow(2) == 0 ? Idempotent::Yes
                                                 : Idempotent::No,
                             watch ? RouteKind::Watch : RouteKind::Short,
                             Millis(watch ? 120000 : 100 + RandomBelow(1900)));
    StartSentRequests();
  }

  /// Starts the requests that the owner's last event sent to runners.
  void StartSentRequests()
  {
    RoutingFixture& gateway = mGateways[mOwner];
    for (const RoutingAction& action : gateway.mActions) {
      if (const auto* send = std::get_if<SendToRunner>(&action)) {
        const ServiceLimits& limits = gateway.mState.mServices[0].mLimits;
        const RequestArrived& request =
          gateway.mState.mPending.at(send->mNumber).mRequest;
        mRunning.push_back(
          { mOwner,
            send->mNumber,
            send->mRunner.mRunner,
            request.mKind,
            mNow + (request.mKind == RouteKind::Watch ? limits.mLongestWatch
                                                      : limits.mLongestRun),
            false });
      }
    }
    gateway.mActions.clear();
  }

  void EndRandomRequest(TryResult aResult)
  {
    std::vector<std::size_t> ownRequests;
    for (std::size_t i = 0; i < mRunning.size(); ++i) {
      if (mRunning[i].mOwner == mOwner && !mRunning[i].mAbandoned) {
        ownRequests.push_back(i);
      }
    }
    if (ownRequests.empty()) {
      return;
    }
    const std::size_t index = ownRequests[RandomBelow(ownRequests.size())];
    const RequestNumber number = mRunning[index].mNumber;
    if (aResult == TryResult::Answered) {
      mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      mRunning[index].mAbandoned = true; // The runner still works on it.
    }
    mGateways[mOwner].ApplyEvent(TryEnded{ number, aResult });
    StartSentRequests();
  }

  /// Ends the ownership of the current owner: it hands the shard over if
  /// nothing is in flight, and else it dies.
  void ChangeOwner()
  {
    const bool quiescent = IsQuiescent(mGateways[mOwner].mState, "s", mNow);
    for (Running& running : mRunning) {
      running.mAbandoned = true;
    }
    const std::size_t next = (mOwner + 1) % kGateways;
    // The previous owner restarts and has lost its state.
    mGateways[mOwner] = RoutingFixture(kRunners);
    mGateways[mOwner].mNow = mNow;
    mGateways[mOwner].ApplyEvent(ShardLost{ "s" });
    mGateways[next].mState.mPending.clear();
    const Acquisition acquisition =
      quiescent ? Acquisition::HandOver
                : (RandomBelow(2) == 0 ? Acquisition::Successor
                                       : Acquisition::Takeover);
    mOwner = next;
    mGateways[mOwner].ApplyEvent(
      ShardAcquired{ "s", { ++mEpoch, acquisition, mNow } });
    StartSentRequests();
  }

  void CheckSlotLimits() const
  {
    std::map<std::size_t, unsigned> all;
    std::map<std::size_t, unsigned> watches;
    for (const Running& running : mRunning) {
      CHECK_TRUE(++all[running.mRunner] <= 8);
      if (running.mKind == RouteKind::Watch) {
        CHECK_TRUE(++watches[running.mRunner] <= 2);
      }
    }
  }

  std::mt19937 mRandom;
  MonotonicTime mNow{ Seconds(1000) };
  std::vector<RoutingFixture> mGateways;
  std::vector<Running> mRunning;
  std::size_t mOwner = 0;
  std::uint64_t mEpoch = 1;
};

} // namespace

TEST_GROUP(SlotInvariant){};

// Guards against more than 8 requests or more than 2 watches at a runner at the
// same time. That could happen when the slot of a request whose connection
// broke or whose owner was replaced is used again while the request still runs.
TEST(SlotInvariant, HoldsAcrossRandomOwnerChanges)
{
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U }) {
    SlotSimulation simulation(seed);
    for (int step = 0; step < 20000; ++step) {
      simulation.Step();
    }
  }
}
