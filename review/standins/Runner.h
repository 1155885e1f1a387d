#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "Http.h"
#include "Store.h"

namespace review {

/// Writes what was sent, answered and run, with the time since the beginning.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Write(const std::string& aLine);
  /// @return milliseconds since the beginning
  [[nodiscard]] std::int64_t NowMs() const;

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
  Clock::time_point mBegin = Clock::now();
};

/// One run of a task on a runner, as the runner saw it.
struct Run
{
  std::string mTask;
  std::string mRunner;
  std::int64_t mNumber = 0;
  std::int64_t mBeganMs = 0;  ///< On the record's clock.
  std::int64_t mEndedMs = -1; ///< -1: it is at work.
  std::string mHow;
  std::int64_t mNotedMs = -1; ///< When last_seen reached its end; -1: never.
};

/// All runs of all runners.
class Runs
{
public:
  std::shared_ptr<Run> Begin(Run aRun);
  /// @return copies of the runs of a submission, in the order of their starts
  std::vector<Run> Of(const std::string& aSubmission);
  void Change(const std::function<void()>& aChange);

private:
  std::mutex mMutex;
  std::vector<std::shared_ptr<Run>> mRuns;
};

/// A runner of the platform. What a task does is in the spec of its submission:
/// "work=MS end=done|failed", or "lasting"; "workN=MS" is for step N only.
class Runner
{
public:
  struct Spec
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    std::string mRack;
    std::string mKind;
    Ms mDelay{ 0 }; ///< Of the answers to hold: a round trip.
  };
  /// Decides whether a start gets no answer and is carried out later; 0: no.
  using LateHook = std::function<Ms(const Runner&, const std::string& aTask)>;

  Runner(Spec aSpec, Store& aStore, Runs& aRuns, Record& aRecord);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Starts a new process of the runner at the same address, under the same id.
  void Boot();
  /// The process ends at once, with all that it runs.
  void Crash();
  void SetLate(LateHook aHook);
  [[nodiscard]] const std::string& Id() const { return mSpec.mId; }
  [[nodiscard]] std::string Address() const;

private:
  struct Active
  {
    std::shared_ptr<Run> mRun;
    Clock::time_point mEndsAt;
    std::string mEnd;
    bool mLasting = false;
  };
  struct End
  {
    std::int64_t mNumber = 0;
    std::shared_ptr<Run> mRun;
  };

  Response Handle(const Request& aRequest);
  Response Start(const std::string& aBody);
  Response Stop(const std::string& aBody);
  Response Hold(const std::string& aBody);
  /// Ends what is due: runs whose work is done, and all when the lease ends.
  void Tick();
  void EndRun(std::list<Active>::iterator aActive, const std::string& aHow);
  void Register();
  [[nodiscard]] std::int64_t ClockMs() const;

  Spec mSpec;
  Store& mStore;
  Runs& mRuns;
  Record& mRecord;
  std::unique_ptr<HttpServer> mServer;
  int mPort = 0;
  std::mutex mMutex;
  std::condition_variable mEnded;
  LateHook mLate;
  bool mUp = false;
  bool mStopping = false; ///< The stand-in is being destroyed.
  std::int64_t mBornMs = 0;
  std::int64_t mSequence = 0;
  Clock::time_point mClockBegin;
  std::int64_t mToken = 0;
  std::int64_t mLeaseMs = 0;
  std::list<Active> mActive;
  std::vector<End> mEnds;
  std::int64_t mLastEnd = 0;
  std::map<std::string, std::int64_t> mEndedRuns; ///< Highest, by task.
  Clock::time_point mRegisteredAt;
};

} // namespace review
