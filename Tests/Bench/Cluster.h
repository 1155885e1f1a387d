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
inline constexpr MonotonicTime kEpoch{ std::chrono::hours(1) };

/// @return the point of virtual time after @p aSecond seconds
inline MonotonicTime
At(double aSecond)
{
  return kEpoch + std::chrono::duration_cast<MonotonicTime::duration>(
                    std::chrono::duration<double>(aSecond));
}

/// What a run did with its batch work.
struct ClusterResult
{
  double mBatchCoreS = 0;   ///< Useful work of finished and saved progress.
  double mOutCoreS = 0;     ///< The same while a data centre was out.
  double mOutCapacityS = 0; ///< Left then beside services.
  std::uint64_t mEvictions = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mOvercommitted = 0; ///< Starts beyond a worker's capacity.
  std::uint64_t mDoubled = 0;       ///< Starts of a job that ran elsewhere.
  std::uint64_t mLateStarts = 0;    ///< Starts 3 s after a data centre left.
  double mUrgentWaitP99S = 0;
};

/// Workers on a virtual clock that run what one placement shard decides.
class Cluster
{
public:
  Cluster(const Deployment& aDeployment,
          const Scenario& aScenario,
          const std::vector<BenchJob>& aJobs,
          const PlacementPolicy& aPolicy);

  /// Moves virtual time forward to @p aSecond in steps of kStepS.
  void AdvanceTo(double aSecond);

  /// @return by which factor requests of a runner are slower than on an
  ///         undisturbed worker; nothing while the runner is not running
  [[nodiscard]] std::optional<double> Slowdown(std::size_t aRunner) const;

  /// Tells how busy a runner's slots are, from 0 to 1.
  void SetBusy(std::size_t aRunner, double aShare);

  [[nodiscard]] ClusterResult Result() const;

  static constexpr double kStepS = 0.5;

private:
  struct Task
  {
    const BenchJob* mJob = nullptr;
    std::string mName;
    std::uint32_t mAttempt = 0;
    double mDoneS = 0;
    double mSavedS = 0;
    bool mThrottled = false;
    std::optional<std::size_t> mRunner;
    ResourceVector mReserved;
  };
  struct Machine
  {
    std::vector<Task> mTasks;
    std::vector<TaskOutcome> mOutcomes;
    std::deque<std::vector<TaskReport>> mPastReports; ///< Usage lags.
    bool mFailsAll = false;
    double mContention = 0;
    double mSlowdown = 1;
  };

  void Step();
  void SubmitArrived();
  void CancelSome();
  void RefreshDataCentres();
  void RunTasks(std::size_t aMachine);
  void Measure(std::size_t aMachine);
  double CoresForBatch(const Machine& aMachine) const;
  ResourceVector UseOf(const Task& aTask) const;
  std::vector<TaskReport> ReportOf(const Machine& aMachine) const;
  void PollWorker(std::size_t aMachine);
  void Execute(Actions aActions);
  void Perform(const StartTask& aStart, Actions& aMore);
  void Perform(const StopTask& aStop, Actions& aMore);
  void Perform(const CheckpointTask& aCheckpoint, Actions& aMore);
  void Perform(const ThrottleTask& aThrottle, Actions& aMore);
  void Perform(const CommitRow& aCommit, Actions& aMore);
  void Finish(Machine& aMachine, std::size_t aTask, TaskResult aResult);
  Task* FindTask(std::size_t aMachine,
                 const std::string& aJob,
                 std::uint32_t aAttempt);
  void CountProgress(double aCoreS);
  bool DataCentreIn(std::size_t aMachine) const;

  const Deployment& mDeployment;
  const Scenario& mScenario;
  const std::vector<BenchJob>& mJobs;
  Shard mShard;
  std::vector<Machine> mMachines;
  std::map<std::string, const BenchJob*> mByName;
  std::map<std::string, double> mSavedS; ///< Progress of checkpoints.
  std::map<std::string, std::size_t> mRunningOn;
  std::vector<std::optional<std::size_t>> mRunnerMachine;
  std::vector<double> mBusy;
  std::deque<CommitRow> mUncommitted; ///< During a store outage.
  std::vector<double> mUrgentWaitsS;
  std::size_t mNextJob = 0;
  double mNowS = 0;
  std::uint64_t mSteps = 0;
  ClusterResult mResult;
};

} // namespace paddle::bench
