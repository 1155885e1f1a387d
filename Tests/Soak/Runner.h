#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Dice.h"
#include "Gangs.h"
#include "Http.h"
#include "Record.h"
#include "Store.h"

namespace paddle::soak {

/// What all runners share.
struct RunnerWorld
{
  review::Store& mStore;
  Record& mRecord;
  Gangs& mGangs;
  Dice& mDice;
  /// Whether a late order is also carried out by a process that has restarted.
  bool mOrdersOutliveProcess = false;
};

/// A runner: the platform's interface for it, and the trouble it may have. Its
/// tasks work for the time that their spec states, as "ms=300", and never fail.
/// With a spec as "ms=300 gang=8", they are members of a gang of eight.
class Runner
{
public:
  /// @param aIndex selects its zone
  Runner(std::string aId, int aIndex, RunnerWorld& aWorld);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Trouble of a runner that is up; the times are on the steady clock.
  struct Disruption
  {
    int mDelayPercent = 0; ///< Of the orders are carried out late.
    std::int64_t mDelayUntilMs = 0;
    std::int64_t mSilentUntilMs = 0;      ///< Neither reads nor answers.
    std::int64_t mNoHeartbeatUntilMs = 0; ///< Its entry is not written.
    std::int64_t mLoseAnswersUntilMs = 0; ///< Orders are carried out.
    bool mDraining = false;
    bool mClockSlow = false; ///< By 2%.
  };

  /// @param aText for the record
  /// @param aChange changes the trouble that it has
  void Disrupt(const std::string& aText,
               const std::function<void(Disruption&)>& aChange);
  /// Cuts the power of its host: its process ends, connections stay silent.
  void CutPower();
  /// Starts another process under the same id.
  /// @param aClockBackMs 0, or how far below the former process's `born` the
  ///                     new one is
  void Restart(std::int64_t aClockBackMs);
  /// Ends its process for good; the host then refuses connections.
  /// @param aRemoveEntry whether its entry is removed now, or after three
  ///                     heartbeats
  void Leave(bool aRemoveEntry);
  void ResetConnections();
  [[nodiscard]] const std::string& Id() const { return mId; }

private:
  struct Active
  {
    std::size_t mIndex = 0; ///< In Runs.
    std::int64_t mNumber = 0;
    std::int64_t mWorkMs = 0;
    std::string mGang; ///< Empty: none.
    std::int64_t mStartedMs = 0;
  };
  struct End
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::int64_t mRun = 0;
    std::string mHow;
    std::size_t mIndex = 0; ///< In Runs.
    bool mLapsed = false;   ///< The lease has lapsed since.
  };
  struct Order
  {
    review::Request mRequest;
    std::int64_t mSentMs = 0; ///< When it arrived.
    std::int64_t mBoot = 0;   ///< Of the process at which it arrived.
    bool mLate = false;
  };
  using Lock = std::unique_lock<std::mutex>;

  review::Response Handle(const review::Request& aRequest);
  review::Response CarryOut(const Order& aOrder, Lock& aLock);
  review::Response Start(const Order& aOrder);
  review::Response Stop(const Order& aOrder);
  review::Response Hold(const Order& aOrder, Lock& aLock);
  [[nodiscard]] std::string ListOfRuns() const;
  [[nodiscard]] review::Response Answer(int aStatus,
                                        const std::string& aReason = {}) const;
  /// @return whether the token is not lower than one seen before
  bool TakeToken(std::int64_t aToken);
  void Boot(std::int64_t aBornMs);
  void EndProcess(const char* aHow);
  void Register();
  void Unregister();
  void Work();
  void CarryOutLateOrders(Lock& aLock);
  /// Ends what is done, and everything if the lease has ended.
  void Advance();
  void EndRun(const std::string& aTask,
              const std::string& aHow,
              std::int64_t aAtMs);
  void ExtendLease(std::int64_t aEndMs);
  [[nodiscard]] std::int64_t ClockMs() const;
  /// @return the steady time of a reading of its clock
  [[nodiscard]] std::int64_t SteadyAt(std::int64_t aClockMs) const;
  void Note(const std::string& aText); ///< Records a line about the runner.

  const std::string mId;
  const std::string mZone;
  RunnerWorld& mWorld;
  std::mutex mMutex; ///< Protects the members below.
  std::condition_variable mChanged;
  bool mUp = true;
  bool mLeft = false;
  bool mStopped = false; ///< By the destructor.
  Disruption mTrouble;
  std::int64_t mBootNumber = 0;
  std::map<std::uint64_t, std::int64_t> mBootOfConnection;
  std::uint64_t mLastConnection = 0;
  std::uint64_t mResetUpTo = 0; ///< These connections are reset.
  std::multimap<std::int64_t, Order> mLateOrders; ///< By the time they are due.
  std::int64_t mHeartbeatAtMs = 0;                ///< When it is due.
  std::int64_t mLastHeartbeatMs = 0;
  bool mRegistered = false;
  // What one process knows.
  std::int64_t mBornMs = 0;
  std::int64_t mClockBaseMs = 0;  ///< Reading of its clock at mSteadyBaseMs.
  std::int64_t mSteadyBaseMs = 0; ///< When its rate changed last.
  std::int64_t mToken = 0;
  std::int64_t mLeaseEndMs = 0; ///< On its clock.
  std::int64_t mNextEnd = 1;
  std::map<std::string, Active> mActive; ///< By task.
  std::vector<End> mFinished;
  std::map<std::string, std::int64_t> mHighestEnded; ///< By task.
  std::int64_t mSequence = 0;
  std::unique_ptr<review::Server> mServer;
  std::thread mWorker;
};

} // namespace paddle::soak
