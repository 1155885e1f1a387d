#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Dice.h"
#include "NodeProcess.h"
#include "Options.h"
#include "Record.h"
#include "Runner.h"
#include "StoreGate.h"
#include "Timers.h"

namespace paddle::soak {

/// Brings trouble over the runners, the nodes and the store, at times that are
/// drawn before the play begins.
class Trouble
{
public:
  /// Starts the runners.
  Trouble(const Options& aOptions,
          RunnerWorld& aWorld,
          NodeProcesses& aNodes,
          StoreGate& aStore);

  /// Draws the events, and lets them happen from a time on.
  void Begin(std::int64_t aAtMs);
  void End() { mTimers.Stop(); }

  [[nodiscard]] int Events() const { return mEvents; }
  [[nodiscard]] int NodesEndedThemselves() const { return mNodesEnded; }

private:
  struct Member
  {
    std::unique_ptr<Runner> mRunner;
    bool mDown = false;
    bool mLeaving = false;
  };

  void Draw(const TroubleKind& aKind);
  void Happen(const std::string& aKind);
  void DelayOrders();
  void Silence();
  void CutPower();
  void Reset();
  void ChangeClock();
  void Restart(Member& aMember, std::int64_t aAfterMs, std::int64_t aBackMs);
  void DisturbNode(const std::string& aKind);
  void AwaitEnd(NodeProcess& aNode, std::int64_t aKillAtMs);
  void RestartNode(NodeProcess& aNode);
  void WatchNodes();
  void DisturbStore();
  void Drain();
  void Join(std::int64_t aAfterMs);
  void After(std::int64_t aMs, std::function<void()> aCall);
  /// @return a time of the range, shorter towards the end of the play
  std::int64_t Time(std::int64_t aLow, std::int64_t aHigh);
  /// @return runners that are up and stay, as many as asked for if there are
  std::vector<Member*> Pick(std::size_t aCount);

  const Options& mOptions;
  RunnerWorld& mWorld;
  NodeProcesses& mNodes;
  StoreGate& mStore;
  std::int64_t mEndAtMs = 0;
  // The following is used by the thread of the timers only.
  Dice mDice{ 0 };           ///< Seeded for each event.
  std::uint64_t mTarget = 0; ///< A number that a series of events keeps.
  int mEvents = 0;
  int mNodesEnded = 0;
  int mJoined = 0; ///< Number of runners so far.
  bool mStoreInTrouble = false;
  std::vector<std::unique_ptr<Member>> mMembers;
  Timers mTimers{ 1 };
};

} // namespace paddle::soak
