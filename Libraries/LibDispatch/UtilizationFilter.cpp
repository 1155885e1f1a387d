#include <LibDispatch/UtilizationFilter.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// Spectral density of the load's acceleration: load that swings by half around
/// 0.42 within ten seconds changes its rate by up to 0.08 a second.
constexpr double kProcessNoiseDensity = 0.07 * 0.07;
/// The spread of a track that is not observed grows no further than this.
constexpr double kMaxUtilizationVariance = 0.2 * 0.2;
constexpr double kMaxRateVariance = 0.12 * 0.12;
/// Rates are trusted for this long without an observation.
constexpr double kMaxTrendSeconds = 1.5;
constexpr double kMaxUtilization = 0.95;

} // namespace

UtilizationFilter
Predicted(const UtilizationFilter& aTrack, MonotonicTime aNow)
{
  UtilizationFilter track = aTrack;
  if (!aTrack.mObserved || aNow <= aTrack.mAt) {
    return track;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - aTrack.mAt).count();
  const double trend = std::min(elapsed, kMaxTrendSeconds);
  track.mUtilization = std::clamp(
    aTrack.mUtilization + aTrack.mRatePerSecond * trend, 0.0, kMaxUtilization);
  if (elapsed > kMaxTrendSeconds) {
    track.mRatePerSecond = 0;
  }
  track.mUtilizationVariance =
    std::min(kMaxUtilizationVariance,
             aTrack.mUtilizationVariance + 2 * elapsed * aTrack.mCovariance +
               elapsed * elapsed * aTrack.mRateVariance +
               kProcessNoiseDensity * elapsed * elapsed * elapsed / 3);
  track.mCovariance = aTrack.mCovariance + elapsed * aTrack.mRateVariance +
                      kProcessNoiseDensity * elapsed * elapsed / 2;
  track.mRateVariance = std::min(
    kMaxRateVariance, aTrack.mRateVariance + kProcessNoiseDensity * elapsed);
  // The caps must leave a valid covariance.
  const double most =
    0.95 * std::sqrt(track.mUtilizationVariance * track.mRateVariance);
  track.mCovariance = std::clamp(track.mCovariance, -most, most);
  track.mAt = aNow;
  return track;
}

void
Update(UtilizationFilter& aTrack,
       double aInnovation,
       double aInnovationVariance,
       MonotonicTime aNow)
{
  aTrack.mAt = aNow;
  aTrack.mObserved = true;
  const double levelGain = aTrack.mUtilizationVariance / aInnovationVariance;
  const double rateGain = aTrack.mCovariance / aInnovationVariance;
  aTrack.mUtilization = std::clamp(
    aTrack.mUtilization + levelGain * aInnovation, 0.0, kMaxUtilization);
  aTrack.mRatePerSecond += rateGain * aInnovation;
  aTrack.mRateVariance -= rateGain * aTrack.mCovariance;
  aTrack.mCovariance *= 1 - levelGain;
  aTrack.mUtilizationVariance *= 1 - levelGain;
}

double
MaxUtilizationWithin(const UtilizationFilter& aTrack, Millis aHorizon)
{
  const double seconds = std::chrono::duration<double>(aHorizon).count();
  return std::min(kMaxUtilization,
                  aTrack.mUtilization +
                    std::max(0.0, aTrack.mRatePerSecond) * seconds);
}

} // namespace paddle::dispatch
