#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <LibDispatch/AccountShares.h>
#include <LibDispatch/AccountUse.h>
#include <LibDispatch/Actions.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/Interference.h>
#include <LibDispatch/Job.h>
#include <LibDispatch/OrderLimit.h>
#include <LibDispatch/PreferredRackState.h>
#include <LibDispatch/Runner.h>
#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Hash that lets maps with text keys be searched without copying the key.
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

/// Entry of a step with waiting tasks. Entries are ordered by queue priority,
/// then long-running before finite steps, then by deadline and arrival.
struct WaitingStep
{
  std::int32_t mPriority = 0;
  StepKind mKind = StepKind::LongRunning;
  MonotonicTime mSoftDeadline; ///< Of the occurrence.
  std::uint64_t mArrivalNumber = 0;
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;

  bool operator<(const WaitingStep& aOther) const;
};

/// The surplus steps of an account and a priority, which are adjacent in
/// Dispatcher::mPlacementOrder. Their jobs arrived beyond the entitlement of
/// the account.
struct SurplusRange
{
  std::string mAccount;
  std::int32_t mPriority = 0;
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
};

/// When a full pass last left a job with nothing running that could still meet
/// its objective.
struct IdleInTime
{
  MonotonicTime mEntitledAt; ///< Of jobs that are not surplus.
  MonotonicTime mSurplusAt;
};

/// Numbers of events since this process took the shard.
struct DispatchCounters
{
  std::uint64_t mStarts = 0;     ///< Start orders.
  std::uint64_t mDone = 0;       ///< Tasks of finite steps that completed.
  std::uint64_t mFailed = 0;     ///< Failed runs of finite steps.
  std::uint64_t mLost = 0;       ///< Runs whose lease or runner process ended.
  std::uint64_t mStopped = 0;    ///< Runs that ended otherwise, or were lost.
  std::uint64_t mRejected = 0;   ///< Start orders that a runner refused.
  std::uint64_t mUnanswered = 0; ///< Start orders without an answer.
  std::uint64_t mJobsCompleted = 0;
  std::uint64_t mJobsFailed = 0;
  std::uint64_t mJobsCancelled = 0;
  /// Orders that set the pace of a run: the percentage of its full speed to
  /// which its runner throttles it.
  std::uint64_t mPaceOrders = 0;
  /// Starts of idle jobs on runners without unused processors.
  std::uint64_t mOvercommittedStarts = 0;
  /// Starts of jobs that had nothing running for too long, see IdleJobs.h.
  std::uint64_t mOverdueStarts = 0;
  std::uint64_t mQuarantines = 0;
  /// Tasks that were started again while their first run may go on, see
  /// Speculation.h.
  std::uint64_t mCopies = 0;
  /// Jobs that arrived beyond the entitlement of their account, and start
  /// orders of tasks of such jobs, see AccountShares.h.
  std::uint64_t mSurplusJobs = 0;
  std::uint64_t mSurplusStarts = 0;
  // Tasks with a preferred rack, where the setting mRemoteFactor is above 1.
  std::uint64_t mPlaceWaits = 0; ///< Waits that have begun.
  /// Waits that have ended, by WaitEnd. Those of cancelled jobs are not
  /// counted.
  std::array<std::uint64_t, kWaitEndNames.size()> mPlaceWaitsEnded{};
  std::uint64_t mStartsInPreferredRack = 0;
  std::uint64_t mStartsElsewhere = 0;
};

/// Starts that overdue jobs may take before all others, see IdleJobs.h.
struct OverdueAllowance
{
  double mStarts = 0;
  std::uint64_t mStartsSeen = 0; ///< Starts of all jobs that are counted in it.
  MonotonicTime mReplenishedAt;
};

/// Numbers of answered and unanswered start orders to a data centre. They
/// decay, so that they describe the last seconds.
struct StartContact
{
  double mAnswered = 0;
  double mUnanswered = 0; ///< Orders without an answer, or not even sent.
  MonotonicTime mUpdatedAt;
  /// Until then it is remembered that most orders got no answer, unless one is
  /// answered.
  MonotonicTime mRememberedUntil;
};

/// Receives the events to log: the name, the job concerned or null, and fields
/// of the form key=value.
using EventSink = std::function<
  void(std::string_view aEvent, const Job* aJob, std::string aDetails)>;

/// State of one shard: its runners and the jobs that run on them. It decides,
/// but performs no input or output and reads no clock: the functions below take
/// the present time and append the orders to send to a list of actions. Only
/// one thread may use it.
struct Dispatcher
{
  DispatchSettings mSettings;
  /// Lowest fencing token of the orders of this owner, see FencingTokens.h.
  std::int64_t mEpoch = 0;
  std::int64_t mNextRun = 1; ///< Number of the next run.
  /// Time until which runners that have not answered this owner may still run
  /// tasks of an earlier owner, but for Runner::mExtendedLeasesExpireAt.
  MonotonicTime mEarlierLeasesUntil;
  /// Time until which leases last that earlier owners have granted on the
  /// strength of the store, but for Runner::mExtendedLeasesExpireAt; the zero
  /// time if it is not known.
  MonotonicTime mEarlierOrdinaryLeasesUntil;
  /// No lease is granted beyond this time. A later owner counts on it.
  MonotonicTime mLeaseLimit = MonotonicTime::max();
  /// Whether the runners are to answer often, because the owner may soon depend
  /// on the answers of a majority of them.
  bool mFrequentContact = false;
  /// No task is started from this time on. Like mLeaseLimit it is a time, so
  /// that it also holds just after this process was suspended.
  MonotonicTime mStartsUntil = MonotonicTime::max();
  /// Jobs of which this owner learned later are not started, because another
  /// node may have claimed the shard before and may start them as well.
  MonotonicTime mUncontestedUntil = MonotonicTime::max();
  /// When the last renewal of the shard's lease was sent that is stored.
  MonotonicTime mRenewedAt = MonotonicTime::max();
  /// Whether all runs of earlier owners are known or have ended. Tasks that an
  /// earlier owner may have started unseen are placed only from then on.
  bool mRecovered = false;

  /// All jobs that were accepted before this time are known, unless they have
  /// ended. A run of an unknown job that was reported later may be one of a job
  /// that another owner has read from the inbox before this one.
  MonotonicTime mJobsKnownAsOf = MonotonicTime::max();
  /// Number of ends in Runner::mUnattributedEnds of all runners.
  std::size_t mUnattributedEndCount = 0;

  std::vector<Runner> mRunners;
  TextMap<RunnerIndex> mRunnerById;
  /// Number of runners that service discovery listed last.
  std::uint32_t mListedRunnerCount = 0;
  /// Number of runners that have long-running tasks.
  std::uint32_t mLongRunningRunnerCount = 0;
  TextMap<std::unique_ptr<Job>> mJobs;
  TextMap<QueueSpec> mQueues;
  /// The client accounts of the configuration; empty if it has none.
  TextMap<AccountSpec> mAccounts;
  /// By account; only of jobs that name one.
  TextMap<AccountUse> mAccountUse;
  /// Of the accounts that have a cap.
  TextMap<AccountBudget> mAccountBudgets;
  BudgetSource mBudgetSource = BudgetSource::Caps;
  MonotonicTime mWaitsLoggedAt; ///< When LogAccountWaits() last looked.
  /// Number of shards among which the entitlement of an account is divided.
  std::uint32_t mShardCount = 1;
  TextMap<Entitlement> mEntitlements; ///< By account.
  /// Jobs with an account of which it is not decided whether they are surplus.
  std::vector<std::string> mNewAccountJobs;
  TextMap<ShareWaitLog> mShareWaitLogs; ///< By account.
  /// Starts of all jobs, and of surplus ones, when LogShareWaits() last ran.
  std::uint64_t mStartsSeen = 0;
  std::uint64_t mSurplusStartsSeen = 0;
  std::set<std::string, std::less<>> mEvacuatedDataCentres;
  TextMap<StartContact> mStartContacts; ///< By data centre.
  /// Whether the start orders to any data centre got or get no answer.
  bool mAnyHardToReach = false;
  std::set<WaitingStep> mWaitingSteps; ///< Ready steps with waiting tasks.
  /// Waiting steps in the order in which they are placed, as of
  /// mPlacementOrderAt.
  std::vector<WaitingStep> mPlacementOrder;
  MonotonicTime mPlacementOrderAt;
  /// The surplus steps at the end of mPlacementOrder, by priority. Which
  /// account goes first among them is decided when they are placed.
  std::vector<SurplusRange> mSurplusRanges;
  TextMap<IdleInTime> mIdleInTimeAt; ///< By service.
  OverdueAllowance mOverdueAllowance;
  MonotonicTime mPassedAt;   ///< When the latest placement pass ran.
  MonotonicTime mFullPassAt; ///< When the latest one over all runners ran.
  /// Runners that get no other tasks, so that an interrupted long-running task
  /// or an overdue job that fits on no runner finds room there, as of the
  /// latest full pass.
  std::vector<RunnerIndex> mHeldRunners;
  /// Runners that get no other tasks but interrupted ones, so that long-running
  /// tasks of leaving runners find room there before these have left.
  std::vector<RunnerIndex> mHeldForMoves;
  /// Runners that get no surplus tasks, so that a task within the entitlement
  /// of its account that fits on no runner finds room there, as of the latest
  /// full pass.
  std::vector<RunnerIndex> mHeldForEntitled;
  std::uint64_t mNextArrivalNumber = 1;
  MonotonicTime mExplainedAt; ///< When waiting steps were last logged.
  MonotonicTime mPlacedAt;    ///< When a full placement pass was last ordered.
  /// Whether the next placement pass must consider all runners.
  bool mPlacementDue = false;
  /// Whether jobs may have as many failed runs of a task as their queue allows
  /// without having failed: failures are counted also while the configuration
  /// lacks the queue, and a later one may allow fewer attempts.
  bool mAttemptsUnchecked = false;
  /// Runners on which runs have ended since the latest placement pass.
  std::vector<RunnerIndex> mFreedRunners;

  std::vector<Job*> mDirtyJobs; ///< Jobs with progress that is not stored.
  /// Sequence number of the commit that takes up the next changes.
  std::uint64_t mCommitSequence = 1;
  /// Sequence number of the latest commit that is stored.
  std::uint64_t mStoredThrough = 0;
  /// Jobs whose latest commit the store has rejected, by Job::mArrivalNumber.
  /// The ends of their runs are not acknowledged: a later owner would run the
  /// tasks again.
  std::map<std::uint64_t, Job*> mRejectedJobs;
  /// Whether a job or occurrence has ended, so that the commit should not wait
  /// for further changes.
  bool mCommitUrgent = false;

  Interference mInterference;
  OrderLimit mOrderLimit;
  PreferredRackState mPreferredRacks;
  /// Start orders that have no answer yet, of all runners.
  std::uint32_t mUnansweredStarts = 0;
  /// No placement pass runs before this time, so that passes leave processor
  /// time for answers and renewals.
  MonotonicTime mPassesPausedUntil;
  DispatchCounters mCounters;
  EventSink mSink;
};

// Configuration and service discovery.

/// Replaces the configuration of all queues.
void
SetQueues(Dispatcher& aDispatcher, std::span<const QueueSpec> aQueues);

/// Replaces the configuration of all client accounts.
void
SetAccounts(Dispatcher& aDispatcher, std::span<const AccountSpec> aAccounts);

/// Sets the data centres that are out of service, in which no task is started.
void
SetEvacuatedDataCentres(Dispatcher& aDispatcher,
                        std::span<const std::string> aDataCentres);

/// Takes over the list of runners of service discovery, which must be complete.
void
SetRunners(Dispatcher& aDispatcher,
           std::span<const RunnerSpec> aRunners,
           MonotonicTime aNow,
           Actions& aActions);

/// Adds a runner on which an earlier owner may have started tasks.
void
AddInheritedRunner(Dispatcher& aDispatcher,
                   const InheritedRunner& aRunner,
                   MonotonicTime aNow);

/// Adopts the runs that an earlier owner recorded of silent runners. All jobs
/// must have been added before.
void
AdoptRecordedRuns(Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return the time by which the leases of earlier owners on a runner have
///         ended that has not answered this owner
MonotonicTime
EarlierLeasesEnd(const Dispatcher& aDispatcher, RunnerIndex aRunner);

/// @return the longest time for which a runner that has just answered this
///         owner for the first time has leases of an earlier one
[[nodiscard]] Millis
LongestEarlierLease(const Dispatcher& aDispatcher,
                    const Runner& aRunner,
                    MonotonicTime aNow);

/// @return whether the runs that the runner may have should be recorded in the
///         store, so that a later owner can start other tasks without waiting
///         for the runner
bool
ShouldStoreRecord(const Dispatcher& aDispatcher,
                  RunnerIndex aRunner,
                  MonotonicTime aNow);

/// @return whether the runner is no longer listed and certainly runs nothing. A
///         later owner need not know of it, since no task is started on it
///         before it is listed again.
bool
HasLeft(const Dispatcher& aDispatcher, RunnerIndex aRunner);

/// @return whether the tasks of the runner are certainly on no other runner
bool
TasksAreOnlyHere(const Dispatcher& aDispatcher, RunnerIndex aRunner);

/// A process of a runner.
struct RunnerProcess
{
  std::string mId;
  std::int64_t mIncarnation = 0; ///< See RunnerSpec::mIncarnation.
};

/// @return the latest time such that more than half of the runners have
///         answered this owner to a request that was sent then or later; the
///         zero time if there is none. A restarted runner counts only if the
///         list names its present process, because it has forgotten whether it
///         had seen a later owner.
MonotonicTime
MajorityContactAt(const Dispatcher& aDispatcher,
                  std::span<const RunnerProcess> aRunners);

/// @return the time that a lease of this length takes at most, as a runner
///         measures it by a clock that may be slow
Millis
LongestDuration(const DispatchSettings& aSettings, Millis aLease);

/// @return the longest lease that an owner of this version grants
[[nodiscard]] Millis
LongestGrant(const DispatchSettings& aSettings);

/// @return all runs that the runner may have
std::vector<PossibleRun>
PossibleRuns(const Dispatcher& aDispatcher, RunnerIndex aRunner);

// Jobs.

/// Whether an earlier owner may have started runs of a job.
enum class PriorRuns
{
  None,
  Possible
};

/// Adds an accepted job, which must have been stored.
/// @param aProgress progress that an earlier owner stored, or null
void
AddJob(Dispatcher& aDispatcher,
       JobSpec aSpec,
       const JobProgress* aProgress,
       PriorRuns aPriorRuns,
       MonotonicTime aAcceptedAt,
       MonotonicTime aNow);

/// Cancels a job. Its cancellation must have been stored.
void
CancelJob(Dispatcher& aDispatcher,
          std::string_view aJob,
          MonotonicTime aNow,
          Actions& aActions);

// Answers of runners.

/// Handles the answer to a lease renewal.
/// @param aSentAt when the renewal was sent
void
HandleReport(Dispatcher& aDispatcher,
             RunnerIndex aRunner,
             const RunnerReport& aReport,
             MonotonicTime aSentAt,
             MonotonicTime aNow,
             Actions& aActions);

/// Handles that another process has the address of a runner, so that the
/// runner's own has ended with everything on it, and no order to it is carried
/// out any more.
void
HandleReplaced(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               MonotonicTime aNow,
               Actions& aActions);

/// Handles a renewal that got no answer.
void
HandleNoReport(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               MonotonicTime aNow);

/// Result of a start order.
enum class StartResult
{
  Started,
  Refused,   ///< The runner lacks capacity, the order was late, or its run
             ///< number was outdated. The task does not run.
  NotSent,   ///< The order did not leave this process. The task does not run.
  Withdrawn, ///< The order was not sent, because the run was stopped or this
             ///< node may start no task now. The task does not run.
  Unhealthy, ///< The runner refuses all tasks for now. The task does not run.
  Unknown    ///< There was no answer, so the task may run.
};

/// @return whether the run is still to be started: its order has no result, and
///         it has not been stopped
bool
IsStarting(Dispatcher& aDispatcher, const TaskName& aTask, std::int64_t aRun);

/// Handles the result of a start order.
/// @param aTime time from sending the order to its result
void
HandleStartResult(Dispatcher& aDispatcher,
                  RunnerIndex aRunner,
                  const TaskName& aTask,
                  std::int64_t aRun,
                  StartResult aResult,
                  Millis aTime,
                  MonotonicTime aNow,
                  Actions& aActions);

/// Handles the answer to a stop order. A run that the runner does not report
/// from now on will never start.
void
HandleStopAnswered(Dispatcher& aDispatcher,
                   RunnerIndex aRunner,
                   const TaskName& aTask,
                   std::int64_t aRun,
                   MonotonicTime aNow);

/// Handles a pace order, which sets the percentage of its full speed to which a
/// run is throttled, that failed or may be applied late.
void
HandlePaceUnconfirmed(Dispatcher& aDispatcher,
                      const TaskName& aTask,
                      std::int64_t aRun);

/// Performs everything that depends on the time: ends expired leases, repeats
/// stop orders, begins occurrences and starts waiting tasks.
/// @param aUnixMs the present Unix time in milliseconds
void
HandleTick(Dispatcher& aDispatcher,
           MonotonicTime aNow,
           std::int64_t aUnixMs,
           Actions& aActions);

/// Runs a placement pass, which starts waiting tasks, if capacity or demand has
/// changed.
void
PlaceWaiting(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions);

// Commits.

/// Jobs whose progress is stored in one transaction.
struct Commit
{
  std::uint64_t mSequence = 0;
  std::vector<Job*> mJobs;
};

/// @return the jobs that have changed since the last call, if any. The caller
///         must store them and then call HandleCommitted().
std::optional<Commit>
TakeCommit(Dispatcher& aDispatcher);

/// Handles a commit that has been stored. The runners' ends that it contains
/// may now be acknowledged.
/// @param aPhases the stored phase of each of the commit's jobs
void
HandleCommitted(Dispatcher& aDispatcher,
                const Commit& aCommit,
                std::span<const JobPhase> aPhases);

/// Handles a job of a commit whose row the store rejects, however often it is
/// sent. The job goes on, but the ends of its runs are not acknowledged before
/// a later commit with it is stored.
void
HandleJobRejected(Dispatcher& aDispatcher, Job& aJob);

/// Adds the jobs that were rejected to the next commit.
void
RetryRejectedJobs(Dispatcher& aDispatcher);

/// @return the progress of a job to store
JobProgress
ProgressOf(const Job& aJob);

// Queries.

/// Content of the next lease renewal of a runner.
struct RenewalPlan
{
  std::int64_t mFencingToken = 0;
  /// The runner's ends up to this number are stored, and it may forget them.
  std::int64_t mAcknowledgedEnd = 0;
  /// End of the leases of its runs, on the runner's clock. 0: no lease is
  /// granted.
  std::int64_t mLeaseEndMs = 0;
  /// Time for which the runner may delay its answer until it has news.
  Millis mLongPollTimeout{ 0 };
};

/// Plans a renewal. The lease end that it grants is counted as sent.
RenewalPlan
PlanRenewal(Dispatcher& aDispatcher, RunnerIndex aRunner, MonotonicTime aNow);

/// @param aOccurrences number of occurrences that have begun and not ended
/// @return the bytes that the stored progress of a job takes at most when all
///         of its tasks have failed and none is done
std::size_t
ProgressBytesBound(const JobSpec& aJob, std::size_t aOccurrences);

/// Processors and memory of a shard, summed up over its runners.
struct ShardCapacity
{
  std::int64_t mFreeMilliCores = 0;       ///< For reserved tasks.
  std::int64_t mBestEffortMilliCores = 0; ///< For best-effort tasks.
  std::int64_t mTotalMilliCores = 0;
  std::int64_t mReservedMemoryMb = 0; ///< Of all tasks, best-effort ones too.
  std::int64_t mTotalMemoryMb = 0;
};

/// @return the capacity of the runners that may be used now
ShardCapacity
AvailableCapacity(const Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return the number of active jobs of which no task has started, by queue;
///         only queues of the configuration that have any
std::map<std::string, std::uint64_t>
PendingJobs(const Dispatcher& aDispatcher);

/// @return the time that this owner needs to start the tasks that wait, if its
///         load control keeps starts back; otherwise none
Millis
StartWait(const Dispatcher& aDispatcher);

TaskName
NameOf(const TaskRef& aTask);

/// @return the step of a task; the occurrence must exist
inline Step&
StepOf(const TaskRef& aTask)
{
  // Nearly every job has one occurrence.
  auto occurrence = aTask.mJob->mOccurrences.begin();
  if (occurrence->first != aTask.mOccurrence) {
    occurrence = aTask.mJob->mOccurrences.find(aTask.mOccurrence);
  }
  return occurrence->second.mSteps[aTask.mStep];
}

/// @return the step of an entry; its occurrence must exist
inline Step&
StepOf(const WaitingStep& aEntry)
{
  return StepOf(TaskRef{ aEntry.mJob, aEntry.mOccurrence, aEntry.mStep, 0 });
}

inline Task&
TaskOf(const TaskRef& aTask)
{
  return StepOf(aTask).mTasks[aTask.mIndex];
}

inline const StepSpec&
SpecOf(const TaskRef& aTask)
{
  return aTask.mJob->mSpec.mSteps[aTask.mStep];
}

/// @return the name in the form JOB.OCCURRENCE.STEP.INDEX
std::string
FormatTaskName(const TaskName& aTask);
/// Parses a name of the form JOB.OCCURRENCE.STEP.INDEX.
std::optional<TaskName>
ParseTaskName(std::string_view aText);

} // namespace paddle::dispatch
