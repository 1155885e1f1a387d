#include "RoutingFixture.h"

#include <map>
#include <random>
#include <set>

using namespace paddle;

namespace {

constexpr std::size_t kOwners = 3;
constexpr std::size_t kRunners = 4;

/// What really runs at a runner. An abandoned request goes on past its
/// deadline, as long as the service's document allows.
struct Running
{
  std::size_t mOwner = 0;
  RequestNumber mNumber = 0;
  std::size_t mRunner = 0;
  RouteKind mKind = RouteKind::Short;
  MonotonicTime mRunsUntil{};
  bool mAbandoned = false; ///< Its gateway gave up or lost the shard.
};

/// Several gateways that own the same shard in turns.
class World
{
public:
  explicit World(unsigned aSeed)
    : mRandom(aSeed)
    , mGateways(kOwners, RoutingFixture(kRunners))
  {
    for (std::size_t i = 1; i < kOwners; ++i) {
      mGateways[i].Event(ShardLost{ "s" });
    }
  }

  void Step()
  {
    mNow += Millis(Pick(40));
    for (RoutingFixture& gateway : mGateways) {
      gateway.mNow = mNow;
    }
    std::erase_if(mRunning, [&](const Running& aRunning) {
      return aRunning.mRunsUntil <= mNow;
    });
    TickOwner();
    switch (Pick(40)) {
      case 0:
        ChangeOwner();
        break;
      case 1:
      case 2:
      case 3:
      case 4:
        EndOne(TryResult::Broken);
        break;
      default:
        Pick(3) == 0 ? EndOne(TryResult::Answered) : Arrive();
    }
    Check();
  }

private:
  std::size_t Pick(std::size_t aBelow)
  {
    return static_cast<std::size_t>(mRandom() % aBelow);
  }

  void TickOwner()
  {
    mGateways[mOwner].Event(Tick{});
    Collect();
  }

  void Arrive()
  {
    const bool watch = Pick(8) == 0;
    mGateways[mOwner].Arrive(Pick(2) == 0 ? Idempotent::Yes : Idempotent::No,
                             watch ? RouteKind::Watch : RouteKind::Short,
                             Millis(watch ? 120000 : 100 + Pick(1900)));
    Collect();
  }

  /// Starts what the owner's last event sent.
  void Collect()
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

  void EndOne(TryResult aResult)
  {
    std::vector<std::size_t> mine;
    for (std::size_t i = 0; i < mRunning.size(); ++i) {
      if (mRunning[i].mOwner == mOwner && !mRunning[i].mAbandoned) {
        mine.push_back(i);
      }
    }
    if (mine.empty()) {
      return;
    }
    const std::size_t index = mine[Pick(mine.size())];
    const RequestNumber number = mRunning[index].mNumber;
    if (aResult == TryResult::Answered) {
      mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      mRunning[index].mAbandoned = true; // The runner goes on with it.
    }
    mGateways[mOwner].Event(TryEnded{ number, aResult });
    Collect();
  }

  /// The owner dies, or hands over if nothing is in flight.
  void ChangeOwner()
  {
    const bool quiet = IsQuiescent(mGateways[mOwner].mState, "s", mNow);
    for (Running& running : mRunning) {
      running.mAbandoned = true;
    }
    const std::size_t next = (mOwner + 1) % kOwners;
    // The former owner restarts: its memory of requests is gone.
    mGateways[mOwner] = RoutingFixture(kRunners);
    mGateways[mOwner].mNow = mNow;
    mGateways[mOwner].Event(ShardLost{ "s" });
    mGateways[next].mState.mPending.clear();
    const Acquisition acquisition =
      quiet ? Acquisition::HandOver
            : (Pick(2) == 0 ? Acquisition::Successor : Acquisition::Takeover);
    mOwner = next;
    mGateways[mOwner].Event(
      ShardAcquired{ "s", { ++mEpoch, acquisition, mNow } });
    Collect();
  }

  void Check() const
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

// Guards against more than 8 requests, or 2 watches, at a runner at any
// moment, while connections break and owners die or hand over.
TEST(SlotInvariant, HoldsAcrossRandomOwnerChanges)
{
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U }) {
    World world(seed);
    for (int step = 0; step < 20000; ++step) {
      world.Step();
    }
  }
}
