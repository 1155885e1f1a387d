#include <climits>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <xxhash.h>

#include <LibNode/ShardState.h>

#include "ClusterSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const std::string kJob = "0123456789abcdef";
const std::string kTask = kJob + ".0.0.0";

} // namespace

TEST_GROUP(Node)
{
  ClusterSimulation mCluster;

  /// Starts the node "a" and waits until it has created the layout and claimed
  /// the only shard.
  void Begin()
  {
    mCluster.StartNode("a");
    mCluster.AdvanceTime(Seconds(6));
  }

  /// Cancels a job through a node and advances the clock by 3 s, more than a
  /// client waits.
  /// @return the answer, or nothing if there was none
  std::optional<ClientAnswer> Cancel(const std::string& aNode,
                                     const std::string& aJob = kJob)
  {
    std::optional<ClientAnswer> answer;
    mCluster.mNodes.at(aNode).mNode->FrontEnd().Cancel(
      aJob, [&](ClientAnswer aAnswer) { answer = aAnswer; });
    mCluster.AdvanceTime(Seconds(3));
    return answer;
  }
};

// Guards against a break anywhere on the usual path: a job is accepted, run,
// and reported as completed.
TEST(Node, RunsAJob)
{
  Begin();
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mCluster.Running(kTask));
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Seconds(1));
  const StatusAnswer status = mCluster.Status("a", kJob);
  CHECK_TRUE(status.mStatus.mPhase == dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against ends that a restarted runner forgets unread: if its host's
// clock was set back before the restart, its reports are not used, and the
// number of the last stored end is still that of the former process. Also
// guards against ends that are never acknowledged.
TEST(Node, AcknowledgesEndsToNoOtherProcess)
{
  Begin();
  mCluster.Submit("a", kJob);
  const std::string id = mCluster.RunnerOf(kTask);
  ClusterSimulation::FakeRunner& runner = mCluster.mRunners.at(id);
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  LONGS_EQUAL(1, runner.mEnds.size());
  mCluster.AdvanceTime(Seconds(2));
  LONGS_EQUAL(0, runner.mEnds.size());
  mCluster.RestartRunner(id);
  runner.mIncarnation = 0;
  runner.mEnds.push_back({ runner.mNextEnd++,
                           *dispatch::ParseTaskName(kTask),
                           1,
                           dispatch::EndKind::Done,
                           {} });
  mCluster.AdvanceTime(Seconds(10));
  LONGS_EQUAL(1, runner.mEnds.size());
}

// Guards against a wait for jobs that goes on for seconds on a connection that
// has fallen silent, while accepted jobs wait. The store's client lets it last
// 0.7 s longer, and the wait has to end before clients give up.
TEST(Node, WaitsForJobsInShortCalls)
{
  mCluster.StartNode("a");
  StorePort& store = mCluster.mNodes.at("a").mContext.mStore;
  std::vector<Millis> waits;
  store.mWaitForChanges =
    [&, wait = store.mWaitForChanges](const std::string& aTable,
                                      std::int64_t aAfter,
                                      Millis aWait,
                                      const ReadHandler& aDone) {
      waits.push_back(aWait);
      wait(aTable, aAfter, aWait, aDone);
    };
  mCluster.AdvanceTime(Seconds(6));
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  CHECK_FALSE(waits.empty());
  for (const Millis wait : waits) {
    CHECK_TRUE(wait + Millis(700) < NodeSettings().mClientTimeout);
  }
}

// Guards against a start order that waits for a connection and is sent although
// its job has been cancelled meanwhile, or the node has been suspended and the
// time has passed in which it may start tasks.
TEST(Node, WithdrawsStartOrdersThatAreNotWantedAnyMore)
{
  mCluster.StartNode("a");
  std::vector<StartOrder> orders;
  std::vector<std::function<void(RunnerResult)>> results;
  mCluster.mNodes.at("a").mContext.mRunners.mStart =
    [&](const RunnerTarget&,
        const StartOrder& aOrder,
        const std::function<void(RunnerResult)>& aDone) {
      orders.push_back(aOrder);
      results.push_back(aDone);
    };
  mCluster.AdvanceTime(Seconds(6));
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  CHECK_TRUE(mCluster.Submit("a", "0123456789abcde0") ==
             ClientAnswer::Accepted);
  LONGS_EQUAL(2, orders.size());
  CHECK_TRUE(orders[0].mStillWanted());
  CHECK_TRUE(Cancel("a") == ClientAnswer::Accepted);
  CHECK_FALSE(orders[0].mStillWanted());
  CHECK_TRUE(orders[1].mStillWanted());
  results[0](RunnerResult::NotSent);
  mCluster.FreezeNode("a");
  mCluster.AdvanceTime(Seconds(3));
  CHECK_FALSE(orders[1].mStillWanted());
}

// Guards against new jobs for an owner that can't start in time what it has,
// while another owner could.
TEST(Node, GivesNewJobsToTheQuickerOwner)
{
  NodeContext context;
  ClusterView view;
  view.mShardCount = 2;
  view.mShardRows[0].mRow.mStartWaitMs = 5000;
  for (std::uint32_t shard : { 0U, 1U }) {
    ShardRow& row = view.mShardRows[shard].mRow;
    row.mTotalMilliCores = 1000;
    row.mFreeMilliCores = shard == 0 ? 900 : 100;
  }
  EventLog log("node", {});
  context.mLog = &log;
  std::set<std::string> inboxes;
  context.mStore.mTransact = [&](const StoreTransaction& aTransaction,
                                 Millis,
                                 const TransactionHandler&) {
    for (const StoreRow& put : aTransaction.mPuts) {
      if (put.mKey.starts_with(kAcceptedPrefix)) {
        inboxes.insert(put.mTable);
      }
    }
  };
  ClientFrontEnd frontEnd(context, view);
  // The id selects both shards, so that the choice decides.
  std::size_t both = 0;
  for (int i = 0; i < 20; ++i) {
    dispatch::JobSpec job;
    job.mId = "job" + std::to_string(i);
    job.mSteps.push_back({});
    const auto first = XXH64(job.mId.data(), job.mId.size(), 0) % 2;
    const auto second = XXH64(job.mId.data(), job.mId.size(), 1) % 2;
    if (first != second) {
      ++both;
      frontEnd.Submit(job, [](ClientAnswer) {});
    }
  }
  CHECK_COMPARE(both, >, 3);
  LONGS_EQUAL(1, inboxes.size());
  STRCMP_EQUAL(InboxTable(1).c_str(), inboxes.begin()->c_str());
}

// Guards against a number of waiting jobs that leaves out those which a late
// owner has not taken up for seconds.
TEST(Node, GivesNoNumberOfWaitingJobsWhileTheOwnerIsLate)
{
  mCluster.StartNode("a");
  StorePort& store = mCluster.mNodes.at("a").mContext.mStore;
  bool late = false;
  store.mWaitForChanges =
    [&, wait = store.mWaitForChanges](const std::string& aTable,
                                      std::int64_t aAfter,
                                      Millis aWait,
                                      const ReadHandler& aDone) {
      wait(aTable, aAfter, aWait, [&late, aDone](const ReadOutcome& aRead) {
        if (!late) {
          aDone(aRead);
        }
      });
    };
  mCluster.AdvanceTime(Seconds(6));
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  const ClientFrontEnd& frontEnd = mCluster.mNodes.at("b").mNode->FrontEnd();
  const std::uint32_t tooMany = 10000;
  const dispatch::StepKind kind = dispatch::StepKind::Finite;
  CHECK_TRUE(mCluster.Submit("b", kJob, kind) == ClientAnswer::Accepted);
  LONGS_EQUAL(0, frontEnd.Pending("queue").value_or(99));
  late = true;
  CHECK_TRUE(mCluster.Submit("b", "0123456789abcde0", kind, tooMany) ==
             ClientAnswer::Accepted);
  mCluster.AdvanceTime(Seconds(2));
  CHECK_FALSE(frontEnd.Pending("queue").has_value());
}

// Guards against a new owner that repeats the number of its predecessor, with
// the age of its own row, until it has read the jobs.
TEST(Node, GivesNoNumberOfWaitingJobsThatANewOwnerRepeats)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  CHECK_TRUE(mCluster.Submit("b", kJob) == ClientAnswer::Accepted);
  StorePort& store = mCluster.mNodes.at("b").mContext.mStore;
  store.mRead = [read = store.mRead](const std::string& aTable,
                                     const std::string& aPartition,
                                     const std::string& aFrom,
                                     const std::string& aTo,
                                     const ReadHandler& aDone) {
    if (!aTable.starts_with("inbox")) {
      read(aTable, aPartition, aFrom, aTo, aDone);
    }
  };
  mCluster.KillNode("a");
  STRCMP_EQUAL("b", mCluster.AwaitOwner(2, Seconds(10)).c_str());
  mCluster.AdvanceTime(Seconds(3));
  const ClientFrontEnd& frontEnd = mCluster.mNodes.at("b").mNode->FrontEnd();
  CHECK_FALSE(frontEnd.Pending("queue").has_value());
}

// Guards against the answer "not accepted" after a store call that got no
// answer: the job may be stored.
TEST(Node, NeverRefusesAJobThatMayBeStored)
{
  Begin();
  mCluster.mStore.mLoseNextAnswers = 1;
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against a job that runs although the client was told that it was not
// accepted: the transaction was only delayed, and the store refused the
// repeated one.
TEST(Node, AnswersUnknownWhenTheStoreStaysSilent)
{
  Begin();
  mCluster.mStore.mDelayNext = 1;
  ClientAnswer answer = ClientAnswer::Unavailable;
  dispatch::JobSpec job;
  job.mId = kJob;
  job.mQueue = "queue";
  job.mSteps.push_back({});
  mCluster.mNodes.at("a").mNode->FrontEnd().Submit(
    job, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  mCluster.mStore.Run();
  mCluster.mStore.mRefuses = true;
  mCluster.AdvanceTime(Seconds(3));
  CHECK_TRUE(answer == ClientAnswer::Unknown);
}

// Guards against a job that runs for good although its cancellation was
// acknowledged: a submission that got no answer is only carried out later.
TEST(Node, NeverRunsACancelledJobThatIsStoredLate)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  mCluster.mStore.mDelayNext = INT_MAX;
  CHECK_TRUE(mCluster.Submit("a", kJob, dispatch::StepKind::LongRunning) ==
             ClientAnswer::Unknown);
  mCluster.mStore.mDelayNext = 0;
  CHECK_TRUE(Cancel("b") == ClientAnswer::NoSuchJob);
  mCluster.mStore.ApplyDelayed();
  mCluster.AdvanceTime(Seconds(5));
  LONGS_EQUAL(0, mCluster.mStarts);
  CHECK_TRUE(mCluster.Status("a", kJob).mAnswer == ClientAnswer::NoSuchJob);
}

// Guards against losing a cancellation that meets a submission under way: the
// job may be stored between the cancellation's read and its write.
TEST(Node, CancelsAJobThatIsStoredMeanwhile)
{
  Begin();
  mCluster.mStore.mDelayNext = INT_MAX;
  CHECK_TRUE(mCluster.Submit("a", kJob, dispatch::StepKind::LongRunning) ==
             ClientAnswer::Unknown);
  mCluster.mStore.mDelayNext = 0;
  mCluster.mStore.mHoldReads = true;
  ClientAnswer answer = ClientAnswer::Unavailable;
  mCluster.mNodes.at("a").mNode->FrontEnd().Cancel(
    kJob, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  mCluster.mStore.Run();
  mCluster.mStore.ApplyDelayed();
  mCluster.mStore.ReleaseReads();
  mCluster.AdvanceTime(Seconds(2));
  CHECK_TRUE(answer == ClientAnswer::Accepted);
  LONGS_EQUAL(0, mCluster.Running(kTask));
  CHECK_TRUE(mCluster.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Cancelled);
}

// Guards against running a job that a client submits again after it was
// cancelled, and against contradicting the answer that it is accepted.
TEST(Node, StoresARepeatedSubmissionAfterItsCancellationAsCancelled)
{
  Begin();
  CHECK_TRUE(Cancel("a") == ClientAnswer::NoSuchJob);
  CHECK_TRUE(Cancel("a") == ClientAnswer::NoSuchJob);
  CHECK_TRUE(mCluster.Status("a", kJob).mAnswer == ClientAnswer::NoSuchJob);
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(0, mCluster.mStarts);
  const StatusAnswer status = mCluster.Status("a", kJob);
  CHECK_TRUE(status.mAnswer == ClientAnswer::Accepted);
  CHECK_TRUE(status.mStatus.mPhase == dispatch::JobPhase::Cancelled);
  CHECK_TRUE(Cancel("a") == ClientAnswer::Accepted);
}

// Guards against a cancellation that hangs or is acknowledged without effect
// when the store loses the answer to its write, or takes no writes.
TEST(Node, AnswersACancellationOfAnUnknownJobByWhatIsStored)
{
  Begin();
  mCluster.mStore.mLoseNextAnswers = 1;
  CHECK_TRUE(Cancel("a") == ClientAnswer::NoSuchJob);
  mCluster.mNodes.at("a").mWritesRefused = true;
  CHECK_TRUE(Cancel("a", "fedcba9876543210") == ClientAnswer::Unavailable);
}

// Guards against a second run of a job that a client submits again to another
// node, seconds after it was accepted.
TEST(Node, AcceptsARepeatedJobOnce)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  CHECK_TRUE(mCluster.Submit("b", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against lost or repeated tasks when the owner is killed and its host
// starts a new process.
TEST(Node, ClaimsItsShardAgainAfterAKill)
{
  Begin();
  mCluster.Submit("a", kJob);
  LONGS_EQUAL(1, mCluster.Running(kTask));
  mCluster.StartNode("a");
  mCluster.AdvanceTime(Seconds(3));
  LONGS_EQUAL(1, mCluster.mStarts);
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Seconds(1));
  CHECK_TRUE(mCluster.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against a shard that stays without an owner because the answer to its
// claim was lost: the row names this process, which does not know of it.
TEST(Node, ClaimsItsShardAgainAfterALostAnswer)
{
  mCluster.StartNode("a");
  while (mCluster.mStore.Value("cluster", "layout").empty()) {
    mCluster.AdvanceTime(Millis(25));
  }
  mCluster.mStore.mLoseNextAnswers = INT_MAX;
  while (mCluster.mStore.Value("cluster", "shard/0").empty()) {
    mCluster.AdvanceTime(Millis(25));
  }
  mCluster.mStore.mLoseNextAnswers = 0;
  mCluster.AdvanceTime(Seconds(2));
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  LONGS_EQUAL(1, mCluster.Running(kTask));
}

// Guards against a shard that stays without an owner when its owner's host is
// gone.
TEST(Node, TakesOverFromAnOwnerThatIsGone)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  mCluster.Submit("a", kJob);
  mCluster.KillNode("a");
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Seconds(6));
  CHECK_TRUE(mCluster.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against a second run of an ended job: a read of the inbox that was in
// flight while the end of the job was stored still returns the job.
TEST(Node, IgnoresAnEndedJobInAnOldRead)
{
  Begin();
  mCluster.Submit("a", kJob);
  LONGS_EQUAL(1, mCluster.Running(kTask));
  mCluster.mStore.mHistoryGone = true;
  mCluster.mStore.mHoldReads = true;
  mCluster.AdvanceTime(Millis(50)); // The read is carried out; it has the job.
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Millis(400));
  LONGS_EQUAL(0, mCluster.mStore.Rows("inbox-0"));
  mCluster.mStore.ReleaseReads();
  mCluster.AdvanceTime(Seconds(1));
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against the answer "try again later" for a job that the store never
// takes: the client would submit it again and again.
TEST(Node, RejectsAJobThatTheStoreNeverTakes)
{
  Begin();
  mCluster.mStore.mLimits.mNameBytes = 15;
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Rejected);
  mCluster.mStore.mLimits = {};
  CHECK_TRUE(mCluster.Status("a", kJob).mAnswer == ClientAnswer::NoSuchJob);
}

// Guards against the claim that a job was not stored after an earlier
// transaction that got no answer and may have been stored.
TEST(Node, DoesNotDenyAJobThatMayBeStoredWhenTheStoreRejectsIt)
{
  Begin();
  ClientAnswer answer = ClientAnswer::Unavailable;
  dispatch::JobSpec spec;
  spec.mId = kJob;
  spec.mQueue = "q";
  spec.mPayload = std::string(4000, 'x');
  spec.mSteps.emplace_back().mTaskCount = 1;
  mCluster.mStore.mLoseNextAnswers = 1;
  mCluster.mNodes.at("a").mNode->FrontEnd().Submit(
    spec, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  mCluster.mStore.Run();
  LONGS_EQUAL(0, mCluster.mStore.mLoseNextAnswers);
  mCluster.mStore.mLimits.mRowBytes = 3000;
  mCluster.AdvanceTime(Seconds(3));
  CHECK_TRUE(answer == ClientAnswer::Unknown);
  CHECK_TRUE(mCluster.mStore.mRejected > 0);
  LONGS_EQUAL(1, mCluster.mStore.Rows("jobs"));
}

// Guards against a delayed transaction of the same owner that replaces newer
// progress with older: a later owner would run a finished task again.
TEST(Node, FencesItsOwnLateTransactions)
{
  Begin();
  mCluster.Submit("a", kJob);
  mCluster.mStore.mDelayNext = 1;
  mCluster.EndRun(kTask, dispatch::EndKind::Failed);
  mCluster.AdvanceTime(Seconds(2));
  const std::string progress =
    mCluster.mStore.Value("progress-0", "job/" + kJob);
  CHECK_FALSE(progress.empty());
  mCluster.EndRun(kTask, dispatch::EndKind::Failed);
  mCluster.AdvanceTime(Seconds(1));
  const std::string later = mCluster.mStore.Value("progress-0", "job/" + kJob);
  CHECK_TRUE(progress != later);
  mCluster.mStore.ApplyDelayed();
  STRCMP_EQUAL(later.c_str(),
               mCluster.mStore.Value("progress-0", "job/" + kJob).c_str());
}

// Guards against tasks that stop because the store is unavailable for nine
// seconds.
TEST(Node, KeepsTasksRunningThroughAStoreOutage)
{
  Begin();
  mCluster.Submit("a", kJob);
  mCluster.mStore.mRefuses = true;
  mCluster.AdvanceTime(Seconds(9));
  LONGS_EQUAL(1, mCluster.Running(kTask));
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.mStore.mRefuses = false;
  mCluster.AdvanceTime(Seconds(2));
  CHECK_TRUE(mCluster.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against leases that end across a full link: each renewal of a silent
// runner opens a connection and is given up just before its answer arrives.
TEST(Node, ReachesASilentRunnerAcrossASlowLink)
{
  Begin();
  mCluster.Submit("a", kJob, dispatch::StepKind::LongRunning);
  const std::string runner = mCluster.RunnerOf(kTask);
  // One renewal gets no answer, which closes its connection.
  mCluster.SetPath("a", runner, { .mCut = true });
  mCluster.AdvanceTime(Millis(1700));
  mCluster.SetPath("a", runner, { .mRoundTrip = Millis(500) });
  mCluster.AdvanceTime(Seconds(12));
  LONGS_EQUAL(1, mCluster.mStarts);
  STRCMP_EQUAL(runner.c_str(), mCluster.RunnerOf(kTask).c_str());
}

// Guards against a job that continues to run after its cancellation was
// acknowledged.
TEST(Node, StopsACancelledJob)
{
  Begin();
  mCluster.Submit("a", kJob);
  ClientAnswer answer = ClientAnswer::Unavailable;
  mCluster.mNodes.at("a").mNode->FrontEnd().Cancel(
    kJob, [&](ClientAnswer aAnswer) { answer = aAnswer; });
  mCluster.AdvanceTime(Seconds(1));
  CHECK_TRUE(answer == ClientAnswer::Accepted);
  LONGS_EQUAL(0, mCluster.Running(kTask));
  CHECK_TRUE(mCluster.Status("a", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Cancelled);
}

// Guards against a long time without an owner when the owner is drained.
TEST(Node, HandsItsShardOverWhenItDrains)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  mCluster.Submit("a", kJob);
  mCluster.mNodes.at("a").mNode->Drain();
  mCluster.AdvanceTime(Millis(2500));
  CHECK_TRUE(mCluster.mNodes.at("a").mNode->Drained());
  CHECK_FALSE(mCluster.mNodes.at("a").mNode->Ready());
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Seconds(1));
  CHECK_TRUE(mCluster.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
  LONGS_EQUAL(1, mCluster.mStarts);
}

// Guards against an owner that sends two transactions at the same time: the
// second conflicts with the first, and the owner concluded that another node
// had taken its shard over.
TEST(Node, KeepsItsShardWhileRunnersRegisterOneAfterTheOther)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  for (int i = 0; i < 3; ++i) {
    // The second runner is listed while the first is being stored.
    mCluster.mRunners["new" + std::to_string(i)] = {};
    mCluster.AdvanceTime(Millis(900));
    mCluster.mRunners["newer" + std::to_string(i)] = {};
    mCluster.mStore.mPaused = true;
    mCluster.mRunners["newest" + std::to_string(i)] = {};
    mCluster.AdvanceTime(Millis(950));
    mCluster.mRunners["last" + std::to_string(i)] = {};
    mCluster.AdvanceTime(Millis(950));
    mCluster.mStore.mPaused = false;
    mCluster.AdvanceTime(Seconds(1));
  }
  CHECK_TRUE(mCluster.mStore.Value("cluster", "shard/0").find("\"epoch\":1,") !=
             std::string::npos);
}

// Guards against a list of runners that a busy shard never stores, because each
// commit was followed by the next at once. New runners got no tasks, and later
// owners waited for runners that had left.
TEST(Node, StoresItsRunnersWhileJobsEndAllTheTime)
{
  Begin();
  std::vector<std::string> jobs;
  for (int i = 10; i < 70; ++i) {
    jobs.push_back("0123456789abcd" + std::to_string(i));
    CHECK_TRUE(mCluster.Submit("a", jobs.back()) == ClientAnswer::Accepted);
  }
  // The store takes a step of the clock to answer, and a job ends in each.
  mCluster.mStore.mMaxRounds = 1;
  mCluster.mRunners["new"] = {};
  for (const std::string& job : jobs) {
    mCluster.EndRun(job + ".0.0.0", dispatch::EndKind::Done);
    mCluster.AdvanceTime(Millis(25));
  }
  CHECK_TRUE(mCluster.mStore.Value("progress-0", "runners").find("\"new\"") !=
             std::string::npos);
}

// Guards against an owner that loses its shard because a slow store refuses
// what other nodes write: its lease renewals shared a partition with the
// heartbeats of the nodes and with all jobs.
TEST(Node, KeepsItsShardWhileOtherRowsAreRefused)
{
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(2));
  mCluster.Submit("a", kJob);
  const RowPartitions partitions;
  for (const std::string& partition :
       { partitions.OfNodes(), partitions.OfJob(kJob) }) {
    mCluster.mStore.mRefusedPartition = partition;
    mCluster.AdvanceTime(Seconds(6));
    mCluster.mStore.mRefusedPartition.reset();
    mCluster.AdvanceTime(Seconds(6));
  }
  CHECK_TRUE(mCluster.mStore.Value("cluster", "shard/0").find("\"epoch\":1,") !=
             std::string::npos);
  mCluster.EndRun(kTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Seconds(1));
  CHECK_TRUE(mCluster.Status("b", kJob).mStatus.mPhase ==
             dispatch::JobPhase::Completed);
}

// Guards against jobs that a new owner misses because they are in another
// partition, also with a store whose transactions can't span partitions.
TEST(Node, FindsTheJobsOfEveryPartitionAfterATakeover)
{
  for (const bool spread : { true, false }) {
    ClusterSimulation cluster;
    cluster.mPartitions.mTransactionsSpanPartitions = spread;
    cluster.StartNode("a");
    cluster.AdvanceTime(Seconds(6));
    std::vector<std::string> jobs;
    for (int i = 0; i < 12; ++i) {
      jobs.push_back("0123456789abcde" + std::string(1, "0123456789abcdef"[i]));
      CHECK_TRUE(cluster.Submit("a", jobs.back()) == ClientAnswer::Accepted);
    }
    cluster.StartNode("a");
    cluster.mStore.mHistoryGone = true;
    cluster.AdvanceTime(Seconds(3));
    for (const std::string& job : jobs) {
      cluster.EndRun(job + ".0.0.0", dispatch::EndKind::Done);
    }
    cluster.AdvanceTime(Seconds(2));
    for (const std::string& job : jobs) {
      CHECK_TRUE(cluster.Status("a", job).mStatus.mPhase ==
                 dispatch::JobPhase::Completed);
    }
    LONGS_EQUAL(jobs.size(), cluster.mStarts);
  }
}

// Guards against a node that knows only the nodes and shards on the first page
// of an answer: the store returns at most 500 rows.
TEST(Node, ReadsAllPagesOfTheNodesAndShards)
{
  mCluster.mStore.mRowsPerRead = 1;
  Begin();
  mCluster.StartNode("b");
  mCluster.AdvanceTime(Seconds(3));
  CHECK_TRUE(mCluster.Submit("b", kJob) == ClientAnswer::Accepted);
  mCluster.KillNode("a");
  mCluster.AdvanceTime(Seconds(6));
  STRCMP_EQUAL("b", mCluster.Shard().mOwner.c_str());
}

// Guards against a partial list of rows in place of a read of which a page
// failed, and against changes that are missed between two pages.
TEST(Node, ReadsAllPagesOrFails)
{
  StorePort port;
  std::vector<ReadHandler> reads;
  std::vector<std::string> from;
  port.mRead = [&](const std::string&,
                   const std::string&,
                   const std::string& aFrom,
                   const std::string&,
                   const ReadHandler& aDone) {
    from.push_back(aFrom);
    reads.push_back(aDone);
  };
  std::vector<ReadOutcome> outcomes;
  const auto read = [&] {
    ReadAllPages(port, "t", "p", "a", "z", [&](ReadOutcome aRead) {
      outcomes.push_back(std::move(aRead));
    });
  };
  const StoreRow row{ "t", "p", "k", "v", 3, false };
  read();
  reads[0]({ ReadResult::Read, { row }, true, 9, 100 });
  reads[1]({ ReadResult::Read, { row }, false, 12, 200 });
  LONGS_EQUAL(1, outcomes.size());
  LONGS_EQUAL(2, outcomes[0].mRows.size());
  LONGS_EQUAL(9, outcomes[0].mVersion);
  LONGS_EQUAL(200, outcomes[0].mClockMs);
  CHECK_TRUE(from[1] == std::string("k\0", 2));
  read();
  reads[2]({ ReadResult::Read, { row }, true, 9, 100 });
  reads[3]({});
  CHECK_TRUE(outcomes[1].mResult == ReadResult::Failed);
  CHECK_TRUE(outcomes[1].mRows.empty());
}

// Guards against an owner that gives its shard up because a restarted runner
// rejects an order that was sent before the restart was known.
TEST(Node, AnOutdatedOrderToARestartedRunnerCostsNoShard)
{
  Begin();
  RunnerPort& runners = mCluster.mNodes.at("a").mContext.mRunners;
  RunnerTarget target;
  std::function<void(RunnerResult)> answer;
  runners.mStart = [&, start = runners.mStart](
                     const RunnerTarget& aTarget,
                     const StartOrder& aOrder,
                     const std::function<void(RunnerResult)>& aDone) {
    if (answer) {
      start(aTarget, aOrder, aDone);
      return;
    }
    target = aTarget;
    answer = aDone;
  };
  CHECK_TRUE(mCluster.Submit("a", kJob) == ClientAnswer::Accepted);
  CHECK_TRUE(answer != nullptr);
  const std::int64_t epoch = mCluster.Shard().mEpoch;
  mCluster.RestartRunner(target.mId);
  mCluster.AdvanceTime(Seconds(3));
  answer(RunnerResult::Fenced);
  mCluster.AdvanceTime(Seconds(3));
  LONGS_EQUAL(epoch, mCluster.Shard().mEpoch);
  STRCMP_EQUAL("a", mCluster.Shard().mOwner.c_str());
  LONGS_EQUAL(1, mCluster.Running(kTask));
}
