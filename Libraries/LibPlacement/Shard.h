#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <LibPlacement/Action.h>
#include <LibPlacement/Job.h>
#include <LibPlacement/Report.h>
#include <LibPlacement/Team.h>
#include <LibPlacement/Worker.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

struct PlacementPolicy;

/// Time limits and thresholds of a shard.
struct PlacementSettings
{
  /// Term of a task's lease, from the token that the start or renewal carries.
  Millis mTaskLease{ 10000 };
  /// Added to mTaskLease before the tasks of a silent worker count as ended,
  /// because the clocks of the hosts run at slightly different rates.
  Millis mLeaseMargin{ 1000 };
  /// Age of a start's token, by the worker's clock, above which the worker
  /// rejects the start.
  Millis mMaxTokenAge{ 2000 };
  /// Age of a token above which no start is sent with it. It is below
  /// mMaxTokenAge to leave time for the start to arrive.
  Millis mMaxTokenAgeToSend{ 1500 };
  /// Age of the latest read that found a data centre in service, above which
  /// nothing is started there.
  Millis mMaxConfirmationAge{ 2000 };
  /// Share of a data centre's capacity that may be started per second after the
  /// data centre returns to service.
  double mRampSharePerSecond = 0.1;
  /// Different jobs that fail on a worker in a row before it is quarantined.
  std::uint32_t mFailuresToQuarantine = 3;
  /// Different workers on which a batch job fails before it is held.
  std::uint32_t mFailuresToHold = 3;
  /// The first quarantine of a worker; it doubles with each one that follows
  /// without a success in between, up to mMaxQuarantine.
  Seconds mQuarantine{ 30 };
  Seconds mMaxQuarantine{ 600 };
  /// How long an eviction waits for the checkpoint before it stops the task.
  Millis mCheckpointTimeout{ 5000 };
  /// Interval at which the stop of a task that still runs is repeated.
  Millis mCommandRetryInterval{ 2000 };
  /// Jobs of one team that may fail to be placed in one pass before the pass
  /// skips the rest of the team's queue.
  std::size_t mMaxFailedTriesPerTeam = 8;
  /// Tasks that may be under eviction at the same time on leaving workers and
  /// in data centres that are out of service.
  std::uint32_t mMaxConcurrentEvacuations = 32;
  /// How long a batch job waits before a worker is reserved for it; also the
  /// interval between two such reservations.
  Seconds mReserveWorkerAfter{ 60 };
};

/// Whether and how fast tasks may be started in a data centre.
struct DataCentreStatus
{
  std::string mName;
  bool mInService = false;
  /// When the read was sent that gave mInService; nothing before the first
  /// read.
  std::optional<MonotonicTime> mConfirmedAt;
  /// When the data centre last returned to service.
  std::optional<MonotonicTime> mReturnedAt;
  ResourceVector mCapacity;
  std::int64_t mMilliCoresStartedSinceReturn = 0;
};

/// The workers of one data centre, either with or without accelerators, that
/// take new tasks, ordered by their free cores.
struct Pool
{
  std::uint32_t mDataCentre = 0; ///< Index in Shard::mDataCentres.
  bool mAccelerators = false;
  /// Capacity of the largest worker that was ever assigned to the pool.
  std::int64_t mLargestWorkerMilliCores = 0;
  /// Worker::mPoolKey and index of each worker.
  std::set<std::pair<std::int64_t, WorkerIndex>> mWorkersByFreeMilliCores;
};

/// A hash that allows lookups by string_view without a copy of the key.
struct TextHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aText) const
  {
    return std::hash<std::string_view>{}(aText);
  }
};

/// A hash map with string keys.
template<typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

/// Counts of events since this owner took the shard.
struct PlacementCounters
{
  std::uint64_t mStarts = 0;
  std::uint64_t mRejectedStarts = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mEvictions = 0;
  std::uint64_t mLost = 0; ///< Attempts that ended without a reported outcome.
  std::uint64_t mHeld = 0;
  std::uint64_t mQuarantines = 0;
};

/// The state of one worker shard, used by one thread only. The functions below
/// do no input or output and read no clock: they take the present time, and
/// append the commands and commits to carry out to their actions.
struct Shard
{
  PlacementSettings mSettings;
  const PlacementPolicy* mPolicy = nullptr; ///< Not owned.
  MonotonicTime mTakenOverAt;               ///< When this owner took the shard.
  bool mReconciled = false; ///< No job is in phase Reconciling any more.
  std::vector<Worker> mWorkers;
  TextMap<WorkerIndex> mWorkerByName;
  std::vector<DataCentreStatus> mDataCentres;
  std::vector<Pool> mPools;
  TextMap<std::unique_ptr<Job>> mJobs;
  TextMap<std::unique_ptr<Team>> mTeams;
  ResourceVector mCapacity; ///< Sum over all workers.
  std::uint64_t mNextOrder = 1;
  std::uint64_t mNextCommit = 1;
  std::size_t mQueued = 0; ///< Number of jobs in all queues.
  /// No further worker is reserved for a waiting batch job before this.
  MonotonicTime mNextReservationAt;
  PlacementCounters mCounters;
};

/// Whether an earlier owner of the shard may have started tasks.
enum class PriorOwner
{
  None,    ///< The shard never had an owner.
  Possible ///< Tasks may run on workers that have not reported yet.
};

/// Makes an empty shard, which its owner fills by SetWorker(), SetTeam() and
/// LoadJob().
/// @param aPolicy must outlive the shard
Shard
MakeShard(const PlacementSettings& aSettings,
          const PlacementPolicy& aPolicy,
          PriorOwner aPriorOwner,
          MonotonicTime aNow);

/// Adds a worker, or updates whether a known worker is leaving.
/// @return its index in Shard::mWorkers
WorkerIndex
SetWorker(Shard& aShard, const WorkerSpec& aSpec);

/// Sets a team's quota and its budget of evictions, as its document grants
/// them.
void
SetTeam(Shard& aShard,
        std::string_view aTeam,
        const ResourceVector& aQuota,
        double aEvictionsPerHour,
        MonotonicTime aNow);

/// Records the result of a read of the data centre's row. A read that was sent
/// before the latest one known changes nothing.
/// @param aSentAt when the read was sent
void
SetDataCentre(Shard& aShard,
              std::string_view aName,
              bool aInService,
              MonotonicTime aSentAt,
              MonotonicTime aNow);

/// Adds a job from its committed row after a takeover. The job starts only
/// after it is known to run nowhere.
void
LoadJob(Shard& aShard, JobRow aRow, MonotonicTime aNow);

/// Adds a job that its previous shard moved here by a transaction. It is queued
/// at once, because only jobs that run nowhere are moved.
void
AdoptJob(Shard& aShard, JobRow aRow, MonotonicTime aNow);

/// Result of AcceptJob().
enum class AcceptResult
{
  Committing, ///< The submitter is to be answered when the commit is done.
  Present     ///< The job is known already; nothing was changed.
};

/// Accepts a job; it is queued after its row is committed.
AcceptResult
AcceptJob(Shard& aShard, JobSpec aSpec, MonotonicTime aNow, Actions& aActions);

/// Result of CancelJob().
enum class CancelResult
{
  Committing, ///< The caller is to be answered when the commit is done.
  Unknown     ///< The shard has no such job that is accepted and unfinished.
};

/// Cancels a job. A running task is stopped first; if it completes before the
/// stop arrives, the job counts as completed.
CancelResult
CancelJob(Shard& aShard,
          std::string_view aJob,
          MonotonicTime aNow,
          Actions& aActions);

/// Begins to move a queued job to another shard: the job is not placed until
/// EndMove().
/// @return the row to move, or nothing if the job is not queued
std::optional<JobRow>
BeginMove(Shard& aShard, std::string_view aJob);

/// Whether the transaction that moves a job took effect.
enum class MoveResult
{
  Done,
  Failed
};

/// Ends a move: the job leaves the shard, or is queued again if the move
/// failed.
void
EndMove(Shard& aShard, std::string_view aJob, MoveResult aResult);

/// Handles that a commit took effect.
/// @param aSequence CommitRow::mSequence of the commit
void
HandleCommitted(Shard& aShard,
                std::string_view aJob,
                std::uint64_t aSequence,
                MonotonicTime aNow,
                Actions& aActions);

/// Raises the attempt number of a new job, because an earlier job of the same
/// name used the lower ones and the first commit has stored the higher one.
/// Must be called before HandleCommitted().
void
RaiseAttempt(Shard& aShard, std::string_view aJob, std::uint32_t aAttempt);

/// Handles that the first commit of a job is known not to have taken effect:
/// the job is dropped.
void
HandleNotAccepted(Shard& aShard, std::string_view aJob);

/// Handles a worker's report.
/// @param aReport has a token that the worker made after it received a request
///                with this owner's epoch
/// @param aNow when the report was received
void
HandleReport(Shard& aShard,
             WorkerIndex aWorker,
             const WorkerReport& aReport,
             MonotonicTime aNow,
             Actions& aActions);

/// The worker rejected the start: the task is known not to run.
struct StartRejected
{
  std::string mReason;
};

/// The worker accepted the start at this moment of its clock.
struct StartAccepted
{
  std::uint64_t mClockMs = 0;
};

/// The start got no answer: the task may run.
struct StartUnknown
{};

using StartAnswer = std::variant<StartAccepted, StartRejected, StartUnknown>;

/// Handles the worker's answer to a StartTask.
void
HandleStartAnswer(Shard& aShard,
                  WorkerIndex aWorker,
                  std::string_view aJob,
                  std::uint32_t aAttempt,
                  const StartAnswer& aAnswer,
                  MonotonicTime aNow,
                  Actions& aActions);

/// Does what is due by time: ends quarantines, gives up tasks whose leases have
/// ended on silent workers, reconciles jobs after a takeover, and evicts tasks
/// from leaving workers and from data centres that are out of service. Must be
/// called regularly.
void
HandleTick(Shard& aShard, MonotonicTime aNow, Actions& aActions);

/// Starts queued jobs, by class and within a class by the teams' shares of
/// their quotas and the waiting times.
/// @param aLimit the maximum number of starts
/// @return the number of starts
std::size_t
PlaceQueued(Shard& aShard,
            MonotonicTime aNow,
            std::size_t aLimit,
            Actions& aActions);

/// @return the content of the next request for a report to the worker
PollPlan
PlanPoll(const Shard& aShard, WorkerIndex aWorker);

/// @return whether the job fits on the worker when nothing else runs there, and
///         allows its data centre
bool
CouldEverRun(const WorkerSpec& aWorker, const JobSpec& aJob);

/// @return why CouldEverRun() holds for no worker, with the capacity of the
///         largest worker that the job allows; nothing if it holds for one
std::optional<std::string>
WhyUnplaceable(const std::vector<WorkerSpec>& aWorkers, const JobSpec& aJob);

/// @return @p aReservation, limited to the worker's capacity but not below what
///         the job declares: the resources to reserve on this worker
ResourceVector
ReservationOn(const Worker& aWorker,
              const Job& aJob,
              const ResourceVector& aReservation);

/// @return whether the job may start on the worker now, by the worker's free
///         resources, health and reservation, the state of its data centre and
///         the job's past failures
bool
MayPlace(const Shard& aShard,
         const Job& aJob,
         const Worker& aWorker,
         const ResourceVector& aReservation,
         MonotonicTime aNow);

/// @return whether a start of this size is allowed in the data centre now. It
///         must be known to be in service, and the start must be within the
///         ramp after a return to service.
bool
AllowsStart(const Shard& aShard,
            const DataCentreStatus& aDataCentre,
            const ResourceVector& aReservation,
            MonotonicTime aNow);

/// @return a text for the job's team that says what the job does or waits for
std::string
ExplainJob(const Shard& aShard, const Job& aJob, MonotonicTime aNow);

/// @return the shard's job, or null
Job*
FindJob(const Shard& aShard, std::string_view aJob);

} // namespace paddle
