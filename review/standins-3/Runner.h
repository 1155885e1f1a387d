#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Http.h"
#include "Store.h"

namespace review {

/// What the stand-ins have seen, and what record.txt shows.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& aLine);

private:
  std::mutex mMutex;
  std::int64_t mBeginMs = SteadyMs();
  std::FILE* mFile;
};

/// One run of a task, as its runner has seen it.
struct Run
{
  std::string mRunner;
  std::string mTask;
  std::int64_t mNumber = 0;
  std::int64_t mStartedMs = 0;
  std::int64_t mEndedMs = 0; ///< 0: it has not ended.
  std::string mHow;          ///< How it ended; "crashed" with its runner.
  /// When `last_seen` reached its end; 0: it did not, or the lease lapsed in
  /// between.
  std::int64_t mNotedMs = 0;
};

/// All runs on all runners, in the order of their starts.
class Runs
{
public:
  std::size_t Begin(const std::string& aRunner,
                    const std::string& aTask,
                    std::int64_t aNumber);
  void End(std::size_t aIndex, const std::string& aHow);
  void Note(std::size_t aIndex);
  [[nodiscard]] std::vector<Run> All();
  [[nodiscard]] std::size_t Count();

private:
  std::mutex mMutex;
  std::vector<Run> mRuns;
};

/// The gangs whose members are on the runners.
class Gangs
{
public:
  /// @param aGang identifies a run of a gang
  void Join(const std::string& aGang, std::int64_t aSize);
  void Leave(const std::string& aGang);
  /// @return when all members were present first; 0: they never were
  [[nodiscard]] std::int64_t CompleteMs(const std::string& aGang);

private:
  struct Gang
  {
    std::int64_t mPresent = 0;
    std::int64_t mCompleteMs = 0;
  };
  std::mutex mMutex;
  std::map<std::string, Gang> mGangs;
};

/// A runner with the interface that PROTOCOL.md describes. Tasks work for the
/// time that their spec states, as "ms=300". A task never fails. With a spec as
/// "ms=300 gang=8", they are a gang of eight, which works while all are there.
class Runner
{
public:
  /// What becomes of an order before it is carried out.
  struct Lateness
  {
    bool mLate = false; ///< It gets no answer.
    std::int64_t mDelayMs = 0;
  };
  /// Decides on an order.
  using Disruption = std::function<Lateness(const Request&)>;

  /// @param aLabel its first label
  Runner(std::string aId,
         std::string aLabel,
         Store& aStore,
         Runs& aRuns,
         Gangs& aGangs,
         Record& aRecord);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  void Disrupt(Disruption aDisruption);
  /// Sets the time that an order and its answer take on the way together.
  void SetRoundTrip(std::int64_t aMs) { mRoundTripMs = aMs; }
  /// Cuts the power of the runner's host for a time. Connections stay silent,
  /// and are reset when something arrives on them after the host is back. The
  /// runner then starts again under the same id.
  void LosePower(std::int64_t aForMs);
  /// Cuts the power of the runner's host for good. Its entry is removed after
  /// three ping intervals.
  void LosePowerForGood();
  [[nodiscard]] const std::string& Id() const { return mId; }

private:
  struct Active
  {
    std::size_t mIndex = 0; ///< In mRuns.
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
    std::size_t mIndex = 0; ///< In mRuns.
  };

  Response Handle(const Request& aRequest);
  /// Carries out an order, for whose boot the caller has checked.
  Response CarryOut(const Request& aRequest, std::unique_lock<std::mutex>&);
  Response Start(const std::string& aBody);
  Response Stop(const std::string& aBody);
  Response Hold(const std::string& aBody, std::unique_lock<std::mutex>& aLock);
  Response Answer(int aStatus, const std::string& aReason = {}) const;
  void Boot();
  void Register();
  /// Ends what is done, and everything once the lease has ended.
  void Work();
  void EndRun(const std::string& aTask, const std::string& aHow);
  void ExtendLease(std::int64_t aEndMs);
  [[nodiscard]] std::int64_t ClockMs() const;

  void CutPower();

  std::string mId;
  std::string mLabel;
  Store& mStore;
  Runs& mRuns;
  Gangs& mGangs;
  Record& mRecord;
  std::atomic<std::int64_t> mRoundTripMs = 0;
  std::mutex mMutex; ///< Protects the members below.
  std::condition_variable mEnded;
  bool mUp = true;
  bool mStopped = false;
  std::int64_t mBootNumber = 0;
  std::int64_t mRegisterAtMs = 0; ///< When the next heartbeat is due.
  std::map<std::uint64_t, std::int64_t> mBootOfConnection;
  Disruption mDisruption;
  std::vector<std::thread> mLateOrders;
  // What one boot knows.
  std::int64_t mBornMs = 0;
  std::int64_t mClockZeroMs = 0;
  std::int64_t mToken = 0;
  std::int64_t mLeaseEndMs = 0; ///< On its clock.
  bool mLapsed = false;         ///< Since the oldest end that is listed.
  std::int64_t mNextEnd = 1;
  std::map<std::string, Active> mActive; ///< By task.
  std::vector<End> mFinished;
  std::map<std::string, std::int64_t> mHighestEnded; ///< By task.
  std::int64_t mSequence = 0;
  std::unique_ptr<Server> mServer;
  std::thread mWorker;
};

} // namespace review
