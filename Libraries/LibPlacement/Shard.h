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

struct PlacementSettings
{
  Millis mTaskLease{ 10000 };
  /// Added to the lease before a silent worker's tasks count as ended, for
  /// clocks that run at different speeds.
  Millis mLeaseMargin{ 1000 };
  /// Age beyond which a worker rejects a start, by its own clock.
  Millis mOldestToken{ 2000 };
  /// Age beyond which no start is sent, so that it arrives in time.
  Millis mOldestTokenToSend{ 1500 };
  Millis mOldestProof{ 2000 };
  double mRampPerSecond = 0.1; ///< Share of a data centre's capacity.
  std::uint32_t mFailuresToQuarantine = 3;
  std::uint32_t mFailuresToHold = 3;
  Seconds mQuarantine{ 30 }; ///< Doubles with each failed probation.
  Seconds mLongestQuarantine{ 600 };
  Millis mCheckpointLimit{ 5000 };
  Millis mCommandRepeat{ 2000 };
  std::size_t mLookahead = 8; ///< Jobs of one team tried in one pass.
  std::uint32_t mEvacuationsAtOnce = 32;
  /// A job that has waited this long gets a worker kept free for it.
  Seconds mReserveAfter{ 60 };
};

struct DataCentreGate
{
  std::string mName;
  bool mInService = false;
  std::optional<MonotonicTime> mProvenAt; ///< When the read was sent.
  std::optional<MonotonicTime> mReturnedAt;
  Amount mCapacity;
  std::int64_t mStartedSinceReturn = 0; ///< In thousandths of a core.
};

/// Workers of one data centre, with or without accelerators, that take new
/// tasks, ordered by free processors.
struct Pool
{
  std::uint32_t mDataCentre = 0;
  bool mAccelerators = false;
  std::int64_t mLargestCores = 0; ///< Of one worker, in thousandths.
  std::set<std::pair<std::int64_t, WorkerIndex>> mByFree;
};

/// Allows lookups by string_view without a copy.
struct TextHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aText) const
  {
    return std::hash<std::string_view>{}(aText);
  }
};

template<typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

struct PlacementCounters
{
  std::uint64_t mStarts = 0;
  std::uint64_t mRejectedStarts = 0;
  std::uint64_t mEnded = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mEvictions = 0;
  std::uint64_t mLost = 0; ///< Tasks on workers that became silent.
  std::uint64_t mHeld = 0;
  std::uint64_t mQuarantines = 0;
};

/// State of one worker shard, owned by one thread. Every function below takes
/// the present time and appends what is to be done to its actions.
struct Shard
{
  PlacementSettings mSettings;
  const PlacementPolicy* mPolicy = nullptr;
  MonotonicTime mTakenAt;
  bool mResolved = false; ///< No job is doubtful any more.
  std::vector<Worker> mWorkers;
  TextMap<WorkerIndex> mWorkerByName;
  std::vector<DataCentreGate> mDataCentres;
  std::vector<Pool> mPools;
  TextMap<std::unique_ptr<Job>> mJobs;
  TextMap<std::unique_ptr<Team>> mTeams;
  Amount mCapacity;
  std::uint64_t mNextOrder = 1;
  std::uint64_t mNextCommit = 1;
  std::size_t mQueued = 0;
  /// No further worker is kept free for a waiting batch job before this.
  MonotonicTime mNextKeepAt;
  PlacementCounters mCounters;
};

/// Whether earlier owners may have started tasks of this shard.
enum class History
{
  None,    ///< The shard never had an owner.
  Possible ///< Tasks may run on workers not heard from yet.
};

/// @param aPolicy must outlive the shard
Shard
MakeShard(const PlacementSettings& aSettings,
          const PlacementPolicy& aPolicy,
          History aHistory,
          MonotonicTime aNow);

/// Adds a worker, or updates whether it is leaving.
WorkerIndex
SetWorker(Shard& aShard, const WorkerSpec& aSpec);

/// Sets what a team's document grants.
void
SetTeam(Shard& aShard,
        std::string_view aTeam,
        const Amount& aQuota,
        double aEvictionsPerHour,
        MonotonicTime aNow);

/// Takes note of a read of the data centre's row that was sent at @p aSentAt.
void
SetDataCentre(Shard& aShard,
              std::string_view aName,
              bool aInService,
              MonotonicTime aSentAt,
              MonotonicTime aNow);

/// Adds a job from its committed row. It starts only when it is known not to
/// run anywhere.
void
LoadJob(Shard& aShard, JobRow aRow, MonotonicTime aNow);

/// Adds a job that was moved here by a transaction of its previous owner,
/// which knew that it ran nowhere.
void
AdoptJob(Shard& aShard, JobRow aRow, MonotonicTime aNow);

enum class AcceptResult
{
  Committing, ///< Answer the submitter when the commit is done.
  Present     ///< The job is known already.
};

/// Accepts a job; it is queued after its row is committed.
AcceptResult
AcceptJob(Shard& aShard, JobSpec aSpec, MonotonicTime aNow, Actions& aActions);

enum class CancelResult
{
  Committing,
  Unknown
};

CancelResult
CancelJob(Shard& aShard,
          std::string_view aJob,
          MonotonicTime aNow,
          Actions& aActions);

/// Takes a queued job out of this shard, to be moved.
/// @return the row to move, or nothing if the job is not queued
std::optional<JobRow>
BeginMove(Shard& aShard, std::string_view aJob);

enum class MoveResult
{
  Done,
  Failed
};

void
EndMove(Shard& aShard, std::string_view aJob, MoveResult aResult);

/// A commit took effect.
void
HandleCommitted(Shard& aShard,
                std::string_view aJob,
                std::uint64_t aSequence,
                MonotonicTime aNow,
                Actions& aActions);

/// The first commit of a job gave it a later attempt, because a former job of
/// this name used the earlier ones. Called before HandleCommitted().
void
RaiseAttempt(Shard& aShard, std::string_view aJob, std::uint32_t aAttempt);

/// The first commit of a job surely did not take effect.
void
HandleNotAccepted(Shard& aShard, std::string_view aJob);

/// A report arrived, with a token that the worker made after the request was
/// sent under this owner's epoch.
/// @param aNow when the report was received
void
HandleReport(Shard& aShard,
             WorkerIndex aWorker,
             const WorkerReport& aReport,
             MonotonicTime aNow,
             Actions& aActions);

/// The worker surely did not start the task.
struct StartRejected
{
  std::string mReason;
};

/// The worker accepted the start at this moment of its clock.
struct StartAccepted
{
  std::uint64_t mClockMs = 0;
};

/// No answer: the task may run.
struct StartUnknown
{};

using StartAnswer = std::variant<StartAccepted, StartRejected, StartUnknown>;

void
HandleStartAnswer(Shard& aShard,
                  WorkerIndex aWorker,
                  std::string_view aJob,
                  std::uint32_t aAttempt,
                  const StartAnswer& aAnswer,
                  MonotonicTime aNow,
                  Actions& aActions);

/// Does what is due by time: silent workers, doubtful jobs, quarantine,
/// evacuation of data centres, repeated commands.
void
HandleTick(Shard& aShard, MonotonicTime aNow, Actions& aActions);

/// Starts waiting jobs.
/// @param aLimit the most starts of this call
/// @return the number of starts
std::size_t
PlaceQueued(Shard& aShard,
            MonotonicTime aNow,
            std::size_t aLimit,
            Actions& aActions);

/// @return what the next report request to the worker carries
PollPlan
PlanPoll(const Shard& aShard, WorkerIndex aWorker);

/// @return whether a worker of this kind could ever hold the job
bool
CouldHold(const WorkerSpec& aWorker, const JobSpec& aJob);

/// @return why no worker could ever hold the job, with the largest size that
///         exists; nothing if one could
std::optional<std::string>
WhyNeverHeld(const std::vector<WorkerSpec>& aWorkers, const JobSpec& aJob);

/// @return what to reserve for the job on this worker: @p aReserve, but not
///         more than the worker has where the declared size fits it
Amount
ReserveOn(const Worker& aWorker, const Job& aJob, const Amount& aReserve);

/// @return whether the job may start on the worker now, by capacity, health,
///         data centre and past failures
bool
MayPlace(const Shard& aShard,
         const Job& aJob,
         const Worker& aWorker,
         const Amount& aReserve,
         MonotonicTime aNow);

/// @return whether starts of this size are allowed in the data centre now
bool
GateOpen(const Shard& aShard,
         const DataCentreGate& aGate,
         const Amount& aReserve,
         MonotonicTime aNow);

/// @return a sentence for the team on what the job is doing or waiting for
std::string
ExplainJob(const Shard& aShard, const Job& aJob, MonotonicTime aNow);

/// @return the shard's job, or null
Job*
FindJob(const Shard& aShard, std::string_view aJob);

} // namespace paddle
