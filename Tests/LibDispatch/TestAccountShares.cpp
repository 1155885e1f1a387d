#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <LibDispatch/PlacementOrder.h>

#include "DispatchWorld.h"
#include "ShareModel.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// A world with client accounts, a queue "queue" and a queue "urgent" of a
/// better priority, in which tasks end after the duration of their job.
struct ShareWorld : DispatchWorld
{
  explicit ShareWorld(std::vector<AccountSpec> aAccounts)
  {
    QueueSpec queue = mDispatcher.mQueues.at("queue");
    QueueSpec urgent = queue;
    queue.mPriority = 2;
    urgent.mName = "urgent";
    const QueueSpec queues[] = { queue, urgent };
    SetQueues(mDispatcher, queues);
    SetAccounts(mDispatcher, aAccounts);
  }

  void Send(const std::string& aId,
            const std::string& aAccount,
            StepSpec aStep,
            const std::string& aQueue = "queue")
  {
    JobSpec job = MakeJob(aId, { std::move(aStep) });
    job.mAccount = aAccount;
    job.mQueue = aQueue;
    AddJob(job);
    mSentAt[aId] = mNow;
  }

  /// Lets time pass. Tasks end when they have run for @p aDuration.
  void Run(Millis aTime, Millis aDuration)
  {
    for (Millis passed(0); passed < aTime; passed += Millis(50)) {
      std::vector<std::string> ended;
      for (const auto& [id, runner] : mRunners) {
        for (const DispatchWorld::Run& run : runner.mRunning) {
          const std::string job = run.mTask.substr(0, run.mTask.find('.'));
          const auto began = mBeganAt.emplace(run.mTask, mNow).first->second;
          mWaited.emplace(
            job, std::chrono::duration_cast<Millis>(began - mSentAt[job]));
          if (mNow - began >= aDuration) {
            ended.push_back(run.mTask);
          }
        }
      }
      for (const std::string& task : ended) {
        End(task, EndKind::Done);
      }
      AdvanceTime(Millis(50));
    }
  }

  [[nodiscard]] std::int64_t Cores(const std::string& aAccount) const
  {
    return UseOf(mDispatcher, aAccount).mReserved.mMilliCores / 1000;
  }

  std::map<std::string, MonotonicTime> mSentAt;
  std::map<std::string, MonotonicTime> mBeganAt; ///< By task.
  std::map<std::string, Millis> mWaited;         ///< Until the first task.
};

/// Sends jobs at once, all but two of which are surplus at a weight of 1.
void
SendMany(ShareWorld& aWorld,
         const std::string& aAccount,
         int aCount,
         const std::string& aQueue = "queue")
{
  for (int i = 0; i < aCount; ++i) {
    aWorld.Send(
      aAccount + std::to_string(i), aAccount, FiniteStep(1, 1000), aQueue);
  }
}

/// @return the waiting steps in the order that holds without accounts, which is
///         that of the previous version
std::vector<std::uint64_t>
FormerOrder(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  using Rank =
    std::tuple<bool, std::int32_t, DeadlineOutlook, std::size_t, std::uint64_t>;
  std::vector<Rank> ranks;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    ranks.emplace_back(!HasInterruptedTask(aDispatcher, entry),
                       entry.mPriority,
                       OutlookOf(entry, aNow),
                       ranks.size(),
                       entry.mArrivalNumber);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::uint64_t> order(ranks.size());
  std::transform(ranks.begin(),
                 ranks.end(),
                 order.begin(),
                 [](const Rank& aRank) { return std::get<4>(aRank); });
  return order;
}

std::vector<std::uint64_t>
PresentOrder(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  UpdatePlacementOrder(aDispatcher, aNow);
  std::vector<std::uint64_t> order;
  PlacementCursor cursor(aDispatcher, aNow);
  while (const WaitingStep* entry = cursor.Next()) {
    order.push_back(entry->mArrivalNumber);
  }
  return order;
}

std::size_t
SurplusJobs(const Dispatcher& aDispatcher)
{
  return static_cast<std::size_t>(std::count_if(
    aDispatcher.mJobs.begin(), aDispatcher.mJobs.end(), [&](const auto& aJob) {
      return IsSurplus(aDispatcher, *aJob.second);
    }));
}

} // namespace

TEST_GROUP(AccountShares){};

// Guards against a changed order where the configuration has no accounts, and
// of jobs that are all within the entitlement of their account. Load: 300
// waiting steps of two priorities, in time and late, some interrupted.
TEST(AccountShares, WithoutSurplusTheOrderIsTheFormerOne)
{
  ShareWorld world({});
  world.ListRunners(1);
  world.Send("serving", "a", LongRunningStep(2, 8000));
  world.End("serving.0.0.0", EndKind::Failed);
  world.Report(0);
  for (int i = 0; i < 300; ++i) {
    StepSpec step =
      i % 7 == 0 ? LongRunningStep(1, 16000) : FiniteStep(1, 16000);
    step.mEstimatedDuration = Millis(200 + (i * 37) % 900);
    world.Send("job" + std::to_string(i),
               i % 3 == 0 ? "" : "account" + std::to_string(i % 5),
               step,
               i % 4 == 0 ? "urgent" : "queue");
    world.mNow += Millis((i * 13) % 40);
  }
  world.mDispatcher.mNewAccountJobs.clear();
  Dispatcher& dispatcher = world.mDispatcher;
  const std::vector<std::uint64_t> former = FormerOrder(dispatcher, world.mNow);
  CHECK_TRUE(former.size() > 290);
  CHECK_TRUE(PresentOrder(dispatcher, world.mNow) == former);
  LONGS_EQUAL(0, SurplusJobs(dispatcher));
  const AccountSpec account{ "account1", 1000 };
  SetAccounts(dispatcher, { &account, 1 });
  CHECK_TRUE(PresentOrder(dispatcher, world.mNow) == former);
}

// Guards against a bucket that is filled too slowly, or without a limit, and
// against a whole entitlement in each shard.
TEST(AccountShares, AnEntitlementIsARateWithABurst)
{
  const MonotonicTime begin{ Seconds(1000) };
  Entitlement entitlement;
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += TakeToken(entitlement, 3, begin) ? 1 : 0;
  }
  LONGS_EQUAL(6, taken);
  for (int i = 1; i <= 30; ++i) {
    CHECK_TRUE(TakeToken(entitlement, 3, begin + Micros(i * 333334)));
    CHECK_FALSE(TakeToken(entitlement, 3, begin + Micros(i * 333334)));
  }
  Entitlement slow;
  CHECK_TRUE(TakeToken(slow, 0.1, begin));
  CHECK_FALSE(TakeToken(slow, 0.1, begin + Seconds(9)));
  CHECK_TRUE(TakeToken(slow, 0.1, begin + Seconds(10)));
  ShareWorld world({ { "a", 2 } });
  world.ListRunners(1);
  world.mDispatcher.mShardCount = 2;
  SendMany(world, "a", 10);
  LONGS_EQUAL(8, SurplusJobs(world.mDispatcher));
}

// Guards against entitled jobs that wait behind surplus jobs of a better
// priority. Load: 100 urgent jobs at once, then one of another account, in a
// full room.
TEST(AccountShares, EntitledJobsGoBeforeSurplusOfABetterPriority)
{
  ShareWorld world({ { "hot", 1 }, { "other", 1 } });
  world.ListRunners(1);
  SendMany(world, "hot", 100, "urgent");
  world.Send("late", "other", FiniteStep(1, 1000));
  world.Send("public", "", FiniteStep(1, 1000));
  world.End("hot0.0.0.0", EndKind::Done);
  world.End("hot1.0.0.0", EndKind::Done);
  world.AdvanceTime(Millis(200));
  CHECK_TRUE(world.IsRunning("late.0.0.0"));
  CHECK_TRUE(world.IsRunning("public.0.0.0"));
}

// Guards against large best-effort jobs of a low priority that find no room, or
// run without processors, because the surplus of another account takes each
// core that becomes free. Load: 15 urgent jobs of a core and a second each 100
// ms, which is more than the room of 64 cores, and a job of 8 cores each 2 s.
TEST(AccountShares, TheSurplusOfAHotAccountDelaysNobody)
{
  const auto longestWait = [](std::vector<AccountSpec> aAccounts) {
    ShareWorld world(std::move(aAccounts));
    world.ListRunners(4);
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
      for (int j = 0; j < 20; ++j) {
        for (int k = 0; k < 15; ++k) {
          world.Send("hot" + std::to_string(sent++),
                     "hot",
                     FiniteStep(1, 1000),
                     "urgent");
        }
        if (j == 15) {
          world.Send("large" + std::to_string(i),
                     "other",
                     BestEffortStep(1, 8000, "image"));
        }
        world.Run(Millis(100), Seconds(1));
      }
    }
    Millis longest(0);
    for (int i = 0; i < 9; ++i) {
      const auto waited = world.mWaited.find("large" + std::to_string(i));
      longest = std::max(longest,
                         waited != world.mWaited.end() ? waited->second
                                                       : Millis(Seconds(60)));
    }
    // What runs best-effort beside others is not squeezed.
    for (const Runner& runner : world.mDispatcher.mRunners) {
      if (!world.mDispatcher.mAccounts.empty()) {
        CHECK_TRUE(runner.mReserved.mMilliCores +
                     runner.mBestEffortMilliCores <=
                   runner.mSpec.mCapacity.mMilliCores + 2400);
      }
    }
    return longest.count();
  };
  CHECK_COMPARE(longestWait({}), >=, 10000);
  CHECK_COMPARE(longestWait({ { "hot", 8 }, { "other", 1 } }), <=, 1500);
}

// Guards against a large task within an entitlement that fits nowhere for as
// long as small surplus tasks wait, each of which takes a core that becomes
// free. Load: a full room of 64 cores, in which one task ends each 50 ms.
TEST(AccountShares, SurplusLeavesRoomForALargeTask)
{
  for (const StepSpec& large :
       { FiniteStep(1, 8000), BestEffortStep(1, 8000, "image") }) {
    ShareWorld world({ { "hot", 1 }, { "other", 1 } });
    world.ListRunners(4);
    SendMany(world, "hot", 300, "urgent");
    world.Send("large", "other", large);
    for (std::size_t i = 0; i < 60 && !world.IsRunning("large.0.0.0"); ++i) {
      auto runner = world.mRunners.begin();
      std::advance(runner, i * 7 % 4);
      if (!runner->second.mRunning.empty()) {
        world.End(std::string(runner->second.mRunning.front().mTask),
                  EndKind::Done);
      }
      world.AdvanceTime(Millis(50));
    }
    CHECK_TRUE(world.IsRunning("large.0.0.0"));
  }
}

// Guards against room that stays free because of a share. Load: an account with
// a small weight and a job of 500 tasks beside accounts without waiting work.
TEST(AccountShares, AnAccountAloneUsesEverything)
{
  ShareWorld world({ { "small", 0.1 }, { "other", 100 } });
  world.ListRunners(4);
  world.Send("first", "small", FiniteStep(1, 1000));
  world.Send("wide", "small", FiniteStep(500, 1000));
  world.Run(Millis(400), Seconds(60));
  LONGS_EQUAL(1, SurplusJobs(world.mDispatcher));
  LONGS_EQUAL(64, world.RunningTasks());
}

// Guards against surplus work that is shared out by the number of jobs, by step
// or regardless of weights, and against a configuration that takes effect for
// later jobs only. Load: one account with a job of 900 tasks, one with 900
// jobs, in a full room of 64 cores.
TEST(AccountShares, SurplusIsSharedByWeightAndFollowsTheConfiguration)
{
  ShareWorld world({ { "one", 1 }, { "three", 3 } });
  world.ListRunners(4);
  SendMany(world, "three", 900);
  world.Send("one0", "one", FiniteStep(1, 1000));
  world.Send("one1", "one", FiniteStep(1, 1000));
  world.Send("wide", "one", FiniteStep(900, 1000));
  world.Run(Seconds(4), Millis(500));
  LONGS_EQUAL(16, world.Cores("one"));
  LONGS_EQUAL(48, world.Cores("three"));
  const AccountSpec changed[] = { { "one", 3 }, { "three", 1 } };
  SetAccounts(world.mDispatcher, changed);
  world.Run(Seconds(2), Millis(500));
  LONGS_EQUAL(48, world.Cores("one"));
  // An account that is not listed any more has a weight of 1.
  SetAccounts(world.mDispatcher, { changed + 1, 1 });
  world.Run(Seconds(2), Millis(500));
  LONGS_EQUAL(32, world.Cores("one"));
  SetAccounts(world.mDispatcher, {});
  LONGS_EQUAL(0, SurplusJobs(world.mDispatcher));
}

// Guards against an account whose first step fits nowhere and counts as placed,
// so that its other steps wait for longer than its share demands. Load: both
// accounts have 400 small jobs, one has a large one before them.
TEST(AccountShares, AStepThatFitsNowhereCostsItsAccountNothing)
{
  ShareWorld world({ { "a", 0.1 }, { "b", 0.1 } });
  world.ListRunners(4);
  world.Send("first", "a", FiniteStep(1, 1000));
  world.Send("large", "a", FiniteStep(1, 16000));
  SendMany(world, "b", 400);
  SendMany(world, "a", 400);
  world.Run(Seconds(3), Millis(500));
  LONGS_EQUAL(32, world.Cores("a"));
}

// Guards against surplus jobs of an account that overtake others of it. Load:
// an account with surplus of two priorities and of jobs that are late.
TEST(AccountShares, TheOrderWithinAnAccountIsUnchanged)
{
  ShareWorld world({ { "a", 0.1 } });
  world.ListRunners(1);
  world.Send("first", "a", FiniteStep(1, 16000));
  for (int i = 0; i < 30; ++i) {
    world.Send("job" + std::to_string(i),
               "a",
               FiniteStep(1, 16000),
               i % 4 == 0 ? "urgent" : "queue");
    world.AdvanceTime(Millis(150));
  }
  LONGS_EQUAL(30, SurplusJobs(world.mDispatcher));
  CHECK_TRUE(PresentOrder(world.mDispatcher, world.mNow) ==
             FormerOrder(world.mDispatcher, world.mNow));
}

// Guards against a backlog that becomes surplus because a new owner reads it at
// once and in another order, and against surplus that a takeover entitles.
// Load: 20 jobs one a second, and 20 at once.
TEST(AccountShares, ANewOwnerReplaysTheEntitlements)
{
  DispatchWorld world;
  const AccountSpec accounts[] = { { "steady", 1 }, { "burst", 1 } };
  SetAccounts(world.mDispatcher, accounts);
  world.ListRunners(1);
  const auto send = [&](const std::string& aId, const std::string& aAccount) {
    JobSpec job = MakeJob(aId, { FiniteStep(1, 16000) });
    job.mAccount = aAccount;
    world.AddJob(job);
  };
  send("running", "");
  for (int i = 0; i < 20; ++i) {
    send("steady" + std::to_string(i * 7 % 20), "steady");
    send("burst" + std::to_string(i), "burst");
    world.mAcceptedAt["burst" + std::to_string(i)] = world.mNow - Seconds(i);
    world.AdvanceTime(Seconds(1));
  }
  LONGS_EQUAL(0, SurplusJobs(world.mDispatcher));
  for (int i = 0; i < 20; ++i) {
    world.mAcceptedAt["burst" + std::to_string(i)] = world.mNow - Seconds(300);
  }
  world.TakeOver(2);
  world.Report();
  world.AdvanceTime(Millis(200));
  LONGS_EQUAL(18, SurplusJobs(world.mDispatcher));
  CHECK_FALSE(world.mDispatcher.mJobs.at("steady0")->mSurplus);
}

// Guards against surplus jobs that never start while entitled ones keep coming,
// and against more than the bound of IdleJobs.h for them. Load: entitled jobs
// for twice the room, and one surplus job.
TEST(AccountShares, ASurplusJobStartsWhenItIsOverdue)
{
  ShareWorld world({ { "a", 100 }, { "b", 0.01 } });
  world.ListRunners(1);
  SendMany(world, "a", 16);
  world.Send("first", "b", FiniteStep(1, 1000));
  world.Send("surplus", "b", FiniteStep(1, 1000));
  for (int i = 16; i < 2000 && !world.mWaited.contains("surplus"); i += 2) {
    world.Send("a" + std::to_string(i), "a", FiniteStep(1, 1000));
    world.Send("a" + std::to_string(i + 1), "a", FiniteStep(1, 1000));
    world.Run(Millis(50), Seconds(1));
  }
  CHECK_TRUE(world.mWaited.contains("surplus"));
  CHECK_COMPARE(world.mWaited.at("surplus").count(), >=, 30000);
  CHECK_COMPARE(world.mWaited.at("surplus").count(), <=, 36000);
}

// Guards against late jobs within an entitlement that don't share processors,
// because surplus jobs in time of another account keep arriving. Load: a full
// runner, a late best-effort job, a surplus job each 200 ms.
TEST(AccountShares, SurplusInTimeKeepsNoLateJobBack)
{
  ShareWorld world({ { "hot", 0.1 }, { "other", 1 } });
  world.ListRunners(1);
  world.Send("hot", "hot", BestEffortStep(1, 4000, "image"));
  world.Send("full", "other", BestEffortStep(3, 4000, "image"));
  world.Send("late", "other", BestEffortStep(1, 4000, "image"));
  for (int i = 0; i < 40; ++i) {
    world.Send(
      "hot" + std::to_string(i), "hot", BestEffortStep(1, 4000, "image"));
    world.Run(Millis(200), Seconds(60));
  }
  CHECK_TRUE(world.mWaited.contains("late"));
}

// Guards against a log that fills up, and against lines without a cause. Load:
// surplus jobs that wait for ten seconds while entitled ones are placed.
TEST(AccountShares, WaitsAreLoggedOnceASecond)
{
  ShareWorld world({ { "hot", 1 }, { "other", 10 } });
  world.ListRunners(1);
  std::vector<std::string> lines;
  world.mDispatcher.mSink =
    [&](std::string_view aEvent, const Job*, std::string aDetails) {
      if (aEvent == "account_waits") {
        lines.push_back(std::move(aDetails));
      }
    };
  SendMany(world, "hot", 100);
  for (int i = 0; i < 100; ++i) {
    world.Send("other" + std::to_string(i), "other", FiniteStep(1, 1000));
    world.Run(Millis(100), Seconds(1));
  }
  CHECK_COMPARE(lines.size(), >=, 5);
  CHECK_COMPARE(lines.size(), <=, 11);
  for (const std::string& line : lines) {
    CHECK_TRUE(line.starts_with("account=hot cause=share waiting="));
  }
  CHECK_TRUE(lines.back().find("suppressed=0") == std::string::npos);
}

// Guards against a policy that lets a hot account delay others, by the model
// whose figures docs/design/client-accounts.md gives. Load: one of 20 accounts
// sends 7.5 times its usual for 10 s.
TEST(AccountShares, TheModelComparesThePolicies)
{
  const auto run = [](SharePolicy aPolicy, double aHotFactor) {
    ShareTimes times;
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      ShareLoad load;
      load.mSeed = seed;
      load.mHotFactor = aHotFactor;
      RunShareModel(aPolicy, load, times);
    }
    return times;
  };
  ShareTimes calm = run(SharePolicy::None, 1);
  ShareTimes none = run(SharePolicy::None, 7.5);
  ShareTimes dominant = run(SharePolicy::DominantShares, 7.5);
  ShareTimes entitlement = run(SharePolicy::Entitlement, 7.5);
  const auto median = [](ShareTimes& aTimes, ShareGroup aGroup) {
    return Percentile(aTimes[aGroup], 50);
  };
  const double usual = median(calm, ShareGroup::OtherLarge);
  CHECK_TRUE(median(none, ShareGroup::OtherLarge) > 2 * usual);
  CHECK_TRUE(median(dominant, ShareGroup::OtherLarge) > 2 * usual);
  CHECK_TRUE(median(entitlement, ShareGroup::OtherLarge) < 1.5 * usual);
  for (const ShareGroup group :
       { ShareGroup::HotEntitled, ShareGroup::OtherSmall }) {
    CHECK_TRUE(Percentile(entitlement[group], 99) <
               1.1 * Percentile(calm[group], 99));
  }
}
