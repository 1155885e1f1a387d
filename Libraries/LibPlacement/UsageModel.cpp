#include <LibPlacement/UsageModel.h>

#include <algorithm>
#include <cmath>

namespace paddle {

namespace {

constexpr double kLargerSide = std::max(kUsageQuantile, 1 - kUsageQuantile);
constexpr double kStepUp = kLargestUsageStep * kUsageQuantile / kLargerSide;
constexpr double kStepDown =
  kLargestUsageStep * (1 - kUsageQuantile) / kLargerSide;

/// A quantile estimate is in balance when the up steps of the few reports
/// above it equal the down steps of the many below it.
double
Moved(double aEstimate, std::int64_t aDeclared, std::int64_t aUsed)
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

std::int64_t
Scaled(std::int64_t aDeclared, double aFactor)
{
  return static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aDeclared) * aFactor));
}

} // namespace

void
Learn(UsageModel& aModel, const Amount& aDeclared, const Amount& aUsed)
{
  aModel.mCores =
    Moved(aModel.mCores, aDeclared.mMilliCores, aUsed.mMilliCores);
  aModel.mMemory = Moved(aModel.mMemory, aDeclared.mMemoryMb, aUsed.mMemoryMb);
}

Amount
Expected(const UsageModel& aModel, const Amount& aDeclared)
{
  return { Scaled(aDeclared.mMilliCores, aModel.mCores),
           Scaled(aDeclared.mMemoryMb, aModel.mMemory),
           aDeclared.mAccelerators };
}

} // namespace paddle
