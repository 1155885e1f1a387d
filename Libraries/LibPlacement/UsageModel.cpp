#include <LibPlacement/UsageModel.h>

#include <algorithm>
#include <cmath>

namespace paddle {

namespace {

/// The greater weight of the two directions, which scales the larger step to
/// kMaxUsageStepRatio.
constexpr double kLargerWeight = std::max(kUsageQuantile, 1 - kUsageQuantile);
constexpr double kStepUp = kMaxUsageStepRatio * kUsageQuantile / kLargerWeight;
constexpr double kStepDown =
  kMaxUsageStepRatio * (1 - kUsageQuantile) / kLargerWeight;

/// Moves a quantile estimate by one report. The sizes of the steps up and down
/// are chosen so that they cancel out when the estimate is at the quantile: at
/// a high quantile, few large steps up equal many small steps down.
/// @return the new estimate
double
UpdatedEstimate(double aEstimate, std::int64_t aDeclared, std::int64_t aUsed)
{
  if (aDeclared <= 0) {
    return aEstimate;
  }
  const double sample =
    static_cast<double>(aUsed) / static_cast<double>(aDeclared);
  if (sample > aEstimate) {
    return std::min(sample, aEstimate * (1 + kStepUp));
  }
  return std::max(sample, aEstimate * (1 - kStepDown));
}

/// @return the product, rounded up
std::int64_t
Scaled(std::int64_t aDeclared, double aFactor)
{
  return static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aDeclared) * aFactor));
}

} // namespace

void
UpdateUsageModel(UsageModel& aModel,
                 const ResourceVector& aDeclared,
                 const ResourceVector& aUsed)
{
  aModel.mCoresRatio = UpdatedEstimate(
    aModel.mCoresRatio, aDeclared.mMilliCores, aUsed.mMilliCores);
  aModel.mMemoryRatio =
    UpdatedEstimate(aModel.mMemoryRatio, aDeclared.mMemoryMb, aUsed.mMemoryMb);
}

ResourceVector
ExpectedUsage(const UsageModel& aModel, const ResourceVector& aDeclared)
{
  return { Scaled(aDeclared.mMilliCores, aModel.mCoresRatio),
           Scaled(aDeclared.mMemoryMb, aModel.mMemoryRatio),
           aDeclared.mAccelerators };
}

} // namespace paddle
