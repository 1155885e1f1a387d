#include <string>
#include <vector>

#include "NodeWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const std::string kJob = "0123456789abcdef";
const std::string kTask = kJob + ".0.0.0";

} // namespace

TEST_GROUP(Node)
{
  NodeWorld mWorld;

  void Begin()
  {
    mWorld.StartNode("a");
    mWorld.Pass(Seconds(6));
  }
};

// Guards the whole path: a job is accepted, run, and shown as completed.
TEST(Node, RunsAJob)
{
  Begin();
  CHECK_TRUE(mWorld.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mWorld.Running(kTask));
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.Pass(Seconds(1));
  const StatusAnswer status = mWorld.Status("a", kJob);
  CHECK_TRUE(status.mStatus.mPhase == dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against a refusal after a store call without an answer: the job may be
// stored, and "not accepted" would be false.
TEST(Node, NeverRefusesAJobThatMayBeStored)
{
  Begin();
  mWorld.mStore.mLoseAnswers = 1;
  CHECK_TRUE(mWorld.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against a job that is refused and runs all the same: the transaction
// was only delayed, and the store refused the repetition.
TEST(Node, AnswersUnknownWhenTheStoreStaysSilent)
{
  Begin();
  mWorld.mStore.mDelay = 1;
  ClientAnswer answer = ClientAnswer::Unavailable;
  dispatch::JobSpec job;
  job.mId = kJob;
  job.mQueue = "queue";
  job.mSteps.push_back({});
  mWorld.mNodes.at("a").mNode->Clients().Submit(
    job, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  mWorld.mStore.Run();
  mWorld.mStore.mRefuses = true;
  mWorld.Pass(Seconds(3));
  CHECK_TRUE(answer == ClientAnswer::Unknown);
}

// Guards against a second run of a job that comes again seconds after its
// acceptance, at another node.
TEST(Node, AcceptsARepeatedJobOnce)
{
  Begin();
  mWorld.StartNode("b");
  mWorld.Pass(Seconds(2));
  CHECK_TRUE(mWorld.Submit("a", kJob) == ClientAnswer::Accepted);
  CHECK_TRUE(mWorld.Submit("b", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against losing or repeating work when the owner is killed and its host
// starts a new process.
TEST(Node, TakesItsShardBackAfterAKill)
{
  Begin();
  mWorld.Submit("a", kJob);
  LONGS_EQUAL(1, mWorld.Running(kTask));
  mWorld.StartNode("a");
  mWorld.Pass(Seconds(3));
  LONGS_EQUAL(1, mWorld.mStarts);
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.Pass(Seconds(1));
  CHECK_TRUE(mWorld.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against a shard without an owner when the owner's host is gone.
TEST(Node, SucceedsAnOwnerThatIsGone)
{
  Begin();
  mWorld.StartNode("b");
  mWorld.Pass(Seconds(2));
  mWorld.Submit("a", kJob);
  mWorld.KillNode("a");
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.Pass(Seconds(6));
  CHECK_TRUE(mWorld.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against running a job again that a reading of the inbox shows which
// was under way while its end was stored (thenpetti scale-2).
TEST(Node, IgnoresAnEndedJobInAnOldReading)
{
  Begin();
  mWorld.Submit("a", kJob);
  LONGS_EQUAL(1, mWorld.Running(kTask));
  mWorld.mStore.mForget = true;
  mWorld.mStore.mHoldReads = true;
  mWorld.Pass(Millis(50)); // The reading is taken with the job in it.
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.Pass(Millis(400));
  LONGS_EQUAL(0, mWorld.mStore.Rows("inbox-0"));
  mWorld.mStore.ReleaseReads();
  mWorld.Pass(Seconds(1));
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against a late transaction of the same owner that puts old progress
// back: a later owner would run a done task again.
TEST(Node, FencesItsOwnLateTransactions)
{
  Begin();
  mWorld.Submit("a", kJob);
  mWorld.mStore.mDelay = 1;
  mWorld.End(kTask, dispatch::EndKind::Failed);
  mWorld.Pass(Seconds(2));
  const std::string progress = mWorld.mStore.Value("progress-0", "job/" + kJob);
  CHECK_FALSE(progress.empty());
  mWorld.End(kTask, dispatch::EndKind::Failed);
  mWorld.Pass(Seconds(1));
  const std::string later = mWorld.mStore.Value("progress-0", "job/" + kJob);
  CHECK_TRUE(progress != later);
  mWorld.mStore.RunLate();
  STRCMP_EQUAL(later.c_str(),
               mWorld.mStore.Value("progress-0", "job/" + kJob).c_str());
}

// Guards against tasks that stop because the store is away for nine seconds.
TEST(Node, GoesOnThroughAStoreOutage)
{
  Begin();
  mWorld.Submit("a", kJob);
  mWorld.mStore.mRefuses = true;
  mWorld.Pass(Seconds(9));
  LONGS_EQUAL(1, mWorld.Running(kTask));
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.mStore.mRefuses = false;
  mWorld.Pass(Seconds(2));
  CHECK_TRUE(mWorld.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against a job that goes on after its cancellation was acknowledged.
TEST(Node, StopsACancelledJob)
{
  Begin();
  mWorld.Submit("a", kJob);
  ClientAnswer answer = ClientAnswer::Unavailable;
  mWorld.mNodes.at("a").mNode->Clients().Cancel(
    kJob, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  mWorld.Pass(Seconds(1));
  CHECK_TRUE(answer == ClientAnswer::Accepted);
  LONGS_EQUAL(0, mWorld.Running(kTask));
  CHECK_TRUE(mWorld.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Cancelled);
}

// Guards against a gap between a planned stop and the next owner.
TEST(Node, HandsItsShardOverWhenItDrains)
{
  Begin();
  mWorld.StartNode("b");
  mWorld.Pass(Seconds(2));
  mWorld.Submit("a", kJob);
  mWorld.mNodes.at("a").mNode->Drain();
  mWorld.Pass(Millis(2500));
  CHECK_TRUE(mWorld.mNodes.at("a").mNode->Drained());
  CHECK_FALSE(mWorld.mNodes.at("a").mNode->Ready());
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.Pass(Seconds(1));
  CHECK_TRUE(mWorld.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against two transactions of one owner at the same time: the second
// fails on the first, and the owner took that for a successor
// (prensa-comun-grown scale-1).
TEST(Node, KeepsItsShardWhileRunnersComeOneAfterTheOther)
{
  Begin();
  mWorld.StartNode("b");
  mWorld.Pass(Seconds(2));
  for (int i = 0; i < 3; ++i) {
    // The second runner is listed while the first is being stored.
    mWorld.mRunners["new" + std::to_string(i)] = {};
    mWorld.Pass(Millis(900));
    mWorld.mRunners["newer" + std::to_string(i)] = {};
    mWorld.mStore.mPaused = true;
    mWorld.mRunners["newest" + std::to_string(i)] = {};
    mWorld.Pass(Millis(950));
    mWorld.mRunners["last" + std::to_string(i)] = {};
    mWorld.Pass(Millis(950));
    mWorld.mStore.mPaused = false;
    mWorld.Pass(Seconds(1));
  }
  CHECK_TRUE(mWorld.mStore.Value("cluster", "shard/0").find("\"epoch\":1,") !=
             std::string::npos);
}

// Guards against an owner that loses its shard because the store refuses what
// the other nodes write (thenpetti-grown trouble-2, platform slow): its
// renewals shared a part with their heartbeats and with all jobs.
TEST(Node, KeepsItsShardWhileOtherRowsAreRefused)
{
  Begin();
  mWorld.StartNode("b");
  mWorld.Pass(Seconds(2));
  mWorld.Submit("a", kJob);
  const RowParts parts;
  for (const std::string& part : { parts.OfNodes(), parts.OfJob(kJob) }) {
    mWorld.mStore.mRefusedPart = part;
    mWorld.Pass(Seconds(6));
    mWorld.mStore.mRefusedPart.reset();
    mWorld.Pass(Seconds(6));
  }
  CHECK_TRUE(mWorld.mStore.Value("cluster", "shard/0").find("\"epoch\":1,") !=
             std::string::npos);
  mWorld.End(kTask, dispatch::EndKind::Done);
  mWorld.Pass(Seconds(1));
  CHECK_TRUE(mWorld.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
}

// Guards against jobs that a takeover misses because they lie in another part,
// and against a store that allows no transaction over several parts.
TEST(Node, FindsTheJobsOfEveryPartAfterATakeover)
{
  for (const bool spread : { true, false }) {
    NodeWorld world;
    world.mParts.mSpread = spread;
    world.StartNode("a");
    world.Pass(Seconds(6));
    std::vector<std::string> jobs;
    for (int i = 0; i < 12; ++i) {
      jobs.push_back("0123456789abcde" + std::string(1, "0123456789abcdef"[i]));
      CHECK_TRUE(world.Submit("a", jobs.back()) == ClientAnswer::Accepted);
    }
    world.StartNode("a");
    world.mStore.mForget = true;
    world.Pass(Seconds(3));
    for (const std::string& job : jobs) {
      world.End(job + ".0.0.0", dispatch::EndKind::Done);
    }
    world.Pass(Seconds(2));
    for (const std::string& job : jobs) {
      CHECK_TRUE(world.Status("a", job).mStatus.mPhase ==
                 dispatch::JobPhase::Completed);
    }
    LONGS_EQUAL(jobs.size(), world.mStarts);
  }
}
