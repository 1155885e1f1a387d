#include <LibDispatch/UtilizationFilter.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// Spectral density of the process noise, which drives the rate of change. A
/// load that varies by half around a utilization of 0.42 within ten seconds
/// changes its rate by up to 0.08 per second.
constexpr double kProcessNoiseDensity = 0.07 * 0.07;
/// Limits of the variances while there are no observations.
constexpr double kMaxUtilizationVariance = 0.2 * 0.2;
constexpr double kMaxRateVariance = 0.12 * 0.12;
/// Without observations, the rate of change is extrapolated for this time only.
constexpr double kMaxTrendSeconds = 1.5;
/// Highest utilization that is estimated.
constexpr double kMaxUtilization = 0.95;

} // namespace

UtilizationFilter
Predicted(const UtilizationFilter& aFilter, MonotonicTime aNow)
{
  UtilizationFilter filter = aFilter;
  if (!aFilter.mObserved || aNow <= aFilter.mAt) {
    return filter;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - aFilter.mAt).count();
  const double trend = std::min(elapsed, kMaxTrendSeconds);
  filter.mUtilization =
    std::clamp(aFilter.mUtilization + aFilter.mRatePerSecond * trend,
               0.0,
               kMaxUtilization);
  if (elapsed > kMaxTrendSeconds) {
    filter.mRatePerSecond = 0;
  }
  filter.mUtilizationVariance =
    std::min(kMaxUtilizationVariance,
             aFilter.mUtilizationVariance + 2 * elapsed * aFilter.mCovariance +
               elapsed * elapsed * aFilter.mRateVariance +
               kProcessNoiseDensity * elapsed * elapsed * elapsed / 3);
  filter.mCovariance = aFilter.mCovariance + elapsed * aFilter.mRateVariance +
                       kProcessNoiseDensity * elapsed * elapsed / 2;
  filter.mRateVariance = std::min(
    kMaxRateVariance, aFilter.mRateVariance + kProcessNoiseDensity * elapsed);
  // The limits of the variances must leave a positive definite matrix.
  const double limit =
    0.95 * std::sqrt(filter.mUtilizationVariance * filter.mRateVariance);
  filter.mCovariance = std::clamp(filter.mCovariance, -limit, limit);
  filter.mAt = aNow;
  return filter;
}

void
Update(UtilizationFilter& aFilter,
       double aInnovation,
       double aInnovationVariance,
       MonotonicTime aNow)
{
  aFilter.mAt = aNow;
  aFilter.mObserved = true;
  const double utilizationGain =
    aFilter.mUtilizationVariance / aInnovationVariance;
  const double rateGain = aFilter.mCovariance / aInnovationVariance;
  aFilter.mUtilization = std::clamp(
    aFilter.mUtilization + utilizationGain * aInnovation, 0.0, kMaxUtilization);
  aFilter.mRatePerSecond += rateGain * aInnovation;
  aFilter.mRateVariance -= rateGain * aFilter.mCovariance;
  aFilter.mCovariance *= 1 - utilizationGain;
  aFilter.mUtilizationVariance *= 1 - utilizationGain;
}

double
MaxUtilizationWithin(const UtilizationFilter& aFilter, Millis aHorizon)
{
  const double seconds = std::chrono::duration<double>(aHorizon).count();
  return std::min(kMaxUtilization,
                  aFilter.mUtilization +
                    std::max(0.0, aFilter.mRatePerSecond) * seconds);
}

} // namespace paddle::dispatch
