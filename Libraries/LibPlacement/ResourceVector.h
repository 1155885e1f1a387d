#pragma once

#include <algorithm>
#include <cstdint>

namespace paddle {

/// Amounts of each kind of resource. They are integers, so that sums are exact
/// and rounding never commits a worker beyond its capacity.
struct ResourceVector
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  bool operator==(const ResourceVector&) const = default;

  ResourceVector& operator+=(const ResourceVector& aOther)
  {
    mMilliCores += aOther.mMilliCores;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  ResourceVector& operator-=(const ResourceVector& aOther)
  {
    mMilliCores -= aOther.mMilliCores;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  friend ResourceVector operator+(ResourceVector aLeft,
                                  const ResourceVector& aRight)
  {
    return aLeft += aRight;
  }
  friend ResourceVector operator-(ResourceVector aLeft,
                                  const ResourceVector& aRight)
  {
    return aLeft -= aRight;
  }
};

/// @return whether @p aNeeded fits into @p aFree in every resource
inline bool
Fits(const ResourceVector& aNeeded, const ResourceVector& aFree)
{
  return aNeeded.mMilliCores <= aFree.mMilliCores &&
         aNeeded.mMemoryMb <= aFree.mMemoryMb &&
         aNeeded.mAccelerators <= aFree.mAccelerators;
}

/// @return the larger of the two amounts for each resource
inline ResourceVector
ElementwiseMax(const ResourceVector& aLeft, const ResourceVector& aRight)
{
  return { std::max(aLeft.mMilliCores, aRight.mMilliCores),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// @return the smaller of the two amounts for each resource
inline ResourceVector
ElementwiseMin(const ResourceVector& aLeft, const ResourceVector& aRight)
{
  return { std::min(aLeft.mMilliCores, aRight.mMilliCores),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// @return the dominant share as in dominant resource fairness: the largest
///         ratio of @p aPart to @p aWhole over all resources. A resource of
///         which @p aWhole has nothing counts as 0.
inline double
DominantShare(const ResourceVector& aPart, const ResourceVector& aWhole)
{
  const auto share = [](std::int64_t aAmount, std::int64_t aTotal) {
    return aTotal > 0
             ? static_cast<double>(aAmount) / static_cast<double>(aTotal)
             : 0.0;
  };
  return std::max({ share(aPart.mMilliCores, aWhole.mMilliCores),
                    share(aPart.mMemoryMb, aWhole.mMemoryMb),
                    share(aPart.mAccelerators, aWhole.mAccelerators) });
}

} // namespace paddle
