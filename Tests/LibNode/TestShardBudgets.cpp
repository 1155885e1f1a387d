#include <algorithm>
#include <functional>
#include <string>

#include <LibDispatch/AccountBudget.h>
#include <LibNode/BudgetRows.h>

#include "TwoShards.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::size_t kCapTasks = 20; ///< Of one core each.

/// Gives the account "capped" a cap of some cores.
void
SetCap(ClusterSimulation& aCluster, std::int64_t aCores)
{
  ClientAccount account;
  account.mSpec.mName = "capped";
  account.mSpec.mCap = { 1000 * aCores, 0, 0 };
  aCluster.mAccounts = { account };
  ++aCluster.mConfigurationVersion;
}

/// Submits a job of the account with tasks of one core each; the clock stands
/// still.
void
SubmitCapped(ClusterSimulation& aCluster,
             const std::string& aNode,
             const std::string& aJob,
             std::uint32_t aTasks)
{
  dispatch::JobSpec job;
  job.mId = aJob;
  job.mQueue = "queue";
  job.mAccount = "capped";
  dispatch::StepSpec& step = job.mSteps.emplace_back();
  step.mTaskCount = aTasks;
  step.mDemand = { 1000, 1000, 0 };
  step.mEstimatedDuration = Seconds(30);
  aCluster.mNodes.at(aNode).mNode->FrontEnd().Submit(std::move(job),
                                                     [](ClientAnswer) {});
}

} // namespace

/// Two shards with 16 and 32 cores, and an account with a cap of 20 cores.
TEST_GROUP_BASE(ShardBudgets,
                TwoShards){ void setup() override{ SetCap(mCluster, kCapTasks);
TwoShards::setup();
}

std::size_t
RunningIn(std::uint32_t aShard) const
{
  std::size_t running = 0;
  for (const auto& [id, runner] : mCluster.mRunners) {
    running +=
      ShardOfRunner(id, kShards) == aShard ? runner.mRunning.size() : 0;
  }
  return running;
}

/// Lets time pass and checks the cap in each step.
void
Advance(Millis aTime, const std::function<void()>& aEachStep = {})
{
  for (Millis passed(0); passed < aTime; passed += Millis(25)) {
    mCluster.AdvanceTime(Millis(25));
    CHECK_COMPARE(RunningIn(0) + RunningIn(1), <=, kCapTasks);
    if (aEachStep) {
      aEachStep();
    }
  }
}

std::string
OwnerOf(std::uint32_t aShard) const
{
  const auto row =
    ParseShardRow(mCluster.mStore.Value(kClusterTable, ShardKey(aShard)));
  return row ? row->mOwner : std::string();
}

/// Ends a run of a shard.
void
EndOneIn(std::uint32_t aShard)
{
  for (const auto& [id, runner] : mCluster.mRunners) {
    if (ShardOfRunner(id, kShards) == aShard && !runner.mRunning.empty()) {
      mCluster.EndRun(std::string(runner.mRunning[0].mTask),
                      dispatch::EndKind::Done);
      return;
    }
  }
}

std::int64_t
GrantIn(std::uint32_t aShard) const
{
  const auto row = ParseGrantsRow(
    mCluster.mStore.Value(kBudgetTable, std::string(kBudgetPrefix) + "capped"));
  return row ? dispatch::GrantOf(*row, aShard).mMilliCores : 0;
}

/// Lets shard 0 use 8 cores and shard 1 the rest, with more waiting there.
void
UseBothShards()
{
  SubmitCapped(mCluster, "a", JobOfShard(0, 0), 8);
  Advance(Seconds(2));
  LONGS_EQUAL(8, RunningIn(0));
  SubmitCapped(mCluster, "a", JobOfShard(1, 0), 30);
  Advance(Seconds(5));
  LONGS_EQUAL(8, RunningIn(0));
  LONGS_EQUAL(kCapTasks - 8, RunningIn(1));
}
}
;

// Guards against an account that gets only a part of its cap although all of
// its work is in one shard, and against budget that is not returned.
TEST(ShardBudgets, GoToTheShardWithWork)
{
  SubmitCapped(mCluster, "a", JobOfShard(1, 0), 30);
  Advance(Seconds(2));
  LONGS_EQUAL(kCapTasks, RunningIn(1));
  CHECK_TRUE(Cancel(JobOfShard(1, 0)) == ClientAnswer::Accepted);
  Advance(Seconds(2));
  LONGS_EQUAL(0, GrantIn(1));
  SubmitCapped(mCluster, "a", JobOfShard(0, 0), 30);
  Advance(Seconds(2));
  LONGS_EQUAL(kTasksOfRunner, RunningIn(0));
}

// Guards against budget that is lost, or used twice, after the owner of a shard
// was killed: the other shard and the successor go on within the cap.
TEST(ShardBudgets, OutliveTheOwner)
{
  UseBothShards();
  const std::string killed = OwnerOf(0);
  mCluster.KillNode(killed);
  std::size_t ended = 0;
  // The other shard's tasks end and others start in their place meanwhile.
  Advance(Seconds(3), [&] {
    if (++ended % 20 == 0) {
      EndOneIn(1);
    }
  });
  CHECK_COMPARE(RunningIn(1), >=, kCapTasks - 10);
  Advance(Seconds(8));
  CHECK_FALSE(OwnerOf(0).empty() || OwnerOf(0) == killed);
  LONGS_EQUAL(8, RunningIn(0));
  LONGS_EQUAL(kCapTasks - 8, RunningIn(1));
  for (int i = 0; i < 8; ++i) {
    EndOneIn(0);
  }
  Advance(Seconds(4));
  LONGS_EQUAL(0, RunningIn(0));
  LONGS_EQUAL(kCapTasks, RunningIn(1));
}

// Guards against budget that a successor returns although runs that it does not
// know still use it, on a runner that it does not reach; the former owner wakes
// meanwhile.
TEST(ShardBudgets, CountRunsThatTheSuccessorDoesNotKnow)
{
  UseBothShards();
  const std::string frozen = OwnerOf(0);
  const std::string other = frozen == "a" ? "b" : "a";
  mCluster.SetPath(other, mFullRunner, { .mCut = true });
  mCluster.FreezeNode(frozen);
  Advance(Seconds(4));
  STRCMP_EQUAL(other.c_str(), OwnerOf(0).c_str());
  LONGS_EQUAL(8, RunningIn(0));
  LONGS_EQUAL(kCapTasks - 8, RunningIn(1));
  mCluster.WakeNode(frozen, ClusterSimulation::OnWaking::TickFirst);
  Advance(Seconds(20));
  LONGS_EQUAL(0, RunningIn(0));
  LONGS_EQUAL(kCapTasks, RunningIn(1));
}

// Guards against a lowered cap that stops tasks, or is not kept by both shards.
TEST(ShardBudgets, FollowALoweredCap)
{
  UseBothShards();
  SetCap(mCluster, 10);
  Advance(Seconds(3));
  LONGS_EQUAL(kCapTasks, RunningIn(0) + RunningIn(1));
  for (std::size_t i = 0; i < 12; ++i) {
    EndOneIn(1);
    Advance(Seconds(1));
    CHECK_COMPARE(RunningIn(0) + RunningIn(1),
                  <=,
                  std::max<std::size_t>(10, kCapTasks - 1 - i));
  }
  Advance(Seconds(2));
  LONGS_EQUAL(8, RunningIn(0));
  LONGS_EQUAL(2, RunningIn(1));
}

// Guards against a job that goes from shard to shard while it waits for its
// account's budget only.
TEST(ShardBudgets, MoveNoJobThatWaitsForThem)
{
  UseBothShards();
  const std::string job = JobOfShard(0, 1);
  SubmitCapped(mCluster, "a", job, 1);
  Advance(Seconds(12));
  CHECK_FALSE(
    mCluster.mStore.Value(InboxTable(0), kAcceptedPrefix + job).empty());
}

TEST_GROUP(ShardBudget){};

// Guards against rows and calls that a deployment with one shard pays for.
TEST(ShardBudget, IsTheCapOfTheOnlyShard)
{
  ClusterSimulation cluster;
  SetCap(cluster, 6);
  cluster.StartNode("a");
  cluster.AdvanceTime(Seconds(10));
  SubmitCapped(cluster, "a", "job", 30);
  cluster.AdvanceTime(Seconds(1));
  std::size_t running = 0;
  for (const auto& [id, runner] : cluster.mRunners) {
    running += runner.mRunning.size();
  }
  LONGS_EQUAL(6, running);
  LONGS_EQUAL(0, cluster.mStore.Rows(kBudgetTable));
  STRCMP_CONTAINS("account_budget_milli_cores/capped/0 6000\n",
                  cluster.mNodes.at("a").mNode->AccountMetrics().c_str());
}

// Guards against a runner that a later owner counts as empty, because it is no
// longer listed and its capacity is not stored; without caps the list stays as
// it was.
TEST(ShardBudget, NeedsTheCapacitiesOfInheritedRunners)
{
  for (const bool capped : { false, true }) {
    ClusterSimulation cluster;
    if (capped) {
      SetCap(cluster, 6);
    }
    cluster.StartNode("a");
    cluster.AdvanceTime(Seconds(10));
    const std::vector<dispatch::InheritedRunner> runners =
      ParseRunners(cluster.mStore.Value(ProgressTable(0), kRunnersKey), {});
    LONGS_EQUAL(4, runners.size());
    for (const dispatch::InheritedRunner& runner : runners) {
      CHECK_TRUE(runner.mSpec.mCapacity ==
                 (capped ? dispatch::Resources{ 16000, 64000, 0 }
                         : dispatch::Resources{}));
      CHECK_FALSE(runner.mPossibleRuns || runner.mLeasesExpireAt ||
                  runner.mRecordFinal);
    }
  }
}

// Guards against grants of other shards that are taken for none.
TEST(ShardBudget, RowsAreReadWholeOrNotAtAll)
{
  const dispatch::GrantsRow row{ { { 0, { 1000, 2, 3 } }, { 11, { 4, 5, 6 } } },
                                 { { 1, { 7, 8, 9 } } },
                                 { { 0, 12 }, { 11, 3 } } };
  CHECK_TRUE(ParseGrantsRow(FormatGrantsRow(row)) == row);
  CHECK_TRUE(ParseGrantsRow("{\"grants\":{\"0\":[1,2,3]}}").has_value());
  for (const char* text : { "",
                            "{}",
                            "[]",
                            "{\"grants\":{\"0\":[1,2]}}",
                            "{\"grants\":{\"0\":[1,2,-3]}}",
                            "{\"grants\":{\"x\":[1,2,3]}}",
                            "{\"grants\":{},\"epochs\":{\"0\":\"1\"}}" }) {
    CHECK_FALSE(ParseGrantsRow(text).has_value());
  }
}
