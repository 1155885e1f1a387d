#include "Trouble.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace paddle::soak {

using review::SteadyMs;

namespace {

/// For this long a kind occurs or doesn't, so that kinds overlap in different
/// ways and some of the time is quiet for nodes and store.
constexpr std::int64_t kPhaseMs = 10000;
constexpr int kPhasePercent = 60;
constexpr std::int64_t kTermMs = 6000;
constexpr std::int64_t kWatchMs = 250;

} // namespace

Trouble::Trouble(const Options& aOptions,
                 RunnerWorld& aWorld,
                 NodeProcesses& aNodes,
                 StoreGate& aStore)
  : mOptions(aOptions)
  , mWorld(aWorld)
  , mNodes(aNodes)
  , mStore(aStore)
{
  for (int i = 0; i < mOptions.mRunners; ++i) {
    Join(0);
  }
}

void
Trouble::Begin(std::int64_t aAtMs)
{
  mEndAtMs = aAtMs + mOptions.mSeconds * std::int64_t{ 1000 };
  for (const TroubleKind& kind : kTroubleKinds) {
    if (kind.mPauseMs > 0 && std::count(mOptions.mTrouble.begin(),
                                        mOptions.mTrouble.end(),
                                        kind.mName) > 0) {
      Draw(kind);
    }
  }
  mTimers.At(aAtMs, [this] { WatchNodes(); });
}

void
Trouble::Draw(const TroubleKind& aKind)
{
  Dice& dice = mWorld.mDice;
  const std::int64_t pauseMs = aKind.mPauseMs;
  const bool always = mOptions.mTrouble.size() <= 2;
  bool occurs = false;
  std::int64_t phaseEndsMs = 0;
  std::int64_t atMs = mEndAtMs - mOptions.mSeconds * std::int64_t{ 1000 } +
                      dice.Between(0, pauseMs);
  for (; atMs < mEndAtMs; atMs += dice.Between(1, 2 * pauseMs)) {
    if (atMs >= phaseEndsMs) {
      phaseEndsMs = atMs + kPhaseMs;
      occurs = always || dice.Chance(kPhasePercent);
    }
    const std::int64_t target = dice.Between(0, INT32_MAX);
    const std::int64_t count = dice.Chance(25) ? dice.Between(2, 4) : 1;
    std::int64_t eventMs = atMs;
    for (std::int64_t i = 0; i < count && occurs; ++i) {
      const std::int64_t seed = dice.Between(0, INT32_MAX);
      mTimers.At(eventMs, [this, &aKind, target, seed] {
        mTarget = static_cast<std::uint64_t>(target);
        mDice.Seed(static_cast<std::uint64_t>(seed));
        Happen(aKind.mName);
      });
      eventMs += dice.Between(300, 3000);
    }
  }
}

void
Trouble::Happen(const std::string& aKind)
{
  ++mEvents;
  if (aKind == "late") {
    DelayOrders();
  } else if (aKind == "silent") {
    Silence();
  } else if (aKind == "power") {
    CutPower();
  } else if (aKind == "reset") {
    Reset();
  } else if (aKind == "clock") {
    ChangeClock();
  } else if (aKind == "store") {
    DisturbStore();
  } else if (aKind == "drain") {
    Drain();
  } else {
    DisturbNode(aKind);
  }
}

void
Trouble::After(std::int64_t aMs, std::function<void()> aCall)
{
  mTimers.At(SteadyMs() + aMs, std::move(aCall));
}

std::int64_t
Trouble::Time(std::int64_t aLow, std::int64_t aHigh)
{
  const std::int64_t drawn =
    mDice.Between(aLow, mDice.Chance(50) ? aHigh : (aLow + aHigh) / 3);
  return std::min(drawn, std::max(aLow, mEndAtMs + 1000 - SteadyMs()));
}

std::vector<Trouble::Member*>
Trouble::Pick(std::size_t aCount)
{
  std::vector<Member*> members;
  for (const std::unique_ptr<Member>& member : mMembers) {
    if (!member->mDown && !member->mLeaving) {
      members.push_back(member.get());
    }
  }
  if (!members.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(mTarget % members.size());
    std::rotate(members.begin(), members.begin() + first, members.end());
  }
  members.resize(std::min(members.size(), aCount));
  return members;
}

void
Trouble::DelayOrders()
{
  const std::size_t count =
    mDice.Chance(50) ? 1 : (mDice.Chance(50) ? 4 : mMembers.size());
  const std::int64_t forMs = Time(1000, 5000);
  const auto percent =
    static_cast<int>(mDice.Between(10, count == 1 ? 100 : 70));
  for (Member* member : Pick(count)) {
    member->mRunner->Disrupt("delays " + std::to_string(percent) +
                               "% of the orders for " + std::to_string(forMs) +
                               " ms",
                             [&](Runner::Disruption& aDisruption) {
                               aDisruption.mDelayPercent = percent;
                               aDisruption.mDelayUntilMs = SteadyMs() + forMs;
                             });
  }
}

void
Trouble::Silence()
{
  const std::int64_t forMs = Time(300, 9000);
  const std::string text = " for " + std::to_string(forMs) + " ms";
  for (Member* member : Pick(mDice.Chance(20) ? 3 : 1)) {
    const std::int64_t untilMs = SteadyMs() + forMs;
    if (mDice.Chance(35)) {
      member->mRunner->Disrupt("loses its answers" + text,
                               [&](Runner::Disruption& aDisruption) {
                                 aDisruption.mLoseAnswersUntilMs = untilMs;
                               });
      continue;
    }
    const bool heartbeats = mDice.Chance(60);
    member->mRunner->Disrupt(
      "silent" + text + (heartbeats ? "" : ", without heartbeats"),
      [&](Runner::Disruption& aDisruption) {
        aDisruption.mSilentUntilMs = untilMs;
        aDisruption.mNoHeartbeatUntilMs = heartbeats ? 0 : untilMs;
      });
  }
}

void
Trouble::Restart(Member& aMember, std::int64_t aAfterMs, std::int64_t aBackMs)
{
  aMember.mDown = true;
  aMember.mRunner->CutPower();
  After(aAfterMs, [&aMember, aBackMs] {
    aMember.mRunner->Restart(aBackMs);
    aMember.mDown = false;
  });
}

void
Trouble::CutPower()
{
  const std::int64_t downMs = Time(100, 3000);
  const bool back = mDice.Chance(60);
  for (Member* member : Pick(mDice.Chance(15) ? 3 : 1)) {
    if (back) {
      Restart(*member, downMs, 0);
      continue;
    }
    // Back under another id, or gone while another runner joins: the entry of
    // the old id stays for three heartbeats.
    member->mLeaving = true;
    member->mRunner->Leave(false);
    Join(downMs);
  }
}

void
Trouble::Reset()
{
  if (mDice.Chance(30)) {
    mWorld.mRecord.Write("store", "connections of the store reset");
    mWorld.mRecord.BeginTrouble("store");
    mWorld.mRecord.EndTrouble("store");
    mStore.ResetConnections();
    return;
  }
  for (Member* member : Pick(mDice.Chance(20) ? mMembers.size() : 1)) {
    member->mRunner->ResetConnections();
  }
}

void
Trouble::ChangeClock()
{
  const bool setBack = mDice.Chance(50);
  for (Member* member : Pick(1)) {
    if (setBack) {
      Restart(*member, Time(100, 1000), mDice.Between(1, 2000));
      continue;
    }
    member->mRunner->Disrupt("clock becomes 2% slow, or right again",
                             [](Runner::Disruption& aDisruption) {
                               aDisruption.mClockSlow = !aDisruption.mClockSlow;
                             });
  }
}

void
Trouble::DisturbNode(const std::string& aKind)
{
  // Half of the events meet a node that owns a shard.
  const std::string owner =
    mDice.Chance(50) ? mStore.NewestOwner() : std::string();
  NodeProcess* node = mNodes[mTarget % mNodes.size()].get();
  for (const std::unique_ptr<NodeProcess>& other : mNodes) {
    node = other->Name() == owner ? other.get() : node;
  }
  if (node->mInTrouble) {
    return;
  }
  mWorld.mRecord.BeginTrouble(node->Name());
  mWorld.mRecord.Write("nodes", node->Name() + " gets " + aKind);
  if (aKind == "hup") {
    node->Signal(SIGHUP);
    mWorld.mRecord.EndTrouble(node->Name());
    return;
  }
  node->mInTrouble = true;
  if (aKind == "kill") {
    node->Kill();
    RestartNode(*node);
  } else if (aKind == "term") {
    node->Signal(SIGTERM);
    AwaitEnd(*node, SteadyMs() + kTermMs);
  } else {
    node->Signal(SIGSTOP);
    After(Time(500, 8000), [this, node] {
      node->Signal(SIGCONT);
      node->mInTrouble = false;
      mWorld.mRecord.EndTrouble(node->Name());
      mWorld.mRecord.Write("nodes", node->Name() + " continues");
    });
  }
}

void
Trouble::AwaitEnd(NodeProcess& aNode, std::int64_t aKillAtMs)
{
  if (!aNode.HasEnded() && SteadyMs() < aKillAtMs) {
    After(50, [this, &aNode, aKillAtMs] { AwaitEnd(aNode, aKillAtMs); });
    return;
  }
  aNode.Kill();
  RestartNode(aNode);
}

void
Trouble::RestartNode(NodeProcess& aNode)
{
  After(Time(100, 4000), [this, &aNode] {
    mWorld.mRecord.Write("nodes", aNode.Name() + " started again");
    aNode.Start();
    aNode.mInTrouble = false;
    mWorld.mRecord.EndTrouble(aNode.Name());
  });
}

void
Trouble::WatchNodes()
{
  for (const std::unique_ptr<NodeProcess>& node : mNodes) {
    if (!node->mInTrouble && node->HasEnded()) {
      ++mNodesEnded;
      mWorld.mRecord.Write("nodes", node->Name() + " has ended by itself");
      mWorld.mRecord.BeginTrouble(node->Name());
      node->mInTrouble = true;
      RestartNode(*node);
    }
  }
  After(kWatchMs, [this] { WatchNodes(); });
}

void
Trouble::DisturbStore()
{
  if (mStoreInTrouble) {
    return;
  }
  const auto trouble = static_cast<StoreTrouble>(mDice.Between(1, 4));
  mStoreInTrouble = true;
  mWorld.mRecord.BeginTrouble("store");
  mWorld.mRecord.Write("store", std::string("the store is ") + TextOf(trouble));
  mStore.SetTrouble(trouble);
  After(Time(500, 8000), [this] {
    mStore.SetTrouble(StoreTrouble::None);
    mStoreInTrouble = false;
    mWorld.mRecord.EndTrouble("store");
    mWorld.mRecord.Write("store", "the store is well");
  });
}

void
Trouble::Drain()
{
  for (Member* member : Pick(1)) {
    member->mLeaving = true;
    member->mRunner->Disrupt("draining", [](Runner::Disruption& aDisruption) {
      aDisruption.mDraining = true;
    });
    After(Time(1000, 6000), [this, member, joinMs = mDice.Between(0, 2000)] {
      member->mRunner->Leave(true);
      Join(joinMs);
    });
  }
}

void
Trouble::Join(std::int64_t aAfterMs)
{
  if (aAfterMs > 0) {
    After(aAfterMs, [this] { Join(0); });
    return;
  }
  const std::string id = "i-" + std::to_string(++mJoined);
  mWorld.mRecord.Write(id, id + " joins");
  mMembers.push_back(std::make_unique<Member>());
  mMembers.back()->mRunner = std::make_unique<Runner>(id, mJoined, mWorld);
}

} // namespace paddle::soak
