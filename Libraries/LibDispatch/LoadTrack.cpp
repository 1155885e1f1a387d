#include <LibDispatch/LoadTrack.h>

#include <algorithm>
#include <cmath>

namespace paddle::dispatch {

namespace {

/// Spectral density of the load's acceleration: load that swings by half around
/// 0.42 within ten seconds changes its rate by up to 0.08 a second.
constexpr double kAccelerationDensity = 0.07 * 0.07;
/// The spread of a track that is not observed grows no further than this.
constexpr double kMostLevelVariance = 0.2 * 0.2;
constexpr double kMostRateVariance = 0.12 * 0.12;
/// Rates are trusted for this long without an observation.
constexpr double kLongestTrendSeconds = 1.5;
constexpr double kHighestLevel = 0.95;

} // namespace

LoadTrack
Advanced(const LoadTrack& aTrack, MonotonicTime aNow)
{
  LoadTrack track = aTrack;
  if (!aTrack.mObserved || aNow <= aTrack.mAt) {
    return track;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - aTrack.mAt).count();
  const double trend = std::min(elapsed, kLongestTrendSeconds);
  track.mLevel =
    std::clamp(aTrack.mLevel + aTrack.mRate * trend, 0.0, kHighestLevel);
  if (elapsed > kLongestTrendSeconds) {
    track.mRate = 0;
  }
  track.mLevelVariance =
    std::min(kMostLevelVariance,
             aTrack.mLevelVariance + 2 * elapsed * aTrack.mCovariance +
               elapsed * elapsed * aTrack.mRateVariance +
               kAccelerationDensity * elapsed * elapsed * elapsed / 3);
  track.mCovariance = aTrack.mCovariance + elapsed * aTrack.mRateVariance +
                      kAccelerationDensity * elapsed * elapsed / 2;
  track.mRateVariance = std::min(
    kMostRateVariance, aTrack.mRateVariance + kAccelerationDensity * elapsed);
  // The caps must leave a valid covariance.
  const double most =
    0.95 * std::sqrt(track.mLevelVariance * track.mRateVariance);
  track.mCovariance = std::clamp(track.mCovariance, -most, most);
  track.mAt = aNow;
  return track;
}

void
Correct(LoadTrack& aTrack, double aSurprise, double aSpread, MonotonicTime aNow)
{
  aTrack.mAt = aNow;
  aTrack.mObserved = true;
  const double levelGain = aTrack.mLevelVariance / aSpread;
  const double rateGain = aTrack.mCovariance / aSpread;
  aTrack.mLevel =
    std::clamp(aTrack.mLevel + levelGain * aSurprise, 0.0, kHighestLevel);
  aTrack.mRate += rateGain * aSurprise;
  aTrack.mRateVariance -= rateGain * aTrack.mCovariance;
  aTrack.mCovariance *= 1 - levelGain;
  aTrack.mLevelVariance *= 1 - levelGain;
}

double
LevelAhead(const LoadTrack& aTrack, Millis aHorizon)
{
  const double seconds = std::chrono::duration<double>(aHorizon).count();
  return std::min(kHighestLevel,
                  aTrack.mLevel + std::max(0.0, aTrack.mRate) * seconds);
}

} // namespace paddle::dispatch
