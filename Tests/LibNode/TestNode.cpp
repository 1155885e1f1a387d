#include <string>

#include "NodeWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const std::string kJob = "0123456789abcdef";
const std::string kTask = kJob + ".0.0.0";

} // namespace

TEST_GROUP(Node)
{
  NodeWorld world;

  void Begin()
  {
    world.StartNode("a");
    world.Pass(Seconds(6));
  }
};

// Guards the whole path: a job is accepted, run, and shown as completed.
TEST(Node, RunsAJob)
{
  Begin();
  CHECK_TRUE(world.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, world.Running(kTask));
  world.End(kTask, dispatch::EndKind::Done);
  world.Pass(Seconds(1));
  const StatusAnswer status = world.Status("a", kJob);
  CHECK_TRUE(status.mStatus.mPhase == dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a refusal after a store call without an answer: the job may be
// stored, and "not accepted" would be false.
TEST(Node, NeverRefusesAJobThatMayBeStored)
{
  Begin();
  world.mStore.mLoseAnswers = 1;
  CHECK_TRUE(world.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a job that is refused and runs all the same: the transaction
// was only delayed, and the store refused the repetition.
TEST(Node, AnswersUnknownWhenTheStoreStaysSilent)
{
  Begin();
  world.mStore.mDelay = 1;
  ClientAnswer answer = ClientAnswer::Unavailable;
  dispatch::JobSpec job;
  job.mId = kJob;
  job.mQueue = "queue";
  job.mSteps.push_back({});
  world.mNodes.at("a").mNode->Clients().Submit(
    job, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  world.mStore.Run();
  world.mStore.mRefuses = true;
  world.Pass(Seconds(3));
  CHECK_TRUE(answer == ClientAnswer::Unknown);
}

// Guards against a second run of a job that comes again seconds after its
// acceptance, at another node.
TEST(Node, AcceptsARepeatedJobOnce)
{
  Begin();
  world.StartNode("b");
  world.Pass(Seconds(2));
  CHECK_TRUE(world.Submit("a", kJob) == ClientAnswer::Accepted);
  CHECK_TRUE(world.Submit("b", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against losing or repeating work when the owner is killed and its host
// starts a new process.
TEST(Node, TakesItsShardBackAfterAKill)
{
  Begin();
  world.Submit("a", kJob);
  LONGS_EQUAL(1, world.Running(kTask));
  world.StartNode("a");
  world.Pass(Seconds(3));
  LONGS_EQUAL(1, world.mStarts);
  world.End(kTask, dispatch::EndKind::Done);
  world.Pass(Seconds(1));
  CHECK_TRUE(world.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a shard without an owner when the owner's host is gone.
TEST(Node, SucceedsAnOwnerThatIsGone)
{
  Begin();
  world.StartNode("b");
  world.Pass(Seconds(2));
  world.Submit("a", kJob);
  world.KillNode("a");
  world.End(kTask, dispatch::EndKind::Done);
  world.Pass(Seconds(6));
  CHECK_TRUE(world.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against running a job again that a reading of the inbox shows which
// was under way while its end was stored (thenpetti scale-2).
TEST(Node, IgnoresAnEndedJobInAnOldReading)
{
  Begin();
  world.Submit("a", kJob);
  LONGS_EQUAL(1, world.Running(kTask));
  world.mStore.mForget = true;
  world.mStore.mHoldReads = true;
  world.Pass(Millis(50)); // The reading is taken with the job in it.
  world.End(kTask, dispatch::EndKind::Done);
  world.Pass(Millis(400));
  LONGS_EQUAL(0, world.mStore.Rows("inbox-0"));
  world.mStore.ReleaseReads();
  world.Pass(Seconds(1));
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a late transaction of the same owner that puts old progress
// back: a later owner would run a done task again.
TEST(Node, FencesItsOwnLateTransactions)
{
  Begin();
  world.Submit("a", kJob);
  world.mStore.mDelay = 1;
  world.End(kTask, dispatch::EndKind::Failed);
  world.Pass(Seconds(2));
  const std::string progress = world.mStore.Value("progress-0", "job/" + kJob);
  CHECK_FALSE(progress.empty());
  world.End(kTask, dispatch::EndKind::Failed);
  world.Pass(Seconds(1));
  const std::string later = world.mStore.Value("progress-0", "job/" + kJob);
  CHECK_TRUE(progress != later);
  world.mStore.RunLate();
  STRCMP_EQUAL(later.c_str(),
               world.mStore.Value("progress-0", "job/" + kJob).c_str());
}

// Guards against tasks that stop because the store is away for nine seconds.
TEST(Node, GoesOnThroughAStoreOutage)
{
  Begin();
  world.Submit("a", kJob);
  world.mStore.mRefuses = true;
  world.Pass(Seconds(9));
  LONGS_EQUAL(1, world.Running(kTask));
  world.End(kTask, dispatch::EndKind::Done);
  world.mStore.mRefuses = false;
  world.Pass(Seconds(2));
  CHECK_TRUE(world.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against a job that goes on after its cancellation was acknowledged.
TEST(Node, StopsACancelledJob)
{
  Begin();
  world.Submit("a", kJob);
  ClientAnswer answer = ClientAnswer::Unavailable;
  world.mNodes.at("a").mNode->Clients().Cancel(
    kJob, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  world.Pass(Seconds(1));
  CHECK_TRUE(answer == ClientAnswer::Accepted);
  LONGS_EQUAL(0, world.Running(kTask));
  CHECK_TRUE(world.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Cancelled);
}

// Guards against a gap between a planned stop and the next owner.
TEST(Node, HandsItsShardOverWhenItDrains)
{
  Begin();
  world.StartNode("b");
  world.Pass(Seconds(2));
  world.Submit("a", kJob);
  world.mNodes.at("a").mNode->Drain();
  world.Pass(Millis(2500));
  CHECK_TRUE(world.mNodes.at("a").mNode->Drained());
  CHECK_FALSE(world.mNodes.at("a").mNode->Ready());
  world.End(kTask, dispatch::EndKind::Done);
  world.Pass(Seconds(1));
  CHECK_TRUE(world.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, world.mStarts);
}

// Guards against two transactions of one owner at the same time: the second
// fails on the first, and the owner took that for a successor
// (prensa-comun-grown scale-1).
TEST(Node, KeepsItsShardWhileRunnersComeOneAfterTheOther)
{
  Begin();
  world.StartNode("b");
  world.Pass(Seconds(2));
  for (int i = 0; i < 3; ++i) {
    // The second runner is listed while the first is being stored.
    world.mRunners["new" + std::to_string(i)] = {};
    world.Pass(Millis(900));
    world.mRunners["newer" + std::to_string(i)] = {};
    world.mStore.mPaused = true;
    world.mRunners["newest" + std::to_string(i)] = {};
    world.Pass(Millis(950));
    world.mRunners["last" + std::to_string(i)] = {};
    world.Pass(Millis(950));
    world.mStore.mPaused = false;
    world.Pass(Seconds(1));
  }
  CHECK_TRUE(world.mStore.Value("cluster", "shard/0").find("\"epoch\":1,") !=
             std::string::npos);
}
