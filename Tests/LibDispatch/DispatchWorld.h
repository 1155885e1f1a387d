#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

/// Runners in virtual time, driven by a dispatcher's orders. A runner keeps
/// what it runs and lists its ends until they are acknowledged.
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
    bool mAnswers = true;
  };

  DispatchWorld();

  /// Lists runners r0, r1, ... of 16 cores and 64 GB, four a rack.
  void ListRunners(std::size_t aCount);
  /// Takes the shard again as a later owner with the progress in mStored.
  void TakeOver(std::int64_t aEpoch);

  void AddJob(JobSpec aSpec, PriorRuns aPriorRuns = PriorRuns::None);
  /// Lets time pass in steps of 50 ms; runners answer renewals at each.
  void AdvanceTime(Millis aTime);
  /// Lets every runner answer one renewal.
  void Report();
  void Report(RunnerIndex aRunner);
  void Tick();
  void Commit();

  /// Ends the task's run at its runner, to be listed with its next answer.
  void End(const std::string& aTask, EndKind aKind);
  [[nodiscard]] bool IsRunning(const std::string& aTask) const;
  [[nodiscard]] std::string RunnerOf(const std::string& aTask) const;
  [[nodiscard]] std::size_t RunningTasks() const;

  void PerformOrders();

  Dispatcher mCore;
  std::map<std::string, FakeRunner> mRunners;
  std::vector<RunnerSpec> mListed;
  std::map<std::string, JobProgress> mStored;
  std::map<std::string, JobSpec> mAccepted;
  /// Records of silent runners that the former owner stored.
  std::map<std::string, std::vector<PossibleRun>> mRecords;
  std::map<std::string, JobPhase> mEndedJobs;
  Actions mActions;
  MonotonicTime mNow{ Seconds(1000) };
  /// Starts are performed, unless this holds: then they get no answer.
  bool mDropStarts = false;
  std::vector<StartTask> mLostStarts;
  std::vector<PaceTask> mPaceOrders;
  std::uint32_t mStarts = 0;
  std::int32_t mProgressPercent =
    50; ///< Percent that runners report for each run.
  /// @return the figure that a runner reports for a run; 0 without one
  std::function<std::int32_t(const FakeRunner&, const Run&)> mLoadOf;
};

/// A step of finite tasks that reserve processors.
StepSpec
FiniteStep(std::uint32_t aTasks, std::int64_t aCores);
/// A step of lasting tasks with a tail target of 18 ms.
StepSpec
LongRunningStep(std::uint32_t aTasks, std::int64_t aCores);
/// A step of tasks without reservation.
StepSpec
BestEffortStep(std::uint32_t aTasks, std::int64_t aCores, std::string aImage);
JobSpec
MakeJob(std::string aId, std::vector<StepSpec> aSteps);

} // namespace paddle::dispatch
