#pragma once

#include <array>
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

/// Brings trouble over the runners, the nodes and the store, as it is drawn
/// from the dice before the play begins.
class Trouble
{
public:
  struct Counts
  {
    int mEvents = 0;
    int mNodesEndedThemselves = 0;
  };

  /// Starts the runners.
  Trouble(const Options& aOptions,
          RunnerWorld& aWorld,
          NodeProcesses& aNodes,
          StoreGate& aStore,
          TroubleTimes& aTimes);

  /// Draws the events, and lets them happen from a time on.
  void Begin(std::int64_t aAtMs);
  Counts End();

private:
  /// An event, with numbers from 0 to 9999 from which its details follow.
  struct Event
  {
    std::string mKind;
    std::int64_t mAtMs = 0; ///< After the begin of the trouble.
    std::array<std::int64_t, 6> mDrawn{};

    /// @return a number of the range, by the drawn number at the index
    [[nodiscard]] std::int64_t Of(std::size_t aIndex,
                                  std::int64_t aLow,
                                  std::int64_t aHigh) const
    {
      return aLow + mDrawn[aIndex] * (aHigh - aLow + 1) / 10000;
    }
    [[nodiscard]] bool Chance(std::size_t aIndex, int aPercent) const
    {
      return mDrawn[aIndex] < aPercent * 100;
    }
  };
  struct Member
  {
    std::unique_ptr<Runner> mRunner;
    bool mDown = false;
    bool mLeaving = false;
  };

  [[nodiscard]] std::vector<Event> Draw();
  void DrawSeries(const std::string& aKind,
                  std::int64_t aAtMs,
                  std::vector<Event>& aEvents);
  void Happen(const Event& aEvent);
  void DelayOrders(const Event& aEvent);
  void Silence(const Event& aEvent);
  void CutPower(const Event& aEvent);
  void Reset(const Event& aEvent);
  void ChangeClock(const Event& aEvent);
  void DisturbNode(const Event& aEvent);
  void Terminate(NodeProcess& aNode, std::int64_t aPauseMs);
  void RestartNode(NodeProcess& aNode, std::int64_t aAfterMs);
  void DisturbStore(const Event& aEvent);
  void Drain(const Event& aEvent);
  void Join(std::int64_t aAfterMs);
  void WatchNodes();
  /// @return runners that are up and stay, as many as asked for if there are
  std::vector<Member*> Pick(std::int64_t aDrawn, std::size_t aCount);
  void After(std::int64_t aMs, std::function<void()> aCall);

  const Options& mOptions;
  RunnerWorld& mWorld;
  NodeProcesses& mNodes;
  StoreGate& mStore;
  TroubleTimes& mTimes;
  Counts mCounts;
  int mJoined = 0; ///< Number of runners that have joined so far.
  bool mStoreInTrouble = false;
  std::vector<std::unique_ptr<Member>> mMembers;
  Timers mTimers{ 1 }; ///< All of the above is used by its thread only.
};

} // namespace paddle::soak
