#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <LibDispatch/Job.h>

namespace paddle::dispatch {

/// A runner as service discovery describes it.
struct RunnerSpec
{
  std::string mId;
  std::string mAddress;
  std::string mService; ///< Service whose tasks it runs.
  std::string mDataCentre;
  std::string mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  bool mDraining = false; ///< Whether it is to get no further tasks.
  /// Time until the runner reaches its full speed.
  Millis mWarmUpRemaining{ 0 };
  /// Identifies the runner's process: the time of its start in Unix
  /// milliseconds.
  std::int64_t mIncarnation = 0;
};

/// A run that may still be running on a silent runner.
struct PossibleRun
{
  TaskName mTask;
  std::int64_t mRun = 0;
};

/// A runner on which an earlier owner of the shard may have started tasks.
struct InheritedRunner
{
  RunnerSpec mSpec;
  /// All runs that it may have, if the earlier owner recorded them while the
  /// runner was silent. Without a record it may run any task of the shard.
  std::optional<std::vector<PossibleRun>> mPossibleRuns;
  /// Time by which all leases of the runner have certainly ended, if the
  /// earlier owner has granted none since it stored that time.
  std::optional<MonotonicTime> mLeasesExpireAt;
  /// Whether the earlier owner has started nothing since it wrote the record,
  /// so that the tasks in it run on no other runner.
  bool mRecordFinal = false;
};

/// How a run ended, as the runner reports it.
enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangMemberEnded, ///< Another member of the gang ended early.
  GangIncomplete   ///< Some members of the gang did not start in time.
};

/// Stands for the commit of an end whose task is not known yet.
inline constexpr std::uint64_t kNoCommit = UINT64_MAX;

/// An end that is not acknowledged.
struct UnstoredEnd
{
  std::int64_t mNumber = 0; ///< See EndEntry::mNumber.
  /// Sequence number of the commit that stores it, together with all earlier
  /// changes of its job; 0 if the store needs neither; kNoCommit if it has not
  /// been applied to a task.
  std::uint64_t mCommitSequence = 0;
  std::uint64_t mJobArrivalNumber = 0; ///< See Job::mArrivalNumber.
};

/// A run that a runner reports as running.
struct RunningEntry
{
  TaskName mTask;
  std::int64_t mRun = 0;
  std::string mCheckpoint; ///< Latest checkpoint, or empty.
  std::int32_t mProgressPercent = 0;
  std::int32_t mReportedLoad = 0; ///< See Task::mReportedLoad.
};

/// A run that a runner reports as ended, until the end is acknowledged.
struct EndEntry
{
  std::int64_t mNumber = 0; ///< Number in the order of the runner's ends.
  TaskName mTask;
  std::int64_t mRun = 0;
  EndKind mKind = EndKind::Stopped;
  std::string mCheckpoint;
};

/// An end of a task that this owner does not know, but may yet learn of.
struct UnattributedEnd
{
  EndEntry mEnd;
  MonotonicTime mReportedAt;
};

/// A runner's answer to a lease renewal.
struct RunnerReport
{
  std::int64_t mClockMs = 0; ///< Reading of the runner's monotonic clock.
  std::int64_t mIncarnation = 0;
  std::vector<RunningEntry> mRunning;
  std::vector<EndEntry> mEnds;
};

/// Load of the tasks of one serving step on a runner, which limits the
/// best-effort tasks beside them. The owner limits a best-effort task by its
/// pace, the percentage of its full speed to which the runner throttles it. All
/// numbers are utilizations from 0 to 1.
struct ServingStepLoad
{
  Step* mStep = nullptr;
  /// Highest utilization that the tail latencies of the tasks indicate.
  double mMeasuredUtilization = 0;
  /// Limit just below the utilization at which the tail latency reaches its
  /// target.
  double mUtilizationLimit = 1;
  /// Highest utilization without interference that is forecast until the next
  /// change of pace takes effect.
  double mForecastForPace = 0;
  /// The same for the time for which a new best-effort task would run.
  double mForecastForPlacement = 0;
  /// Upper bound of the rise that all best-effort tasks on the runner cause at
  /// full pace.
  double mNeighbourRiseBound = 0;
};

/// A run that a runner reports although this owner knows no such run. Its
/// resource use is unknown, so no task is started on its runner until it has
/// ended.
struct OrphanRun
{
  TaskName mTask;
  std::int64_t mRun = 0;
  std::string mCheckpoint;   ///< Latest checkpoint, or empty.
  MonotonicTime mStopSentAt; ///< When a stop order was last sent.
};

/// Relation of a runner to the present owner of the shard.
enum class RunnerPhase : std::uint8_t
{
  AwaitingReport, ///< It has not answered this owner yet.
  Live,           ///< It has answered, and its leases may hold.
  LeaseExpired,   ///< It was silent for longer than its leases last, so
                  ///< everything that it ran has ended.
};

/// Whether start orders to a data centre are answered.
enum class StartReach : std::uint8_t
{
  Answered,         ///< The latest ones were answered, or nothing is known.
  Unproven,         ///< None was answered lately, and others are hard to reach.
  LatelyUnanswered, ///< Most got no answer, and none was answered since.
  HardToReach       ///< Most of the last second got no answer.
};

/// State of a runner: its tasks, leases, reports and health.
struct Runner
{
  RunnerSpec mSpec;
  RunnerPhase mPhase = RunnerPhase::AwaitingReport;
  bool mListed = false; ///< Whether service discovery lists it.
  /// Whether mSpec is that of a former process. The present one may have other
  /// labels and another capacity, so no task is started on it.
  bool mSpecOutdated = false;
  /// Resources that its tasks reserve. Best-effort tasks reserve no processors.
  Resources mReserved;
  /// Processors that its best-effort tasks demand.
  std::int64_t mBestEffortMilliCores = 0;
  /// The part of these that overcommitted tasks demand.
  std::int64_t mOvercommittedMilliCores = 0;
  std::int64_t mLongRunningMilliCores = 0; ///< Reserved by long-running tasks.
  std::uint32_t mLongRunningTasks = 0;     ///< Number of such tasks.
  std::uint32_t mUnansweredStarts = 0; ///< Number of tasks in phase Starting.
  /// Load of the serving steps on this runner, as of the latest call of
  /// SummarizeServingLoad().
  std::vector<ServingStepLoad> mServingSteps;
  /// Whether best-effort tasks get much less CPU time here than they demand.
  bool mBestEffortStarved = false;
  /// Whether a serving task has been over its latency target for so long that
  /// all best-effort tasks here are halted. None is started then: it would be
  /// halted as well, and moved after a second or two.
  bool mBestEffortHalted = false;
  /// Whether start orders to its data centre are answered, as of the latest
  /// placement pass.
  StartReach mStartReach = StartReach::Answered;
  /// Whether a serving task here has not reported its tail latency yet.
  bool mTailLatencyUnknown = false;
  /// Tasks in the phases Starting, Running and Stopping on this runner.
  std::vector<TaskRef> mTasks;

  std::int64_t mClockMs = 0;       ///< The runner's clock in its latest answer.
  MonotonicTime mClockReadAt;      ///< When that answer was received.
  MonotonicTime mClockRequestedAt; ///< When the request for it was sent.
  /// When this owner learned that the runner has a new process.
  MonotonicTime mRestartSeenAt;
  /// Number of new processes under its id that this owner has learned of.
  std::int64_t mRestarts = 0;
  /// Whether the present process may carry out orders to a former one, which
  /// arrive late: it has not answered yet to its own fencing token. It gets no
  /// task until then.
  bool mTakesFormerOrders = false;
  MonotonicTime mFormerOrdersEndedAt; ///< When that answer arrived.
  std::int64_t mRenewalToken = 0;     ///< Fencing token of the latest renewal.
  /// Latest lease end that was ever sent to the runner, on its own clock.
  std::int64_t mHighestLeaseMs = 0;
  /// Time on this process's clock from which all leases have certainly ended.
  MonotonicTime mLeasesExpireAt;
  /// Whether the latest renewal got no answer. Nothing that could extend a
  /// lease is sent until the runner answers; otherwise its leases might never
  /// end, and its tasks could never be started elsewhere.
  bool mSilent = false;
  MonotonicTime mSilentSince;
  /// Whether its leases have ended and its finite tasks wait for its report,
  /// see DispatchSettings::mUnheardEndsWait.
  bool mEndsAwaited = false;
  /// Whether the store holds a record of all runs that the runner may have, or
  /// the end of its leases. No task is started on it, and no lease granted,
  /// until the list is replaced by one without them.
  bool mRecordStored = false;
  /// Number of runs in that record. It can only decrease.
  std::size_t mRecordedRunCount = 0;
  /// Whether an earlier owner used the runner and this owner has had no answer
  /// from it.
  bool mInherited = false;
  /// Runs in the record of an earlier owner, until they are adopted.
  std::optional<std::vector<PossibleRun>> mPossibleRuns;
  bool mRecordFinal = false; ///< See InheritedRunner::mRecordFinal.
  /// Whether a run in that record could not be adopted, because its task is not
  /// known or has ended. It may go on until the runner answers or its leases
  /// have ended.
  bool mRecordNotAdopted = false;
  /// Time by which all leases of earlier owners have ended, if one has stored
  /// it.
  std::optional<MonotonicTime> mRecordedLeasesExpireAt;
  /// Time by which the leases have ended that renewals of earlier owners for a
  /// former process of the runner may have extended, if one has stated it.
  std::optional<MonotonicTime> mExtendedLeasesExpireAt;

  /// Highest number of a reported end that has been applied to its task, or is
  /// one of mUnattributedEnds.
  std::int64_t mHighestAppliedEnd = 0;
  /// Highest number of an end whose commit is stored. The next renewal
  /// acknowledges the ends up to it.
  std::int64_t mHighestStoredEnd = 0;
  std::deque<UnstoredEnd> mUnstoredEnds; ///< In the order of their numbers.
  /// Those of them that are applied as soon as their task is known.
  std::vector<UnattributedEnd> mUnattributedEnds;

  std::vector<OrphanRun> mOrphans;

  /// When the owner last changed the throttling percentage of a task here.
  MonotonicTime mPaceChangedAt;
  MonotonicTime mBestEffortEndedAt; ///< When a best-effort task last ended.
  /// When interference was last learned from its tail latencies.
  MonotonicTime mTailsLearnedAt;

  /// Number of runs that failed since the latest success.
  std::uint32_t mConsecutiveFailures = 0;
  std::string mLastFailedJob; ///< Job of the latest failure.
  /// Number of jobs among these failures. A job counts again when it fails
  /// after another job.
  std::uint32_t mDistinctFailedJobs = 0;
  std::uint32_t mQuarantines = 0; ///< Quarantines since the latest success.
  MonotonicTime mAvoidUntil;      ///< No task is started before this time.
  MonotonicTime mQuarantinedAt;   ///< When the latest quarantine began.
  /// Whether the runner is or was quarantined and has not succeeded since. It
  /// gets one task at a time.
  bool mOnProbation = false;
  MonotonicTime mUnlistedSince; ///< When service discovery dropped it.
};

} // namespace paddle::dispatch
