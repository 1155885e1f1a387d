#pragma once

#include <LibPlacement/ResourceVector.h>

namespace paddle {

/// Estimated usage of one team's tasks of one class, as a multiple of what they
/// declare: a running quantile of the reported usage, in which old reports
/// count less and less.
struct UsageModel
{
  double mCoresRatio = 1;
  double mMemoryRatio = 1;
};

/// The quantile that is estimated: the share of reports below the estimate. The
/// median is enough, because a reservation also grows with its own task's
/// usage. With 0.95 and declarations that are wrong by a factor of up to five
/// either way, reservations are five times too large, and batch throughput
/// falls to half of that of the first-fit policy.
inline constexpr double kUsageQuantile = 0.5;

/// The largest change of an estimate by one report, relative to the estimate.
/// It keeps a single wrong measurement from blocking or overloading a worker.
inline constexpr double kMaxUsageStepRatio = 0.25;

/// Moves the estimate towards the usage in one report.
void
UpdateUsageModel(UsageModel& aModel,
                 const ResourceVector& aDeclared,
                 const ResourceVector& aUsed);

/// @return the usage that is expected of a task that declares @p aDeclared
ResourceVector
ExpectedUsage(const UsageModel& aModel, const ResourceVector& aDeclared);

} // namespace paddle
