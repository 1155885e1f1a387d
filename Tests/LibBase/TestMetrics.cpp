#include <string>

#include <LibBase/Metrics.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(Metrics){};

// Guards against quantiles that are wrong by more than the 5% width of a
// bucket.
TEST(Metrics, ReportsQuantilesWithinOneBucket)
{
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("latency", Micros(i * 10));
  }
  const auto median = metrics.Quantile("latency", 0.5).count();
  CHECK_TRUE(median >= 5000 && median <= 5250);
  const auto tail = metrics.Quantile("latency", 0.99).count();
  CHECK_TRUE(tail >= 9900 && tail <= 10395);
}
