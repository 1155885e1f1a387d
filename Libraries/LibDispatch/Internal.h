#pragma once

#include <optional>
#include <string>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

/// How a run ended as far as its task is concerned.
enum class RunOutcome
{
  Done,
  Failed,
  Interrupted ///< It runs again, from its checkpoint if there is one.
};

/// Takes a task's run off its runner and decides what becomes of the task.
/// @param aRun the run that failed, where it did
/// @return whether the end changed what must be stored
bool
EndRun(Dispatcher& aDispatcher,
       const TaskRef& aTask,
       RunOutcome aOutcome,
       std::int64_t aRun,
       std::string_view aCheckpoint,
       MonotonicTime aNow,
       Actions& aActions);

/// Takes up a run of a task that this owner believes to run nowhere.
/// @return whether it was taken up
bool
AdoptRun(Dispatcher& aDispatcher,
         RunnerIndex aRunner,
         const TaskRef& aTask,
         std::int64_t aRun,
         MonotonicTime aNow);

/// Puts a task's run on a runner's account.
void
AssignToRunner(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               const TaskRef& aTask);

/// Orders a stop and keeps the run on its runner's account until its end is
/// known.
void
BeginStop(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          StopCause aCause,
          MonotonicTime aNow,
          Actions& aActions);

/// Gives up all runs of a runner whose process or lease has ended.
void
EndAllRuns(Dispatcher& aDispatcher,
           Runner& aRunner,
           MonotonicTime aNow,
           Actions& aActions);

/// Opens the steps of an occurrence whose turn has come.
void
MarkReadySteps(Dispatcher& aDispatcher,
               Job& aJob,
               std::uint32_t aOccurrence,
               MonotonicTime aNow);

/// @return the longest chain of estimates from a step to the job's end
Millis
RemainingCriticalPath(const Job& aJob,
                      std::uint32_t aOccurrence,
                      std::uint32_t aStep);

/// Enters a step into the order of service or takes it out.
void
UpdateWaiting(Dispatcher& aDispatcher,
              Job& aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep);

/// Begins the occurrences that are due.
void
BeginOccurrences(Dispatcher& aDispatcher,
                 Job& aJob,
                 std::int64_t aUnixMs,
                 MonotonicTime aNow);

void
MarkDirty(Dispatcher& aDispatcher, Job& aJob);

/// Gives a job its last phase and stops what runs of it.
void
EndJob(Dispatcher& aDispatcher,
       Job& aJob,
       JobPhase aPhase,
       MonotonicTime aNow,
       Actions& aActions);

/// Lets the next renewal acknowledge the runner's ends that are stored.
void
AcknowledgeStored(const Dispatcher& aDispatcher, Runner& aRunner);

/// Removes a job of which nothing is left to do.
void
EraseIfFinished(Dispatcher& aDispatcher, Job& aJob);

TaskRef
FindTask(Dispatcher& aDispatcher, const TaskName& aName);

const QueueSpec*
FindQueue(const Dispatcher& aDispatcher, std::string_view aQueue);

/// Takes note of a finished or failed run in the runner's health.
void
UpdateRunnerHealth(Dispatcher& aDispatcher,
                   Runner& aRunner,
                   std::string_view aJob,
                   RunOutcome aOutcome,
                   MonotonicTime aNow);

/// Emits what keeps the first steps that have waited for long from starting.
void
ExplainWaiting(Dispatcher& aDispatcher, MonotonicTime aNow);

// Disturbance of lasting tasks by tasks without reservation.

/// Figures are of the last half second: those of a task count from this long
/// after its start or change of pace.
inline constexpr Millis kReportLag{ 600 };
/// A smaller rise of utilization decides nothing.
inline constexpr double kNegligibleRise = 0.01;
/// A rise by all neighbours of which nobody is slowed down for. Smaller values
/// hold many harmless tasks up for few serving tasks that they would make miss
/// their target; larger ones cost serving tasks more than is gained.
inline constexpr double kToleratedRise = 0.09;
/// A calm task may turn busy before the next figures show it.
inline constexpr double kMinPressureFactor = 0.6;

/// @return whether the task serves users of its own and reports their tail
bool
IsServing(const TaskRef& aTask);

bool
IsBestEffort(const TaskRef& aTask);

/// @return whether the task's figures are of its present pace
bool
ReflectsCurrentPace(const Task& aTask, MonotonicTime aNow);

/// @return how strongly a task disturbs beside a task of full activity: a calm
///         phase disturbs much less than it uses less
double
PressureFactor(double aActivity);

/// @return share of the runner's processors by which the task disturbs, as last
///         reported
double
PressureOf(const Runner& aRunner, const TaskRef& aTask);

/// Takes note of what a task without reservation uses.
void
UpdateCpuUseRatio(const TaskRef& aTask, MonotonicTime aNow);

/// Learns from the tails that a runner has just reported.
void
LearnFromTails(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow);

/// @return the rise of utilization that a task without reservation is feared to
///         cause to the runner's lasting tasks, or nothing if it must not start
///         there
/// Only valid after SummarizeServingLoad() in the same pass.
std::optional<double>
InterferenceCost(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 const TaskRef& aTask,
                 MonotonicTime aNow);

/// @return how far any image may run there without disturbing, 0 to 1
/// Only valid after SummarizeServingLoad() in the same pass.
double
InterferenceTolerance(const Dispatcher& aDispatcher, const Runner& aRunner);

/// @return the rise that a task on the runner is feared to cause at full pace
double
UtilizationRiseBound(const Dispatcher& aDispatcher,
                     const Runner& aRunner,
                     const TaskRef& aTask,
                     const ServingStepLoad& aServing,
                     MonotonicTime aNow);

/// Sums up a runner's lasting tasks and their neighbours for one placement
/// pass.
void
SummarizeServingLoad(Dispatcher& aDispatcher,
                     Runner& aRunner,
                     MonotonicTime aNow);

/// Adds a task that was started during the pass to its runner's sums.
void
AddNeighbourLoad(const Dispatcher& aDispatcher,
                 Runner& aRunner,
                 const TaskRef& aTask,
                 MonotonicTime aNow);

/// @return whether the runner's tasks without reservation get much less than
///         they ask for
bool
IsBestEffortStarved(const Runner& aRunner, MonotonicTime aNow);

/// Adjusts the pace of tasks without reservation to the lasting tasks beside
/// them.
void
AdjustPace(Dispatcher& aDispatcher,
           RunnerIndex aRunner,
           MonotonicTime aNow,
           Actions& aActions);

/// Forgets everything about a runner's former process.
void
ResetRunner(Dispatcher& aDispatcher,
            RunnerIndex aRunner,
            std::int64_t aIncarnation,
            MonotonicTime aNow,
            Actions& aActions);

/// Recomputes when the runner's leases have surely ended.
void
UpdateLeaseExpiry(Dispatcher& aDispatcher, Runner& aRunner);

/// @return the lease end, on the runner's clock, that an order sent now grants
std::int64_t
GrantLease(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow);

/// @return whether service discovery lists the runner, or did until just now
bool
WasRecentlyListed(const Runner& aRunner, MonotonicTime aNow);

/// @return processors that tasks without reservation may still use; negative if
///         they have asked for more than there is
std::int64_t
UnusedMilliCores(const Runner& aRunner);

void
Emit(const Dispatcher& aDispatcher,
     std::string_view aEvent,
     const Job* aJob,
     std::string aDetails);

} // namespace paddle::dispatch
