#include <cmath>
#include <numbers>

#include <LibDispatch/UtilizationFilter.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Variance of the error of an observed utilization.
constexpr double kMeasurementVariance = 0.025 * 0.025;
constexpr Millis kInterval{ 200 };

/// @return a utilization that oscillates around 0.42 by half of it within ten
///         seconds
double
UtilizationAt(MonotonicTime aTime)
{
  const double seconds =
    std::chrono::duration<double>(aTime.time_since_epoch()).count();
  return 0.42 * (1 + 0.5 * std::sin(2 * std::numbers::pi * seconds / 10));
}

} // namespace

TEST_GROUP(UtilizationFilter)
{
  UtilizationFilter mFilter;
  MonotonicTime mNow{ Seconds(100) };

  /// Lets time pass and updates the filter with an observation at each
  /// interval.
  void Observe(Millis aTime)
  {
    for (Millis passed(0); passed < aTime; passed += kInterval) {
      mNow += kInterval;
      mFilter = Predicted(mFilter, mNow);
      Update(mFilter,
             UtilizationAt(mNow) - mFilter.mUtilization,
             mFilter.mUtilizationVariance + kMeasurementVariance,
             mNow);
    }
  }
};

// Guards against estimating the mean instead of the present load: the
// difference would be attributed to interference.
TEST(UtilizationFilter, TracksAnOscillatingLoad)
{
  Observe(Seconds(3));
  for (int i = 0; i < 50; ++i) {
    Observe(kInterval);
    DOUBLES_EQUAL(UtilizationAt(mNow), mFilter.mUtilization, 0.03);
  }
}

// Guards against reacting only after the load has risen, because reports are
// late.
TEST(UtilizationFilter, ForecastsARisingLoad)
{
  Observe(Millis(10400)); // The load has just begun to rise.
  const Millis ahead(700);
  DOUBLES_EQUAL(
    UtilizationAt(mNow + ahead), MaxUtilizationWithin(mFilter, ahead), 0.06);
}

// Guards against extrapolating an old rate of change, and against too much
// confidence in an old estimate.
TEST(UtilizationFilter, IncreasesTheVarianceWithoutObservations)
{
  Observe(Seconds(5));
  const UtilizationFilter later = Predicted(mFilter, mNow + Seconds(20));
  CHECK_TRUE(later.mUtilizationVariance > 10 * mFilter.mUtilizationVariance);
  CHECK_TRUE(later.mUtilization >= 0 && later.mUtilization <= 1);
  DOUBLES_EQUAL(0, later.mRatePerSecond, 1e-9);
}
