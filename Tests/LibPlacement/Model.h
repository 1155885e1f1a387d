#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle::test {

/// A task on a simulated worker.
struct ModelTask
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  std::uint64_t mEpoch = 0;
  ResourceVector mReserved;
  std::uint64_t mLeaseEndMs = 0;     ///< On the worker's clock.
  std::uint64_t mProgressMs = 0;     ///< Run time over all attempts.
  std::uint64_t mCheckpointedMs = 0; ///< Progress at the latest checkpoint.
  bool mFails = false;               ///< The task fails soon after its start.
};

/// A simulated worker with its own clock. It may be silent, reboot, or fail its
/// tasks.
struct ModelWorker
{
  WorkerSpec mSpec;
  std::uint64_t mBoot = 1;
  std::uint64_t mClockOffsetMs = 0;
  std::uint64_t mEpoch = 0; ///< The highest epoch received.
  std::uint64_t mSilentUntilMs = 0;
  bool mFailsAll = false; ///< Tasks that start now will fail.
  std::vector<ModelTask> mTasks;
  std::vector<TaskOutcome> mOutcomes; ///< Not acknowledged yet.
};

/// Parameters of one simulation.
struct ModelSettings
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 8;
  std::size_t mJobs = 60;
  std::uint64_t mFaultsUntilMs = 60000; ///< Faults are injected until then.
  std::uint64_t mEndMs = 600000;        ///< Every job must be finished by then.
  std::string mPolicy = "learned";
};

/// Runs one shard against simulated workers, network and table on a virtual
/// clock, with random faults, and checks the guarantees of LibPlacement at each
/// start.
class Model
{
public:
  explicit Model(const ModelSettings& aSettings);

  void Run();

  /// @return a text for each guarantee that was violated
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }
  [[nodiscard]] std::size_t Starts() const { return mStarts; }
  [[nodiscard]] std::size_t Evictions() const { return mEvictions; }
  [[nodiscard]] std::size_t Takeovers() const { return mTakeovers; }

private:
  /// A row of the simulated table.
  struct Row
  {
    JobRow mRow;
    bool mDone = false; ///< The job's phase is final.
  };
  /// A request for a report, on its way to a worker.
  struct Poll
  {
    std::uint64_t mEpoch = 0;
    PollPlan mPlan;
    std::uint64_t mSentMs = 0;
  };

  MonotonicTime Now() const;
  /// @return a random number from 0 to @p aBelow - 1
  std::uint64_t Random(std::uint64_t aBelow);
  /// @return true with a probability of @p aPercent percent
  bool Chance(std::uint64_t aPercent);
  std::uint64_t RandomDelayMs();
  /// @return whether faults are injected at present
  bool FaultsEnabled() const { return mNowMs < mSettings.mFaultsUntilMs; }
  /// Schedules a function for a moment of the virtual clock.
  void ScheduleAt(std::uint64_t aMs, std::function<void()> aEvent);
  /// Records that a guarantee was violated.
  void AddViolation(const std::string& aWhat);

  /// Replaces the owner of the shard by one with a higher epoch.
  void TakeOver(PriorOwner aPriorOwner);
  void Submit();
  /// Does what the owner and the simulation do every kStepMs.
  void Step();
  void InjectFaults();
  void PollWorkers();
  /// Carries out the actions that LibPlacement asked for.
  void Execute(const Actions& aActions);
  void Perform(const StartTask& aStart);
  void Perform(const StopTask& aStop);
  void Perform(const CheckpointTask& aCheckpoint);
  void Perform(const ThrottleTask&) {}
  void Perform(const CommitRow& aCommit);
  void Commit(std::uint64_t aEpoch, const CommitRow& aCommit);

  std::uint64_t ClockOf(const ModelWorker& aWorker) const;
  /// Ends the worker's tasks that failed, are complete or lost their lease.
  void EndDueTasks(ModelWorker& aWorker);
  /// @return whether the worker is reachable and accepts a command with the
  /// epoch
  bool AcceptEpoch(ModelWorker& aWorker, std::uint64_t aEpoch);
  StartAnswer ReceiveStart(WorkerIndex aWorker,
                           std::uint64_t aEpoch,
                           const StartTask& aStart);
  void ReceivePoll(WorkerIndex aWorker, const Poll& aPoll);
  WorkerReport MakeReport(ModelWorker& aWorker);
  /// Checks all guarantees for a start that the worker is about to accept.
  void CheckStart(WorkerIndex aWorker,
                  std::uint64_t aEpoch,
                  const StartTask& aStart);
  /// Checks at the end of the run that every job is finished.
  void CheckFinished();

  ModelSettings mSettings;
  std::mt19937_64 mRandom;
  PlacementPolicy mPolicy;
  std::uint64_t mNowMs = 1000000;
  std::uint64_t mEpoch = 0;
  Shard mShard;
  std::vector<ModelWorker> mWorkers;
  std::map<std::string, Row> mTable;
  std::map<std::string, std::uint64_t> mRunTimeMs; ///< Total run time by job.
  /// Progress, by job, at the latest checkpoint that was acknowledged.
  std::map<std::string, std::uint64_t> mSavedProgressMs;
  /// Worker and attempt of the latest start that was accepted, by job.
  std::map<std::string, std::pair<WorkerIndex, std::uint32_t>> mLatestStart;
  std::set<std::string> mFinished; ///< Jobs whose completion was acknowledged.
  /// Job, epoch and attempt of each start that was accepted.
  std::set<std::pair<std::string, std::pair<std::uint64_t, std::uint32_t>>>
    mStarted;
  std::map<std::string, std::uint64_t>
    mOutSinceMs; ///< When each data centre went out of service.
  std::multimap<std::uint64_t, std::function<void()>> mEvents;
  std::uint64_t mTableDownUntilMs = 0;
  std::uint64_t mLastCommitMs = 0;
  std::size_t mSubmitted = 0;
  std::vector<std::string> mViolations;
  std::size_t mStarts = 0;
  std::size_t mEvictions = 0;
  std::size_t mTakeovers = 0;
};

} // namespace paddle::test
