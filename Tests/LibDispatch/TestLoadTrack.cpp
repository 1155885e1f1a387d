#include <cmath>
#include <numbers>

#include <LibDispatch/LoadTrack.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Variance of an observed utilization.
constexpr double kNoise = 0.025 * 0.025;
constexpr Millis kInterval{ 200 };

/// Load of users that swings by half around 0.42 within ten seconds.
double
LoadAt(MonotonicTime aTime)
{
  const double seconds =
    std::chrono::duration<double>(aTime.time_since_epoch()).count();
  return 0.42 * (1 + 0.5 * std::sin(2 * std::numbers::pi * seconds / 10));
}

} // namespace

TEST_GROUP(LoadTrack)
{
  LoadTrack mTrack;
  MonotonicTime mNow{ Seconds(100) };

  void Observe(Millis aTime)
  {
    for (Millis passed(0); passed < aTime; passed += kInterval) {
      mNow += kInterval;
      mTrack = Advanced(mTrack, mNow);
      Correct(mTrack,
              LoadAt(mNow) - mTrack.mLevel,
              mTrack.mLevelVariance + kNoise,
              mNow);
    }
  }
};

// Guards against a mean in place of the present load: the difference would be
// blamed on neighbours.
TEST(LoadTrack, FollowsASwingingLoad)
{
  Observe(Seconds(3));
  for (int i = 0; i < 50; ++i) {
    Observe(kInterval);
    DOUBLES_EQUAL(LoadAt(mNow), mTrack.mLevel, 0.03);
  }
}

// Guards against acting only once the load has risen: figures are late.
TEST(LoadTrack, LooksAhead)
{
  Observe(Millis(10400)); // Just after the trough.
  const Millis ahead(700);
  DOUBLES_EQUAL(LoadAt(mNow + ahead), LevelAhead(mTrack, ahead), 0.06);
}

// Guards against trusting an old trend, and an old level too much.
TEST(LoadTrack, GrowsUncertainWithoutObservations)
{
  Observe(Seconds(5));
  const LoadTrack later = Advanced(mTrack, mNow + Seconds(20));
  CHECK_TRUE(later.mLevelVariance > 10 * mTrack.mLevelVariance);
  CHECK_TRUE(later.mLevel >= 0 && later.mLevel <= 1);
  DOUBLES_EQUAL(0, later.mRate, 1e-9);
}
