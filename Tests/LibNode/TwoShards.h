#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <xxhash.h>

#include <LibNode/ShardState.h>

#include "ClusterSimulation.h"

#include <CppUTest/TestHarness.h>

namespace paddle {

inline constexpr std::uint32_t kShards = 2;
/// Tasks that fill a runner of ClusterSimulation.
inline constexpr std::uint32_t kTasksOfRunner = 16;

/// @return the id of a job that a front end gives to a shard in any case
inline std::string
JobOfShard(std::uint32_t aShard, int aNumber)
{
  for (int i = 0;; ++i) {
    std::string id = "job" + std::to_string(i);
    const bool both = XXH64(id.data(), id.size(), 0) % kShards == aShard &&
                      XXH64(id.data(), id.size(), 1) % kShards == aShard;
    if (both && aNumber-- == 0) {
      return id;
    }
  }
}

/// Two shards: shard 0 has one runner, which long-running tasks fill, and shard
/// 1 has two runners with room.
struct TwoShards : Utest
{
  using Transact = decltype(StorePort::mTransact);
  ClusterSimulation mCluster{ 0 };
  const std::string mFiller = JobOfShard(0, 0);
  std::string mJob = JobOfShard(0, 1);
  const std::string mTask = mJob + ".0.0.0";
  std::string mFullRunner;
  std::string mOwner; ///< Of shard 0.
  MonotonicTime mSubmittedAt;

  void setup() override
  {
    std::size_t withRoom = 0;
    for (int i = 0; mFullRunner.empty() || withRoom < 2; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (ShardOfRunner(id, kShards) == 0) {
        if (mFullRunner.empty()) {
          mFullRunner = id;
          mCluster.mRunners[id] = {};
        }
      } else if (withRoom < 2) {
        ++withRoom;
        mCluster.mRunners[id] = {};
      }
    }
    StoreTransaction layout;
    layout.mPuts.push_back({ kClusterTable,
                             mCluster.mPartitions.OfShards(),
                             kLayoutKey,
                             "{\"shards\":2}" });
    mCluster.mStore.Port().mTransact(
      layout, Millis(100), [](const TransactionOutcome&) {});
    mCluster.mStore.Run();
    mCluster.StartNode("a");
    mCluster.StartNode("b");
    mCluster.AdvanceTime(Seconds(10));
    mOwner = mCluster.Shard().mOwner;
    CHECK_FALSE(mOwner.empty());
  }

  void Fill(std::uint32_t aTasks = kTasksOfRunner)
  {
    CHECK_TRUE(
      mCluster.Submit("a", mFiller, dispatch::StepKind::LongRunning, aTasks) ==
      ClientAnswer::Accepted);
    LONGS_EQUAL(aTasks, mCluster.mRunners[mFullRunner].mRunning.size());
  }

  /// Cancels a job and advances the clock by 0.5 s.
  ClientAnswer Cancel(const std::string& aJob)
  {
    ClientAnswer answer = ClientAnswer::Unavailable;
    mCluster.mNodes.at("a").mNode->FrontEnd().Cancel(
      aJob, [&](ClientAnswer aAnswer) { answer = aAnswer; });
    mCluster.AdvanceTime(Millis(500));
    return answer;
  }

  /// Submits the job, for which shard 0 has no room.
  void SubmitJob(std::uint32_t aTasks = 1)
  {
    mSubmittedAt = mCluster.mNow;
    CHECK_TRUE(mCluster.Submit("a", mJob, dispatch::StepKind::Finite, aTasks) ==
               ClientAnswer::Accepted);
    LONGS_EQUAL(0, mCluster.Running(mTask));
  }

  /// Passes some transactions of both nodes to a function.
  void Intercept(
    const std::function<bool(const StoreTransaction&)>& aWhich,
    const std::function<void(const Transact& aSend,
                             const StoreTransaction& aTransaction,
                             const TransactionHandler& aDone)>& aIntercept)
  {
    for (const char* name : { "a", "b" }) {
      Transact& transact = mCluster.mNodes.at(name).mContext.mStore.mTransact;
      transact = [send = transact, aWhich, aIntercept](
                   const StoreTransaction& aTransaction,
                   Millis aTimeout,
                   const TransactionHandler& aDone) {
        if (aWhich(aTransaction)) {
          aIntercept(send, aTransaction, aDone);
        } else {
          send(aTransaction, aTimeout, aDone);
        }
      };
    }
  }

  /// Checks that the job was started once, in shard 1, within a time.
  void CheckStarted(Millis aWithin, const std::string& aTask)
  {
    const auto startedAt = mCluster.StartedAfter(aTask, mSubmittedAt);
    CHECK_TRUE(startedAt.has_value());
    CHECK_COMPARE((*startedAt - mSubmittedAt).count(),
                  <=,
                  MonotonicTime::duration(aWithin).count());
    STRCMP_EQUAL("", mCluster.Overlap().c_str());
    LONGS_EQUAL(1, mCluster.mHistory[aTask].size());
    LONGS_EQUAL(1, ShardOfRunner(mCluster.mHistory[aTask][0].mRunner, kShards));
    STRCMP_EQUAL(
      "", mCluster.mStore.Value(InboxTable(0), kAcceptedPrefix + mJob).c_str());
    STRCMP_EQUAL(
      "", mCluster.mStore.Value(ProgressTable(0), kJobPrefix + mJob).c_str());
  }

  /// Ends a run and checks that the job completes and leaves no rows.
  void CheckCompletes(const std::string& aTask)
  {
    mCluster.EndRun(aTask, dispatch::EndKind::Done);
    mCluster.AdvanceTime(Seconds(1));
    CHECK_TRUE(mCluster.Status("a", mJob).mStatus.mPhase ==
               dispatch::JobPhase::Completed);
    for (const std::uint32_t shard : { 0U, 1U }) {
      STRCMP_EQUAL(
        "",
        mCluster.mStore.Value(InboxTable(shard), kAcceptedPrefix + mJob)
          .c_str());
      STRCMP_EQUAL(
        "",
        mCluster.mStore.Value(ProgressTable(shard), kJobPrefix + mJob).c_str());
    }
    STRCMP_EQUAL("", mCluster.Overlap().c_str());
  }
};

} // namespace paddle
