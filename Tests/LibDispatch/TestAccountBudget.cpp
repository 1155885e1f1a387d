#include <LibDispatch/AccountBudget.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <LibDispatch/JobMoves.h>
#include <LibDispatch/JobParts.h>

#include <LibDispatch/FencingTokens.h>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Time within which a task starts that may start at once: a step of the world
/// and the interval of placement passes.
constexpr Millis kAtOnce{ 200 };
/// The wait of DispatchWorld for runners that have not answered a new owner.
constexpr Millis kWait{ 18000 };

/// A world with accounts "capped" and "free", of which the first has a cap.
struct CappedWorld : DispatchWorld
{
  Resources mCap;
  std::map<std::string, JobSpec> mSpecs;
  std::vector<std::string> mLog;

  explicit CappedWorld(std::size_t aRunners, const Resources& aCap)
  {
    ListRunners(aRunners);
    SetCap(aCap);
  }

  void SetCap(const Resources& aCap)
  {
    mCap = aCap;
    const AccountSpec accounts[] = { { "capped", 1, aCap }, { "free", 1, {} } };
    SetAccounts(mDispatcher, accounts);
    mDispatcher.mSink =
      [this](std::string_view aEvent, const Job*, const std::string& aDetails) {
        mLog.push_back(std::string(aEvent) + " " + aDetails);
      };
  }

  void Add(const std::string& aAccount, JobSpec aSpec)
  {
    aSpec.mAccount = aAccount;
    mSpecs[aSpec.mId] = aSpec;
    AddJob(std::move(aSpec));
  }

  /// Lets another owner take over, with the same configuration.
  void ChangeOwner(std::int64_t aEpoch)
  {
    TakeOver(aEpoch);
    SetCap(mCap);
  }

  /// @return what the runs of an account on the runners take
  Resources Running(const std::string& aAccount = "capped") const
  {
    Resources total;
    for (const auto& [id, runner] : mRunners) {
      for (const Run& run : runner.mRunning) {
        const TaskName name = *ParseTaskName(run.mTask);
        const JobSpec& job = mSpecs.at(name.mJob);
        total += job.mAccount == aAccount ? job.mSteps[name.mStep].mDemand
                                          : Resources{};
      }
    }
    return total;
  }

  /// Lets time pass and checks the cap in each step.
  void Advance(Millis aTime, const std::function<void()>& aEachStep = {})
  {
    for (Millis passed(0); passed < aTime; passed += Millis(50)) {
      AdvanceTime(Millis(50));
      CheckCap();
      if (aEachStep) {
        aEachStep();
      }
    }
  }

  void CheckCap() const
  {
    const Resources running = Running();
    CHECK_COMPARE(running.mMilliCores, <=, mCap.mMilliCores);
    if (mCap.mMemoryMb > 0) {
      CHECK_COMPARE(running.mMemoryMb, <=, mCap.mMemoryMb);
    }
  }

  std::size_t Logged(const std::string& aText) const
  {
    return static_cast<std::size_t>(
      std::count_if(mLog.begin(), mLog.end(), [&](const std::string& aLine) {
        return aLine.find(aText) != std::string::npos;
      }));
  }
};

StepSpec
Gang(std::uint32_t aTasks, std::int64_t aMilliCores)
{
  StepSpec step = FiniteStep(aTasks, aMilliCores);
  step.mGang = true;
  return step;
}

} // namespace

TEST_GROUP(AccountBudget){};

// Guards against starts above the cap: of a part of a gang, of best-effort
// tasks, which reserve no processors, while runs are being stopped, and of
// starts without an answer that runners carry out up to 12 s later.
TEST(AccountBudget, HoldsTheCapUnderRandomWork)
{
  for (const std::uint32_t seed : { 1U, 2U, 3U, 4U }) {
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t aBound) { return random() % aBound; };
    CappedWorld world(12, { 40000, 30000, 0 });
    world.mRoundTrips["zone2"] = Millis(600);
    // Orders without an answer, and when they arrive.
    std::multimap<MonotonicTime, std::function<void()>> late;
    std::int64_t most = 0;
    for (int i = 0; i < 60; ++i) {
      const auto milliCores = static_cast<std::int64_t>(1000 * (1 + below(6)));
      StepSpec step = BestEffortStep(1 + below(5), milliCores, "image");
      switch (below(4)) {
        case 0:
          step = Gang(2 + below(3), milliCores);
          break;
        case 1:
          step = FiniteStep(1 + below(5), milliCores);
          break;
        case 2:
          step = LongRunningStep(1, milliCores);
          break;
        default:
          break;
      }
      const std::string id = "job" + std::to_string(i);
      world.mDropStarts = below(4) == 0;
      world.Add(below(4) > 0 ? "capped" : "free", MakeJob(id, { step }));
      world.Advance(Millis(50 * below(30)), [&] {
        while (!late.empty() && late.begin()->first <= world.mNow) {
          late.begin()->second();
          late.erase(late.begin());
        }
        for (const StartTask& lost : std::exchange(world.mLostStarts, {})) {
          const std::string runner =
            world.mDispatcher.mRunners[lost.mRunner].mSpec.mId;
          const DispatchWorld::Run run{ FormatTaskName(NameOf(lost.mTask)),
                                        lost.mRun };
          late.emplace(
            world.mNow + Millis(below(12000)),
            [&world,
             runner,
             run,
             end = lost.mLeaseEndMs,
             token = FencingTokenFor(world.mDispatcher, lost.mRunner)] {
              // A runner rejects an order whose lease has ended,
              // or whose run it was ordered to stop.
              const DispatchWorld::FakeRunner& fake = world.mRunners[runner];
              if (end > world.ClockOf(fake) &&
                  !fake.mStopped.contains({ run.mTask, run.mRun })) {
                world.CarryOutStart(runner, run, end, token);
              }
            });
        }
        world.CheckCap();
        most = std::max(most, world.Running().mMilliCores);
      });
      for (const auto& [runner, fake] : world.mRunners) {
        if (!fake.mRunning.empty() && below(3) == 0) {
          world.End(std::string(fake.mRunning[0].mTask),
                    below(8) == 0 ? EndKind::Failed : EndKind::Done);
        }
      }
      if (below(3) == 0) {
        CancelJob(world.mDispatcher,
                  "job" + std::to_string(below(i + 1)),
                  world.mNow,
                  world.mActions);
      }
    }
    CHECK_COMPARE(most, >, 30000);
  }
}

// Guards against an account at its budget that keeps room from others: by its
// place in the order, by a request noted as too large, or by held runners.
TEST(AccountBudget, AnAccountAtItsBudgetDelaysNoOther)
{
  CappedWorld world(8, { 8000, 0, 0 });
  world.Add("capped", MakeJob("running", { LongRunningStep(2, 4000) }));
  for (int i = 0; i < 100; ++i) {
    world.Add("capped",
              MakeJob("waiting" + std::to_string(i), { FiniteStep(4, 2000) }));
  }
  world.Add("capped", MakeJob("serving", { LongRunningStep(4, 2000) }));
  world.Advance(Seconds(1));
  LONGS_EQUAL(8000, world.Running().mMilliCores);
  // Interrupted tasks of the account find their budget gone.
  world.SetCap({ 4000, 0, 0 });
  world.End("running.0.0.0", EndKind::Stopped);
  world.AdvanceTime(Seconds(1));
  world.Add("free", MakeJob("other", { FiniteStep(4, 2000) }));
  world.AdvanceTime(kAtOnce);
  LONGS_EQUAL(8000, world.Running("free").mMilliCores);
  LONGS_EQUAL(0, world.mDispatcher.mHeldRunners.size());
  LONGS_EQUAL(
    0, StepsWithoutRoom(world.mDispatcher, Millis(0), world.mNow).size());
  world.Advance(Seconds(6));
  LONGS_EQUAL(
    0, IdleJobsThatMayMove(world.mDispatcher, Seconds(4), world.mNow).size());
  world.Advance(Seconds(3));
  // One line a second, and one step that stands for all others.
  CHECK_COMPARE(world.Logged("account_waits account=capped cause=cap"), <=, 12);
  CHECK_COMPARE(world.Logged("account_waits account=capped cause=cap"), >=, 10);
  CHECK_COMPARE(world.Logged("cause=account_cap account=capped"), >=, 3);
  CHECK_COMPARE(world.Logged("step_waits"), <=, 5);
}

// Guards against work that is stopped, or moved without being started again,
// because its account's cap was lowered.
TEST(AccountBudget, ALoweredCapStopsNothing)
{
  CappedWorld world(4, { 16000, 0, 0 });
  world.Add("capped", MakeJob("serving", { LongRunningStep(4, 4000) }));
  world.Add("capped", MakeJob("job", { FiniteStep(1, 4000) }));
  world.Advance(Seconds(1));
  world.SetCap({ 12000, 0, 0 });
  for (RunnerSpec& spec : world.mListed) {
    spec.mDraining = spec.mId == world.RunnerOf("serving.0.0.0");
  }
  SetRunners(world.mDispatcher, world.mListed, world.mNow, world.mActions);
  world.AdvanceTime(Seconds(3));
  LONGS_EQUAL(4, world.RunningTasks());
  LONGS_EQUAL(4, world.mStarts);
  world.SetCap({ 16000, 0, 0 });
  world.Advance(Seconds(1));
  LONGS_EQUAL(4, world.RunningTasks());
  CHECK_COMPARE(world.mStarts, >, 4);
}

// Guards against starts beside runs that a new owner does not know, on runners
// that have not answered it.
TEST(AccountBudget, HoldsTheCapAfterATakeoverWithSilentRunners)
{
  CappedWorld world(4, { 24000, 0, 0 });
  world.Add("capped", MakeJob("job", { FiniteStep(6, 4000) }));
  world.Add("free", MakeJob("other", { FiniteStep(1, 1000) }));
  world.Advance(Millis(500));
  LONGS_EQUAL(24000, world.Running().mMilliCores);
  const std::string silent = world.RunnerOf("job.0.0.0");
  world.mRunners[silent].mAnswers = false;
  // The runner's leases outlast those that the new owner knows of.
  world.ExtendLeases(silent, kWait - Seconds(1));
  world.ChangeOwner(2);
  world.Add("capped", MakeJob("next", { FiniteStep(20, 1000) }));
  world.Advance(kWait - Seconds(1));
  // One runner counts with its 16 cores, the others with what they run.
  LONGS_EQUAL(0, world.mStarts - 7);
  world.Advance(Seconds(3));
  LONGS_EQUAL(24000, world.Running().mMilliCores);
}

// Guards against an account that waits although all runners have answered, and
// against runs that count twice because they were adopted.
TEST(AccountBudget, HasTheWholeCapOnceAllRunnersHaveAnswered)
{
  CappedWorld world(4, { 24000, 0, 0 });
  world.Add("capped", MakeJob("job", { LongRunningStep(4, 4000) }));
  world.Advance(Millis(500));
  world.ChangeOwner(2);
  world.Add("capped", MakeJob("next", { FiniteStep(20, 1000) }));
  world.Tick();
  LONGS_EQUAL(16000, world.Running().mMilliCores); // No runner has answered.
  world.Advance(kAtOnce);
  LONGS_EQUAL(24000, world.Running().mMilliCores);
  LONGS_EQUAL(24000, CappedUse(UseOf(world.mDispatcher, "capped")).mMilliCores);
}

// Guards against a whole runner that counts although a record names its runs,
// and against a recorded run that counts no more because its job has ended.
TEST(AccountBudget, CountsTheRecordedRunsOfASilentRunner)
{
  for (const bool ended : { false, true }) {
    CappedWorld world(4, { 20000, 0, 0 });
    world.Add("capped", MakeJob("job", { LongRunningStep(1, 4000) }));
    world.Advance(Millis(500));
    const std::string silent = world.RunnerOf("job.0.0.0");
    world.mRunners[silent].mAnswers = false;
    world.mRecords[silent] = { { *ParseTaskName("job.0.0.0"),
                                 world.mRunners[silent].mRunning[0].mRun } };
    if (ended) {
      world.mAccepted.erase("job");
    }
    world.ChangeOwner(2);
    world.Add("capped", MakeJob("next", { FiniteStep(20, 1000) }));
    world.Advance(Seconds(1));
    LONGS_EQUAL(ended ? 8000 : 20000, world.Running().mMilliCores);
    world.Advance(Seconds(8));
    LONGS_EQUAL(20000, world.Running().mMilliCores);
  }
}

// Guards against a run of an unknown job that does not count.
TEST(AccountBudget, CountsARunnerWithOrphansAsFull)
{
  CappedWorld world(4, { 24000, 0, 0 });
  world.mSpecs["lost"] = MakeJob("lost", { FiniteStep(1, 8000) });
  world.mSpecs["lost"].mAccount = "capped";
  world.ExtendLeases("r2", Seconds(6));
  world.mRunners["r2"].mRunning.push_back({ "lost.0.0.0", 1, 0 });
  world.mRunners["r2"].mAnswers = false;
  world.ChangeOwner(2);
  world.mRoundTrips["zone2"] = Seconds(60); // Stop orders to r2 get lost.
  world.mRunners["r2"].mAnswers = true;
  world.Add("capped", MakeJob("job", { FiniteStep(24, 1000) }));
  world.Advance(Seconds(2));
  LONGS_EQUAL(16000, world.Running().mMilliCores);
  LONGS_EQUAL(1, world.mDispatcher.mRunners[2].mOrphans.size());
  world.Advance(Seconds(6));
  LONGS_EQUAL(24000, world.Running().mMilliCores);
}

// Guards against best-effort tasks that demand more of a silent runner than the
// processors with which it counts; other accounts may still use it.
TEST(AccountBudget, AnAccountDemandsAtMostTheProcessorsOfARunner)
{
  CappedWorld world(1, { 100000, 0, 0 });
  // Best-effort tasks may use half of what long-running ones reserve.
  StepSpec reserved = LongRunningStep(1, 12000);
  reserved.mTailLatencyTarget = Millis(0);
  world.Add("capped", MakeJob("reserved", { reserved }));
  world.Advance(Millis(500));
  world.Add("capped", MakeJob("job", { BestEffortStep(8, 1000, "image") }));
  world.Advance(Seconds(3));
  LONGS_EQUAL(16000, world.Running().mMilliCores);
  world.Add("free", MakeJob("other", { BestEffortStep(4, 1000, "image") }));
  world.Advance(Seconds(3));
  CHECK_COMPARE(world.Running("free").mMilliCores, >=, 1000);
}

// Guards against a large task that small ones of its account keep waiting for
// ever, each of which takes what the one before has left of the budget.
TEST(AccountBudget, AnOverdueTaskGetsItsBudget)
{
  CappedWorld world(4, { 8000, 0, 0 });
  int next = 0;
  const auto keepBusy = [&] {
    while (world.mDispatcher.mWaitingSteps.size() < 12) {
      world.Add(
        "capped",
        MakeJob("small" + std::to_string(next++), { FiniteStep(1, 1000) }));
    }
    for (const auto& [id, runner] : world.mRunners) {
      if (!runner.mRunning.empty()) {
        world.End(std::string(runner.mRunning[0].mTask), EndKind::Done);
        return;
      }
    }
  };
  keepBusy();
  world.Advance(Seconds(1));
  world.Add("capped", MakeJob("large", { FiniteStep(1, 6000) }));
  Millis waited(0);
  while (!world.IsRunning("large.0.0.0") && waited < Seconds(60)) {
    world.Advance(Millis(50), keepBusy);
    waited += Millis(50);
  }
  CHECK_COMPARE(waited.count(), <, Millis(Seconds(35)).count());
}
