#pragma once

#include <cstdint>
#include <json/value.h>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <LibTable/HostList.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>
#include <StandIns/Worker/FleetAudit.h>

namespace paddle {

/// A task on a worker of the stand-in.
struct FleetTask
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  std::string mClass;
  Json::Value mReserved;
  double mCores = 0; ///< True use, unlike the declared one.
  MonotonicTime mStarted;
  MonotonicTime mLeaseEnd; ///< It stops here unless renewed.
  MonotonicTime mWorkEnd;  ///< It has done its work here.
  Millis mDoneBefore{ 0 }; ///< Work of earlier attempts.
  Millis mSaved{ 0 };      ///< Work held by the latest checkpoint.
  bool mFails = false;
  bool mThrottled = false;
};

struct FleetOutcome
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  std::string mResult; ///< "ended", "failed" or "stopped".
  std::string mCheckpoint;
  std::string mReason;
};

/// Faults of one worker.
struct WorkerFaults
{
  bool mFailsAll = false;
  MonotonicTime mSilentUntil;
  Millis mDelay{ 0 };
  unsigned mLoseAnswers = 0;
};

struct FleetWorker
{
  HostEntry mHost;
  std::uint64_t mBoot = 1;
  std::uint64_t mEpoch = 0; ///< Commands of older owners are rejected.
  std::vector<FleetTask> mTasks;
  std::vector<FleetOutcome> mOutcomes; ///< Until acknowledged.
  WorkerFaults mFaults;
};

/// All workers of one stand-in process. Time is a parameter, so that tests
/// need not wait. Safe for use from several threads.
class Fleet
{
public:
  /// @param aSeed decides true run times and use by job
  /// @param aSpeed how many seconds of work a task does in a second
  Fleet(std::vector<HostEntry> aHosts, std::uint64_t aSeed, double aSpeed = 1);

  /// Answers worker.report, worker.start, worker.stop, worker.checkpoint and
  /// worker.throttle for the worker at an address.
  Outcome<Json::Value> Call(const std::string& aAddress,
                            const std::string& aMethod,
                            const Json::Value& aParameters,
                            MonotonicTime aNow);

  /// How a request to a worker must be treated before and after Call().
  struct Treatment
  {
    bool mSilent = false;
    bool mLoseAnswer = false;
    Millis mDelay{ 0 };
  };

  /// @param aMember the sender, by its User-Agent
  Treatment TreatmentOf(const std::string& aAddress,
                        std::string_view aMember,
                        MonotonicTime aNow);

  /// Answers standin.fault: "worker" (a name, or absent for all) with
  /// "failAll", "silentMs", "delayMs", "loseAnswers" or "reboot"; "cutFrom"
  /// {"members"}; "dataCentreOut" or "dataCentreIn" with a name, from which
  /// on starts there are counted.
  Outcome<Json::Value> ApplyFault(const Json::Value& aParameters,
                                  MonotonicTime aNow);

  /// Answers standin.stats.
  Json::Value Stats(const Json::Value& aParameters, MonotonicTime aNow);

private:
  void Advance(FleetWorker& aWorker, MonotonicTime aNow);
  Json::Value Report(FleetWorker& aWorker,
                     const Json::Value& aParameters,
                     MonotonicTime aNow);
  Json::Value Start(FleetWorker& aWorker,
                    const Json::Value& aParameters,
                    MonotonicTime aNow);
  Json::Value StartOne(FleetWorker& aWorker,
                       const Json::Value& aStart,
                       Millis aLease,
                       std::uint64_t aEpoch,
                       MonotonicTime aNow);
  Json::Value Stop(FleetWorker& aWorker,
                   const Json::Value& aParameters,
                   MonotonicTime aNow);
  Json::Value Checkpoint(FleetWorker& aWorker,
                         const Json::Value& aParameters,
                         MonotonicTime aNow);
  Json::Value Throttle(FleetWorker& aWorker,
                       const Json::Value& aParameters,
                       MonotonicTime aNow);
  FleetTask MakeTask(const FleetWorker& aWorker,
                     const Json::Value& aStart,
                     Millis aLease,
                     MonotonicTime aNow) const;
  Json::Value TaskJson(const FleetWorker& aWorker,
                       const FleetTask& aTask,
                       MonotonicTime aNow) const;
  void CheckPlaces(const FleetWorker& aWorker,
                   const std::string& aJob,
                   MonotonicTime aNow);

  std::mutex mMutex;
  std::uint64_t mSeed;
  double mSpeed;
  std::vector<FleetWorker> mWorkers;
  std::map<std::string, FleetWorker*> mByAddress;
  /// Workers that had a task of the job, which may still run there.
  std::map<std::string, std::set<FleetWorker*>> mPlaces;
  std::set<std::string, std::less<>> mCut;
  FleetAudit mAudit;
};

} // namespace paddle
