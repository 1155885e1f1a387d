#include <cstdint>
#include <string>

#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include "ClusterSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(AccountTakeover){};

// Guards against a backlog that counts as a burst towards the entitlement of
// its account, because a new owner takes all old jobs for equally old. Load:
// room for 64 tasks; ten minutes ago, an account sent 60 jobs, one a second,
// and another one 60 at once.
TEST(AccountTakeover, AnOldBacklogStaysWithinItsEntitlement)
{
  ClusterSimulation cluster(4);
  cluster.mAccounts = { { {}, { "burst", 1 } }, { {}, { "steady", 1 } } };
  const std::int64_t begunMs = UnixMs() - 600000;
  const auto accept = [&](const std::string& aId,
                          const std::string& aAccount,
                          std::int64_t aAcceptedMs) {
    AcceptedJob job;
    job.mSpec.mId = aId;
    job.mSpec.mQueue = "queue";
    job.mSpec.mAccount = aAccount;
    job.mSpec.mSteps.emplace_back().mTaskCount = 1;
    job.mSpec.mSteps[0].mDemand = { 1000, 1000, 0 };
    job.mAcceptedUnixMs = aAcceptedMs;
    StoreTransaction row;
    row.mPuts.push_back({ InboxTable(0),
                          cluster.mPartitions.OfJob(aId),
                          kAcceptedPrefix + aId,
                          FormatAcceptedJob(job) });
    cluster.mStore.Port().mTransact(
      row, Millis(100), [](const TransactionOutcome&) {});
    cluster.mStore.Run();
  };
  for (std::int64_t i = 0; i < 60; ++i) {
    accept("a" + std::to_string(i), "burst", begunMs);
    accept("b" + std::to_string(i), "steady", begunMs + i * 1000);
  }
  cluster.StartNode("node");
  cluster.AdvanceTime(Seconds(10));
  std::size_t steady = 0;
  for (const auto& [id, runner] : cluster.mRunners) {
    for (const ClusterSimulation::FakeRun& run : runner.mRunning) {
      steady += run.mTask.starts_with('b') ? 1 : 0;
    }
  }
  LONGS_EQUAL(64, cluster.mStarts);
  // The other account is entitled to two, and overdue jobs may start 8 tasks.
  CHECK_COMPARE(steady, >=, 64 - 2 - 8);
}
