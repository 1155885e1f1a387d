#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <LibDispatch/Actions.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/Interference.h>
#include <LibDispatch/Job.h>
#include <LibDispatch/Runner.h>
#include <LibTime/Time.h>

namespace paddle::dispatch {

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

/// A step of which tasks wait, in the order in which steps are served.
struct WaitingStep
{
  std::int32_t mPriority = 0;
  StepKind mKind = StepKind::Lasting;
  MonotonicTime mDueAt; ///< When the job's objective ends.
  std::uint64_t mOrder = 0;
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;

  bool operator<(const WaitingStep& aOther) const;
};

struct DispatchCounters
{
  std::uint64_t mStarts = 0;
  std::uint64_t mDone = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mLapsed = 0;
  std::uint64_t mStopped = 0;
  std::uint64_t mRejected = 0;   ///< Starts that a runner refused.
  std::uint64_t mUnanswered = 0; ///< Starts without an answer.
  std::uint64_t mJobsCompleted = 0;
  std::uint64_t mJobsFailed = 0;
  std::uint64_t mJobsCancelled = 0;
  std::uint64_t mPaceOrders = 0;
  std::uint64_t mQuarantines = 0;
};

/// Reports an event worth a log line: a name and key=value fields.
using EventSink = std::function<
  void(std::string_view aEvent, const Job* aJob, std::string aDetails)>;

/// State of one shard of runners and the jobs that run on them. One thread owns
/// it; every function takes the present time and appends its orders to actions.
struct Dispatcher
{
  DispatchSettings mSettings;
  std::int64_t mEpoch = 0; ///< Fencing token of every order.
  std::int64_t mNextRun = 1;
  /// Until then an earlier owner may have left tasks on runners that have not
  /// been heard from.
  MonotonicTime mUnheardUntil;
  bool mRecovered = false;

  std::vector<Runner> mRunners;
  TextMap<RunnerIndex> mRunnerById;
  std::uint32_t mListedRunners = 0;  ///< In the latest reading.
  std::uint32_t mLastingRunners = 0; ///< Of all, those with lasting tasks.
  TextMap<std::unique_ptr<Job>> mJobs;
  TextMap<QueueSpec> mQueues;
  std::set<std::string, std::less<>> mEvacuatedDataCentres;
  std::set<WaitingStep> mWaiting;
  std::vector<WaitingStep> mOrder; ///< Order of service, as of mOrderedAt.
  MonotonicTime mOrderedAt;
  std::uint64_t mNextOrder = 1;
  MonotonicTime mExplainedAt;
  MonotonicTime mPlacedAt;
  bool mPlacementDue = false; ///< Waiting tasks or runners have changed.
  std::vector<RunnerIndex> mFreedRunners; ///< Room was freed there.

  std::vector<Job*> mDirty;          ///< Jobs whose progress is to be stored.
  std::uint64_t mCommitSequence = 1; ///< Of the commit being collected.
  std::uint64_t mStoredThrough = 0;  ///< Latest commit that is stored.
  bool mCommitUrgent = false;

  Interference mInterference;
  DispatchCounters mCounters;
  EventSink mSink;
};

// Configuration and service discovery.

void
SetQueues(Dispatcher& aDispatcher, std::span<const QueueSpec> aQueues);

void
SetEvacuatedDataCentres(Dispatcher& aDispatcher,
                        std::span<const std::string> aDataCentres);

/// Takes a complete reading of service discovery.
void
SetRunners(Dispatcher& aDispatcher,
           std::span<const RunnerSpec> aRunners,
           MonotonicTime aNow,
           Actions& aActions);

/// Adds a runner that an earlier owner used and that may still run tasks.
void
AddFormerRunner(Dispatcher& aDispatcher,
                const FormerRunner& aRunner,
                MonotonicTime aNow);

/// Takes up what the records of silent runners say, once all jobs are added.
void
AdoptHeldRuns(Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return whether a record of what the runner may run should be stored, so
/// that
///         a later owner need not wait for it before it starts other tasks
bool
WantsRecord(const Dispatcher& aDispatcher,
            RunnerIndex aRunner,
            MonotonicTime aNow);

/// @return what the runner may run
std::vector<HeldRun>
HeldRuns(const Dispatcher& aDispatcher, RunnerIndex aRunner);

// Jobs.

/// Whether an earlier owner may have started tasks of a job.
enum class History
{
  None,
  Possible
};

/// Adds a stored job.
/// @param aProgress what an earlier owner stored, or null for a new job
void
AddJob(Dispatcher& aDispatcher,
       JobSpec aSpec,
       const JobProgress* aProgress,
       History aHistory,
       MonotonicTime aAcceptedAt,
       MonotonicTime aNow);

/// Cancels a job whose cancellation is stored.
void
CancelJob(Dispatcher& aDispatcher,
          std::string_view aJob,
          MonotonicTime aNow,
          Actions& aActions);

// Answers of runners.

/// @param aSentAt when the request of this answer was sent
void
HandleReport(Dispatcher& aDispatcher,
             RunnerIndex aRunner,
             const RunnerReport& aReport,
             MonotonicTime aSentAt,
             MonotonicTime aNow,
             Actions& aActions);

/// A renewal got no answer.
void
HandleNoReport(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               MonotonicTime aNow);

enum class StartResult
{
  Started,
  Refused,   ///< No room, too late, or an outdated run number.
  Unhealthy, ///< The runner refuses work for now and has done nothing.
  Unknown    ///< No answer; it may run.
};

void
HandleStartResult(Dispatcher& aDispatcher,
                  RunnerIndex aRunner,
                  const TaskName& aTask,
                  std::int64_t aRun,
                  StartResult aResult,
                  MonotonicTime aNow,
                  Actions& aActions);

/// A runner answered a stop: a run that it does not list now never starts.
void
HandleStopAnswered(Dispatcher& aDispatcher,
                   RunnerIndex aRunner,
                   const TaskName& aTask,
                   std::int64_t aRun,
                   MonotonicTime aNow);

/// An order of pace was not carried out, or may be carried out late.
void
HandlePaceLost(Dispatcher& aDispatcher,
               const TaskName& aTask,
               std::int64_t aRun);

/// Does what is due by time and starts waiting tasks.
void
HandleTick(Dispatcher& aDispatcher,
           MonotonicTime aNow,
           std::int64_t aUnixMs,
           Actions& aActions);

/// Starts waiting tasks where room or demand have changed.
void
PlaceWaiting(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions);

// Commits.

/// Progress to store, with the sequence to report to HandleCommitted().
struct Commit
{
  std::uint64_t mSequence = 0;
  std::vector<Job*> mJobs;
};

/// Takes the changed jobs.
std::optional<Commit>
TakeCommit(Dispatcher& aDispatcher);

/// The commit is stored: the ends that it carries may be acknowledged.
/// @param aPhases the stored phase of each of the commit's jobs
void
HandleCommitted(Dispatcher& aDispatcher,
                const Commit& aCommit,
                std::span<const JobPhase> aPhases);

JobProgress
ProgressOf(const Job& aJob);

// Queries.

/// What the next lease renewal of a runner carries.
struct RenewalPlan
{
  std::int64_t mAcknowledge = 0;
  std::int64_t mLeaseEndMs = 0; ///< 0: the runner's clock is not known yet.
  Millis mWait{ 0 };
};

/// Plans a renewal and notes the lease end that it grants.
RenewalPlan
PlanRenewal(Dispatcher& aDispatcher, RunnerIndex aRunner, MonotonicTime aNow);

struct Room
{
  std::int64_t mFreeCores = 0;     ///< For reserved tasks.
  std::int64_t mLeftoverCores = 0; ///< For tasks without reservation.
  std::int64_t mTotalCores = 0;
};

Room
FreeRoom(const Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return accepted jobs of the queue of which no task has started
std::uint64_t
PendingJobs(const Dispatcher& aDispatcher, std::string_view aQueue);

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

/// @return the step that waits
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

std::string
FormatTaskName(const TaskName& aTask);
std::optional<TaskName>
ParseTaskName(std::string_view aText);

} // namespace paddle::dispatch
