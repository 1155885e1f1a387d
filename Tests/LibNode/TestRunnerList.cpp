#include <algorithm>
#include <string>
#include <vector>

#include "ClusterSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const std::string kJob = "0123456789abcdef";
const std::string kOtherJob = "fedcba9876543210";

/// @return the name of a task of a job's only step
std::string
TaskNamed(const std::string& aJob, std::uint32_t aIndex)
{
  return aJob + ".0.0." + std::to_string(aIndex);
}

/// Three nodes and a job with long-running tasks.
struct Shard
{
  /// @param aRackBytes length of the name of each runner's rack, which is in
  ///                   the stored list
  Shard(std::size_t aRunners, std::uint32_t aTasks, std::size_t aRackBytes)
    : mCluster(aRunners)
  {
    for (auto& [id, runner] : mCluster.mRunners) {
      runner.mRack = std::string(aRackBytes, 'r');
    }
    Begin(aTasks);
  }

  Shard(std::size_t aRunners,
        std::uint32_t aTasks,
        const StoreLimits& aLimits = {})
    : mCluster(aRunners)
  {
    mCluster.mStore.mLimits = aLimits;
    Begin(aTasks);
  }

  void Begin(std::uint32_t aTasks)
  {
    mCluster.StartNode("a");
    mCluster.AdvanceTime(Seconds(6));
    mCluster.StartNode("b");
    mCluster.StartNode("c");
    mCluster.AdvanceTime(Seconds(3));
    mCluster.Submit("a", kJob, dispatch::StepKind::LongRunning, aTasks);
    mCluster.AdvanceTime(Seconds(3));
    mOwner = mCluster.Shard().mOwner;
    mEpoch = mCluster.Shard().mEpoch;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      mTasks.push_back(TaskNamed(kJob, i));
      CHECK_EQUAL(1, mCluster.Running(mTasks.back()));
    }
  }

  /// Ends the processes of the first runners that have tasks.
  /// @return the tasks that they ran
  std::vector<std::string> LoseRunners(std::size_t aCount)
  {
    std::vector<std::string> tasks;
    for (const auto& [id, runner] : mCluster.mRunners) {
      if (aCount > 0 && runner.mUp && !runner.mRunning.empty()) {
        --aCount;
        for (const ClusterSimulation::FakeRun& run : runner.mRunning) {
          tasks.push_back(run.mTask);
        }
        mCluster.RemoveRunner(id, Millis(4500));
      }
    }
    LONGS_EQUAL(0, aCount);
    return tasks;
  }

  /// Advances the clock to @p aLimit.
  /// @return the tasks that don't run once then, with their runs
  std::string NotRunningAt(MonotonicTime aLimit)
  {
    while (mCluster.mNow < aLimit) {
      mCluster.AdvanceTime(Millis(25));
    }
    std::string text;
    int missing = 0;
    for (const std::string& task : mTasks) {
      if (mCluster.Running(task) != 1 && ++missing <= 3) {
        text += mCluster.HistoryOf(task) + "\n";
      }
    }
    return missing == 0
             ? text
             : std::to_string(missing) + " tasks don't run once\n" + text;
  }

  /// Runs a job with one task to its end.
  /// @return what went wrong, or an empty text
  std::string RunJob(const std::string& aJob)
  {
    if (mCluster.Submit("b", aJob) != ClientAnswer::Accepted) {
      return aJob + " was not accepted\n";
    }
    if (mCluster.Running(TaskNamed(aJob, 0)) != 1) {
      return aJob + " was not started\n";
    }
    mCluster.EndRun(TaskNamed(aJob, 0), dispatch::EndKind::Done);
    mCluster.AdvanceTime(Seconds(1));
    return mCluster.Status("b", aJob).mStatus.mPhase ==
               dispatch::JobPhase::Completed
             ? std::string()
             : "the end of " + aJob + " was not stored\n";
  }

  ClusterSimulation mCluster;
  std::string mOwner;      ///< The first owner.
  std::int64_t mEpoch = 0; ///< Of the first owner.
  std::vector<std::string> mTasks;
};

} // namespace

TEST_GROUP(RunnerList){};

// Guards against a list of runners that outgrows its row while many runners are
// recorded: the store rejected it again and again, no end was stored and no
// lost task started again.
TEST(RunnerList, MoreRecordsThanARowHoldsStopNothing)
{
  // The list fits into its row without the records, but not with them.
  Shard shard(40, 300, std::size_t{ 1430 });
  ClusterSimulation& cluster = shard.mCluster;
  LONGS_EQUAL(0, cluster.mStore.mRejected);
  shard.LoseRunners(18);
  const MonotonicTime lostAt = cluster.mNow;
  cluster.AdvanceTime(Seconds(2));
  STRCMP_EQUAL("", shard.RunJob(kOtherJob).c_str());
  STRCMP_EQUAL("", shard.NotRunningAt(lostAt + Seconds(9)).c_str());
  STRCMP_EQUAL("", cluster.Overlap().c_str());
  LONGS_EQUAL(0, cluster.mStore.mRejected);
}

// Guards against one row that the store rejects, whatever it holds, and that
// holds up the ends and starts of all other jobs, or whose job is run again.
TEST(RunnerList, ARejectedRowHoldsUpNoOtherJob)
{
  const std::string wide = "0123456789fedcba";
  std::string problems;
  for (const std::string& key :
       { std::string("runners"), std::string("interference"), "job/" + wide }) {
    Shard shard(6, 20);
    ClusterSimulation& cluster = shard.mCluster;
    cluster.Submit("a", wide, dispatch::StepKind::Finite, 4);
    cluster.mStore.mRejectsKey = [key](const std::string& aKey) {
      return aKey == key;
    };
    // The list of runners changes, and the progress of the wide job.
    cluster.mRunners["new"] = {};
    cluster.EndRun(TaskNamed(wide, 0), dispatch::EndKind::Done);
    cluster.RemoveRunner(cluster.RunnerOf(shard.mTasks.back()), Millis(0));
    const MonotonicTime lostAt = cluster.mNow;
    cluster.AdvanceTime(Seconds(1));
    std::string problem;
    for (int i = 0; i < 3; ++i) {
      problem += shard.RunJob("0123456789abcd0" + std::to_string(i));
    }
    problem += shard.NotRunningAt(lostAt + Seconds(9));
    if (cluster.Shard().mEpoch != shard.mEpoch) {
      problem += "the owner changed\n";
    }
    // The next owner learns of the end that was not stored from the runner.
    cluster.KillNode(shard.mOwner);
    cluster.AdvanceTime(Seconds(8));
    for (std::uint32_t i = 1; i < 4; ++i) {
      cluster.EndRun(TaskNamed(wide, i), dispatch::EndKind::Done);
    }
    cluster.AdvanceTime(Seconds(2));
    if (cluster.mHistory.at(TaskNamed(wide, 0)).size() != 1) {
      problem += cluster.HistoryOf(TaskNamed(wide, 0)) + "\n";
    }
    const StatusAnswer status = cluster.Status("b", wide);
    const StatusAnswer other = cluster.Status("c", wide);
    if (status.mStatus.mPhase != dispatch::JobPhase::Completed &&
        other.mStatus.mPhase != dispatch::JobPhase::Completed) {
      problem += "the wide job did not end\n";
    }
    problem += cluster.Overlap();
    if (!problem.empty()) {
      problems.append(key).append(":\n").append(problem);
    }
  }
  STRCMP_EQUAL("", problems.c_str());
}
