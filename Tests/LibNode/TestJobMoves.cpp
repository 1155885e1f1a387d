#include <algorithm>
#include <functional>
#include <string>

#include "TwoShards.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// @return whether the transaction hands a job over to shard 1
bool
IsMove(const StoreTransaction& aTransaction)
{
  return std::any_of(aTransaction.mPuts.begin(),
                     aTransaction.mPuts.end(),
                     [](const StoreRow& aRow) {
                       return aRow.mTable == InboxTable(1) &&
                              aRow.mKey.starts_with(kAcceptedPrefix);
                     }) &&
         !aTransaction.mRemovals.empty();
}

} // namespace

TEST_GROUP_BASE(JobMoves, TwoShards){};

// Guards against an accepted job that waits in a shard without room while
// another shard has room.
TEST(JobMoves, AWaitingJobIsStartedByAShardWithRoom)
{
  Fill();
  SubmitJob();
  mCluster.AdvanceTime(Seconds(3));
  CheckStarted(Seconds(5), mTask);
  LONGS_EQUAL(1, mCluster.Status("a", mJob).mStatus.mShard);
  CheckCompletes(mTask);
}

// Guards against a job that loses its client account with a move, so that every
// account may cancel it, and its runs count for none.
TEST(JobMoves, AMovedJobKeepsItsAccount)
{
  Fill();
  dispatch::JobSpec job;
  job.mId = mJob;
  job.mQueue = "queue";
  job.mAccount = "a";
  job.mSteps.emplace_back().mTaskCount = 1;
  job.mSteps[0].mDemand = { 1000, 1000, 0 };
  mSubmittedAt = mCluster.mNow;
  mCluster.mNodes.at("a").mNode->FrontEnd().Submit(std::move(job),
                                                   [](ClientAnswer) {});
  mCluster.AdvanceTime(Seconds(6));
  CheckStarted(Seconds(6), mTask);
  const JobStatus moved = mCluster.Status("a", mJob).mStatus;
  LONGS_EQUAL(1, moved.mShard);
  STRCMP_EQUAL("a", moved.mAccount.c_str());
  const auto accepted = ParseAcceptedJob(
    mCluster.mStore.Value(InboxTable(1), kAcceptedPrefix + mJob));
  STRCMP_EQUAL("a", accepted->mSpec.mAccount.c_str());
  CheckCompletes(mTask);
  STRCMP_EQUAL("a", mCluster.Status("a", mJob).mStatus.mAccount.c_str());
}

// Guards against moving jobs that can be started where they are, or of which
// something runs: the other tasks of a job that is wider than its shard follow.
TEST(JobMoves, AJobOfWhichATaskRunsStays)
{
  Fill(kTasksOfRunner - 1);
  mSubmittedAt = mCluster.mNow;
  CHECK_TRUE(mCluster.Submit("a", mJob, dispatch::StepKind::Finite, 2) ==
             ClientAnswer::Accepted);
  mCluster.AdvanceTime(Seconds(10));
  LONGS_EQUAL(1, mCluster.Running(mTask));
  LONGS_EQUAL(0, mCluster.Running(mJob + ".0.0.1"));
  LONGS_EQUAL(0, mCluster.Status("a", mJob).mStatus.mShard);
}

// Guards against running tasks again that were done before the job was handed
// over.
TEST(JobMoves, DoneTasksStayDone)
{
  Fill(kTasksOfRunner - 1);
  mSubmittedAt = mCluster.mNow;
  CHECK_TRUE(mCluster.Submit("a", mJob, dispatch::StepKind::Finite, 2) ==
             ClientAnswer::Accepted);
  mCluster.mRunners[mFullRunner].mDraining = true;
  mCluster.AdvanceTime(Seconds(2));
  mCluster.EndRun(mTask, dispatch::EndKind::Done);
  mCluster.AdvanceTime(Seconds(6));
  LONGS_EQUAL(1, mCluster.mHistory[mTask].size());
  CheckStarted(Seconds(11), mJob + ".0.0.1");
  // A later owner must know of the progress as well.
  mCluster.KillNode("a");
  mCluster.KillNode("b");
  mCluster.StartNode("a");
  mCluster.AdvanceTime(Seconds(6));
  LONGS_EQUAL(1, mCluster.mHistory[mTask].size());
  CheckCompletes(mJob + ".0.0.1");
}

// Guards against two owners that start a job, or an owner that loses its shard,
// after the answer to the transaction was lost.
TEST(JobMoves, ALostAnswerStartsNothingTwice)
{
  Fill();
  int moves = 0;
  Intercept(IsMove,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler& aDone) {
              if (moves++ > 0) {
                aSend(aTransaction, Millis(1500), aDone);
                return;
              }
              aSend(
                aTransaction, Millis(1500), [](const TransactionOutcome&) {});
              mCluster.mDeadlines.Add(mCluster.mNow + Millis(1500),
                                      [aDone] { aDone({}); });
            });
  SubmitJob();
  // Room in shard 0 must not bring the job back.
  mCluster.AdvanceTime(Millis(1500));
  CHECK_TRUE(Cancel(mFiller) == ClientAnswer::Accepted);
  mCluster.AdvanceTime(Seconds(5));
  LONGS_EQUAL(2, moves);
  CheckStarted(Seconds(5), mTask);
  STRCMP_EQUAL(mOwner.c_str(), mCluster.Shard().mOwner.c_str());
  CheckCompletes(mTask);
}

// Guards against an owner that starts a job while a transaction without an
// answer may still hand it over, and against moving it twice.
TEST(JobMoves, ALateTransactionStartsNothingTwice)
{
  Fill();
  int moves = 0;
  std::function<void()> late;
  Intercept(IsMove,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler& aDone) {
              if (moves++ > 0) {
                aSend(aTransaction, Millis(1500), aDone);
                return;
              }
              late = [aSend, aTransaction] {
                aSend(
                  aTransaction, Millis(1500), [](const TransactionOutcome&) {});
              };
              mCluster.mDeadlines.Add(mCluster.mNow + Millis(1500),
                                      [aDone] { aDone({}); });
            });
  SubmitJob();
  mCluster.AdvanceTime(Millis(1500));
  LONGS_EQUAL(1, moves);
  // The runner of shard 0 has room for the job from now on.
  CHECK_TRUE(Cancel(mFiller) == ClientAnswer::Accepted);
  LONGS_EQUAL(0, mCluster.mRunners[mFullRunner].mRunning.size());
  LONGS_EQUAL(0, mCluster.Running(mTask));
  late();
  mCluster.AdvanceTime(Seconds(5));
  CheckStarted(Seconds(6), mTask);
  STRCMP_EQUAL(mOwner.c_str(), mCluster.Shard().mOwner.c_str());
  CheckCompletes(mTask);
}

// Guards against a job that is in no shard or in both after its owner has died
// before the transaction arrived, which must not be applied after the takeover.
TEST(JobMoves, AnOwnerThatDiesBeforeTheTransactionLeavesTheJobInOneShard)
{
  Fill();
  int moves = 0;
  std::function<void()> late;
  Intercept(IsMove,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler& aDone) {
              if (moves++ > 0) {
                aSend(aTransaction, Millis(1500), aDone);
                return;
              }
              late = [aSend, aTransaction] {
                aSend(
                  aTransaction, Millis(1500), [](const TransactionOutcome&) {});
              };
              mCluster.mDeadlines.Add(mCluster.mNow,
                                      [&] { mCluster.KillNode(mOwner); });
            });
  SubmitJob();
  mCluster.AdvanceTime(Seconds(5));
  LONGS_EQUAL(1, moves);
  late();
  mCluster.AdvanceTime(Seconds(20));
  LONGS_EQUAL(2, moves);
  CheckStarted(Seconds(28), mTask);
}

// Guards against a later owner that starts the job although its predecessor has
// handed it over just before it died.
TEST(JobMoves, AnOwnerThatDiesAfterTheTransactionLeavesTheJobInOneShard)
{
  Fill();
  int moves = 0;
  Intercept(IsMove,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler&) {
              ++moves;
              aSend(
                aTransaction, Millis(1500), [](const TransactionOutcome&) {});
              mCluster.mDeadlines.Add(mCluster.mNow,
                                      [&] { mCluster.KillNode(mOwner); });
            });
  SubmitJob();
  mCluster.AdvanceTime(Seconds(25));
  LONGS_EQUAL(1, moves);
  CheckStarted(Seconds(28), mTask);
}

// Guards against a cancelled job that another shard starts, and against losing
// the shard when the transaction finds another row changed.
TEST(JobMoves, ACancelledJobIsNotMoved)
{
  Fill();
  std::function<void()> late;
  Intercept(IsMove,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler& aDone) {
              late = [aSend, aTransaction, aDone] {
                aSend(aTransaction, Millis(1500), aDone);
              };
            });
  SubmitJob();
  mCluster.AdvanceTime(Millis(1500));
  CHECK_TRUE(late != nullptr);
  CHECK_TRUE(Cancel(mJob) == ClientAnswer::Accepted);
  late();
  mCluster.AdvanceTime(Seconds(10));
  LONGS_EQUAL(0, mCluster.mHistory[mTask].size());
  STRCMP_EQUAL(mOwner.c_str(), mCluster.Shard().mOwner.c_str());
  for (const std::uint32_t shard : { 0U, 1U }) {
    STRCMP_EQUAL(
      "",
      mCluster.mStore.Value(InboxTable(shard), kAcceptedPrefix + mJob).c_str());
  }
}

// Guards against handing a job with progress to an owner of an earlier version,
// which would start it from the beginning. It can take a job without progress.
TEST(JobMoves, AnEarlierVersionGetsOnlyJobsWithoutProgress)
{
  for (const char* name : { "a", "b" }) {
    Transact& transact = mCluster.mNodes.at(name).mContext.mStore.mTransact;
    transact = [send = transact](StoreTransaction aTransaction,
                                 Millis aTimeout,
                                 const TransactionHandler& aDone) {
      for (StoreRow& put : aTransaction.mPuts) {
        if (put.mTable == kClusterTable && put.mKey == ShardKey(1)) {
          ShardRow row = *ParseShardRow(put.mValue);
          row.mTakesMovedJobs = false;
          put.mValue = FormatShardRow(row);
        }
      }
      send(std::move(aTransaction), aTimeout, aDone);
    };
  }
  mCluster.AdvanceTime(Seconds(2));
  Fill(kTasksOfRunner - 1);
  const std::string begun = JobOfShard(0, 2);
  CHECK_TRUE(mCluster.Submit("a", begun, dispatch::StepKind::Finite, 2) ==
             ClientAnswer::Accepted);
  mCluster.mRunners[mFullRunner].mDraining = true;
  mCluster.AdvanceTime(Seconds(2));
  mCluster.EndRun(begun + ".0.0.0", dispatch::EndKind::Done);
  SubmitJob();
  mCluster.AdvanceTime(Seconds(8));
  LONGS_EQUAL(0, mCluster.Status("a", begun).mStatus.mShard);
  LONGS_EQUAL(0, mCluster.mHistory[begun + ".0.0.1"].size());
  CheckStarted(Seconds(5), mTask);
}

// Guards against a serving job whose tasks can't all run in its shard, while
// those of another shard could take them. Once some run, the others wait for
// ever.
TEST(JobMoves, AJobThatIsTooWideIsStartedByAWiderShard)
{
  mSubmittedAt = mCluster.mNow;
  const std::uint32_t tasks = kTasksOfRunner + 1;
  CHECK_TRUE(
    mCluster.Submit("a", mJob, dispatch::StepKind::LongRunning, tasks) ==
    ClientAnswer::Accepted);
  for (std::uint32_t i = 0; i < tasks; ++i) {
    CheckStarted(Seconds(1), mJob + ".0.0." + std::to_string(i));
  }
}

// Guards against a job that waits for ever because no transaction can hand it
// over: as much of it as there is room for runs where it is.
TEST(JobMoves, AJobThatIsTooWideIsStartedHereIfItCannotMove)
{
  Intercept(IsMove,
            [&](const Transact&,
                const StoreTransaction&,
                const TransactionHandler& aDone) {
              mCluster.mDeadlines.Add(mCluster.mNow, [aDone] {
                aDone({ StoreResult::NotApplied, 0, {} });
              });
            });
  CHECK_TRUE(mCluster.Submit("a",
                             mJob,
                             dispatch::StepKind::LongRunning,
                             kTasksOfRunner + 1) == ClientAnswer::Accepted);
  LONGS_EQUAL(0, mCluster.mRunners[mFullRunner].mRunning.size());
  mCluster.AdvanceTime(Seconds(1));
  LONGS_EQUAL(kTasksOfRunner, mCluster.mRunners[mFullRunner].mRunning.size());
}
