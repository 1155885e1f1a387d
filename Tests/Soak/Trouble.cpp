#include "Trouble.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <utility>

namespace paddle::soak {

using review::SteadyMs;

namespace {

/// Mean time between two events of a kind while the kind occurs.
const std::map<std::string, std::int64_t> kPauseMs{
  { "late", 3000 },  { "silent", 3000 }, { "power", 3500 }, { "reset", 4500 },
  { "clock", 6000 }, { "stop", 7000 },   { "kill", 9000 },  { "term", 12000 },
  { "hup", 12000 },  { "store", 9000 },  { "drain", 8000 },
};
/// For this long a kind occurs or doesn't, so that kinds overlap in different
/// ways and some of the time is quiet for nodes and store.
constexpr std::int64_t kPhaseMs = 10000;
constexpr int kPhasePercent = 60;
constexpr std::int64_t kTermMs = 6000;
constexpr std::int64_t kWatchMs = 250;
/// Trouble that lasts is over this long after the last event can begin.
constexpr std::int64_t kLastMs = 1000;

} // namespace

Trouble::Trouble(const Options& aOptions,
                 RunnerWorld& aWorld,
                 NodeProcesses& aNodes,
                 StoreGate& aStore,
                 TroubleTimes& aTimes)
  : mOptions(aOptions)
  , mWorld(aWorld)
  , mNodes(aNodes)
  , mStore(aStore)
  , mTimes(aTimes)
{
  for (int i = 0; i < mOptions.mRunners; ++i) {
    Join(0);
  }
}

void
Trouble::Begin(std::int64_t aAtMs)
{
  for (const Event& event : Draw()) {
    mTimers.At(aAtMs + event.mAtMs, [this, event] { Happen(event); });
  }
  mTimers.At(aAtMs, [this] { WatchNodes(); });
}

Trouble::Counts
Trouble::End()
{
  mTimers.Stop();
  return mCounts;
}

void
Trouble::After(std::int64_t aMs, std::function<void()> aCall)
{
  mTimers.At(SteadyMs() + aMs, std::move(aCall));
}

std::vector<Trouble::Event>
Trouble::Draw()
{
  std::vector<Event> events;
  const std::int64_t endMs = mOptions.mSeconds * std::int64_t{ 1000 };
  const bool always = mOptions.mTrouble.size() <= 2;
  for (const std::string& kind : mOptions.mTrouble) {
    const auto pause = kPauseMs.find(kind);
    if (pause == kPauseMs.end()) {
      continue;
    }
    std::int64_t phaseEndsMs = 0;
    bool occurs = false;
    std::int64_t atMs = mWorld.mDice.Between(0, pause->second);
    while (atMs < endMs) {
      if (atMs >= phaseEndsMs) {
        phaseEndsMs = atMs + kPhaseMs;
        occurs = always || mWorld.mDice.Chance(kPhasePercent);
      }
      if (occurs) {
        DrawSeries(kind, atMs, events);
      }
      atMs += mWorld.mDice.Between(1, 2 * pause->second);
    }
  }
  return events;
}

void
Trouble::DrawSeries(const std::string& aKind,
                    std::int64_t aAtMs,
                    std::vector<Event>& aEvents)
{
  Event event{ aKind, aAtMs, {} };
  const std::int64_t count =
    mWorld.mDice.Chance(25) ? mWorld.mDice.Between(2, 4) : 1;
  for (std::int64_t i = 0; i < count; ++i) {
    // The first number selects the target, which a series keeps.
    for (std::size_t j = i == 0 ? 0 : 1; j < event.mDrawn.size(); ++j) {
      event.mDrawn[j] = mWorld.mDice.Between(0, 9999);
    }
    aEvents.push_back(event);
    event.mAtMs += mWorld.mDice.Between(300, 3000);
  }
}

void
Trouble::Happen(const Event& aEvent)
{
  ++mCounts.mEvents;
  static const std::map<std::string, void (Trouble::*)(const Event&)> kEvents{
    { "late", &Trouble::DelayOrders },  { "silent", &Trouble::Silence },
    { "power", &Trouble::CutPower },    { "reset", &Trouble::Reset },
    { "clock", &Trouble::ChangeClock }, { "stop", &Trouble::DisturbNode },
    { "kill", &Trouble::DisturbNode },  { "term", &Trouble::DisturbNode },
    { "hup", &Trouble::DisturbNode },   { "store", &Trouble::DisturbStore },
    { "drain", &Trouble::Drain },
  };
  // Trouble does not outlast the play's time of trouble by much.
  Event event = aEvent;
  event.mAtMs = std::max<std::int64_t>(
    300, mOptions.mSeconds * std::int64_t{ 1000 } + kLastMs - aEvent.mAtMs);
  (this->*kEvents.at(event.mKind))(event);
}

std::vector<Trouble::Member*>
Trouble::Pick(std::int64_t aDrawn, std::size_t aCount)
{
  std::vector<Member*> members;
  for (const std::unique_ptr<Member>& member : mMembers) {
    if (!member->mDown && !member->mLeaving) {
      members.push_back(member.get());
    }
  }
  if (members.empty()) {
    return members;
  }
  const std::size_t first =
    static_cast<std::size_t>(aDrawn) * members.size() / 10000;
  std::rotate(members.begin(),
              members.begin() + static_cast<std::ptrdiff_t>(first),
              members.end());
  members.resize(std::min(members.size(), aCount));
  return members;
}

void
Trouble::DelayOrders(const Event& aEvent)
{
  const std::size_t count = aEvent.Chance(1, 50)   ? 1
                            : aEvent.Chance(1, 75) ? 4
                                                   : mMembers.size();
  for (Member* member : Pick(aEvent.mDrawn[0], count)) {
    member->mRunner->DelayOrders(
      std::min(aEvent.mAtMs, aEvent.Of(2, 1000, 5000)),
      static_cast<int>(aEvent.Of(3, 10, count == 1 ? 100 : 70)));
  }
}

void
Trouble::Silence(const Event& aEvent)
{
  for (Member* member : Pick(aEvent.mDrawn[0], aEvent.Chance(1, 20) ? 3 : 1)) {
    const std::int64_t forMs = std::min(
      aEvent.mAtMs, aEvent.Of(2, 300, aEvent.Chance(5, 50) ? 2500 : 9000));
    if (aEvent.Chance(3, 65)) {
      member->mRunner->FallSilent(forMs, aEvent.Chance(4, 60));
    } else {
      member->mRunner->LoseAnswers(forMs);
    }
  }
}

void
Trouble::CutPower(const Event& aEvent)
{
  const std::int64_t downMs =
    aEvent.Of(2, 100, aEvent.Chance(3, 50) ? 800 : 3000);
  for (Member* member : Pick(aEvent.mDrawn[0], aEvent.Chance(4, 15) ? 3 : 1)) {
    if (aEvent.Chance(1, 60)) {
      member->mDown = true;
      member->mRunner->CutPower();
      After(downMs, [member] {
        member->mRunner->Restart(0);
        member->mDown = false;
      });
    } else {
      // Back under another id, or gone while another runner joins: the entry of
      // the old id stays for three heartbeats.
      member->mLeaving = true;
      member->mRunner->Leave(false);
      Join(downMs);
    }
  }
}

void
Trouble::Reset(const Event& aEvent)
{
  if (aEvent.Chance(1, 30)) {
    mWorld.mRecord.Write("store", "connections of the store reset");
    mTimes.Begin("store");
    mTimes.End("store");
    mStore.ResetConnections();
    return;
  }
  for (Member* member :
       Pick(aEvent.mDrawn[0], aEvent.Chance(2, 20) ? mMembers.size() : 1)) {
    member->mRunner->ResetConnections();
  }
}

void
Trouble::ChangeClock(const Event& aEvent)
{
  for (Member* member : Pick(aEvent.mDrawn[0], 1)) {
    if (aEvent.Chance(1, 50)) {
      member->mRunner->ToggleClock();
      continue;
    }
    member->mDown = true;
    member->mRunner->CutPower();
    After(aEvent.Of(2, 100, 1000), [member, aEvent] {
      member->mRunner->Restart(aEvent.Of(3, 1, 2000));
      member->mDown = false;
    });
  }
}

void
Trouble::Terminate(NodeProcess& aNode, std::int64_t aPauseMs)
{
  const std::int64_t killAtMs = SteadyMs() + kTermMs;
  aNode.Signal(SIGTERM);
  const auto await = [this, &aNode, aPauseMs, killAtMs](auto aAgain) -> void {
    if (!aNode.HasEnded()) {
      if (SteadyMs() < killAtMs) {
        After(50, [aAgain] { aAgain(aAgain); });
        return;
      }
      mWorld.mRecord.Write("nodes", aNode.Name() + " killed after SIGTERM");
      aNode.Kill();
    }
    RestartNode(aNode, aPauseMs);
  };
  await(await);
}

void
Trouble::RestartNode(NodeProcess& aNode, std::int64_t aAfterMs)
{
  After(aAfterMs, [this, &aNode] {
    mWorld.mRecord.Write("nodes", aNode.Name() + " started again");
    aNode.Start();
    aNode.mInTrouble = false;
    mTimes.End(aNode.Name());
  });
}

void
Trouble::DisturbNode(const Event& aEvent)
{
  const auto count = static_cast<std::int64_t>(mNodes.size());
  std::int64_t first = aEvent.Of(0, 0, count - 1);
  // Half of the events meet a node that owns a shard.
  const std::string owner = mStore.NewestOwner();
  for (std::int64_t i = 0; i < count && aEvent.Chance(4, 50); ++i) {
    first = mNodes[static_cast<std::size_t>(i)]->Name() == owner ? i : first;
  }
  const bool isHup = aEvent.mKind == "hup";
  for (std::int64_t i = 0; i < count; ++i) {
    NodeProcess& node = *mNodes[static_cast<std::size_t>((first + i) % count)];
    if (node.mInTrouble) {
      continue;
    }
    mTimes.Begin(node.Name());
    mWorld.mRecord.Write("nodes", node.Name() + " gets " + aEvent.mKind);
    node.mInTrouble = !isHup;
    const std::int64_t pauseMs = aEvent.Of(1, 100, 4000);
    if (isHup) {
      node.Signal(SIGHUP);
      mTimes.End(node.Name());
    } else if (aEvent.mKind == "kill") {
      node.Kill();
      RestartNode(node, pauseMs);
    } else if (aEvent.mKind == "term") {
      Terminate(node, pauseMs);
    } else {
      node.Signal(SIGSTOP);
      After(std::min(aEvent.mAtMs, aEvent.Of(2, 500, 8000)), [this, &node] {
        node.Signal(SIGCONT);
        node.mInTrouble = false;
        mTimes.End(node.Name());
        mWorld.mRecord.Write("nodes", node.Name() + " continues");
      });
    }
    return;
  }
}

void
Trouble::DisturbStore(const Event& aEvent)
{
  if (mStoreInTrouble) {
    return;
  }
  constexpr std::array kKinds{
    std::pair{ StoreTrouble::Silent, "silent" },
    std::pair{ StoreTrouble::Unavailable, "unavailable" },
    std::pair{ StoreTrouble::LosesWrites, "losing answers to writes" },
    std::pair{ StoreTrouble::Slow, "slow" }
  };
  const auto& [trouble, text] = kKinds[static_cast<std::size_t>(
    aEvent.Of(1, 0, static_cast<std::int64_t>(kKinds.size()) - 1))];
  mStoreInTrouble = true;
  mTimes.Begin("store");
  mStore.SetTrouble(trouble);
  mWorld.mRecord.Write("store", std::string("the store is ") + text);
  After(std::min(aEvent.mAtMs, aEvent.Of(2, 500, 8000)), [this] {
    mStore.SetTrouble(StoreTrouble::None);
    mStoreInTrouble = false;
    mTimes.End("store");
    mWorld.mRecord.Write("store", "the store is well");
  });
}

void
Trouble::Drain(const Event& aEvent)
{
  for (Member* member : Pick(aEvent.mDrawn[0], 1)) {
    member->mLeaving = true;
    member->mRunner->Drain();
    After(aEvent.Of(1, 1000, 6000), [this, member, aEvent] {
      member->mRunner->Leave(true);
      Join(aEvent.Of(2, 0, 2000));
    });
  }
}

void
Trouble::Join(std::int64_t aAfterMs)
{
  const auto join = [this] {
    ++mJoined;
    auto member = std::make_unique<Member>();
    member->mRunner =
      std::make_unique<Runner>("i-" + std::to_string(mJoined), mJoined, mWorld);
    mWorld.mRecord.Write(member->mRunner->Id(),
                         member->mRunner->Id() + " joins");
    mMembers.push_back(std::move(member));
  };
  if (aAfterMs == 0) {
    join();
  } else {
    After(aAfterMs, join);
  }
}

void
Trouble::WatchNodes()
{
  for (const std::unique_ptr<NodeProcess>& node : mNodes) {
    if (!node->mInTrouble && node->HasEnded()) {
      ++mCounts.mNodesEndedThemselves;
      mWorld.mRecord.Write("nodes", node->Name() + " has ended by itself");
      mTimes.Begin(node->Name());
      node->mInTrouble = true;
      RestartNode(*node, 500);
    }
  }
  After(kWatchMs, [this] { WatchNodes(); });
}

} // namespace paddle::soak
