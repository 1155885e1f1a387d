#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

/// Simulates runners in virtual time. They carry out the orders of a
/// dispatcher, and report the ends of runs until these are acknowledged. Stored
/// rows are simulated as well, so that a later owner can take the shard over.
struct DispatchWorld
{
  struct Run
  {
    std::string mTask;
    std::int64_t mRun = 0;
    std::int32_t mReportedLoad = 0;
  };
  struct FakeRunner
  {
    std::vector<Run> mRunning;
    std::vector<EndEntry> mEnds;
    std::int64_t mNextEnd = 1;
    std::int64_t mIncarnation = 1;
    /// Tasks and runs that it was ordered to stop.
    std::set<std::pair<std::string, std::int64_t>> mStopped;
    bool mAnswers = true; ///< Whether the runner answers any order.
    /// Rate of the runner's clock. At 0.98, its leases last longer.
    double mClockRate = 1;
    /// End of the leases of its runs, on its own clock.
    std::int64_t mLeaseEndMs = 0;
    std::int64_t mFencingToken = 0; ///< Highest token seen.
  };

  DispatchWorld();

  /// Lists runners r0, r1, ... with 16 cores and 64 GB each, four in a rack.
  void ListRunners(std::size_t aCount);
  /// Ends the runs of a runner, which answers nothing and is listed no more.
  void Leave(const std::string& aRunner);
  /// Replaces the process of a runner, which ends its runs.
  void Restart(const std::string& aRunner);
  /// Sets the end of a runner's leases, as if an earlier owner that is cut off
  /// from the present one had renewed them.
  void ExtendLeases(const std::string& aRunner, Millis aLeft);
  /// Replaces the dispatcher by that of a later owner, which starts from the
  /// stored progress and records.
  void TakeOver(std::int64_t aEpoch);

  /// Accepts a job and runs a placement pass.
  void AddJob(JobSpec aSpec, PriorRuns aPriorRuns = PriorRuns::None);
  /// Lets time pass in steps of 50 ms. In each step, the runners end the runs
  /// whose leases are over and answer a renewal, and the changed jobs are
  /// stored.
  void AdvanceTime(Millis aTime);
  /// Lets time pass until a task runs, or @p aLimit is over.
  /// @return the time that passed
  Millis TimeUntilRunning(const std::string& aTask,
                          Millis aLimit = Seconds(30));
  /// Lets every runner answer a renewal.
  void Report();
  void Report(RunnerIndex aRunner);
  void Tick();
  void Commit(); ///< Stores the changed jobs.
  /// Ends the runs of all runners whose leases are over.
  void ExpireLeases();
  /// Reports the start orders that could not be sent in time.
  void GiveUpUnsentStarts();
  /// Lets orders and answers arrive that crossed a slow link.
  void DeliverFromSlowLinks();

  /// Ends the run of a task on its runner, which reports it with its next
  /// answer.
  void End(const std::string& aTask, EndKind aKind);
  [[nodiscard]] bool IsRunning(const std::string& aTask) const;
  [[nodiscard]] std::string RunnerOf(const std::string& aTask) const;
  [[nodiscard]] std::size_t RunningTasks() const;
  [[nodiscard]] std::int64_t ClockOf(const FakeRunner& aRunner) const;

  /// Carries out the orders in mActions and those that follow from the answers.
  void PerformOrders();
  /// Sends an order across a slow link.
  void SendSlowly(const StartTask& aStart, Millis aRoundTrip);
  void SendSlowly(const StopTask& aStop, Millis aRoundTrip);
  // Carry out an order at a runner.
  /// @param aFencingToken token of the order; a lower one than the runner has
  ///                      seen has no effect
  void CarryOutStart(const std::string& aRunner,
                     const Run& aRun,
                     std::int64_t aLeaseEndMs,
                     std::int64_t aFencingToken);
  void CarryOutStop(const std::string& aRunner,
                    const TaskName& aTask,
                    std::int64_t aRun);

  Dispatcher mDispatcher;
  std::map<std::string, FakeRunner> mRunners;
  std::vector<RunnerSpec> mListed; ///< Runners that service discovery lists.
  std::map<std::string, JobProgress> mStored; ///< Stored progress, by job.
  std::map<std::string, JobSpec> mAccepted;   ///< Stored jobs.
  /// When they were accepted, if it was not at the latest change of owner.
  std::map<std::string, MonotonicTime> mAcceptedAt;
  /// Stored records of the runs that silent runners may have, by runner.
  std::map<std::string, std::vector<PossibleRun>> mRecords;
  /// When the leases of these runs have ended, as far as the records say it.
  std::map<std::string, MonotonicTime> mRecordedLeaseEnds;
  std::map<std::string, JobPhase> mEndedJobs; ///< Final phases, by job.
  Actions mActions;
  MonotonicTime mNow{ Seconds(1000) };
  /// Whether start orders are lost, so that they get no answer.
  bool mDropStarts = false;
  /// Data centres to which no start order can be sent, although their runners
  /// answer renewals.
  std::set<std::string> mStartsNotSentTo;
  /// Such orders, and when their sender gives them up.
  std::vector<std::pair<StartTask, MonotonicTime>> mUnsentStarts;
  /// Round trip to the runners of data centres beyond a slow link. A start or
  /// stop order opens a connection first, so that it is carried out after one
  /// and a half round trips, and an answer after more than the sender's
  /// time-out counts for nothing. Renewals are answered at once.
  std::map<std::string, Millis> mRoundTrips;
  /// What happens on the way to these runners and back, by time.
  std::multimap<MonotonicTime, std::function<void()>> mOnTheWay;
  std::vector<StartTask> mLostStarts;
  std::vector<PaceTask> mPaceOrders;
  std::uint32_t mStarts = 0; ///< Number of start orders, lost ones included.
  /// Tasks of which a runner was told that an end as done was taken note of.
  std::set<std::string> mNotedDone;
  /// Number of start orders for tasks among these.
  std::uint32_t mStartsAfterNotedEnd = 0;
  /// Largest number of runs that any task had at the same time, after an order
  /// to start it.
  std::size_t mMostRunsOfATask = 0;
  /// Progress that runners report for each run.
  std::int32_t mProgressPercent = 50;
  /// Function that returns the load that a runner reports for a run. Without a
  /// function, Run::mReportedLoad is reported.
  std::function<std::int32_t(const FakeRunner&, const Run&)> mLoadOf;
};

/// @return a step of finite tasks that reserve processors
StepSpec
FiniteStep(std::uint32_t aTasks, std::int64_t aMilliCores);
/// @return a step of long-running tasks with a tail latency target of 18 ms
StepSpec
LongRunningStep(std::uint32_t aTasks, std::int64_t aMilliCores);
/// @return a step of finite best-effort tasks
StepSpec
BestEffortStep(std::uint32_t aTasks,
               std::int64_t aMilliCores,
               std::string aImage);
/// @return a job in the only queue
JobSpec
MakeJob(std::string aId, std::vector<StepSpec> aSteps);

} // namespace paddle::dispatch
