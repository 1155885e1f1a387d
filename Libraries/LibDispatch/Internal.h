#pragma once

#include <optional>
#include <string>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

/// What the end of a run means for its task.
enum class RunOutcome
{
  Done,
  Failed,
  Interrupted ///< The task runs again, from its checkpoint if there is one.
};

/// Removes a run that has ended from its runner, and moves its task on to the
/// next phase.
/// @param aRun        number of the run; only used for failed runs
/// @param aCheckpoint latest checkpoint of the run, or empty
void
EndRun(Dispatcher& aDispatcher,
       const TaskRef& aTask,
       RunOutcome aOutcome,
       std::int64_t aRun,
       std::string_view aCheckpoint,
       MonotonicTime aNow,
       Actions& aActions);

/// Changes the number of start orders to a runner that have no answer.
void
CountUnansweredStart(Dispatcher& aDispatcher, Runner& aRunner, int aChange);

/// Adopts a run that an earlier owner started, of a task that waits here.
/// @return whether it was adopted; it is not if the job has ended or is held,
///         or if the task runs or has run later
bool
AdoptRun(Dispatcher& aDispatcher,
         RunnerIndex aRunner,
         const TaskRef& aTask,
         std::int64_t aRun,
         MonotonicTime aNow);

/// @return whether the task must not be started yet, because a run of an
///         earlier owner may still be running on a runner that has not answered
bool
MayRunUnseen(const Dispatcher& aDispatcher, const Task& aTask);

/// Fails the active jobs that have as many failed runs of a task as their queue
/// allows.
void
FailExhaustedJobs(Dispatcher& aDispatcher,
                  MonotonicTime aNow,
                  Actions& aActions);

/// Handles that a runner has shown a run of the task under this owner's epoch,
/// or that a final record holds it. An earlier owner had then no other run of
/// the task, and had not started any step that follows.
void
MarkSeen(const TaskRef& aTask);

/// @return the resources that a task of the step reserves
Resources
ReservedResources(const StepSpec& aSpec);

/// Adds a run of a task to a runner and to the resources in use there.
void
AssignToRunner(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               const TaskRef& aTask);

/// Orders a runner to stop a run. The resources of the run stay in use until it
/// is known to have ended.
void
BeginStop(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          StopCause aCause,
          MonotonicTime aNow,
          Actions& aActions);

/// Ends all runs of a runner whose process or leases have ended.
void
EndAllRuns(Dispatcher& aDispatcher,
           Runner& aRunner,
           MonotonicTime aNow,
           Actions& aActions);

/// Marks the steps of an occurrence ready whose predecessors have ended.
void
MarkReadySteps(Dispatcher& aDispatcher,
               Job& aJob,
               std::uint32_t aOccurrence,
               MonotonicTime aNow);

/// @return the sum of the estimated durations along the longest path from a
///         step to the end of the job, without steps that have ended
Millis
RemainingCriticalPath(const Job& aJob,
                      std::uint32_t aOccurrence,
                      std::uint32_t aStep);

/// Adds a step to the waiting steps, or removes it, according to its state.
void
UpdateWaiting(Dispatcher& aDispatcher,
              Job& aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep);

/// Adopts the runs of a job that runners reported before its tasks were known.
void
AdoptOrphans(Dispatcher& aDispatcher, Job& aJob, MonotonicTime aNow);

/// Begins the occurrences up to one of which a runner reports a run: an earlier
/// owner has begun it, and that may not be stored.
void
BeginOccurrencesThrough(Dispatcher& aDispatcher,
                        Job& aJob,
                        std::uint32_t aOccurrence,
                        MonotonicTime aNow);

/// Begins the occurrences that are due.
void
BeginOccurrences(Dispatcher& aDispatcher,
                 Job& aJob,
                 std::int64_t aUnixMs,
                 MonotonicTime aNow);

/// Includes a job in the next commit.
void
MarkDirty(Dispatcher& aDispatcher, Job& aJob);

/// Moves a job to its final phase and stops its runs.
void
EndJob(Dispatcher& aDispatcher,
       Job& aJob,
       JobPhase aPhase,
       MonotonicTime aNow,
       Actions& aActions);

/// Applies the ends whose tasks have become known, and gives those up whose
/// tasks are certainly those of jobs that have ended. It must run before any
/// task is started.
void
AttributeEnds(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions);

/// Updates which of the runner's ends the next renewal acknowledges: those that
/// are stored.
void
AcknowledgeStored(const Dispatcher& aDispatcher, Runner& aRunner);

/// Removes a job whose final phase is stored and of which nothing runs.
void
EraseIfFinished(Dispatcher& aDispatcher, Job& aJob);

/// @return the name of the phase in the log
std::string_view
NameOf(TaskPhase aPhase);

/// @return the task of that name; mJob is null if there is none
TaskRef
FindTask(Dispatcher& aDispatcher, const TaskName& aName);

/// @return the queue of that name, or null
const QueueSpec*
FindQueue(const Dispatcher& aDispatcher, std::string_view aQueue);

/// Updates the health of a runner after one of its runs succeeded or failed,
/// and quarantines it after too many failures.
void
UpdateRunnerHealth(Dispatcher& aDispatcher,
                   Runner& aRunner,
                   std::string_view aJob,
                   RunOutcome aOutcome,
                   MonotonicTime aNow);

/// Stops long-running tasks on runners that are about to leave, if there is
/// room for them elsewhere, so that they start there before their runner is
/// gone. Otherwise each of them would be away for a lease after the runner has
/// left.
void
MoveFromLeavingRunners(Dispatcher& aDispatcher,
                       MonotonicTime aNow,
                       Actions& aActions);

/// Counts the result of a start order for the data centre of its runner.
void
CountStartContact(Dispatcher& aDispatcher,
                  const Runner& aRunner,
                  StartResult aResult,
                  MonotonicTime aNow);

/// @return whether start orders to a data centre are answered, where those to
/// some data
///         centre got no answer
StartReach
ReachOf(const StartContact& aContact, MonotonicTime aNow);

/// Logs for a few steps that have waited long how many runners can't take their
/// tasks, and why.
void
ExplainWaiting(Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return the number of jobs that can't meet their objective any more, of
///         which best-effort tasks wait and nothing runs
std::size_t
CountIdleLateJobs(const Dispatcher& aDispatcher, MonotonicTime aNow);

// Interference of best-effort tasks with long-running tasks. The dispatcher
// limits it by the pace of the best-effort tasks: the percentage of its full
// speed to which the runner throttles a task.

/// Runners report the load of the last half second. A report reflects the start
/// or the change of pace of a task only after this time.
inline constexpr Millis kReportLag{ 600 };
/// Tasks that raise the utilization by less than this are not throttled.
inline constexpr double kNegligibleRise = 0.01;
/// Rise of utilization by all best-effort tasks of a runner that is always
/// allowed. With smaller values, many harmless tasks are throttled to protect
/// the few serving tasks that would miss their target; with larger values,
/// serving tasks lose more than best-effort tasks gain.
inline constexpr double kToleratedRise = 0.09;
/// Smallest pressure factor that is assumed of a task for the near future. A
/// task in its calm phase may become busy before the next report shows it.
inline constexpr double kMinPressureFactor = 0.6;

/// @return whether the task is a serving task: a running long-running task with
///         a tail latency target that has reported its tail latency
bool
IsServing(const TaskRef& aTask);

/// @return whether the task reserves no processors
bool
IsBestEffort(const TaskRef& aTask);

/// @return whether the reported load of the task reflects its present pace
bool
ReflectsCurrentPace(const Task& aTask, MonotonicTime aNow);

/// @return the interference of a task with this CPU use ratio, relative to a
///         task with ratio 1. Interference falls much faster than CPU use.
double
PressureFactor(double aCpuUseRatio);

/// @return the pressure of a best-effort task: its share of the runner's
///         processors, scaled by its pace and its pressure factor. The rise of
///         utilization that it causes is proportional to its pressure.
double
PressureOf(const Runner& aRunner, const TaskRef& aTask);

/// Updates the CPU use ratio of a best-effort task from its reported load.
void
UpdateCpuUseRatio(const TaskRef& aTask, MonotonicTime aNow);

/// Updates the estimates of interference from the tail latencies that a runner
/// has just reported.
void
LearnFromTails(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow);

/// SummarizeServingLoad() must have been called for the runner in the same
/// pass.
/// @return the upper bound of the rise of utilization that a best-effort task
///         would cause to the serving tasks of the runner, or nothing if it
///         must not start there
std::optional<double>
InterferenceCost(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 const TaskRef& aTask,
                 MonotonicTime aNow);

/// SummarizeServingLoad() must have been called for the runner in the same
/// pass.
/// @return how well the serving tasks of the runner tolerate any best-effort
///         image, from 0 to 1
double
InterferenceTolerance(const Dispatcher& aDispatcher, const Runner& aRunner);

/// @return the upper bound of the rise of a serving step's utilization that a
///         task on the runner causes at full pace
double
UtilizationRiseBound(const Dispatcher& aDispatcher,
                     const Runner& aRunner,
                     const TaskRef& aTask,
                     const ServingStepLoad& aServing,
                     MonotonicTime aNow);

/// Summarizes the load of the serving tasks on a runner, and the interference
/// of the best-effort tasks beside them, for one placement pass.
void
SummarizeServingLoad(Dispatcher& aDispatcher,
                     Runner& aRunner,
                     MonotonicTime aNow);

/// Adds a task that was started during the pass to that summary.
void
AddNeighbourLoad(const Dispatcher& aDispatcher,
                 Runner& aRunner,
                 const TaskRef& aTask,
                 MonotonicTime aNow);

/// @return whether the runner's best-effort tasks get much less CPU time than
///         they demand
bool
IsBestEffortStarved(const Runner& aRunner, MonotonicTime aNow);

/// Pace at which an overcommitted task starts, before its effect on others is
/// known. AdjustPace() raises it within a second where nothing speaks against
/// it.
inline constexpr std::uint8_t kFirstOvercommittedPacePercent = 25;

/// Orders a runner to throttle a run to a percentage of its full speed.
void
OrderPace(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          std::uint8_t aPercent,
          MonotonicTime aNow,
          Actions& aActions);

/// Throttles the best-effort tasks of a runner so that its serving tasks keep
/// their tail latency targets, and moves tasks that would be slow for long.
void
AdjustPace(Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           MonotonicTime aNow,
           Actions& aActions);

// Runners and their leases.

/// Handles the restart of a runner: ends the runs of its former process and
/// resets the state that depends on it.
void
ResetRunner(Dispatcher& aDispatcher,
            RunnerIndex aRunner,
            std::int64_t aIncarnation,
            MonotonicTime aNow,
            Actions& aActions);

/// Updates the time from which all leases of the runner have certainly ended.
void
UpdateLeaseExpiry(Dispatcher& aDispatcher, Runner& aRunner);

/// @return the length of the longest lease that may be granted now
Millis
GrantableLease(const Dispatcher& aDispatcher, MonotonicTime aNow);

/// Extends the leases of a runner by an order that is sent now.
/// @return the lease end to send, on the runner's clock
std::int64_t
GrantLease(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow);

/// @return whether service discovery lists the runner, or has listed it within
///         the grace period
bool
WasRecentlyListed(const Runner& aRunner, MonotonicTime aNow);

/// @return the processors, in thousandths of a core, that further best-effort
///         tasks may use; negative if the present ones, without overcommitted
///         tasks, demand more than there is
std::int64_t
UnusedMilliCores(const Runner& aRunner);

/// Passes an event to the log.
void
Emit(const Dispatcher& aDispatcher,
     std::string_view aEvent,
     const Job* aJob,
     std::string aDetails);

} // namespace paddle::dispatch
