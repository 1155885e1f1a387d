#include <algorithm>
#include <string>
#include <vector>

#include <LibDispatch/FencingTokens.h>

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
  Shard(std::size_t aRunners,
        std::uint32_t aTasks,
        std::size_t aRackBytes,
        const StoreLimits& aLimits = {})
    : mCluster(aRunners)
  {
    mCluster.mStore.mLimits = aLimits;
    for (auto& [id, runner] : mCluster.mRunners) {
      runner.mRack = std::string(aRackBytes, 'r');
    }
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
  Shard shard(40, 300, 1430);
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
    Shard shard(6, 20, 0);
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

namespace {

/// Bounds that spread the list of eight runners over two rows, and that let a
/// transaction change two of them.
StoreLimits
NarrowLimits()
{
  StoreLimits limits;
  limits.mRowBytes = 1500;
  limits.mEntries = 4;
  return limits;
}

constexpr std::size_t kLongRack = 200;

} // namespace

// Guards against a task that runs twice, or is not started again, because a
// later owner reads a list of which only a part is stored.
TEST(RunnerList, AHalfStoredListDoublesAndForgetsNoTask)
{
  enum class Change
  {
    Kill,
    Freeze,
    DrainAndKill
  };
  std::string problems;
  bool several = false;
  for (const bool gone : { true, false }) {
    for (const Change change :
         { Change::Kill, Change::Freeze, Change::DrainAndKill }) {
      for (Millis after(900); after <= Millis(1900); after += Millis(25)) {
        Shard shard(8, 60, kLongRack, NarrowLimits());
        ClusterSimulation& cluster = shard.mCluster;
        several =
          several || !cluster.mStore.Value("progress-0", "runners/1").empty();
        cluster.mStore.mMaxRounds = 1;
        const MonotonicTime lostAt = cluster.mNow;
        std::vector<std::string> away;
        for (const auto& [id, runner] : cluster.mRunners) {
          if (away.size() < 2 && !runner.mRunning.empty()) {
            away.push_back(id);
          }
        }
        for (const std::string& id : away) {
          if (gone) {
            cluster.RemoveRunner(id, Millis(4500));
          } else {
            cluster.SetPath(ClusterSimulation::kAll, id, { true, Millis(0) });
          }
        }
        if (change == Change::DrainAndKill) {
          cluster.AdvanceTime(Millis(900));
          cluster.mNodes.at(shard.mOwner).mNode->Drain();
          cluster.AdvanceTime(after - Millis(900));
        } else {
          cluster.AdvanceTime(after);
        }
        if (change == Change::Freeze) {
          cluster.FreezeNode(shard.mOwner);
        } else {
          cluster.KillNode(shard.mOwner);
        }
        cluster.AwaitOwner(shard.mEpoch + 1, Seconds(30));
        const MonotonicTime limit =
          std::max(lostAt + Seconds(10), cluster.mNow + Seconds(8));
        std::string problem = shard.NotRunningAt(limit);
        problem += cluster.Overlap();
        if (cluster.mStore.mRejected > 0) {
          problem += "a transaction was rejected\n";
        }
        if (!problem.empty()) {
          problems += (gone ? "gone, " : "cut off, ") +
                      std::to_string(after.count()) + " ms, change " +
                      std::to_string(static_cast<int>(change)) + ": " + problem;
        }
      }
    }
  }
  CHECK_TRUE(several);
  STRCMP_EQUAL("", problems.c_str());
}

// Guards against a task that runs twice because a later owner believes a record
// in a row of its own although an owner of an earlier version, which does not
// know these rows, has used the runner since.
TEST(RunnerList, ARecordBeforeAnEarlierVersionIsNotBelieved)
{
  for (const bool earlierVersion : { false, true }) {
    Shard shard(8, 60, kLongRack, NarrowLimits());
    ClusterSimulation& cluster = shard.mCluster;
    FakeStore& store = cluster.mStore;
    const std::string recorded = cluster.RunnerOf(TaskNamed(kJob, 0));
    std::string other;
    std::string moved;
    for (const auto& [id, runner] : cluster.mRunners) {
      if (id != recorded && !runner.mRunning.empty()) {
        other = id;
        moved = runner.mRunning.front().mTask;
      }
    }
    cluster.SetPath(ClusterSimulation::kAll, recorded, { true, Millis(0) });
    cluster.AdvanceTime(Seconds(2));
    CHECK_FALSE(store.Value("progress-0", "record/" + recorded).empty());
    cluster.KillNode(shard.mOwner);
    cluster.KillNode("a");
    cluster.KillNode("b");
    cluster.KillNode("c");
    // The owner in between has written the shard's row as earlier versions do,
    // and has started a task on the runner with the record.
    ShardRow row = cluster.Shard();
    row.mOwner.clear();
    row.mEpoch += 1;
    row.mLeasesEndMs += 6000;
    // They know no other end of leases.
    row.mCommonLeasesEndMs = 0;
    row.mRunnerLeasesEndMs.clear();
    std::string text = FormatShardRow(row);
    if (earlierVersion) {
      const std::string member =
        "\"records_since\":" + std::to_string(row.mRecordsSince);
      const std::size_t at = text.find("," + member);
      CHECK_TRUE(at != std::string::npos);
      text.erase(at, member.size() + 1);
      ClusterSimulation::FakeRunner& runner = cluster.mRunners.at(recorded);
      const std::int64_t run = row.mEpoch << 20;
      cluster.EndRun(moved, dispatch::EndKind::Stopped);
      runner.mRunning.push_back({ moved, run });
      runner.mLeaseEndMs += 6000;
      cluster.mHistory[moved].push_back({ recorded, run, cluster.mNow, {} });
    }
    StoreTransaction transaction;
    transaction.mPuts.push_back({ kClusterTable,
                                  cluster.mPartitions.OfShards(),
                                  ShardKey(0),
                                  text,
                                  0,
                                  false });
    store.Port().mTransact(
      transaction, Millis(0), [](const TransactionOutcome&) {});
    const MonotonicTime changeAt = cluster.mNow;
    for (const char* node : { "a", "b", "c" }) {
      cluster.StartNode(node);
    }
    cluster.AwaitOwner(row.mEpoch + 1, Seconds(30));
    LONGS_EQUAL(earlierVersion ? dispatch::NextEpoch(row.mEpoch)
                               : row.mRecordsSince,
                cluster.Shard().mRecordsSince);
    STRCMP_EQUAL("", shard.NotRunningAt(changeAt + Seconds(20)).c_str());
    STRCMP_EQUAL("", cluster.Overlap().c_str());
  }
}

// Guards against a task that runs twice because it was started on a recorded
// runner that answers again before all transactions are stored that remove the
// records: a later owner believes the record and starts the task elsewhere.
TEST(RunnerList, NoTaskStartsBeforeAllRecordsAreRemoved)
{
  std::string problems;
  std::size_t started = 0;
  for (const std::string unreached : { "r0", "r1", "r2", "r3", "r4" }) {
    for (Millis after(0); after <= Millis(800); after += Millis(50)) {
      Shard shard(8, 40, kLongRack, NarrowLimits());
      ClusterSimulation& cluster = shard.mCluster;
      const std::vector<std::string> silent{ "r0", "r1", "r2", "r3", "r4" };
      for (const std::string& id : silent) {
        cluster.SetPath(shard.mOwner, id, { true, Millis(0) });
      }
      for (const char* id : { "r5", "r6", "r7" }) {
        cluster.mRunners.at(id).mDraining = true;
      }
      // The tasks of this job wait for the silent runners.
      cluster.Submit("b", kOtherJob, dispatch::StepKind::LongRunning, 24);
      CHECK_FALSE(cluster.mStore.Value("progress-0", "record/r4").empty() &&
                  cluster.mStore.Value("progress-0", "record/r0").empty());
      cluster.mStore.mMaxRounds = 1;
      for (const std::string& id : silent) {
        cluster.SetPath(shard.mOwner, id, { false, Millis(0) });
      }
      for (const auto& [name, node] : cluster.mNodes) {
        if (name != shard.mOwner) {
          cluster.SetPath(name, unreached, { true, Millis(0) });
        }
      }
      // The store serves a transaction each 100 ms.
      for (Millis passed(0); passed < after; passed += Millis(25)) {
        cluster.mStore.mPaused = passed % Millis(100) != Millis(0);
        cluster.AdvanceTime(Millis(25));
      }
      cluster.KillNode(shard.mOwner);
      // The transaction that is under way does not reach the store.
      cluster.mStore.mPaused = false;
      cluster.mStore.mRefuses = true;
      cluster.mStore.Run();
      cluster.mStore.mRefuses = false;
      started += cluster.Running(TaskNamed(kOtherJob, 0));
      for (auto& [id, runner] : cluster.mRunners) {
        runner.mDraining = false;
      }
      cluster.AdvanceTime(Seconds(20));
      const std::string overlap = cluster.Overlap();
      if (!overlap.empty()) {
        problems.append(unreached)
          .append(" unreached, ")
          .append(std::to_string(after.count()))
          .append(" ms: ")
          .append(overlap)
          .append("\n");
      }
    }
  }
  CHECK_TRUE(started > 0);
  STRCMP_EQUAL("", problems.c_str());
}
