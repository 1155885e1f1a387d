#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/PlacementOrder.h>

#include "DispatchWorld.h"
#include "ShareModel.h"

using namespace paddle;
using namespace paddle::dispatch;

namespace {

constexpr std::uint64_t kSeeds = 10;

void
PrintModel(const char* aName, SharePolicy aPolicy, double aHotFactor)
{
  ShareTimes times;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ShareLoad load;
    load.mSeed = seed;
    load.mHotFactor = aHotFactor;
    RunShareModel(aPolicy, load, times);
  }
  std::printf("%-40s", aName);
  for (const ShareGroup group : { ShareGroup::HotEntitled,
                                  ShareGroup::HotSurplus,
                                  ShareGroup::OtherSmall,
                                  ShareGroup::OtherLarge }) {
    std::printf(" | %6zu %6.2f %6.2f",
                times[group].size(),
                Percentile(times[group], 50),
                Percentile(times[group], 99));
  }
  std::printf("\n");
}

/// Prints how long an order of 2,000 waiting steps takes, and a cursor that
/// goes through it without a start.
void
PrintOrderTime(std::size_t aAccounts, const char* aName)
{
  constexpr int kRounds = 50;
  Dispatcher dispatcher;
  QueueSpec queue;
  queue.mName = "queue";
  SetQueues(dispatcher, { &queue, 1 });
  std::vector<AccountSpec> accounts(aAccounts);
  for (std::size_t i = 0; i < aAccounts; ++i) {
    accounts[i].mName = "account" + std::to_string(i);
    accounts[i].mWeight = 0.1;
  }
  SetAccounts(dispatcher, accounts);
  dispatcher.mRunners.resize(350);
  const MonotonicTime now{ Seconds(1000) };
  for (std::size_t i = 0; i < 2000; ++i) {
    JobSpec job;
    job.mId = "job" + std::to_string(i);
    job.mQueue = "queue";
    if (aAccounts > 0) {
      job.mAccount = accounts[i % aAccounts].mName;
    }
    job.mSteps.emplace_back().mTaskCount = 1;
    AddJob(dispatcher, job, nullptr, PriorRuns::None, now, now);
  }
  std::array<double, kRounds> orderMs{};
  std::array<double, kRounds> passMs{};
  for (int round = 0; round < kRounds; ++round) {
    const auto begin = std::chrono::steady_clock::now();
    UpdatePlacementOrder(dispatcher, now);
    const auto ordered = std::chrono::steady_clock::now();
    PlacementCursor cursor(dispatcher, now);
    std::size_t steps = 0;
    while (cursor.Next() != nullptr) {
      ++steps;
    }
    const std::chrono::duration<double, std::milli> order = ordered - begin;
    const std::chrono::duration<double, std::milli> pass =
      std::chrono::steady_clock::now() - ordered;
    orderMs[static_cast<std::size_t>(round)] = order.count();
    passMs[static_cast<std::size_t>(round)] = pass.count();
    if (steps != 2000) {
      std::printf("%zu steps instead of 2000\n", steps);
    }
  }
  std::sort(orderMs.begin(), orderMs.end());
  std::sort(passMs.begin(), passMs.end());
  std::printf("%-40s order %.3f ms, cursor %.3f ms (medians of %d)\n",
              aName,
              orderMs[kRounds / 2],
              passMs[kRounds / 2],
              kRounds);
}

/// Prints how long a placement pass over 350 full runners takes beside 2,000
/// waiting steps, half of them of one account.
void
PrintPassTime(std::size_t aAccounts, const char* aName)
{
  constexpr int kRounds = 50;
  DispatchWorld world;
  std::vector<AccountSpec> accounts(aAccounts);
  for (std::size_t i = 0; i < aAccounts; ++i) {
    accounts[i].mName = "account" + std::to_string(i);
  }
  SetAccounts(world.mDispatcher, accounts);
  world.ListRunners(350);
  world.AddJob(MakeJob("running", { FiniteStep(350 * 16, 1000) }));
  world.AdvanceTime(Seconds(20));
  for (std::size_t i = 0; i < 2000; ++i) {
    JobSpec job =
      MakeJob("job" + std::to_string(i), { FiniteStep(1 + i % 2, 1000) });
    if (aAccounts > 0) {
      job.mAccount = accounts[i % 2 == 0 ? 0 : i / 2 % aAccounts].mName;
    }
    AddJob(
      world.mDispatcher, job, nullptr, PriorRuns::None, world.mNow, world.mNow);
  }
  std::array<double, kRounds> ms{};
  for (double& time : ms) {
    world.mNow += Millis(50);
    world.mDispatcher.mPlacementDue = true;
    const auto begin = std::chrono::steady_clock::now();
    PlaceWaiting(world.mDispatcher, world.mNow, world.mActions);
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - begin;
    time = took.count();
  }
  std::sort(ms.begin(), ms.end());
  std::printf(
    "%-40s pass %.3f ms, longest %.3f ms (median of %d), %zu run, "
    "%llu surplus\n",
    aName,
    ms[kRounds / 2],
    ms[kRounds - 1],
    kRounds,
    world.RunningTasks(),
    static_cast<unsigned long long>(world.mDispatcher.mCounters.mSurplusJobs));
}

} // namespace

int
main()
{
  std::printf("%-40s | hot entitled         | hot surplus          | others, "
              "small        | others, large\n%-40s",
              "jobs, p50 and p99 in s",
              "");
  for (int group = 0; group < 4; ++group) {
    std::printf(" | %6s %6s %6s", "jobs", "p50", "p99");
  }
  std::printf("\n");
  PrintModel("no account is hot, none", SharePolicy::None, 1);
  PrintModel("no account is hot, entitlement", SharePolicy::Entitlement, 1);
  PrintModel("none", SharePolicy::None, 7.5);
  PrintModel("fair queueing by start times", SharePolicy::FairQueueing, 7.5);
  PrintModel("dominant shares", SharePolicy::DominantShares, 7.5);
  PrintModel("entitlement, order alone", SharePolicy::EntitlementOrder, 7.5);
  PrintModel("entitlement", SharePolicy::Entitlement, 7.5);
  PrintOrderTime(0, "2,000 steps, no accounts");
  PrintOrderTime(20, "2,000 steps of 20 accounts");
  PrintOrderTime(500, "2,000 steps of 500 accounts");
  PrintPassTime(0, "350 full runners, no accounts");
  PrintPassTime(20, "350 full runners, 20 accounts");
  return 0;
}
