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

/// A task that runs on a worker of the stand-in.
struct FleetTask
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  std::string mClass; ///< "service" or a class of batch work.
  /// Declared resources: milliCores, memoryMb and accelerators.
  Json::Value mReserved;
  double mCoresUsed = 0; ///< True use, which may differ from mReserved.
  MonotonicTime mStarted;
  MonotonicTime mLeaseEnd;       ///< The task stops here unless renewed.
  MonotonicTime mWorkEnd;        ///< The task ends by itself at this time.
  Millis mWorkBeforeStart{ 0 };  ///< Restored from a checkpoint.
  Millis mCheckpointedWork{ 0 }; ///< Work in the latest checkpoint.
  bool mWillFail = false;  ///< It fails at mWorkEnd instead of succeeding.
  bool mThrottled = false; ///< Uses only half of mCoresUsed.
};

/// How a task ended, as a worker reports it.
struct FleetTaskOutcome
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  std::string mResult;     ///< "ended", "failed" or "stopped".
  std::string mCheckpoint; ///< Latest one of a stopped task; may be empty.
  std::string mReason;     ///< Why it failed or was stopped, for people.
};

/// Faults that are injected into one worker.
struct WorkerFaults
{
  bool mFailAllTasks = false;  ///< Tasks that start from now on fail.
  MonotonicTime mSilentUntil;  ///< Requests until then get no answer.
  Millis mDelay{ 0 };          ///< Delay before a request takes effect.
  unsigned mAnswersToLose = 0; ///< Answers still to be dropped.
};

/// One simulated worker.
struct FleetWorker
{
  HostEntry mHost;
  std::uint64_t mBoot = 1; ///< Incremented by each reboot.
  /// Highest epoch seen; requests with a lower one are rejected.
  std::uint64_t mEpoch = 0;
  std::vector<FleetTask> mTasks;
  std::vector<FleetTaskOutcome> mOutcomes; ///< Not yet acknowledged ones.
  WorkerFaults mFaults;
};

/// All simulated workers of one stand-in process, with the counts from which
/// tests check the guarantees of scheduling. The present time is a parameter,
/// so that tests need not wait. Safe for use from several threads.
class Fleet
{
public:
  /// @param aHosts the host list; entries that are not workers are ignored
  /// @param aSeed  decides, together with the job's name, the true run time and
  ///               resource use of each job
  /// @param aSpeed divides the run time of tasks: seconds of work done in a
  ///               second
  Fleet(std::vector<HostEntry> aHosts, std::uint64_t aSeed, double aSpeed = 1);

  /// Serves worker.report, worker.start, worker.stop, worker.checkpoint and
  /// worker.throttle for the worker at an address.
  /// @return the answer, an error of kind NotFound if no worker has this
  ///         address, or one of kind Conflict if the epoch of the request is
  ///         lower than the worker's
  Outcome<Json::Value> Call(const std::string& aAddress,
                            const std::string& aMethod,
                            const Json::Value& aParameters,
                            MonotonicTime aNow);

  /// What the injected faults do to one request, before and after Call().
  struct FaultEffects
  {
    bool mSilent = false;     ///< No effect and no answer.
    bool mLoseAnswer = false; ///< Takes effect, but the answer is dropped.
    Millis mDelay{ 0 };       ///< Delay before the request takes effect.
  };

  /// Uses up one of the worker's answers to lose, if any is left.
  /// @param aAddress address of the worker that gets the request
  /// @param aMember  name of the sender, from its User-Agent header
  FaultEffects FaultEffectsOf(const std::string& aAddress,
                              std::string_view aMember,
                              MonotonicTime aNow);

  /// Serves standin.fault, with which tests inject faults:
  /// - "worker" (a name; without it all workers) with "failAll", "silentMs",
  ///   "delayMs", "loseAnswers" or "reboot"
  /// - "cutFrom" {"members"}: a network partition between all workers and
  ///   exactly these members
  /// - "dataCentreOut" with a data centre's name: it is out of service, and
  ///   starts there count as violations once kOutOfServiceGrace has passed
  /// - "dataCentreIn" with a data centre's name: it is in service again
  /// @return an empty object, or an error of kind NotFound if no worker has the
  ///         name
  Outcome<Json::Value> ApplyFault(const Json::Value& aParameters,
                                  MonotonicTime aNow);

  /// Serves standin.stats.
  /// @param aParameters with "jobs" set, the starts of each job and the worker
  ///                    of each running task are added
  Json::Value Stats(const Json::Value& aParameters, MonotonicTime aNow);

private:
  /// Ends the tasks of a worker whose work or lease has ended by @p aNow.
  void Advance(FleetWorker& aWorker, MonotonicTime aNow);
  /// Renews leases, removes acknowledged outcomes, and returns the worker's
  /// tasks and outcomes.
  Json::Value Report(FleetWorker& aWorker,
                     const Json::Value& aParameters,
                     MonotonicTime aNow);
  /// Starts tasks; returns one answer per start.
  Json::Value Start(FleetWorker& aWorker,
                    const Json::Value& aParameters,
                    MonotonicTime aNow);
  /// Starts one task, unless its token is from before a reboot or too old.
  Json::Value StartFleetTask(FleetWorker& aWorker,
                             const Json::Value& aStart,
                             Millis aLease,
                             std::uint64_t aEpoch,
                             MonotonicTime aNow);
  /// Stops the listed tasks.
  Json::Value Stop(FleetWorker& aWorker,
                   const Json::Value& aParameters,
                   MonotonicTime aNow);
  /// Saves the work that the listed tasks have done so far.
  Json::Value Checkpoint(FleetWorker& aWorker,
                         const Json::Value& aParameters,
                         MonotonicTime aNow);
  /// Starts or ends the throttling of the listed tasks.
  Json::Value Throttle(FleetWorker& aWorker,
                       const Json::Value& aParameters,
                       MonotonicTime aNow);
  /// @return the task that a start asks for, with its true run time and use
  FleetTask MakeTask(const FleetWorker& aWorker,
                     const Json::Value& aStart,
                     Millis aLease,
                     MonotonicTime aNow) const;
  /// @return the task as an entry of worker.report
  Json::Value TaskJson(const FleetWorker& aWorker,
                       const FleetTask& aTask,
                       MonotonicTime aNow) const;
  /// Records a violation for each task of the job that still runs on any worker
  /// when @p aWorker starts the job.
  void CheckNotRunningElsewhere(const FleetWorker& aWorker,
                                const std::string& aJob,
                                MonotonicTime aNow);

  std::mutex mMutex;
  std::uint64_t mSeed;
  double mSpeed;
  std::vector<FleetWorker> mWorkers;
  std::map<std::string, FleetWorker*> mByAddress;
  /// By job, the workers that have started it; it may still run there.
  std::map<std::string, std::set<FleetWorker*>> mWorkersByJob;
  /// Members whose requests get no answer from any worker.
  std::set<std::string, std::less<>> mPartitionedMembers;
  FleetAudit mAudit;
};

} // namespace paddle
