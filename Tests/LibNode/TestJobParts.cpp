#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

#include <LibNode/JobRows.h>

#include "TwoShards.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// @return whether the transaction hands tasks over from one shard to another
bool
MovesTasks(const StoreTransaction& aTransaction)
{
  return std::any_of(
    aTransaction.mPuts.begin(),
    aTransaction.mPuts.end(),
    [](const StoreRow& aRow) { return aRow.mKey.starts_with(kTasksPrefix); });
}

} // namespace

/// A long-running job of which shard 0 has room for some tasks only.
TEST_GROUP_BASE(JobParts, TwoShards)
{
  static constexpr std::uint32_t kTasks = 12;
  static constexpr std::uint32_t kFilled = 8;
  /// Tasks of the job that fit into shard 0.
  static constexpr std::uint32_t kTasksHere = kTasksOfRunner - kFilled;

  std::string TaskName(std::uint32_t aIndex) const
  {
    return mJob + ".0.0." + std::to_string(aIndex);
  }

  void SubmitWideJob(std::uint32_t aTasks = kTasks)
  {
    Fill(kFilled);
    mSubmittedAt = mCluster.mNow;
    CHECK_TRUE(
      mCluster.Submit("a", mJob, dispatch::StepKind::LongRunning, aTasks) ==
      ClientAnswer::Accepted);
  }

  /// Submits the job; the clock stands still.
  void SubmitWithoutWaiting()
  {
    dispatch::JobSpec job;
    job.mId = mJob;
    job.mQueue = "queue";
    dispatch::StepSpec& step = job.mSteps.emplace_back();
    step.mTaskCount = kTasks;
    step.mDemand = { 1000, 1000, 0 };
    step.mKind = dispatch::StepKind::LongRunning;
    mCluster.mNodes.at("a").mNode->FrontEnd().Submit(std::move(job),
                                                     [](ClientAnswer) {});
  }

  /// @return the number of tasks of the job that run in a shard
  std::uint32_t RunningIn(std::uint32_t aShard)
  {
    std::uint32_t running = 0;
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      const std::string runner = mCluster.RunnerOf(TaskName(i));
      running +=
        !runner.empty() && ShardOfRunner(runner, kShards) == aShard ? 1 : 0;
    }
    return running;
  }

  /// Checks that all tasks run, and that none ever ran twice at a time.
  void CheckAllRun(std::uint32_t aHere = kTasksHere)
  {
    LONGS_EQUAL(aHere, RunningIn(0));
    LONGS_EQUAL(kTasks - aHere, RunningIn(1));
    STRCMP_EQUAL("", mCluster.Overlap().c_str());
  }

  /// Cancels the job and checks that it leaves neither runs nor rows.
  void CheckEndsWhole()
  {
    CHECK_TRUE(Cancel(mJob) == ClientAnswer::Accepted);
    mCluster.AdvanceTime(Seconds(2));
    LONGS_EQUAL(0, RunningIn(0) + RunningIn(1));
    LONGS_EQUAL(1,
                mCluster.Status("a", mJob).mStatus.mPhase ==
                  dispatch::JobPhase::Cancelled);
    for (const std::uint32_t shard : { 0U, 1U }) {
      for (const char* prefix :
           { kAcceptedPrefix, kCancelPrefix, kPartPrefix, kTasksPrefix }) {
        LONGS_EQUAL(
          0, mCluster.mStore.RowsWithPrefix(InboxTable(shard), prefix + mJob));
      }
      LONGS_EQUAL(0,
                  mCluster.mStore.RowsWithPrefix(ProgressTable(shard),
                                                 kJobPrefix + mJob));
    }
    STRCMP_EQUAL("", mCluster.Overlap().c_str());
  }

  /// Submits the job, and lets a random series of disturbances and a time
  /// without any follow.
  void DisturbAtRandom(std::mt19937 & aRandom)
  {
    const auto below = [&](std::uint32_t aBound) { return aRandom() % aBound; };
    SubmitWithoutWaiting();
    mCluster.AdvanceTime(Millis(100));
    constexpr int kEvents = 12;
    for (int i = 0; i < kEvents; ++i) {
      mCluster.AdvanceTime(Millis(25 * below(60)));
      const std::string name = below(2) == 0 ? "a" : "b";
      switch (below(6)) {
        case 0:
          mCluster.KillNode(name);
          mCluster.StartNode(name);
          break;
        case 1:
          mCluster.FreezeNode(name);
          break;
        case 2:
          Wake(name);
          break;
        case 3:
          mCluster.CutFromStore(name, true);
          break;
        case 4:
          mCluster.CutFromStore(name, false);
          break;
        default: {
          const auto runner = std::next(
            mCluster.mRunners.begin(),
            static_cast<std::ptrdiff_t>(below(mCluster.mRunners.size())));
          mCluster.RestartRunner(std::string(runner->first));
        }
      }
    }
    for (const char* name : { "a", "b" }) {
      Wake(name);
      mCluster.CutFromStore(name, false);
    }
    mCluster.AdvanceTime(Seconds(40));
  }

  void Wake(const std::string& aNode)
  {
    if (mCluster.mNodes.at(aNode).mFrozen) {
      mCluster.WakeNode(aNode, ClusterSimulation::OnWaking::TickFirst);
    }
  }

  /// Ends both nodes and starts them again.
  void ReplaceOwners()
  {
    for (const char* name : { "a", "b" }) {
      mCluster.KillNode(name);
    }
    for (const char* name : { "a", "b" }) {
      mCluster.StartNode(name);
    }
  }
};

// Guards against tasks of a long-running step that never run although another
// shard has room for them: some of the step run, so that the job can't move.
TEST(JobParts, TheRestOfAStepRunsInAnotherShard)
{
  SubmitWideJob();
  CheckAllRun();
  CheckEndsWhole();
}

// Guards against tasks that run twice, or not at all, after a change of the
// owners of both shards.
TEST(JobParts, LaterOwnersKeepTheParts)
{
  SubmitWideJob();
  ReplaceOwners();
  mCluster.AdvanceTime(Seconds(20));
  CheckAllRun();
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    LONGS_EQUAL(1, mCluster.mHistory[TaskName(i)].size());
  }
  CheckEndsWhole();
}

// Guards against tasks that are lost or run twice if the owner of either shard
// dies at any time while tasks are handed over.
TEST(JobParts, OwnersMayDieAtAnyTime)
{
  Fill(kFilled);
  constexpr Millis kStep{ 60 };
  for (int round = 0; round < 60; ++round) {
    mJob = JobOfShard(0, 2 + round);
    SubmitWithoutWaiting();
    // Tasks are handed over some 1.1 s after the job was submitted.
    mCluster.AdvanceTime(Millis(600) + (round / 3) * kStep);
    if (round % 3 == 0) {
      ReplaceOwners();
    } else {
      const std::string name = round % 3 == 1 ? "a" : "b";
      mCluster.KillNode(name);
      mCluster.StartNode(name);
    }
    mCluster.AdvanceTime(Seconds(20));
    CheckAllRun();
    CheckEndsWhole();
  }
}

// Guards against tasks that are lost or run twice after disturbances that
// overlap: nodes are killed, frozen and cut off from the store, and runners
// restart.
TEST(JobParts, ASeriesOfDisturbancesLosesNoTask)
{
  const char* seeds = std::getenv("PADDLE_PARTS_SEEDS");
  const int rounds = seeds != nullptr ? std::atoi(seeds) : 40;
  Fill(kFilled);
  for (int round = 0; round < rounds; ++round) {
    std::mt19937 random(static_cast<std::uint32_t>(round));
    mJob = JobOfShard(0, 2 + round);
    DisturbAtRandom(random);
    const std::string name = "round " + std::to_string(round);
    CHECK_EQUAL_TEXT(kTasks, RunningIn(0) + RunningIn(1), name.c_str());
    STRCMP_EQUAL_TEXT("", mCluster.Overlap().c_str(), name.c_str());
    CheckEndsWhole();
  }
}

// Guards against tasks that no shard runs after the other shard has lost its
// room, while their own shard has room again.
TEST(JobParts, TasksWithoutRoomAreGivenBack)
{
  SubmitWideJob();
  CheckAllRun();
  for (auto& [id, runner] : mCluster.mRunners) {
    if (ShardOfRunner(id, kShards) == 1) {
      mCluster.RemoveRunner(id, Seconds(1));
    }
  }
  CHECK_TRUE(Cancel(mFiller) == ClientAnswer::Accepted);
  mCluster.AdvanceTime(Seconds(16));
  CheckAllRun(kTasks);
  CheckEndsWhole();
}

// Guards against handing over further tasks only once: the other shard has a
// part of the job already.
TEST(JobParts, APartGetsFurtherTasks)
{
  SubmitWideJob();
  CheckAllRun();
  mCluster.RemoveRunner(mFullRunner, Seconds(1));
  mCluster.AdvanceTime(Seconds(10));
  CheckAllRun(0);
  CheckEndsWhole();
}

// Guards against tasks that run twice after the answer to the transaction was
// lost.
TEST(JobParts, ALostAnswerStartsNothingTwice)
{
  int moves = 0;
  Intercept(MovesTasks,
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
  SubmitWideJob();
  // Room in shard 0 must not bring the tasks back.
  CHECK_TRUE(Cancel(mFiller) == ClientAnswer::Accepted);
  mCluster.AdvanceTime(Seconds(5));
  LONGS_EQUAL(2, moves);
  CheckAllRun();
  CheckEndsWhole();
}

// Guards against starting tasks that a transaction without an answer may still
// hand over, and against a transaction that is carried out after its sender has
// been replaced.
TEST(JobParts, ALateTransactionOfAnEarlierOwnerStartsNothing)
{
  std::function<void()> late;
  Intercept(MovesTasks,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler& aDone) {
              if (late) {
                aSend(aTransaction, Millis(1500), aDone);
                return;
              }
              late = [aSend, aTransaction] {
                aSend(
                  aTransaction, Millis(1500), [](const TransactionOutcome&) {});
              };
            });
  SubmitWideJob();
  CHECK_TRUE(late != nullptr);
  LONGS_EQUAL(kTasksHere, RunningIn(0));
  LONGS_EQUAL(0, RunningIn(1));
  ReplaceOwners();
  mCluster.AdvanceTime(Seconds(20));
  CheckAllRun();
  late();
  mCluster.AdvanceTime(Seconds(5));
  CheckAllRun();
  CheckEndsWhole();
}

// Guards against tasks that run on in the other shard if the job is cancelled
// while they are being handed over.
TEST(JobParts, ACancellationReachesTasksThatAreBeingHandedOver)
{
  std::function<void()> late;
  Intercept(MovesTasks,
            [&](const Transact& aSend,
                const StoreTransaction& aTransaction,
                const TransactionHandler& aDone) {
              late = [aSend, aTransaction, aDone] {
                aSend(aTransaction, Millis(1500), aDone);
              };
            });
  SubmitWideJob();
  CHECK_TRUE(late != nullptr);
  CHECK_TRUE(Cancel(mJob) == ClientAnswer::Accepted);
  late();
  CheckEndsWhole();
}

// Guards against handing tasks over while some node would not cancel them.
TEST(JobParts, NothingIsHandedOverBesideAnEarlierVersion)
{
  mCluster.mNodes.at("b").mContext.mSelf.mKnowsParts = false;
  mCluster.AdvanceTime(Seconds(3));
  SubmitWideJob();
  mCluster.AdvanceTime(Seconds(5));
  LONGS_EQUAL(kTasksHere, RunningIn(0));
  LONGS_EQUAL(0, RunningIn(1));
}

// Guards against an earlier version that starts tasks which another shard has:
// it must read them as done.
TEST(JobParts, TheProgressOfTasksElsewhereIsReadBack)
{
  dispatch::JobProgress progress;
  progress.mHomeShard = 0;
  dispatch::StepProgress& step = progress.mOccurrences[0].emplace_back();
  step.mDone = { true, false, false, false };
  step.mElsewhere = { { 1, 0 }, { 3, 7 } };
  const std::string text = FormatProgress(progress);
  STRCMP_CONTAINS("\"done\":\"1101\"", text.c_str());
  const std::optional<dispatch::JobProgress> read = ParseProgress(text);
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read->mHomeShard == std::optional<std::uint32_t>(0));
  CHECK_TRUE(read->mOccurrences.at(0)[0].mDone == step.mDone);
  CHECK_TRUE(read->mOccurrences.at(0)[0].mElsewhere == step.mElsewhere);
}
