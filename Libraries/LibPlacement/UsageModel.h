#pragma once

#include <LibPlacement/Amount.h>

namespace paddle {

/// Learned use of one team's tasks of one class, as a multiple of what they
/// declare: a quantile that follows the reports and forgets old ones.
struct UsageModel
{
  double mCores = 1;
  double mMemory = 1;
};

/// The share of reports that should lie below the estimate. The median,
/// because a reservation grows with its task's own use: at 0.95, declarations
/// that were off by up to five times either way reserved five times too much
/// and cut batch throughput to half of the baseline's.
inline constexpr double kUsageQuantile = 0.5;

/// One report moves an estimate by at most this share of it, so a single
/// wrong measurement can't block a worker or overload it.
inline constexpr double kLargestUsageStep = 0.25;

/// Moves the estimate towards one report.
void
Learn(UsageModel& aModel, const Amount& aDeclared, const Amount& aUsed);

/// @return what a task that declares @p aDeclared is expected to use
Amount
Expected(const UsageModel& aModel, const Amount& aDeclared);

} // namespace paddle
