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

/// A task on a modelled worker.
struct ModelTask
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  std::uint64_t mEpoch = 0;
  Amount mReserved;
  std::uint64_t mLeaseEndMs = 0; ///< On the worker's clock.
  std::uint64_t mProgressMs = 0;
  std::uint64_t mSavedMs = 0;
  bool mFails = false;
};

/// A worker with its own clock, which may be silent, reboot or fail tasks.
struct ModelWorker
{
  WorkerSpec mSpec;
  std::uint64_t mBoot = 1;
  std::uint64_t mClockOffsetMs = 0;
  std::uint64_t mEpoch = 0;
  std::uint64_t mSilentUntilMs = 0;
  bool mFailsAll = false;
  std::vector<ModelTask> mTasks;
  std::vector<TaskOutcome> mOutcomes;
};

/// What a seed varies.
struct ModelSettings
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 8;
  std::size_t mJobs = 60;
  std::uint64_t mFaultsUntilMs = 60000;
  std::uint64_t mEndMs = 600000;
  std::string mPolicy = "learned";
};

/// Runs one shard against modelled workers, network and table on a virtual
/// clock, with random faults, and checks the guarantees at every start.
class Model
{
public:
  explicit Model(const ModelSettings& aSettings);

  void Run();

  /// @return what was violated, empty if nothing was
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }
  [[nodiscard]] std::size_t Starts() const { return mStarts; }
  [[nodiscard]] std::size_t Evictions() const { return mEvictions; }
  [[nodiscard]] std::size_t Takeovers() const { return mTakeovers; }

private:
  struct Row
  {
    JobRow mRow;
    bool mDone = false;
  };
  struct Poll
  {
    std::uint64_t mEpoch = 0;
    PollPlan mPlan;
    std::uint64_t mSentMs = 0;
  };

  MonotonicTime Now() const;
  std::uint64_t Random(std::uint64_t aBelow);
  bool Chance(std::uint64_t aPercent);
  std::uint64_t Delay();
  bool Faulty() const { return mNowMs < mSettings.mFaultsUntilMs; }
  void At(std::uint64_t aMs, std::function<void()> aDo);
  void Fail(const std::string& aWhat);

  void TakeOver(History aHistory);
  void Submit();
  void Step();
  void InjectFaults();
  void PollWorkers();
  void Execute(const Actions& aActions);
  void Perform(const StartTask& aStart);
  void Perform(const StopTask& aStop);
  void Perform(const CheckpointTask& aCheckpoint);
  void Perform(const ThrottleTask&) {}
  void Perform(const CommitRow& aCommit);
  void Commit(std::uint64_t aEpoch, const CommitRow& aCommit);

  std::uint64_t ClockOf(const ModelWorker& aWorker) const;
  void Advance(ModelWorker& aWorker);
  bool ReceiveEpoch(ModelWorker& aWorker, std::uint64_t aEpoch);
  StartAnswer ReceiveStart(WorkerIndex aWorker,
                           std::uint64_t aEpoch,
                           const StartTask& aStart);
  void ReceivePoll(WorkerIndex aWorker, const Poll& aPoll);
  WorkerReport MakeReport(ModelWorker& aWorker);
  void CheckStart(WorkerIndex aWorker,
                  std::uint64_t aEpoch,
                  const StartTask& aStart);
  void CheckFinished();

  ModelSettings mSettings;
  std::mt19937_64 mRandom;
  PlacementPolicy mPolicy;
  std::uint64_t mNowMs = 1000000;
  std::uint64_t mEpoch = 0;
  Shard mShard;
  std::vector<ModelWorker> mWorkers;
  std::map<std::string, Row> mTable;
  std::map<std::string, std::uint64_t> mWork; ///< True run time by job.
  std::map<std::string, std::uint64_t> mSaved;
  std::map<std::string, std::pair<WorkerIndex, std::uint32_t>> mLatest;
  std::set<std::string> mFinished; ///< End was acknowledged.
  std::set<std::pair<std::string, std::pair<std::uint64_t, std::uint32_t>>>
    mStarted;
  std::map<std::string, std::uint64_t> mOutSinceMs; ///< Data centres.
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
