#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <LibDispatch/JobMoves.h>
#include <LibDispatch/PlacementWait.h>

#include "DispatchWorld.h"
#include "PlacementWaitModel.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

constexpr MonotonicTime kNow{ Seconds(1000) };
/// A wait that pays: half a second for a gain of two.
constexpr WaitInputs kWorthwhile{ .mGain = Millis(2000),
                                  .mWorth = Millis(2000),
                                  .mExpectedWait = Millis(500) };

/// Two racks of four runners. Each run takes a whole runner, those of rack0 end
/// one after the other and the next one begins, and one runner of rack1 is
/// free.
struct BusyRack
{
  DispatchWorld mWorld;
  int mFills = 0;

  BusyRack()
  {
    mWorld.mDispatcher.mSettings.mRemoteFactor = 3;
    QueueSpec queue = mWorld.mDispatcher.mQueues.at("queue");
    queue.mTargetDuration = Seconds(100);
    QueueSpec urgent = queue;
    queue.mPriority = 1;
    urgent.mName = "urgent";
    const std::array<QueueSpec, 2> queues{ queue, urgent };
    SetQueues(mWorld.mDispatcher, queues);
    mWorld.ListRunners(8);
    StepSpec step = FiniteStep(3, 16000);
    step.mRequiredLabel = "rack1";
    mWorld.AddJob(MakeJob("other", { step }));
    for (int i = 0; i < 4; ++i) {
      Fill("queue");
    }
    Rotate(8);
  }

  /// Adds a task that only runs in rack0.
  void Fill(const std::string& aQueue)
  {
    StepSpec step = FiniteStep(1, 16000);
    step.mEstimatedDuration = Millis(2000);
    step.mRequiredLabel = "rack0";
    JobSpec job = MakeJob("fill" + std::to_string(mFills++), { step });
    job.mQueue = aQueue;
    mWorld.AddJob(job);
  }

  void EndOldestFill()
  {
    for (int i = 0; i < mFills; ++i) {
      const std::string task = "fill" + std::to_string(i) + ".0.0.0";
      if (mWorld.IsRunning(task)) {
        mWorld.End(task, EndKind::Done);
        return;
      }
    }
  }

  /// Ends a run in rack0 each half second, and begins another one.
  void Rotate(int aTimes, const std::string& aQueue = "urgent")
  {
    for (int i = 0; i < aTimes; ++i) {
      Fill(aQueue);
      EndOldestFill();
      mWorld.AdvanceTime(Millis(500));
    }
  }

  /// Adds a task whose data is in rack0.
  void AddTask(const std::string& aId, Millis aEstimate = Millis(2000))
  {
    StepSpec step = FiniteStep(1, 16000);
    step.mEstimatedDuration = aEstimate;
    step.mDataRack = "rack0";
    mWorld.AddJob(MakeJob(aId, { step }));
  }

  [[nodiscard]] std::string RackOf(const std::string& aTask) const
  {
    const std::string runner = mWorld.RunnerOf(aTask);
    return runner.empty()
             ? "none"
             : mWorld.mDispatcher
                 .mRunners[mWorld.mDispatcher.mRunnerById.at(runner)]
                 .mSpec.mRack;
  }

  [[nodiscard]] std::uint64_t Ended(WaitEnd aCause) const
  {
    return mWorld.mDispatcher.mCounters
      .mPlaceWaitsEnded[static_cast<std::size_t>(aCause)];
  }
};

} // namespace

TEST_GROUP(PlacementWait){};

// Guards against a wait that costs more than it gains, and against one whose
// length nothing is known about.
TEST(PlacementWait, WaitsOnlyForLessThanTheWaitIsWorth)
{
  CHECK_TRUE(DecideWait({}, kWorthwhile, kNow).mWait);
  WaitInputs inputs = kWorthwhile;
  inputs.mExpectedWait = Millis(2000);
  CHECK_FALSE(DecideWait({}, inputs, kNow).mWait);
  inputs.mExpectedWait.reset();
  CHECK_FALSE(DecideWait({}, inputs, kNow).mWait);
  CHECK_FALSE(ExpectedWait(1, 0, kNow, kNow).has_value());
  CHECK_FALSE(ExpectedWait(1, 1, {}, kNow).has_value());
  CHECK_TRUE(ExpectedWait(2, 4, kNow, kNow) == Millis(500));
  CHECK_TRUE(ExpectedWait(2, 4, kNow + Seconds(3), kNow) == Seconds(3));
}

// Guards against a job that misses its deadline because a task waits, and
// against a deadline that can't be met in any case and decides nevertheless.
TEST(PlacementWait, EndsWhenTheJobWouldBeLate)
{
  WaitInputs inputs = kWorthwhile;
  inputs.mLatestStart = kNow + Millis(700);
  const WaitDecision decision = DecideWait({}, inputs, kNow);
  CHECK_TRUE(decision.mWait);
  CHECK_TRUE(decision.mUntil == inputs.mLatestStart);
  const PlaceWait wait{ kNow, decision.mUntil, decision.mDeadlineFirst };
  const WaitDecision end = DecideWait(wait, inputs, inputs.mLatestStart);
  CHECK_FALSE(end.mWait);
  CHECK_TRUE(end.mCause == WaitEnd::Deadline);
  inputs.mLatestStart = kNow - Millis(1);
  CHECK_TRUE(DecideWait({}, inputs, kNow).mUntil == kNow + Millis(2000));
}

// Guards against new estimates that extend a wait again and again.
TEST(PlacementWait, TheLimitOnlyShrinks)
{
  const PlaceWait wait{ kNow, kNow + Millis(2000) };
  WaitInputs inputs = kWorthwhile;
  inputs.mWorth = Seconds(60);
  const MonotonicTime later = kNow + Millis(1000);
  CHECK_TRUE(DecideWait(wait, inputs, later).mUntil == wait.mUntil);
  inputs.mWorth = Millis(1500);
  CHECK_TRUE(DecideWait(wait, inputs, later).mUntil == kNow + Millis(1500));
  inputs.mWorth = Millis(900);
  CHECK_TRUE(DecideWait(wait, inputs, later).mCause == WaitEnd::Expired);
  PlaceWait over = wait;
  over.mOver = true;
  CHECK_FALSE(DecideWait(over, kWorthwhile, later).mWait);
  inputs = kWorthwhile;
  inputs.mPlaceLost = true;
  CHECK_TRUE(DecideWait(wait, inputs, later).mCause == WaitEnd::PlaceLost);
}

// Guards against a step that believes its client's estimate although its own
// tasks have shown another duration, and against one that believes a single
// task.
TEST(PlacementWait, CorrectsTheEstimateFromThreeTasksOn)
{
  const std::array<Millis, 3> durations{ Millis(300),
                                         Millis(9000),
                                         Millis(400) };
  CHECK_TRUE(CorrectedEstimate(Millis(1000), { durations.data(), 2 }) ==
             Millis(1000));
  CHECK_TRUE(CorrectedEstimate(Millis(1000), durations) == Millis(400));
}

// Guards against small ends that are taken for room for a large task, and
// against a rate that outlasts the ends by long.
TEST(PlacementWait, CountsEndsThatLeaveRoomForTheTask)
{
  RoomEnds ends;
  for (int i = 0; i < 10; ++i) {
    const Resources freed{ 1000, 1000, 0 };
    AddRoomEnd(ends, { kNow, { { 1000, 64000, 0 }, 1000 }, { freed, 1000 } });
  }
  const Resources small{ 1000, 1000, 0 };
  const Resources large{ 16000, 1000, 0 };
  DOUBLES_EQUAL(2, RoomRate(ends, Reservation::Reserved, small, kNow), 0.01);
  DOUBLES_EQUAL(0, RoomRate(ends, Reservation::Reserved, large, kNow), 0.01);
  CHECK_TRUE(RoomRate(ends, Reservation::Reserved, small, kNow + Seconds(30)) <
             0.01);
}

// Guards against a task that runs three times as long elsewhere although a
// runner beside its data is free half a second later.
TEST(PlacementWait, StartsBesideItsDataAfterAShortWait)
{
  BusyRack busy;
  busy.AddTask("near");
  STRCMP_EQUAL("none", busy.RackOf("near.0.0.0").c_str());
  CHECK_TRUE(busy.mWorld.mDispatcher.mHeldRunners.empty());
  busy.EndOldestFill();
  busy.mWorld.AdvanceTime(Millis(100));
  STRCMP_EQUAL("rack0", busy.RackOf("near.0.0.0").c_str());
  CHECK_EQUAL(1U, busy.Ended(WaitEnd::Placed));
}

// Guards against waits for a place where no run ends, for gains that are
// smaller than the wait, and without a factor in the settings.
TEST(PlacementWait, StartsElsewhereAtOnceWhereAWaitDoesNotPay)
{
  BusyRack shortTask;
  shortTask.AddTask("near", Millis(100));
  STRCMP_EQUAL("rack1", shortTask.RackOf("near.0.0.0").c_str());

  BusyRack still;
  still.mWorld.AdvanceTime(Seconds(25));
  still.AddTask("near");
  STRCMP_EQUAL("rack1", still.RackOf("near.0.0.0").c_str());

  BusyRack noFactor;
  noFactor.mWorld.mDispatcher.mSettings.mRemoteFactor = 1;
  noFactor.AddTask("near", Seconds(20));
  STRCMP_EQUAL("rack1", noFactor.RackOf("near.0.0.0").c_str());
  CHECK_EQUAL(0U, noFactor.mWorld.mDispatcher.mCounters.mPlaceWaits);
}

// Guards against a task that waits for longer than it could gain, because no
// run ends any more, and against one that waits again.
TEST(PlacementWait, TakesAnyPlaceAfterTheEnd)
{
  BusyRack busy;
  busy.AddTask("near");
  const Millis waited = busy.mWorld.TimeUntilRunning("near.0.0.0");
  STRCMP_EQUAL("rack1", busy.RackOf("near.0.0.0").c_str());
  CHECK_TRUE(waited > Millis(200));
  CHECK_TRUE(waited <= Millis(4200));
  busy.mWorld.End("near.0.0.0", EndKind::Failed);
  busy.Rotate(1);
  STRCMP_EQUAL("rack1", busy.RackOf("near.0.0.0").c_str());
  CHECK_EQUAL(1U, busy.mWorld.mDispatcher.mCounters.mPlaceWaits);

  // Its wait ends while no other runner is free.
  BusyRack full;
  full.AddTask("near");
  full.mWorld.AddJob(MakeJob("any", { FiniteStep(1, 16000) }));
  full.Rotate(8);
  CHECK_EQUAL(1U, full.Ended(WaitEnd::Expired));
  full.mWorld.End("any.0.0.0", EndKind::Done);
  full.mWorld.AdvanceTime(Millis(100));
  STRCMP_EQUAL("rack1", full.RackOf("near.0.0.0").c_str());
  CHECK_EQUAL(1U, full.mWorld.mDispatcher.mCounters.mPlaceWaits);
}

// Guards against a task that waits for runners that are about to leave.
TEST(PlacementWait, ALostPlaceEndsTheWaitAtOnce)
{
  BusyRack busy;
  busy.AddTask("near", Seconds(20));
  STRCMP_EQUAL("none", busy.RackOf("near.0.0.0").c_str());
  for (RunnerSpec& spec : busy.mWorld.mListed) {
    spec.mDraining = spec.mRack == "rack0";
  }
  SetRunners(busy.mWorld.mDispatcher,
             busy.mWorld.mListed,
             busy.mWorld.mNow,
             busy.mWorld.mActions);
  busy.mWorld.AdvanceTime(Millis(200));
  STRCMP_EQUAL("rack1", busy.RackOf("near.0.0.0").c_str());
  CHECK_EQUAL(1U, busy.Ended(WaitEnd::PlaceLost));
}

// Guards against a wait that takes places from other tasks, or that counts as
// lack of room, so that the job is handed over to another shard.
TEST(PlacementWait, DelaysNothingElse)
{
  BusyRack busy;
  busy.AddTask("near", Seconds(20));
  busy.Rotate(20);
  STRCMP_EQUAL("none", busy.RackOf("near.0.0.0").c_str());
  Dispatcher& dispatcher = busy.mWorld.mDispatcher;
  CHECK_TRUE(
    IdleJobsThatMayMove(dispatcher, Seconds(4), busy.mWorld.mNow).empty());
  busy.mWorld.AddJob(MakeJob("any", { FiniteStep(1, 16000) }));
  STRCMP_EQUAL("rack1", busy.RackOf("any.0.0.0").c_str());
}

// Guards against a task that waits for as long as others with a better priority
// take each place in its rack, and against one that fills processors and waits
// past the bound on old jobs.
TEST(PlacementWait, YieldsToTheBoundOnIdleJobs)
{
  BusyRack busy;
  busy.AddTask("near", Seconds(1000));
  busy.Rotate(58);
  STRCMP_EQUAL("none", busy.RackOf("near.0.0.0").c_str());
  busy.Rotate(3);
  STRCMP_EQUAL("rack1", busy.RackOf("near.0.0.0").c_str());
  CHECK_EQUAL(1U, busy.Ended(WaitEnd::Idle));

  BusyRack other;
  StepSpec step = BestEffortStep(1, 16000, "image");
  step.mEstimatedDuration = Seconds(1000);
  step.mDataRack = "rack0";
  other.mWorld.AddJob(MakeJob("fills", { step }));
  other.Rotate(18);
  STRCMP_EQUAL("none", other.RackOf("fills.0.0.0").c_str());
  other.Rotate(4);
  STRCMP_EQUAL("rack1", other.RackOf("fills.0.0.0").c_str());
  CHECK_EQUAL(0U, other.mWorld.mDispatcher.mCounters.mOvercommittedStarts);
}

// Guards against a wait that outlasts its owner: the next one knows no rate, so
// that it starts the task at once.
TEST(PlacementWait, ANewOwnerDecidesAnew)
{
  BusyRack busy;
  busy.AddTask("near", Seconds(1000));
  busy.Rotate(1);
  STRCMP_EQUAL("none", busy.RackOf("near.0.0.0").c_str());
  busy.mWorld.TakeOver(2);
  busy.mWorld.mDispatcher.mSettings.mRemoteFactor = 3;
  busy.mWorld.AdvanceTime(Millis(500));
  STRCMP_EQUAL("rack1", busy.RackOf("near.0.0.0").c_str());
}

// Guards against many jobs that all wait for the same rack, each as if it were
// alone: all but the first ones would wait in vain. And against a log line for
// each of many waits.
TEST(PlacementWait, TheSurplusOfAHotRackSpreadsAtOnce)
{
  BusyRack busy;
  busy.mWorld.ListRunners(48);
  std::vector<std::string> lines;
  busy.mWorld.mDispatcher.mSink =
    [&](std::string_view aEvent, const Job*, const std::string&) {
      lines.emplace_back(aEvent);
    };
  const DispatchCounters& counters = busy.mWorld.mDispatcher.mCounters;
  // Each end leaves room for one of them, about 1.6 a second, and a wait is
  // worth up to 2.4 s.
  for (int i = 0; i < 30; ++i) {
    busy.AddTask("hot" + std::to_string(i));
  }
  CHECK_TRUE(counters.mPlaceWaits >= 1);
  CHECK_TRUE(counters.mPlaceWaits <= 5);
  CHECK_EQUAL(7 + 30 - counters.mPlaceWaits, busy.mWorld.RunningTasks());
  for (int i = 0; i < 15; ++i) {
    busy.AddTask("long" + std::to_string(i), Seconds(60));
  }
  CHECK_TRUE(counters.mPlaceWaits > 5);
  CHECK_EQUAL(5, std::count(lines.begin(), lines.end(), "placement_wait"));
}

// Guards against a step that requests a single rack and is spread although one
// rack has room for all its tasks, and against a change where the settings
// state no factor.
TEST(PlacementWait, AStepThatRequestsOneRackRunsInOne)
{
  for (const double factor : { 1.0, 3.0 }) {
    for (const bool gang : { false, true }) {
      DispatchWorld world;
      world.mDispatcher.mSettings.mRemoteFactor = factor;
      world.ListRunners(12);
      StepSpec filler = FiniteStep(3, 16000);
      filler.mRequiredLabel = "rack0";
      world.AddJob(MakeJob("filler", { filler }));
      StepSpec step = FiniteStep(4, 16000);
      step.mSameRack = true;
      step.mGang = gang;
      world.AddJob(MakeJob("group", { step }));
      std::size_t inRack1 = 0;
      for (int i = 0; i < 4; ++i) {
        const std::string runner =
          world.RunnerOf("group.0.0." + std::to_string(i));
        inRack1 += runner >= "r4" && runner <= "r7" ? 1 : 0;
      }
      CHECK_EQUAL(factor > 1 ? 4U : 3U, inRack1);
    }
  }
}

// Guards against a group that is spread for a wait that pays, and against
// members that wait although one already runs in another rack.
TEST(PlacementWait, TasksOfAGroupWaitForItsRack)
{
  BusyRack busy;
  StepSpec step = FiniteStep(2, 16000);
  step.mSameRack = true;
  step.mEstimatedDuration = Seconds(4);
  busy.Fill("queue");
  busy.mWorld.mDispatcher.mPlacementDue = true;
  busy.EndOldestFill();
  busy.EndOldestFill();
  busy.mWorld.AdvanceTime(Millis(100)); // One runner of each rack is free.
  busy.mWorld.AddJob(MakeJob("group", { step }));
  const std::string rack = busy.RackOf("group.0.0.0");
  STRCMP_EQUAL("rack0", rack.c_str());
  STRCMP_EQUAL("none", busy.RackOf("group.0.0.1").c_str());
  busy.EndOldestFill();
  busy.mWorld.AdvanceTime(Millis(100));
  STRCMP_EQUAL("rack0", busy.RackOf("group.0.0.1").c_str());
}

// Guards against waits that make tasks slower on the whole: with estimates off
// by half and a rack that many jobs prefer, in a service that is half idle, and
// in one that is nearly full. The figures are those of one seed.
TEST(PlacementWait, PaysInTheModel)
{
  for (const double factor : { 1.5, 3.0 }) {
    for (const double hot : { 0.0, 0.3, 0.6 }) {
      WaitModelSettings settings{ .mLoad = 0.5,
                                  .mHotShare = hot,
                                  .mRemoteFactor = factor };
      const double waits = SimulateWaits(settings).mMean;
      settings.mPolicy = WaitPolicy::None;
      CHECK_TRUE(waits <= SimulateWaits(settings).mMean * 1.03);
    }
    WaitModelSettings settings{ .mLoad = 0.8,
                                .mHotShare = 0.3,
                                .mRemoteFactor = factor };
    const WaitModelResult waits = SimulateWaits(settings);
    settings.mPolicy = WaitPolicy::None;
    const WaitModelResult none = SimulateWaits(settings);
    CHECK_TRUE(waits.mMean < none.mMean * 0.9);
    CHECK_TRUE(waits.mP99 < none.mP99);
    CHECK_TRUE(waits.mOthersP99 < none.mOthersP99);
    CHECK_TRUE(waits.mShareInRack > none.mShareInRack * 1.5);
  }
}
