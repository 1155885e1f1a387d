#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

#include "Scenario.h"
#include "Workload.h"

namespace paddle::bench {

/// Start of virtual time.
inline constexpr MonotonicTime kVirtualStart{ std::chrono::hours(1) };

/// @return the point of virtual time @p aSecond seconds after its start
inline MonotonicTime
VirtualTimeAt(double aSecond)
{
  return kVirtualStart + std::chrono::duration_cast<MonotonicTime::duration>(
                           std::chrono::duration<double>(aSecond));
}

/// Totals of the tasks of a run.
struct ClusterResult
{
  /// Core seconds of progress of batch jobs, without progress that was lost
  /// because it was not in a checkpoint.
  double mBatchCoreS = 0;
  /// Part of mBatchCoreS while a data centre was out of service.
  double mOutOfServiceBatchCoreS = 0;
  /// Core seconds not reserved for services in the other data centres in that
  /// time.
  double mOutOfServiceCapacityCoreS = 0;
  std::uint64_t mEvictions = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mOvercommittedStarts = 0; ///< Beyond a worker's capacity.
  std::uint64_t mDuplicateStarts = 0;     ///< Of a job that ran already.
  /// Starts in a data centre more than 3 s after it was taken out of service.
  std::uint64_t mLateStarts = 0;
  double mUrgentWaitP99S = 0;
};

/// Simulated workers in virtual time that run the tasks that one placement
/// shard starts on them.
class Cluster
{
public:
  Cluster(const Deployment& aDeployment,
          const Scenario& aScenario,
          const std::vector<BenchJob>& aJobs,
          const PlacementPolicy& aPolicy);

  /// Advances virtual time to @p aSecond in steps of kStepS.
  void AdvanceTo(double aSecond);

  /// @return the factor by which interference slows the requests of a runner
  ///         down; nothing while the runner does not run
  [[nodiscard]] std::optional<double> Slowdown(std::size_t aRunner) const;

  /// Sets the share of a runner's slots that are in use, from 0 to 1.
  void SetBusy(std::size_t aRunner, double aShare);

  [[nodiscard]] ClusterResult Result() const;

  /// Length of a step of virtual time.
  static constexpr double kStepS = 0.5;

private:
  struct Task
  {
    const BenchJob* mJob = nullptr; ///< Null for a runner.
    std::string mName;
    std::uint32_t mAttempt = 0;
    double mProgressS = 0;     ///< Run time without interference so far.
    double mCheckpointedS = 0; ///< Progress at the latest checkpoint.
    bool mThrottled = false;
    std::optional<std::size_t> mRunner; ///< Index of the runner, if it is one.
    ResourceVector mReserved;
  };
  struct SimulatedWorker
  {
    std::vector<Task> mTasks;
    std::vector<TaskOutcome> mOutcomes; ///< Not acknowledged yet.
    /// Latest reports, oldest first. Usage is taken from the oldest.
    std::deque<std::vector<TaskReport>> mPastReports;
    bool mFailsAllTasks = false;
    double mUtilization = 0; ///< Used share of the cores; can exceed 1.
    double mSlowdown = 1;    ///< Factor on the latency of requests.
  };

  void Step();
  /// Submits the jobs that have arrived, and the runners in the second step.
  void SubmitArrived();
  /// Cancels the jobs of the cancellation wave when it is due.
  void CancelWaveJobs();
  /// Updates the states of the data centres and confirms held-back rows, unless
  /// the table service is out.
  void SyncWithTableService();
  /// Advances the tasks of a worker by one step and ends those that are done.
  void RunTasks(std::size_t aWorker);
  /// Computes the utilization and the slowdown of a worker from its tasks.
  void UpdateInterference(std::size_t aWorker);
  /// @return the cores of a worker that are not reserved for runners
  double CoresForBatch(const SimulatedWorker& aWorker) const;
  /// @return the resources that a task uses now
  ResourceVector UsageOf(const Task& aTask) const;
  /// @return the state of all tasks of a worker, with their current usage
  std::vector<TaskReport> TaskReportsOf(const SimulatedWorker& aWorker) const;
  /// Passes the report of a worker to the placement shard.
  void PollWorker(std::size_t aWorker);
  /// Performs actions of the placement shard and the actions that follow from
  /// them.
  void Execute(Actions aActions);
  void Perform(const StartTask& aStart, Actions& aFollowUpActions);
  void Perform(const StopTask& aStop, Actions& aFollowUpActions);
  void Perform(const CheckpointTask& aCheckpoint, Actions& aFollowUpActions);
  void Perform(const ThrottleTask& aThrottle, Actions& aFollowUpActions);
  void Perform(const CommitRow& aCommit, Actions& aFollowUpActions);
  /// Removes a task and records its outcome for the next report.
  /// @param aTask index in the tasks of the worker
  void FinishTask(SimulatedWorker& aWorker,
                  std::size_t aTask,
                  TaskResult aResult);
  /// @return the task with that attempt; null if it is not on the worker
  Task* FindTask(std::size_t aWorker,
                 const std::string& aJob,
                 std::uint32_t aAttempt);
  /// @param aCoreS progress of batch work; negative if it was lost
  void CountProgress(double aCoreS);
  /// @return whether the worker's data centre is in service
  bool DataCentreInService(std::size_t aWorker) const;

  const Deployment& mDeployment;
  const Scenario& mScenario;
  const std::vector<BenchJob>& mJobs;
  Shard mShard;
  std::vector<SimulatedWorker> mSimulatedWorkers;
  std::map<std::string, const BenchJob*> mJobsByName;
  std::map<std::string, double> mCheckpointedS;  ///< By job.
  std::map<std::string, std::size_t> mRunningOn; ///< Worker by job.
  std::vector<std::optional<std::size_t>> mWorkerOfRunner;
  std::vector<double> mBusyShares;
  /// Rows written during an outage of the table service.
  std::deque<CommitRow> mUncommittedRows;
  std::vector<double> mUrgentWaitsS;
  std::size_t mNextJob = 0;
  double mNowS = 0;
  std::uint64_t mSteps = 0;
  ClusterResult mResult;
};

} // namespace paddle::bench
