#pragma once

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Kalman filter that estimates the utilization that the requests to a serving
/// step cause without interference, and its rate of change. The tasks of a step
/// share the load of its users, so each step has one filter.
struct UtilizationFilter
{
  double mUtilization = 0.45; ///< From 0 to 1.
  double mRatePerSecond = 0;  ///< Change of the utilization per second.
  double mUtilizationVariance = 0.2 * 0.2;
  double mRateVariance = 0.1 * 0.1;
  double mCovariance = 0; ///< Of the utilization and its rate of change.
  MonotonicTime mAt;      ///< Time for which the estimate holds.
  bool mObserved = false; ///< Whether there has been any observation.
};

/// Prediction step of the filter.
/// @return the estimate for a later time, with a larger variance
UtilizationFilter
Predicted(const UtilizationFilter& aFilter, MonotonicTime aNow);

/// Update step of the filter. The filter must have been predicted to the time
/// of the observation.
/// @param aInnovation         observed minus expected utilization
/// @param aInnovationVariance variance of that difference
void
Update(UtilizationFilter& aFilter,
       double aInnovation,
       double aInnovationVariance,
       MonotonicTime aNow);

/// @return the highest utilization that is forecast from the time of the
///         estimate until @p aHorizon later
double
MaxUtilizationWithin(const UtilizationFilter& aFilter, Millis aHorizon);

} // namespace paddle::dispatch
