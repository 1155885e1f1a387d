#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <LibLeaseCore/LeaseCore.h>
#include <StandIns/Platform/MemoryTable.h>

namespace paddle {

/// Virtual time since the start of a simulation.
using VirtualTime = std::chrono::microseconds;

struct LeaseSimulationSettings
{
  std::uint64_t mSeed = 1;
  LeaseTimes mTimes;
  unsigned mShards = 6;
  /// Share of writes whose answer is lost, and of writes that arrive only after
  /// the call of the sender has timed out.
  unsigned mLostAnswersPerMille = 0;
  unsigned mLateWritesPerMille = 0;
};

/// Simulates several processes that make lease decisions with one table, in
/// virtual time. The clock of each process has its own rate and offset. After
/// each event the simulation checks that no shard has two valid owners and that
/// no epoch decreases.
class LeaseSimulation
{
public:
  explicit LeaseSimulation(LeaseSimulationSettings aSettings);

  /// Starts a process, which may have been killed before.
  void Start(const std::string& aName,
             const std::string& aDataCentre = "dc-1",
             const std::string& aRegion = "r1");
  void Kill(const std::string& aName);
  /// Starts a killed process again in its data centre.
  void Restart(const std::string& aName);
  /// Freezes a process for a time, as a stopped virtual machine would be.
  void Pause(const std::string& aName, VirtualTime aDuration);
  /// Begins an orderly stop of a process.
  void Leave(const std::string& aName);

  /// Makes the store unavailable to all processes, or available again.
  void SetOutage(bool aOn) { mOutage = aOn; }
  /// Sets the time that a call of the store takes, or that passes until a call
  /// fails in an outage; random by default.
  void SetStoreCallTime(VirtualTime aTime) { mStoreCallTime = aTime; }
  /// Separates a process from the store, or connects it again.
  void PartitionFromStore(const std::string& aName, bool aPartitioned);
  /// Separates two processes from each other, or connects them again.
  void PartitionPeers(const std::string& aOne,
                      const std::string& aOther,
                      bool aPartitioned);
  void SetWriteFaults(unsigned aLostAnswersPerMille,
                      unsigned aLateWritesPerMille);
  /// Writes the release row of a process, as an operator does when its host is
  /// gone.
  void Release(const std::string& aName);

  void RunFor(VirtualTime aDuration);

  [[nodiscard]] bool IsAlive(const std::string& aName) const;
  /// @return names of the processes that own the shard at this moment
  std::vector<std::string> OwnersOf(const std::string& aShard) const;
  /// @return number of shards that the process owns at this moment
  int OwnedBy(const std::string& aName) const;
  /// @return number of shards that any process owns at this moment
  int TotalOwned() const;
  /// @return the shard as its owner holds it
  std::optional<HeldShard> HeldShardOf(const std::string& aShard) const;
  [[nodiscard]] const LeaseState& StateOf(const std::string& aName) const;
  TableCounters Counters() const { return mTable.Counters(); }
  std::uint64_t Random(std::uint64_t aBelow) { return mRandom() % aBelow; }

  /// @return the first violation that a check found, or an empty text
  [[nodiscard]] const std::string& Violation() const { return mViolation; }

private:
  struct Process
  {
    std::string mDataCentre;
    std::string mRegion;
    LeaseState mState;
    bool mAlive = false;
    /// Number of starts. Events from before the last start are dropped.
    unsigned mStartCount = 0;
    double mRate = 1;
    VirtualTime mOffset{ 0 };
    VirtualTime mPausedUntil{ 0 };
    bool mPartitionedFromStore = false;
  };

  struct Event
  {
    VirtualTime mTime;
    std::uint64_t mOrder;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mTime, mOrder) > std::pair(aOther.mTime, aOther.mOrder);
    }
  };

  MonotonicTime LocalTime(const Process& aProcess) const;
  VirtualTime NetworkDelay();
  VirtualTime StoreDelay();
  VirtualTime FailureDelay();
  void RunAt(VirtualTime aTime, std::function<void()> aRun);
  /// Runs a function in a process at a time: later if the process is paused
  /// then, and never if it has died.
  void RunInProcess(const std::string& aName,
                    VirtualTime aTime,
                    std::function<void()> aRun);
  void RunNextAction(const std::string& aName);
  void RunNextActionAfterTick(const std::string& aName);
  void Send(const std::string& aName, const LeaseAction& aAction);
  void SendWrite(const std::string& aName, const WriteLeaseRows& aAction);
  void SendRead(const std::string& aName, const ReadLeaseRows& aAction);
  void SendPromise(const std::string& aName, const AskPromise& aAction);
  bool StoreReachable(const std::string& aName) const;
  void CheckAllShards();
  void CheckShard(const std::string& aShard);

  LeaseSimulationSettings mSettings;
  std::mt19937_64 mRandom;
  MemoryTable mTable;
  VirtualTime mNow{ 0 };
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Event> mEvents;
  std::map<std::string, Process> mProcesses;
  std::set<std::pair<std::string, std::string>> mPartitionedPeers;
  std::vector<ShardPlace> mShardPlaces;
  std::map<std::string, std::uint64_t> mHighestEpochs;
  bool mOutage = false;
  std::optional<VirtualTime> mStoreCallTime;
  /// A process has changed its state since the last check. Without a change,
  /// ownership can only end, so that no check is needed.
  bool mStateChanged = false;
  std::string mViolation;
};

} // namespace paddle
