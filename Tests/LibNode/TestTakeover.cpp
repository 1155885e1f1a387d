#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <LibDispatch/FencingTokens.h>

#include "ClusterSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

using OnWaking = ClusterSimulation::OnWaking;

constexpr std::uint32_t kTasks = 12;
const std::string kJob = "0123456789abcdef";
const std::array<OnWaking, 2> kOnWaking{ OnWaking::AnswersFirst,
                                         OnWaking::TickFirst };
constexpr ClusterSimulation::Path kCut{ true, Millis(0) };
constexpr ClusterSimulation::Path kHealed{ false, Millis(0) };
/// Rate of the slowest clock that a runner may have.
constexpr double kSlowClock = 0.98;

/// @return the name of a task of the job's only step
std::string
TaskNamed(std::uint32_t aIndex)
{
  return kJob + ".0.0." + std::to_string(aIndex);
}

/// A cluster of three nodes that runs a job with long-running tasks.
struct Scenario
{
  explicit Scenario(std::size_t aRunners = 8,
                    std::uint32_t aTasks = kTasks,
                    Millis aMaxLease = Seconds(6))
    : mCluster(aRunners)
  {
    mCluster.mMaxLease = aMaxLease;
    mCluster.StartNode("a");
    mCluster.AdvanceTime(Seconds(6));
    mCluster.StartNode("b");
    mCluster.StartNode("c");
    mCluster.AdvanceTime(Seconds(3));
    mCluster.Submit("a", kJob, dispatch::StepKind::LongRunning, aTasks);
    // Later than this, the owner has heard from all runners and stored them.
    mCluster.AdvanceTime(Seconds(3));
    mOwner = mCluster.Shard().mOwner;
    mEpoch = mCluster.Shard().mEpoch;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      mTasks.push_back(TaskNamed(i));
      CHECK_EQUAL(1, mCluster.Running(mTasks.back()));
    }
    mRunner = mCluster.RunnerOf(mTasks.front());
  }

  /// Cuts the ways from all nodes but the first owner to mRunner.
  void CutFromOtherNodes()
  {
    for (const auto& [name, node] : mCluster.mNodes) {
      if (name != mOwner) {
        mCluster.SetPath(name, mRunner, kCut);
      }
    }
  }

  /// Restarts mRunner, which alone gets tasks from then on, while a renewal for
  /// its former process is under way.
  /// @param aLateness time after which that renewal is carried out
  void RestartRunnerDuringARenewal(Millis aLateness)
  {
    mCluster.AdvanceTime(Seconds(1));
    for (auto& [id, runner] : mCluster.mRunners) {
      runner.mDraining = id != mRunner;
    }
    mCluster.AdvanceTime(Seconds(2));
    mCluster.SetPath(mOwner, mRunner, { false, aLateness });
    mCluster.AdvanceTime(Millis(1100));
    mCluster.RestartRunner(mRunner);
    mCluster.SetPath(mOwner, mRunner, kHealed);
  }

  /// Kills the owner. No other node reaches mRunner, and all runners may get
  /// tasks again.
  void KillOwnerBesideCutOffRunner()
  {
    CutFromOtherNodes();
    mCluster.KillNode(mOwner);
    for (auto& [id, runner] : mCluster.mRunners) {
      runner.mDraining = false;
    }
  }

  /// Restarts mRunner during a renewal that is carried out late, and kills the
  /// owner beside it.
  /// @param aKilledAfter time from the restart to the kill
  /// @param aWatch       time after the kill
  /// @return the runs that overlapped, see ClusterSimulation::Overlap()
  std::string OverlapAfterALateRenewal(Millis aLateness,
                                       Millis aKilledAfter,
                                       Millis aWatch)
  {
    RestartRunnerDuringARenewal(aLateness);
    mCluster.AdvanceTime(aKilledAfter);
    KillOwnerBesideCutOffRunner();
    mCluster.AdvanceTime(aWatch);
    return mCluster.Overlap();
  }

  /// Advances the clock until the shard has the owner after @p aEpoch.
  /// @return the owner's name
  std::string AwaitOwnerAfter(std::int64_t aEpoch)
  {
    return mCluster.AwaitOwner(aEpoch + 1, Seconds(30));
  }

  /// Ends the runner's process.
  /// @return the tasks that it ran
  std::vector<std::string> LoseRunner(Millis aListedFor)
  {
    std::vector<std::string> tasks;
    for (const auto& run : mCluster.mRunners.at(mRunner).mRunning) {
      tasks.push_back(run.mTask);
    }
    mCluster.RemoveRunner(mRunner, aListedFor);
    return tasks;
  }

  /// Advances the clock until all of the tasks run, but at most until 25 s
  /// after @p aLimit.
  /// @param aSince when the tasks ended
  /// @return a line if some task started later than @p aLimit, or nothing
  std::string CheckRunning(const std::vector<std::string>& aTasks,
                           MonotonicTime aSince,
                           MonotonicTime aLimit)
  {
    const auto runs = [&](const std::string& aTask) {
      return mCluster.Running(aTask) > 0;
    };
    while (mCluster.mNow < aLimit + Seconds(25) &&
           !std::all_of(aTasks.begin(), aTasks.end(), runs)) {
      mCluster.AdvanceTime(Millis(25));
    }
    MonotonicTime latest = mCluster.mNow;
    if (std::all_of(aTasks.begin(), aTasks.end(), runs)) {
      latest = {};
      for (const std::string& task : aTasks) {
        latest = std::max(latest, *mCluster.StartedAfter(task, aSince));
      }
    }
    if (latest <= aLimit) {
      return {};
    }
    return "ran again after " + MsBetween(aSince, latest) +
           " ms instead of at most " + MsBetween(aSince, aLimit) + " ms\n";
  }

  static std::string MsBetween(MonotonicTime aFrom, MonotonicTime aTo)
  {
    return std::to_string(
      std::chrono::duration_cast<Millis>(aTo - aFrom).count());
  }

  ClusterSimulation mCluster;
  std::string mOwner;      ///< The first owner.
  std::int64_t mEpoch = 0; ///< Of the first owner.
  std::string mRunner;     ///< Runs at least one of the tasks.
  std::vector<std::string> mTasks;
};

/// Collects the variations of a test that failed.
class Failures
{
public:
  /// @param aProblem what went wrong, or an empty text
  void Add(const std::string& aVariation, const std::string& aProblem)
  {
    ++mVariations;
    if (!aProblem.empty()) {
      ++mFailed;
      mText += aVariation + ": " + aProblem + "\n";
    }
  }

  void Check() const
  {
    const std::string text = std::to_string(mFailed) + " of " +
                             std::to_string(mVariations) +
                             " variations failed\n" + mText;
    CHECK_TRUE_TEXT(mFailed == 0, text.c_str());
  }

private:
  int mVariations = 0;
  int mFailed = 0;
  std::string mText;
};

std::string
Text(Millis aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

std::string
Text(OnWaking aOrder)
{
  return aOrder == OnWaking::TickFirst ? "tick first" : "answers first";
}

} // namespace

TEST_GROUP(TakeoverSimulation)
{
  Failures mFailures;
};

// Guards against a next owner that waits for the longest leases of a frozen
// owner before it starts the tasks of a runner that is gone: they did not run
// for 18 s.
TEST(TakeoverSimulation, TasksOfALostRunnerRunAgainAfterAFreeze)
{
  for (const int lostAfter : { -500, 500, 1500, 2500, 3500 }) {
    for (const int listedFor : { 0, 4500 }) {
      for (const OnWaking order : kOnWaking) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        std::vector<std::string> tasks;
        MonotonicTime lostAt;
        const auto lose = [&] {
          tasks = scenario.LoseRunner(Millis(listedFor));
          lostAt = cluster.mNow;
        };
        if (lostAfter < 0) {
          lose();
          cluster.AdvanceTime(Millis(-lostAfter));
        }
        cluster.FreezeNode(scenario.mOwner);
        const MonotonicTime wakesAt = cluster.mNow + Seconds(4);
        if (lostAfter >= 0) {
          cluster.AdvanceTime(Millis(lostAfter));
          lose();
        }
        cluster.AdvanceTime(
          std::chrono::duration_cast<Millis>(wakesAt - cluster.mNow));
        cluster.WakeNode(scenario.mOwner, order);
        const MonotonicTime limit =
          std::max(lostAt + Seconds(9), wakesAt + Seconds(7));
        std::string problem = scenario.CheckRunning(tasks, lostAt, limit);
        problem += cluster.Overlap();
        mFailures.Add("lost " + Text(Millis(lostAfter)) +
                        " after the freeze, listed for " +
                        Text(Millis(listedFor)) + ", " + Text(order),
                      problem);
      }
    }
  }
  mFailures.Check();
}

// Guards against a wait for the leases of a lost runner that starts anew with
// each change of owner.
TEST(TakeoverSimulation, TwoChangesOfOwnerDoNotProlongTheWait)
{
  enum class Change
  {
    Kill,
    Drain,
    Freeze
  };
  for (const Change first : { Change::Kill, Change::Drain, Change::Freeze }) {
    for (const Change second : { Change::Kill, Change::Drain }) {
      for (const int lostBefore : { 0, 300, 1000 }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        const std::vector<std::string> tasks = scenario.LoseRunner(Millis(0));
        const MonotonicTime lostAt = cluster.mNow;
        cluster.AdvanceTime(Millis(lostBefore));
        const MonotonicTime wakesAt = cluster.mNow + Seconds(4);
        if (first == Change::Kill) {
          cluster.KillNode(scenario.mOwner);
        } else if (first == Change::Drain) {
          cluster.mNodes.at(scenario.mOwner).mNode->Drain();
        } else {
          cluster.FreezeNode(scenario.mOwner);
        }
        const std::string next = scenario.AwaitOwnerAfter(scenario.mEpoch);
        MonotonicTime changeAt = cluster.mNow;
        const MonotonicTime secondAt = cluster.mNow + Seconds(3);
        while (cluster.mNow < secondAt) {
          cluster.AdvanceTime(Millis(25));
          if (cluster.mNow >= wakesAt) {
            cluster.WakeNode(scenario.mOwner, OnWaking::AnswersFirst);
          }
        }
        std::string problem;
        if (cluster.Shard().mEpoch != dispatch::NextEpoch(scenario.mEpoch)) {
          problem = "the owner changed too early\n";
        }
        if (second == Change::Kill) {
          cluster.KillNode(next);
        } else {
          cluster.mNodes.at(next).mNode->Drain();
        }
        scenario.AwaitOwnerAfter(dispatch::NextEpoch(scenario.mEpoch));
        changeAt = cluster.mNow;
        cluster.WakeNode(scenario.mOwner, OnWaking::AnswersFirst);
        const MonotonicTime limit =
          std::max(lostAt + Seconds(9), changeAt + Seconds(7));
        problem += scenario.CheckRunning(tasks, lostAt, limit);
        problem += cluster.Overlap();
        const std::array<const char*, 3> names{ "kill", "drain", "freeze" };
        mFailures.Add(std::string(names.at(static_cast<std::size_t>(first))) +
                        " " + Text(Millis(lostBefore)) +
                        " after the loss, then " +
                        names.at(static_cast<std::size_t>(second)),
                      problem);
      }
    }
  }
  mFailures.Check();
}

// Guards against a next owner that waits for the longest leases of a frozen
// owner although it has reached more than half of the listed runners, some of
// which have restarted: the former process of such a runner can't answer the
// frozen owner any more.
TEST(TakeoverSimulation, RestartedRunnersDelayNoRecovery)
{
  for (const int restarted : { 0, 2, 3, 4, 5, 6 }) {
    for (const bool killed : { true, false }) {
      Scenario scenario;
      ClusterSimulation& cluster = scenario.mCluster;
      cluster.AdvanceTime(Seconds(1));
      if (killed) {
        cluster.KillNode(scenario.mOwner);
      } else {
        cluster.FreezeNode(scenario.mOwner);
      }
      cluster.AdvanceTime(Millis(200));
      int left = restarted;
      std::vector<std::string> idle;
      for (const auto& [id, runner] : cluster.mRunners) {
        if (id != scenario.mRunner && left-- > 0) {
          idle.push_back(id);
        }
      }
      for (const std::string& id : idle) {
        cluster.RestartRunner(id);
      }
      const std::vector<std::string> lost = scenario.LoseRunner(Millis(0));
      const MonotonicTime lostAt = cluster.mNow;
      mFailures.Add(std::to_string(restarted) + " of 8 runners restarted, " +
                      (killed ? "killed" : "frozen"),
                    scenario.CheckRunning(lost, lostAt, lostAt + Seconds(9)));
    }
  }
  mFailures.Check();
}

// Guards against waiting for the leases of an owner that may be isolated, while
// more than half of the runners of its list are gone and others are at their
// addresses: its tasks did not run again for 15 s.
TEST(TakeoverSimulation, ReplacedRunnersDelayNoRecovery)
{
  for (const std::size_t replaced : { 1U, 4U, 6U }) {
    Scenario scenario;
    ClusterSimulation& cluster = scenario.mCluster;
    cluster.CutFromStore(scenario.mOwner, true);
    for (std::size_t i = 0; i < replaced; ++i) {
      cluster.ReplaceRunner(
        "r" + std::to_string(i), "next" + std::to_string(i), Seconds(3));
    }
    cluster.FreezeNode(scenario.mOwner);
    const MonotonicTime since = cluster.mNow;
    scenario.AwaitOwnerAfter(scenario.mEpoch);
    STRCMP_EQUAL(
      "",
      scenario.CheckRunning(scenario.mTasks, since, cluster.mNow + Seconds(1))
        .c_str());
    STRCMP_EQUAL("", cluster.Overlap().c_str());
  }
}

// Guards against waiting for the leases of a runner whose owner learns that
// another process has its address.
TEST(TakeoverSimulation, TasksOfAReplacedRunnerRunAgainAtOnce)
{
  Scenario scenario;
  ClusterSimulation& cluster = scenario.mCluster;
  const MonotonicTime since = cluster.mNow;
  cluster.ReplaceRunner(scenario.mRunner, "next", Seconds(3));
  STRCMP_EQUAL(
    "",
    scenario.CheckRunning(scenario.mTasks, since, cluster.mNow + Seconds(2))
      .c_str());
  STRCMP_EQUAL("", cluster.Overlap().c_str());
}

// Guards against a next owner that uses no runner for 15 s because the stored
// list is empty, of which no majority can be reached.
TEST(TakeoverSimulation, AnEmptyListDelaysNoStart)
{
  for (const bool killed : { true, false }) {
    ClusterSimulation cluster(4);
    for (auto& [id, runner] : cluster.mRunners) {
      runner.mListed = id == "r0";
    }
    for (const char* node : { "a", "b", "c" }) {
      cluster.StartNode(node);
    }
    cluster.AdvanceTime(Seconds(12));
    const std::string owner = cluster.Shard().mOwner;
    const std::int64_t epoch = cluster.Shard().mEpoch;
    // The only runner leaves, and is dropped from the list.
    cluster.RemoveRunner("r0", Millis(0));
    cluster.AdvanceTime(Seconds(12));
    if (killed) {
      cluster.KillNode(owner);
    } else {
      cluster.FreezeNode(owner);
    }
    for (const char* runner : { "r1", "r2", "r3" }) {
      cluster.mRunners.at(runner).mListed = true;
    }
    const MonotonicTime changeAt = cluster.mNow;
    const std::string next = cluster.AwaitOwner(epoch + 1, Seconds(30));
    cluster.Submit(next, kJob, dispatch::StepKind::LongRunning, 1);
    while (cluster.Running(TaskNamed(0)) == 0 &&
           cluster.mNow < changeAt + Seconds(40)) {
      cluster.AdvanceTime(Millis(25));
    }
    mFailures.Add(killed ? "killed" : "frozen",
                  cluster.mNow - changeAt > Seconds(9)
                    ? "ran " + Scenario::MsBetween(changeAt, cluster.mNow) +
                        " ms after the change of owner"
                    : "");
  }
  mFailures.Check();
}

// Guards against a next owner that removes the record of a silent runner from
// the list when it begins to serve, so that the owner after it waits for any
// task that the runner may run.
TEST(TakeoverSimulation, ANextOwnerKeepsTheRecordOfASilentRunner)
{
  for (const int killedAfter : { 25, 50, 75, 100, 200, 300, 400, 600, 1000 }) {
    Scenario scenario;
    ClusterSimulation& cluster = scenario.mCluster;
    cluster.AdvanceTime(Seconds(1));
    const std::vector<std::string> lost = scenario.LoseRunner(Millis(4500));
    const MonotonicTime lostAt = cluster.mNow;
    cluster.AdvanceTime(Millis(3000));
    cluster.KillNode(scenario.mOwner);
    const std::string next = scenario.AwaitOwnerAfter(scenario.mEpoch);
    cluster.AdvanceTime(Millis(killedAfter));
    cluster.KillNode(next);
    cluster.AwaitOwner(dispatch::NextEpoch(scenario.mEpoch) + 1, Seconds(30));
    // The leases have ended by now, or do so within a second.
    const MonotonicTime limit =
      std::max(lostAt + Seconds(7), cluster.mNow + Seconds(1));
    mFailures.Add("killed " + Text(Millis(killedAfter)) + " after the claim",
                  scenario.CheckRunning(lost, lostAt, limit));
  }
  mFailures.Check();
}

// Guards against runs that lapse on a runner that answers its owner in time,
// because no lease is granted while its record is stored.
TEST(TakeoverSimulation, ARecordedRunnerThatAnswersKeepsItsTasks)
{
  for (const int dark : { 0, 3, 4, 5 }) {
    Scenario scenario;
    ClusterSimulation& cluster = scenario.mCluster;
    cluster.AdvanceTime(Seconds(1));
    cluster.SetPath(ClusterSimulation::kAll, scenario.mRunner, kCut);
    cluster.AdvanceTime(Millis(1500));
    cluster.KillNode(scenario.mOwner);
    cluster.SetPath(ClusterSimulation::kAll, scenario.mRunner, kHealed);
    int left = dark;
    for (const auto& [id, runner] : cluster.mRunners) {
      if (id != scenario.mRunner && left-- > 0) {
        cluster.SetPath(ClusterSimulation::kAll, id, kCut);
      }
    }
    cluster.AdvanceTime(Seconds(25));
    const std::string& task = scenario.mTasks.front();
    mFailures.Add(
      std::to_string(dark) + " of 8 runners out of reach",
      cluster.mHistory.at(task).size() == 1 ? "" : cluster.HistoryOf(task));
  }
  mFailures.Check();
}

// Guards against a next owner that waits for the leases of a runner that had
// left with no task on it.
TEST(TakeoverSimulation, ARunnerThatLeftIdleDelaysNoRecovery)
{
  for (const bool killed : { true, false }) {
    for (const bool restarted : { true, false }) {
      for (const int leftBefore : { 1000, 5000, 10000, 20000 }) {
        for (const int listedFor : { 0, 4500 }) {
          Scenario scenario;
          ClusterSimulation& cluster = scenario.mCluster;
          // A runner that never had a task, started for this purpose.
          cluster.mRunners["idle"] = {};
          cluster.mRunners["idle"].mDraining = true;
          cluster.AdvanceTime(Seconds(5));
          cluster.RemoveRunner("idle", Millis(listedFor));
          cluster.AdvanceTime(Millis(leftBefore));
          if (killed) {
            cluster.KillNode(scenario.mOwner);
          } else {
            cluster.FreezeNode(scenario.mOwner);
          }
          const MonotonicTime wakesAt = cluster.mNow + Seconds(4);
          // Both show the next owner that the task does not run any more.
          const MonotonicTime endedAt = cluster.mNow;
          std::vector<std::string> tasks{ scenario.mTasks.front() };
          if (restarted) {
            tasks = scenario.LoseRunner(Millis(0));
            cluster.RestartRunner(scenario.mRunner);
          } else {
            cluster.EndRun(tasks.front(), dispatch::EndKind::Failed);
          }
          scenario.AwaitOwnerAfter(scenario.mEpoch);
          // An owner asks an idle runner every 3 s. If the runner has left
          // later and is still listed, nothing tells it from one that is cut
          // off, so that its leases must be waited for.
          const bool unnoticed = leftBefore < 3000 && listedFor > leftBefore;
          const MonotonicTime limit =
            unnoticed ? endedAt + Seconds(9) : cluster.mNow + Seconds(3);
          if (!killed) {
            cluster.AdvanceTime(
              std::chrono::duration_cast<Millis>(wakesAt - cluster.mNow));
            cluster.WakeNode(scenario.mOwner, OnWaking::AnswersFirst);
          }
          std::string problem = scenario.CheckRunning(tasks, endedAt, limit);
          problem += cluster.Overlap();
          mFailures.Add(std::string(killed ? "killed " : "frozen ") +
                          Text(Millis(leftBefore)) +
                          " after the runner left, listed for " +
                          Text(Millis(listedFor)) +
                          (restarted ? ", restart" : ", failed run"),
                        problem);
        }
      }
    }
  }
  mFailures.Check();
}

// Guards against a planned hand-over that starts the wait for the leases of a
// lost runner anew.
TEST(TakeoverSimulation, AHandOverDoesNotProlongTheWait)
{
  for (const int drainedAfter : { 1000, 3000, 5000, 5700, 6200 }) {
    for (const int listedFor : { 0, 4500 }) {
      Scenario scenario;
      ClusterSimulation& cluster = scenario.mCluster;
      const std::vector<std::string> tasks =
        scenario.LoseRunner(Millis(listedFor));
      const MonotonicTime lostAt = cluster.mNow;
      cluster.AdvanceTime(Millis(drainedAfter));
      cluster.mNodes.at(scenario.mOwner).mNode->Drain();
      scenario.AwaitOwnerAfter(scenario.mEpoch);
      // Once the leases of 6 s are over, the next owner needs one second from
      // its claim at most.
      const MonotonicTime limit =
        std::max(lostAt + Millis(6900), cluster.mNow + Seconds(1));
      std::string problem = scenario.CheckRunning(tasks, lostAt, limit);
      problem += cluster.Overlap();
      mFailures.Add("drained " + Text(Millis(drainedAfter)) +
                      " after the loss, listed for " + Text(Millis(listedFor)),
                    problem);
    }
  }
  mFailures.Check();
}

// Guards against tasks of a runner whose record is stored that wait, after a
// planned hand-over, for the leases of another runner that left just before it.
TEST(TakeoverSimulation, AHandOverLeavesFinalRecords)
{
  for (const int drainedAfter : { 4000, 5000, 6000 }) {
    for (const int otherLostBefore : { 0, 500, 1500 }) {
      Scenario scenario;
      ClusterSimulation& cluster = scenario.mCluster;
      cluster.Submit(
        "b", "fedcba9876543210", dispatch::StepKind::LongRunning, 16);
      const MonotonicTime lostAt = cluster.mNow;
      const std::vector<std::string> tasks = scenario.LoseRunner(Millis(0));
      cluster.AdvanceTime(Millis(drainedAfter - otherLostBefore));
      for (const auto& [id, runner] : cluster.mRunners) {
        if (runner.mUp && !runner.mRunning.empty()) {
          cluster.RemoveRunner(id, Millis(0));
          break;
        }
      }
      cluster.AdvanceTime(Millis(otherLostBefore));
      cluster.mNodes.at(scenario.mOwner).mNode->Drain();
      scenario.AwaitOwnerAfter(scenario.mEpoch);
      std::string problem = scenario.CheckRunning(
        tasks,
        lostAt,
        std::max(lostAt + Seconds(8), cluster.mNow + Seconds(1)));
      problem += cluster.Overlap();
      mFailures.Add("drained " + Text(Millis(drainedAfter)) +
                      " after the loss, another runner lost " +
                      Text(Millis(otherLostBefore)) + " before",
                    problem);
    }
  }
  mFailures.Check();
}

// Guards against hand-overs that each start the wait anew for a runner that
// left before the first one and that no owner could record.
TEST(TakeoverSimulation, HandOversInTurnDoNotProlongTheWait)
{
  for (const int drainedAfter : { 0, 300, 1000 }) {
    for (const int drainedAgainAfter : { 2500, 4000, 5500 }) {
      for (const int listedFor : { 0, 4500 }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        // Each owner grants leases to the runner of this job.
        cluster.Submit(
          "b", "fedcba9876543210", dispatch::StepKind::LongRunning, 16);
        const MonotonicTime lostAt = cluster.mNow;
        const std::vector<std::string> tasks =
          scenario.LoseRunner(Millis(listedFor));
        cluster.AdvanceTime(Millis(drainedAfter));
        cluster.mNodes.at(scenario.mOwner).mNode->Drain();
        const std::string second = scenario.AwaitOwnerAfter(scenario.mEpoch);
        cluster.AdvanceTime(std::chrono::duration_cast<Millis>(
          lostAt + Millis(drainedAgainAfter) - cluster.mNow));
        cluster.mNodes.at(second).mNode->Drain();
        std::string problem =
          scenario.CheckRunning(tasks, lostAt, lostAt + Seconds(9));
        problem += cluster.Overlap();
        mFailures.Add("drained " + Text(Millis(drainedAfter)) + " and " +
                        Text(Millis(drainedAgainAfter)) +
                        " after the loss, listed for " +
                        Text(Millis(listedFor)),
                      problem);
      }
    }
  }
  mFailures.Check();
}

// Guards against a runner that is never used again once service discovery has
// dropped it.
TEST(TakeoverSimulation, ARunnerThatComesBackIsUsedAgain)
{
  enum class Absence
  {
    Restarted,
    Unlisted,
    UnlistedAndCut
  };
  for (const Absence absence :
       { Absence::Restarted, Absence::Unlisted, Absence::UnlistedAndCut }) {
    for (const int away : { 500, 3000, 5000, 8000, 20000 }) {
      for (const bool idle : { true, false }) {
        // Two runners have room for 16 tasks each.
        Scenario scenario(2, 16);
        ClusterSimulation& cluster = scenario.mCluster;
        std::string runner = scenario.mRunner;
        if (idle) {
          cluster.mRunners["late"] = {};
          cluster.AdvanceTime(Seconds(4));
          runner = "late";
        }
        if (absence == Absence::Restarted) {
          cluster.RemoveRunner(runner, Millis(0));
        }
        if (absence == Absence::UnlistedAndCut) {
          cluster.SetPath(ClusterSimulation::kAll, runner, kCut);
        }
        cluster.mRunners.at(runner).mListed = false;
        cluster.AdvanceTime(Millis(away));
        if (absence == Absence::Restarted) {
          cluster.RestartRunner(runner);
        }
        cluster.mRunners.at(runner).mListed = true;
        cluster.SetPath(ClusterSimulation::kAll, runner, kHealed);
        // With this job, all runners are full.
        dispatch::JobSpec job;
        const std::string filler = "fedcba9876543210";
        cluster.Submit("b", filler, dispatch::StepKind::LongRunning, 32);
        cluster.AdvanceTime(Seconds(9));
        std::string problem;
        const std::size_t running = cluster.mRunners.at(runner).mRunning.size();
        if (running < 16) {
          problem += std::to_string(running) + " instead of 16 tasks run there";
        }
        if (cluster.Shard().mEpoch != scenario.mEpoch) {
          problem += " the owner has changed";
        }
        problem += cluster.Overlap();
        const std::array<const char*, 3> names{ "restarted",
                                                "unlisted",
                                                "unlisted and cut off" };
        mFailures.Add(std::string(names.at(static_cast<std::size_t>(absence))) +
                        " for " + Text(Millis(away)) + (idle ? ", idle" : ""),
                      problem);
      }
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because a frozen owner wakes and still
// reaches a runner that the next owner can't reach.
TEST(TakeoverSimulation, AnOwnerThatWakesDoublesNoTask)
{
  for (int frozenFor = 4000; frozenFor <= 12000; frozenFor += 500) {
    for (const OnWaking order : kOnWaking) {
      for (const int endedAfter : { -1, 100, 2000, 5000 }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        cluster.SetClockRate(scenario.mRunner, kSlowClock);
        cluster.AdvanceTime(Seconds(1));
        scenario.CutFromOtherNodes();
        cluster.FreezeNode(scenario.mOwner);
        if (endedAfter >= 0 && endedAfter < frozenFor) {
          // The owner starts the task again when it wakes.
          cluster.AdvanceTime(Millis(endedAfter));
          cluster.EndRun(scenario.mTasks.front(), dispatch::EndKind::Failed);
          cluster.AdvanceTime(Millis(frozenFor - endedAfter));
        } else {
          cluster.AdvanceTime(Millis(frozenFor));
        }
        cluster.WakeNode(scenario.mOwner, order);
        cluster.AdvanceTime(Seconds(25));
        mFailures.Add("frozen for " + Text(Millis(frozenFor)) + ", " +
                        Text(order) + ", run ended after " +
                        Text(Millis(endedAfter)),
                      cluster.Overlap());
      }
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because its runner, whose clock is
// slow, is cut off from all nodes but goes on.
TEST(TakeoverSimulation, ARunnerThatIsCutOffDoublesNoTask)
{
  enum class Change
  {
    None,
    Kill,
    Freeze,
    Drain
  };
  for (const Change change :
       { Change::None, Change::Kill, Change::Freeze, Change::Drain }) {
    for (int changedAfter = -6000; changedAfter <= 6000; changedAfter += 500) {
      for (const bool listed : { true, false }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        cluster.SetClockRate(scenario.mRunner, kSlowClock);
        cluster.AdvanceTime(Seconds(2));
        const auto applyChange = [&] {
          if (change == Change::Kill) {
            cluster.KillNode(scenario.mOwner);
          } else if (change == Change::Freeze) {
            cluster.FreezeNode(scenario.mOwner);
          } else if (change == Change::Drain) {
            cluster.mNodes.at(scenario.mOwner).mNode->Drain();
          }
        };
        const auto cut = [&] {
          cluster.SetPath(ClusterSimulation::kAll, scenario.mRunner, kCut);
          cluster.mRunners.at(scenario.mRunner).mListed = listed;
        };
        if (changedAfter < 0) {
          applyChange();
          cluster.AdvanceTime(Millis(-changedAfter));
          cut();
        } else {
          cut();
          cluster.AdvanceTime(Millis(changedAfter));
          applyChange();
        }
        cluster.AdvanceTime(Seconds(5));
        cluster.WakeNode(scenario.mOwner, OnWaking::TickFirst);
        cluster.AdvanceTime(Seconds(20));
        const std::array<const char*, 4> names{
          "no change", "kill", "freeze", "drain"
        };
        mFailures.Add(std::string(names.at(static_cast<std::size_t>(change))) +
                        " " + Text(Millis(changedAfter)) + " after the cut" +
                        (listed ? "" : ", unlisted"),
                      cluster.Overlap());
      }
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because orders of the former owner
// arrive late: at runners that the next owner reaches, or can't reach.
TEST(TakeoverSimulation, LateOrdersDoubleNoTask)
{
  for (int lateness = 2000; lateness <= 12000; lateness += 1000) {
    for (const bool killed : { true, false }) {
      for (const bool reached : { true, false }) {
        for (const int changedAfter : { 100, 700, 1500, 3000 }) {
          Scenario scenario;
          ClusterSimulation& cluster = scenario.mCluster;
          cluster.SetClockRate(scenario.mRunner, kSlowClock);
          cluster.AdvanceTime(Seconds(1));
          if (!reached) {
            scenario.CutFromOtherNodes();
          }
          cluster.SetPath(scenario.mOwner,
                          ClusterSimulation::kAll,
                          { false, Millis(lateness) });
          // The owner starts these tasks again, by orders that arrive late.
          for (const std::string& task : scenario.mTasks) {
            cluster.EndRun(task, dispatch::EndKind::Failed);
          }
          cluster.AdvanceTime(Millis(changedAfter));
          if (killed) {
            cluster.KillNode(scenario.mOwner);
          } else {
            cluster.FreezeNode(scenario.mOwner);
          }
          cluster.AdvanceTime(Seconds(4));
          cluster.SetPath(scenario.mOwner, ClusterSimulation::kAll, kHealed);
          cluster.WakeNode(scenario.mOwner, OnWaking::TickFirst);
          cluster.AdvanceTime(Seconds(25));
          mFailures.Add(
            "late by " + Text(Millis(lateness)) +
              (killed ? ", killed " : ", frozen ") +
              Text(Millis(changedAfter)) + " after the ends" +
              (reached ? "" : ", one runner out of reach of the others"),
            cluster.Overlap());
        }
      }
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because an owner that is cut from the
// store goes on with a runner that the next two owners can't reach.
TEST(TakeoverSimulation, AnOwnerWithoutTheStoreDoublesNoTask)
{
  for (const bool killed : { true, false }) {
    for (const int changedAfter : { 500, 1500, 3000, 5000, 8000 }) {
      for (const int endedAfter : { 0, 2000, 4000, 6000, 9000, 11000, 13000 }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        cluster.SetClockRate(scenario.mRunner, kSlowClock);
        cluster.AdvanceTime(Seconds(1));
        scenario.CutFromOtherNodes();
        cluster.CutFromStore(scenario.mOwner, true);
        const MonotonicTime cutAt = cluster.mNow;
        const std::string next = scenario.AwaitOwnerAfter(scenario.mEpoch);
        const MonotonicTime changeAt = cluster.mNow + Millis(changedAfter);
        bool changed = false;
        bool ended = false;
        while (cluster.mNow < cutAt + Seconds(40)) {
          cluster.AdvanceTime(Millis(25));
          if (!changed && cluster.mNow >= changeAt) {
            changed = true;
            if (killed) {
              cluster.KillNode(next);
            } else {
              cluster.mNodes.at(next).mNode->Drain();
            }
          }
          if (!ended && cluster.mNow >= cutAt + Millis(endedAfter)) {
            ended = true;
            // The cut-off owner starts it again, where it can.
            cluster.EndRun(scenario.mTasks.front(), dispatch::EndKind::Failed);
          }
        }
        mFailures.Add(std::string(killed ? "killed " : "drained ") +
                        Text(Millis(changedAfter)) +
                        " after the claim, run ended after " +
                        Text(Millis(endedAfter)),
                      cluster.Overlap());
      }
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because a runner restarts around a
// change of owner: it has forgotten the token that fences the former owner.
TEST(TakeoverSimulation, ARestartedRunnerDoublesNoTask)
{
  for (int restartedAfter = 0; restartedAfter <= 9000; restartedAfter += 500) {
    for (const int frozenFor : { 4000, 6000, 8000, 11000 }) {
      for (const OnWaking order : kOnWaking) {
        for (const bool reached : { true, false }) {
          Scenario scenario;
          ClusterSimulation& cluster = scenario.mCluster;
          cluster.SetClockRate(scenario.mRunner, kSlowClock);
          cluster.AdvanceTime(Seconds(1));
          if (!reached) {
            scenario.CutFromOtherNodes();
          }
          cluster.FreezeNode(scenario.mOwner);
          const MonotonicTime frozenAt = cluster.mNow;
          bool restarted = false;
          while (cluster.mNow < frozenAt + Seconds(35)) {
            cluster.AdvanceTime(Millis(25));
            if (!restarted &&
                cluster.mNow >= frozenAt + Millis(restartedAfter)) {
              restarted = true;
              cluster.RestartRunner(scenario.mRunner);
            }
            if (cluster.mNow >= frozenAt + Millis(frozenFor)) {
              cluster.WakeNode(scenario.mOwner, order);
            }
          }
          mFailures.Add("restarted after " + Text(Millis(restartedAfter)) +
                          ", frozen for " + Text(Millis(frozenFor)) + ", " +
                          Text(order) +
                          (reached ? "" : ", out of reach of the others"),
                        cluster.Overlap());
        }
      }
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because an owner that is cut from the
// store, but reaches a majority of the runners, takes a runner for lost whose
// leases its successor goes on to extend.
TEST(TakeoverSimulation, AnOwnerWithoutTheStoreLeavesRunnersToItsSuccessor)
{
  for (const int unreached : { 2, 3, 4, 5, 6 }) {
    for (const int cutAfter : { 0, 500, 1000, 2000, 3000, 5000 }) {
      Scenario scenario;
      ClusterSimulation& cluster = scenario.mCluster;
      cluster.AdvanceTime(Seconds(1));
      // The other nodes reach the runner of some task, but few others. The
      // owner reaches just those others.
      int cut = 0;
      for (const auto& [id, runner] : cluster.mRunners) {
        const bool onOwnersSide = id != scenario.mRunner && cut < unreached;
        cut += onOwnersSide ? 1 : 0;
        for (const auto& [name, node] : cluster.mNodes) {
          if ((name == scenario.mOwner) != onOwnersSide) {
            cluster.SetPath(name, id, kCut);
          }
        }
      }
      cluster.AdvanceTime(Millis(cutAfter));
      cluster.CutFromStore(scenario.mOwner, true);
      cluster.AdvanceTime(Seconds(30));
      mFailures.Add(std::to_string(unreached) +
                      " runners out of reach of the others, the store " +
                      Text(Millis(cutAfter)) + " after the runner",
                    cluster.Overlap());
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because the successor of an owner that
// is cut from the store, but reaches a majority of the runners, restarts, and
// its next process forgets how long that owner may go on.
TEST(TakeoverSimulation, ARestartedSuccessorRemembersTheOwnerWithoutTheStore)
{
  for (const int onOwnersSide : { 1, 3, 4, 5, 6, 7 }) {
    for (const int killedAfter : { 100, 500, 1000, 2000, 3000 }) {
      for (const int backAfter : { 100, 500, 1000 }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        cluster.AdvanceTime(Seconds(1));
        // All tasks run on the owner's side.
        int left = onOwnersSide - 1;
        for (const auto& [id, runner] : cluster.mRunners) {
          const bool owners = id == scenario.mRunner || left-- > 0;
          for (const auto& [name, node] : cluster.mNodes) {
            if ((name == scenario.mOwner) != owners) {
              cluster.SetPath(name, id, kCut);
            }
          }
        }
        cluster.CutFromStore(scenario.mOwner, true);
        const std::string next = scenario.AwaitOwnerAfter(scenario.mEpoch);
        cluster.AdvanceTime(Millis(killedAfter));
        cluster.KillNode(next);
        cluster.AdvanceTime(Millis(backAfter));
        cluster.StartNode(next);
        cluster.AdvanceTime(Seconds(25));
        mFailures.Add(std::to_string(onOwnersSide) +
                        " runners on the owner's side, successor killed " +
                        Text(Millis(killedAfter)) + " after its claim for " +
                        Text(Millis(backAfter)),
                      cluster.Overlap());
      }
    }
  }
  mFailures.Check();
}

// Guards against the same after the successor's claim was stored, but its
// answer was lost, so that it claims again.
TEST(TakeoverSimulation, AClaimMadeAgainRemembersTheOwnerWithoutTheStore)
{
  for (const int onOwnersSide : { 1, 3, 4, 5, 6, 7 }) {
    Scenario scenario;
    ClusterSimulation& cluster = scenario.mCluster;
    cluster.AdvanceTime(Seconds(1));
    int left = onOwnersSide - 1;
    for (const auto& [id, runner] : cluster.mRunners) {
      const bool owners = id == scenario.mRunner || left-- > 0;
      for (const auto& [name, node] : cluster.mNodes) {
        if ((name == scenario.mOwner) != owners) {
          cluster.SetPath(name, id, kCut);
        }
      }
    }
    cluster.CutFromStore(scenario.mOwner, true);
    while (cluster.Shard().mEpoch == scenario.mEpoch) {
      // The answers of all transactions are lost until one is the claim.
      cluster.mStore.mLoseNextAnswers = 1;
      cluster.AdvanceTime(Millis(25));
    }
    cluster.mStore.mLoseNextAnswers = 0;
    cluster.AdvanceTime(Seconds(25));
    mFailures.Add(std::to_string(onOwnersSide) +
                    " runners on the owner's side, epoch " +
                    std::to_string(cluster.Shard().mEpoch),
                  cluster.Overlap());
  }
  mFailures.Check();
}

// Guards against a task of a new job that is started by two owners: one whose
// renewals the store refuses, but which still learns of new jobs, and the next.
TEST(TakeoverSimulation, ANewJobIsStartedByOneOwner)
{
  for (const int unreached : { 0, 3, 4, 5, 6 }) {
    for (const int submittedAfter : { 500, 1500, 1800, 2200, 3000, 5000 }) {
      Scenario scenario;
      ClusterSimulation& cluster = scenario.mCluster;
      cluster.AdvanceTime(Seconds(1));
      std::string other;
      int cut = 0;
      for (const auto& [id, runner] : cluster.mRunners) {
        const bool onOwnersSide = cut++ < unreached;
        for (const auto& [name, node] : cluster.mNodes) {
          other = name == scenario.mOwner ? other : name;
          if ((name == scenario.mOwner) != onOwnersSide) {
            cluster.SetPath(name, id, kCut);
          }
        }
      }
      cluster.mNodes.at(scenario.mOwner).mWritesRefused = true;
      cluster.AdvanceTime(Millis(submittedAfter));
      cluster.Submit(
        other, "fedcba9876543210", dispatch::StepKind::LongRunning, 4);
      cluster.AdvanceTime(Seconds(25));
      mFailures.Add(std::to_string(unreached) +
                      " runners out of reach of the others, submitted after " +
                      Text(Millis(submittedAfter)),
                    cluster.Overlap());
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because a renewal for the former
// process of a runner reaches the new one late, after a task was started there,
// and extends its lease beyond the limit of the shard's row.
TEST(TakeoverSimulation, ALateRenewalOfARestartedRunnerDoublesNoTask)
{
  for (const int lateness : { 1500, 2000, 3000, 4000, 5000, 6000, 7000 }) {
    for (const int killedAfter : { 1500, 2500, 4000 }) {
      Scenario scenario(4);
      mFailures.Add("late by " + Text(Millis(lateness)) + ", killed " +
                      Text(Millis(killedAfter)) + " after the restart",
                    scenario.OverlapAfterALateRenewal(
                      Millis(lateness), Millis(killedAfter), Seconds(25)));
    }
  }
  mFailures.Check();
}

// Guards against tasks of a lost runner that wait, after a change of owner, for
// leases that only another runner may have, on which late orders for its former
// process may extend them.
TEST(TakeoverSimulation, ARestartedRunnerDelaysNoTaskOfAnother)
{
  for (const bool killed : { true, false }) {
    for (const int changes : { 1, 2 }) {
      for (const int changedAfter : { 0, 1500, 4000 }) {
        Scenario scenario;
        ClusterSimulation& cluster = scenario.mCluster;
        // These fill the first runner and come to a second, which restarts.
        cluster.Submit(
          "b", "fedcba9876543210", dispatch::StepKind::LongRunning, 16);
        const std::string restarted =
          cluster.RunnerOf("fedcba9876543210.0.0.15");
        cluster.RestartRunner(restarted);
        cluster.AdvanceTime(Seconds(2));
        // With these, the restarted runner has tasks again.
        cluster.Submit(
          "b", "0123456789fedcba", dispatch::StepKind::LongRunning, 16);
        std::string problem;
        if (cluster.mRunners.at(restarted).mRunning.empty()) {
          problem += "the restarted runner has no task\n";
        }
        cluster.AdvanceTime(Millis(changedAfter));
        const auto change = [&](const std::string& aNode) {
          if (killed) {
            cluster.KillNode(aNode);
          } else {
            cluster.FreezeNode(aNode);
          }
        };
        const std::vector<std::string> tasks = scenario.LoseRunner(Millis(0));
        const MonotonicTime lostAt = cluster.mNow;
        change(scenario.mOwner);
        if (changes == 2) {
          const std::string next = scenario.AwaitOwnerAfter(scenario.mEpoch);
          cluster.AdvanceTime(Millis(500));
          change(next);
          scenario.AwaitOwnerAfter(dispatch::NextEpoch(scenario.mEpoch));
        }
        const MonotonicTime limit =
          std::max(lostAt + Seconds(9), cluster.mNow + Seconds(7));
        problem += scenario.CheckRunning(tasks, lostAt, limit);
        problem += cluster.Overlap();
        mFailures.Add(std::string(killed ? "killed " : "frozen ") +
                        Text(Millis(changedAfter)) +
                        " after tasks came to the restarted runner, " +
                        std::to_string(changes) + " changes",
                      problem);
      }
    }
  }
  mFailures.Check();
}

// Guards against the same hazard as ALateRenewalOfARestartedRunnerDoublesNoTask
// for a task that has just been started on the new process: the shard's row
// must state the end of its leases before.
TEST(TakeoverSimulation, ALateRenewalDoublesNoTaskThatHasJustBegun)
{
  for (const int lateness : { 2000, 4000, 6000 }) {
    for (int killedAfter = 200; killedAfter <= 1400; killedAfter += 25) {
      Scenario scenario(4);
      mFailures.Add("late by " + Text(Millis(lateness)) + ", killed " +
                      Text(Millis(killedAfter)) + " after the restart",
                    scenario.OverlapAfterALateRenewal(
                      Millis(lateness), Millis(killedAfter), Seconds(25)));
    }
  }
  mFailures.Check();
}

// Guards against the same where the deployment allows longer leases than owners
// grant: the end in a late renewal is on the former process's clock, so that it
// may extend the new one's leases by as much as is allowed.
TEST(TakeoverSimulation, ALateRenewalDoublesNoTaskWhereLongLeasesAreAllowed)
{
  for (const int lateness : { 1200, 1500, 2000, 4000 }) {
    for (int killedAfter = 200; killedAfter <= 1400; killedAfter += 50) {
      Scenario scenario(4, kTasks, Seconds(10));
      mFailures.Add("late by " + Text(Millis(lateness)) + ", killed " +
                      Text(Millis(killedAfter)) + " after the restart",
                    scenario.OverlapAfterALateRenewal(
                      Millis(lateness), Millis(killedAfter), Seconds(30)));
    }
  }
  mFailures.Check();
}

// Guards against a task that runs twice because a second change of owner
// forgets until when a late renewal may have extended the leases on a restarted
// runner, which neither owner reaches.
TEST(TakeoverSimulation, ALateRenewalDoublesNoTaskAfterTwoChanges)
{
  for (const int lateness : { 2000, 4000, 6000, 7000 }) {
    for (const int between : { 100, 1000, 2500 }) {
      Scenario scenario(4);
      ClusterSimulation& cluster = scenario.mCluster;
      scenario.RestartRunnerDuringARenewal(Millis(lateness));
      cluster.AdvanceTime(Millis(1500));
      scenario.KillOwnerBesideCutOffRunner();
      const std::string next = scenario.AwaitOwnerAfter(scenario.mEpoch);
      cluster.AdvanceTime(Millis(between));
      cluster.KillNode(next);
      cluster.AdvanceTime(Seconds(25));
      mFailures.Add("late by " + Text(Millis(lateness)) + ", killed " +
                      Text(Millis(between)) + " after the first change",
                    cluster.Overlap());
    }
  }
  mFailures.Check();
}

// Guards against an owner of an earlier version, which knows only the time that
// covers all runners, and would start the tasks of a restarted one too early.
TEST(TakeoverSimulation, TheTimeForAllRunnersCoversARestartedOne)
{
  Scenario scenario;
  ClusterSimulation& cluster = scenario.mCluster;
  cluster.RestartRunner(scenario.mRunner);
  cluster.AdvanceTime(Seconds(1));
  const ShardRow row = cluster.Shard();
  LONGS_EQUAL(1, row.mRunnerLeasesEndMs.size());
  const std::int64_t endMs = row.mRunnerLeasesEndMs.at(scenario.mRunner);
  CHECK_TRUE(endMs > row.mCommonLeasesEndMs + 10000);
  LONGS_EQUAL(endMs, row.mLeasesEndMs);
  cluster.AdvanceTime(Seconds(20));
  CHECK_TRUE(cluster.Shard().mRunnerLeasesEndMs.empty());
  LONGS_EQUAL(cluster.Shard().mCommonLeasesEndMs, cluster.Shard().mLeasesEndMs);
}

// Guards against a new owner that waits for a time in the shard's row although
// its runner has left the list, and against one that takes the time of an
// earlier version's row for that of single runners.
TEST(TakeoverSimulation, ATimeOfARunnerThatIsNotListedDelaysNoTask)
{
  for (const bool earlierVersion : { false, true }) {
    Scenario scenario;
    ClusterSimulation& cluster = scenario.mCluster;
    for (const char* node : { "a", "b", "c" }) {
      cluster.KillNode(node);
    }
    const std::vector<std::string> tasks = scenario.LoseRunner(Millis(0));
    ShardRow row = cluster.Shard();
    row.mLeasesEndMs += 12000;
    row.mRunnerLeasesEndMs["gone"] = row.mLeasesEndMs;
    if (earlierVersion) {
      row.mCommonLeasesEndMs = 0;
      row.mRunnerLeasesEndMs.clear();
    }
    StoreTransaction transaction;
    transaction.mPuts.push_back({ kClusterTable,
                                  cluster.mPartitions.OfShards(),
                                  ShardKey(0),
                                  FormatShardRow(row),
                                  0,
                                  false });
    cluster.mStore.Port().mTransact(
      transaction, Millis(0), [](const TransactionOutcome&) {});
    const MonotonicTime lostAt = cluster.mNow;
    for (const char* node : { "a", "b", "c" }) {
      cluster.StartNode(node);
    }
    const std::string late =
      scenario.CheckRunning(tasks, lostAt, lostAt + Seconds(9));
    CHECK_EQUAL(earlierVersion, !late.empty());
    STRCMP_EQUAL("", cluster.Overlap().c_str());
  }
}

// Guards against a lost runner whose tasks wait for a lease as long as the
// deployment allows, whether its owner goes on or dies before or after the
// loss.
TEST(TakeoverSimulation, LongAllowedLeasesDelayNoTaskOfALostRunner)
{
  for (const int killedAfter : { -500, 0, 1000, 3000, 60000 }) {
    Scenario scenario(8, kTasks, Seconds(10));
    ClusterSimulation& cluster = scenario.mCluster;
    if (killedAfter < 0) {
      cluster.KillNode(scenario.mOwner);
      cluster.AdvanceTime(Millis(-killedAfter));
    }
    const std::vector<std::string> tasks = scenario.LoseRunner(Millis(0));
    const MonotonicTime lostAt = cluster.mNow;
    if (killedAfter >= 0 && killedAfter < 9000) {
      cluster.AdvanceTime(Millis(killedAfter));
      cluster.KillNode(scenario.mOwner);
    }
    std::string problem =
      scenario.CheckRunning(tasks, lostAt, lostAt + Seconds(9));
    problem += cluster.Overlap();
    mFailures.Add(
      "owner killed " + Text(Millis(killedAfter)) + " after the loss", problem);
  }
  mFailures.Check();
}

// Guards against a runner that is lost just after it has answered a new owner,
// and whose tasks wait for a lease as long as the deployment allows, although
// the earlier owner granted shorter ones.
TEST(TakeoverSimulation, LongAllowedLeasesDelayNoTaskAfterATakeover)
{
  for (const int lostAfter : { 200, 400, 800, 1500 }) {
    Scenario scenario(8, kTasks, Seconds(10));
    ClusterSimulation& cluster = scenario.mCluster;
    cluster.KillNode(scenario.mOwner);
    scenario.AwaitOwnerAfter(scenario.mEpoch);
    cluster.AdvanceTime(Millis(lostAfter));
    const std::vector<std::string> tasks = scenario.LoseRunner(Millis(0));
    const MonotonicTime lostAt = cluster.mNow;
    std::string problem =
      scenario.CheckRunning(tasks, lostAt, lostAt + Seconds(9));
    problem += cluster.Overlap();
    mFailures.Add("lost " + Text(Millis(lostAfter)) + " after the takeover",
                  problem);
  }
  mFailures.Check();
}

// Guards against an owner that gives up its tasks, or starts no more, while the
// store is unavailable for nine seconds although all runners answer.
TEST(TakeoverSimulation, AStoreOutageStopsNeitherTasksNorStarts)
{
  // One runner has room for 16 tasks, of which 4 are long-running.
  Scenario scenario(1, 4);
  ClusterSimulation& cluster = scenario.mCluster;
  const std::string finite = "fedcba9876543210";
  cluster.Submit("a", finite, dispatch::StepKind::Finite, 60);
  FakeStore& store = cluster.mStore;
  LONGS_EQUAL(16, cluster.mRunners.at("r0").mRunning.size());
  store.mRefuses = true;
  std::uint32_t next = 0;
  const auto endFour = [&] {
    for (int i = 0; i < 4; ++i) {
      cluster.EndRun(finite + ".0.0." + std::to_string(next++),
                     dispatch::EndKind::Done);
    }
  };
  for (int second = 0; second < 9; ++second) {
    endFour();
    cluster.AdvanceTime(Seconds(1));
    LONGS_EQUAL(16, cluster.mRunners.at("r0").mRunning.size());
  }
  store.mRefuses = false;
  cluster.AdvanceTime(Seconds(3));
  LONGS_EQUAL(scenario.mEpoch, cluster.Shard().mEpoch);
  while (next < 60) {
    endFour();
    cluster.AdvanceTime(Seconds(1));
  }
  CHECK_TRUE(cluster.Status("b", finite).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  STRCMP_EQUAL("", cluster.Overlap().c_str());
  for (const std::string& task : scenario.mTasks) {
    LONGS_EQUAL(1, cluster.mHistory.at(task).size());
  }
}

namespace {

/// A seeded schedule of 60 s of faults and 20 s of calm.
class RandomSchedule
{
public:
  /// @param aClockError by which the clock of node a is fast against the
  ///                    store's, and that of node b slow
  explicit RandomSchedule(std::uint64_t aSeed, double aClockError = 0)
    : mRandom(aSeed)
  {
    mScenario.mCluster.SetNodeClockRate("a", 1 + aClockError);
    mScenario.mCluster.SetNodeClockRate("b", 1 - aClockError);
    for (auto& [id, runner] : mScenario.mCluster.mRunners) {
      if (Below(3) == 0) {
        mScenario.mCluster.SetClockRate(id, kSlowClock);
      }
    }
    mBeginAt = mScenario.mCluster.mNow;
  }

  /// @return what went wrong together with the schedule, or an empty text
  std::string Play()
  {
    ClusterSimulation& cluster = mScenario.mCluster;
    while (cluster.mNow < mBeginAt + Seconds(60)) {
      AddFault();
      const MonotonicTime nextAt = std::min(
        cluster.mNow + Millis(200 + Below(3000)), mBeginAt + Seconds(60));
      while (cluster.mNow < nextAt) {
        cluster.AdvanceTime(Millis(25));
        mRepairs.Expire(cluster.mNow);
      }
    }
    Note("calm");
    mRepairs.Expire(MonotonicTime::max());
    const MonotonicTime calmAt = cluster.mNow;
    std::vector<std::string> waiting = mScenario.mTasks;
    while (cluster.mNow < calmAt + Seconds(20)) {
      std::erase_if(waiting, [&](const std::string& aTask) {
        return cluster.Running(aTask) > 0;
      });
      if (cluster.mNow == calmAt + Seconds(9)) {
        for (const std::string& task : waiting) {
          mProblems += "not running after 9 s of calm: " + task + "\n";
        }
      }
      cluster.AdvanceTime(Millis(25));
    }
    for (const std::string& task : mScenario.mTasks) {
      if (cluster.Running(task) != 1) {
        mProblems +=
          "not running once in the end: " + cluster.HistoryOf(task) + "\n";
      }
    }
    const std::string overlap = cluster.Overlap();
    if (!overlap.empty()) {
      mProblems += "twice: " + overlap + "\n";
    }
    return mProblems.empty() ? std::string() : mProblems + mNotes;
  }

private:
  std::int64_t Below(std::int64_t aLimit)
  {
    return static_cast<std::int64_t>(mRandom() %
                                     static_cast<std::uint64_t>(aLimit));
  }

  Millis Between(std::int64_t aFromMs, std::int64_t aToMs)
  {
    return Millis(aFromMs + Below(aToMs - aFromMs));
  }

  void Note(const std::string& aText)
  {
    const ClusterSimulation& cluster = mScenario.mCluster;
    mNotes += "  " + std::to_string(cluster.SinceBegin(cluster.mNow)) + " " +
              aText + " (owner " + cluster.Shard().mOwner + ", epoch " +
              std::to_string(cluster.Shard().mEpoch) + ")\n";
  }

  void RepairAfter(Millis aTime, std::function<void()> aRepair)
  {
    mRepairs.Add(mScenario.mCluster.mNow + aTime, std::move(aRepair));
  }

  void AddFault()
  {
    ClusterSimulation& cluster = mScenario.mCluster;
    // Half of the faults hit the owner.
    std::string node(1, static_cast<char>('a' + Below(3)));
    const std::string owner = cluster.Shard().mOwner;
    if (!owner.empty() && Below(2) == 0) {
      node = owner;
    }
    const std::string runner = "r" + std::to_string(Below(8));
    const bool up = cluster.mRunners.at(runner).mUp;
    ClusterSimulation::SimulatedNode& simulated = cluster.mNodes.at(node);
    const bool acts = simulated.mNode && !simulated.mFrozen;
    switch (Below(9)) {
      case 0:
        if (acts) {
          Freeze(node);
        }
        break;
      case 1:
        if (acts) {
          const Millis away = Between(200, 5000);
          Note("kill " + node + " for " + Text(away));
          cluster.KillNode(node);
          RepairAfter(away, [&cluster, node] { StartIfDown(cluster, node); });
        }
        break;
      case 2:
        if (acts) {
          const Millis away = Between(3000, 8000);
          Note("drain " + node + ", restart after " + Text(away));
          simulated.mNode->Drain();
          RepairAfter(away, [&cluster, node] { cluster.StartNode(node); });
        }
        break;
      case 3: {
        const Millis duration = Between(1000, 15000);
        Note("cut " + node + " from the store for " + Text(duration));
        cluster.CutFromStore(node, true);
        RepairAfter(duration,
                    [&cluster, node] { cluster.CutFromStore(node, false); });
        break;
      }
      case 4:
      case 5: {
        const std::string from = Below(2) == 0 ? ClusterSimulation::kAll : node;
        const Millis duration = Between(1000, 12000);
        Note("cut " + runner + " from " + from + " for " + Text(duration));
        SetPathFor(from, runner, kCut, duration);
        break;
      }
      case 6:
        if (up) {
          Lose(runner);
        }
        break;
      case 7:
        if (up) {
          Note("restart " + runner);
          cluster.RestartRunner(runner);
        }
        break;
      default: {
        const Millis lateness = Between(2000, 12000);
        const Millis duration = Between(300, 2000);
        Note("orders of " + node + " to " + runner + " late by " +
             Text(lateness) + " for " + Text(duration));
        SetPathFor(node, runner, { false, lateness }, duration);
        break;
      }
    }
    if (Below(3) == 0) {
      const std::string task = TaskNamed(static_cast<std::uint32_t>(
        Below(static_cast<std::int64_t>(mScenario.mTasks.size()))));
      Note("failed run of " + task);
      cluster.EndRun(task, dispatch::EndKind::Failed);
    }
  }

  static void StartIfDown(ClusterSimulation& aCluster, const std::string& aNode)
  {
    if (!aCluster.mNodes.at(aNode).mNode) {
      aCluster.StartNode(aNode);
    }
  }

  void Freeze(const std::string& aNode)
  {
    ClusterSimulation& cluster = mScenario.mCluster;
    const Millis duration = Between(1000, 12000);
    const OnWaking order =
      Below(2) == 0 ? OnWaking::AnswersFirst : OnWaking::TickFirst;
    Note("freeze " + aNode + " for " + Text(duration) + ", " + Text(order));
    cluster.FreezeNode(aNode);
    RepairAfter(duration,
                [&cluster, aNode, order] { cluster.WakeNode(aNode, order); });
  }

  void SetPathFor(const std::string& aNode,
                  const std::string& aRunner,
                  const ClusterSimulation::Path& aPath,
                  Millis aDuration)
  {
    ClusterSimulation& cluster = mScenario.mCluster;
    cluster.SetPath(aNode, aRunner, aPath);
    RepairAfter(aDuration, [&cluster, aNode, aRunner] {
      cluster.SetPath(aNode, aRunner, kHealed);
    });
  }

  /// Ends a runner's process, half of them for good, unless few are left.
  void Lose(const std::string& aRunner)
  {
    ClusterSimulation& cluster = mScenario.mCluster;
    const auto runners =
      std::count_if(cluster.mRunners.begin(),
                    cluster.mRunners.end(),
                    [](const auto& aEntry) { return aEntry.second.mUp; });
    const Millis listedFor(Below(2) * 4500);
    const bool forGood = runners > 5 && Below(2) == 0;
    const Millis away = Between(1000, 15000);
    Note("lose " + aRunner + ", listed for " + Text(listedFor) +
         (forGood ? ", for good" : ", for " + Text(away)));
    cluster.RemoveRunner(aRunner, listedFor);
    if (!forGood) {
      RepairAfter(away,
                  [&cluster, aRunner] { cluster.RestartRunner(aRunner); });
    }
  }

  std::mt19937_64 mRandom;
  Scenario mScenario;
  Deadlines mRepairs; ///< End the faults.
  MonotonicTime mBeginAt;
  std::string mNotes;
  std::string mProblems;
};

} // namespace

// Guards against tasks that run twice or are not started again after any mix of
// frozen, killed, drained and cut-off nodes, lost, restarted and cut-off
// runners, and late orders.
TEST(TakeoverSimulation, RandomFaultsNeitherDoubleNorLoseTasks)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    mFailures.Add("seed " + std::to_string(seed), RandomSchedule(seed).Play());
  }
  mFailures.Check();
}

// Guards against a task that runs twice because the end of a runner's leases
// that the last list of an earlier owner states outlives further leases: the
// next owner grants them, and is lost before it replaces the list.
TEST(TakeoverSimulation, AStatedEndOfLeasesOutlivesNoFurtherLease)
{
  for (const std::uint64_t seed : { 707, 1198 }) {
    mFailures.Add("seed " + std::to_string(seed), RandomSchedule(seed).Play());
  }
  mFailures.Check();
}

// Guards against a task that is not started again within 9 s of calm after a
// mix of faults.
TEST(TakeoverSimulation, ALongRunningTaskIsBackAfterAMixOfFaults)
{
  for (const std::uint64_t seed : { 372, 627, 701, 1001 }) {
    mFailures.Add("seed " + std::to_string(seed), RandomSchedule(seed).Play());
  }
  mFailures.Check();
}

// Guards against a task that runs twice because a late start order, which the
// former process of a runner would have rejected, reaches the new one.
TEST(TakeoverSimulation, ALateOrderAtARestartedRunnerDoublesNoTask)
{
  for (const std::uint64_t seed : { 326, 433, 1869, 2461, 2978, 3092 }) {
    mFailures.Add("seed " + std::to_string(seed), RandomSchedule(seed).Play());
  }
  mFailures.Check();
}

// Guards against tasks that run twice or are not started again because the
// clocks of nodes differ from the store's by as much as is allowed.
TEST(TakeoverSimulation, RandomFaultsWithInexactClocksNeitherDoubleNorLoseTasks)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    mFailures.Add("seed " + std::to_string(seed),
                  RandomSchedule(seed, 0.0099).Play());
  }
  mFailures.Check();
}
