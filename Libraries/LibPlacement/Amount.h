#pragma once

#include <algorithm>
#include <cstdint>

namespace paddle {

/// An amount of resources in whole units, so that sums are exact and a
/// worker is never committed beyond its capacity by rounding.
struct Amount
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  bool operator==(const Amount&) const = default;

  Amount& operator+=(const Amount& aOther)
  {
    mMilliCores += aOther.mMilliCores;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  Amount& operator-=(const Amount& aOther)
  {
    mMilliCores -= aOther.mMilliCores;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  friend Amount operator+(Amount aLeft, const Amount& aRight)
  {
    return aLeft += aRight;
  }
  friend Amount operator-(Amount aLeft, const Amount& aRight)
  {
    return aLeft -= aRight;
  }
};

/// @return whether @p aNeeded fits into @p aFree in every resource
inline bool
Fits(const Amount& aNeeded, const Amount& aFree)
{
  return aNeeded.mMilliCores <= aFree.mMilliCores &&
         aNeeded.mMemoryMb <= aFree.mMemoryMb &&
         aNeeded.mAccelerators <= aFree.mAccelerators;
}

/// @return the larger of both in each resource
inline Amount
Largest(const Amount& aLeft, const Amount& aRight)
{
  return { std::max(aLeft.mMilliCores, aRight.mMilliCores),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// @return the smaller of both in each resource
inline Amount
Smallest(const Amount& aLeft, const Amount& aRight)
{
  return { std::min(aLeft.mMilliCores, aRight.mMilliCores),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// @return the largest of the shares that @p aPart has of @p aWhole;
///         resources that the whole lacks do not count
inline double
DominantShare(const Amount& aPart, const Amount& aWhole)
{
  const auto share = [](std::int64_t aOne, std::int64_t aAll) {
    return aAll > 0 ? static_cast<double>(aOne) / static_cast<double>(aAll)
                    : 0.0;
  };
  return std::max({ share(aPart.mMilliCores, aWhole.mMilliCores),
                    share(aPart.mMemoryMb, aWhole.mMemoryMb),
                    share(aPart.mAccelerators, aWhole.mAccelerators) });
}

} // namespace paddle
