#include <algorithm>

#include <LibDispatch/OrderLimit.h>

#include "OverloadModel.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Tasks a second that the simulated host carries.
constexpr double kCapacityPerS = 215;

OverloadResult
RunAt(LoadControl aControl, double aLoad, std::uint32_t aSeed)
{
  OverloadSettings settings;
  settings.mControl = aControl;
  settings.mOfferedPerS = aLoad * kCapacityPerS;
  settings.mCalmPerS = kCapacityPerS / 4;
  settings.mSeed = aSeed;
  return SimulateOverload(settings);
}

} // namespace

TEST_GROUP(Overload){};

// Guards against an owner whose goodput collapses under more load than its host
// carries.
TEST(Overload, KeepsItsGoodputAtFourTimesTheLoad)
{
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    double peak = 0;
    for (const double load : { 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0 }) {
      peak = std::max(peak, RunAt(LoadControl::Aimd, load, seed).mGoodputPerS);
    }
    const double goodput = RunAt(LoadControl::Aimd, 4, seed).mGoodputPerS;
    CHECK_COMPARE(goodput, >=, 0.9 * peak);
  }
}

// Guards against an overload that goes on after the load has fallen.
TEST(Overload, IsBackWithinFiveSecondsAfterTheLoadFalls)
{
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    CHECK_COMPARE(RunAt(LoadControl::Aimd, 4, seed).mRecoveryS, <=, 5);
  }
}

// Guards against a model in which load can't do what was seen on played days:
// the program before collapsed and started tasks again and again.
TEST(Overload, CollapsesWithoutLoadControl)
{
  const OverloadResult result = RunAt(LoadControl::None, 4, 1);
  CHECK_COMPARE(result.mGoodputPerS, <, 0.5 * kCapacityPerS);
  CHECK_COMPARE(result.mUnansweredPerS, >, 10);
}

TEST_GROUP(OrderLimit)
{
  OrderLimit mLimit;
  MonotonicTime mNow{ Seconds(1000) };

  void setup() override
  {
    UpdateOrderLimit(mLimit, 0, mNow);
  }

  /// Ends an interval with the same answer time and lag throughout.
  void Interval(Millis aAnswer, Millis aLag, std::uint32_t aUnderWay)
  {
    mNow += Millis(300);
    ObserveAnswer(mLimit, aAnswer);
    ObserveLag(mLimit, aLag);
    UpdateOrderLimit(mLimit, aUnderWay, mNow);
  }
};

// Guards against a limit that single slow runners lower for all.
TEST(OrderLimit, IgnoresSlowAnswersBesideQuickOnes)
{
  const double before = mLimit.mLimit;
  ObserveAnswer(mLimit, Millis(900));
  Interval(Millis(20), Millis(0), 40);
  DOUBLES_EQUAL(before, mLimit.mLimit, 0);
}

// Guards against a limit that stays far above what is under way, so that many
// congested intervals pass until it has an effect.
TEST(OrderLimit, FallsBelowWhatIsUnderWay)
{
  Interval(Millis(500), Millis(0), 40);
  CHECK_COMPARE(mLimit.mLimit, <, 40);
}

// Guards against refusing jobs because of a short burst, or because runners and
// not the owner keep starts back.
TEST(OrderLimit, TellsAWaitOnlyUnderLastingPressure)
{
  for (int i = 0; i < 3; ++i) {
    mLimit.mReached = true;
    Interval(Millis(20), Millis(0), 40);
  }
  LONGS_EQUAL(0, StartWait(mLimit, 1000).count());
  for (int i = 0; i < 20; ++i) {
    mLimit.mReached = true;
    Interval(Millis(20), Millis(0), 40);
  }
  // Each interval of 300 ms has one answer.
  const auto wait = StartWait(mLimit, 10).count();
  CHECK_COMPARE(wait, >=, 2900);
  CHECK_COMPARE(wait, <=, 3200);
  for (int i = 0; i < 20; ++i) {
    Interval(Millis(20), Millis(0), 0);
  }
  LONGS_EQUAL(0, StartWait(mLimit, 1000).count());
}

// Guards against an owner that starts nothing for seconds because it was
// suspended during a placement pass.
TEST(OrderLimit, PausesPassesForALimitedTime)
{
  LONGS_EQUAL(8000, PauseAfterPass(Millis(4)).count());
  LONGS_EQUAL(500000, PauseAfterPass(Seconds(4)).count());
}

// Guards against a limit that falls to nothing, or never rises again.
TEST(OrderLimit, RisesAgainFromItsMinimum)
{
  for (int i = 0; i < 30; ++i) {
    Interval(Millis(500), Millis(300), 0);
  }
  CHECK_COMPARE(mLimit.mLimit, >=, 1);
  CHECK_COMPARE(Stretched(mLimit, Millis(900), Millis(1900)).count(), ==, 1900);
  for (int i = 0; i < 60; ++i) {
    mLimit.mReached = true;
    Interval(Millis(10), Millis(0), 4);
  }
  CHECK_COMPARE(mLimit.mLimit, >, 100);
  CHECK_COMPARE(Stretched(mLimit, Millis(900), Millis(1900)).count(), ==, 900);
}
