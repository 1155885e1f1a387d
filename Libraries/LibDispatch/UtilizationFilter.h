#pragma once

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Estimate of the utilization that a serving step's own requests cause. All
/// its tasks share their users' load, so one track serves them all. It is a
/// Kalman filter over the utilization and its rate of change.
struct UtilizationFilter
{
  double mUtilization = 0.45; ///< Utilization, 0 to 1.
  double mRatePerSecond = 0;  ///< Change of the utilization in a second.
  double mUtilizationVariance = 0.2 * 0.2;
  double mRateVariance = 0.1 * 0.1;
  double mCovariance = 0;
  MonotonicTime mAt;
  bool mObserved = false;
};

/// @return the estimate carried forward to a later time, with a wider spread
UtilizationFilter
Predicted(const UtilizationFilter& aTrack, MonotonicTime aNow);

/// Corrects a track that has been advanced to the time of an observation.
/// @param aInnovation observed minus expected utilization
/// @param aInnovationVariance   variance of that difference
void
Update(UtilizationFilter& aTrack,
       double aInnovation,
       double aInnovationVariance,
       MonotonicTime aNow);

/// @return the highest utilization expected until @p aHorizon after the
///         estimate's time
double
MaxUtilizationWithin(const UtilizationFilter& aTrack, Millis aHorizon);

} // namespace paddle::dispatch
