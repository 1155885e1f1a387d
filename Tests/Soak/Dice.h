#pragma once

#include <cstdint>
#include <mutex>
#include <random>

namespace paddle::soak {

/// A source of random numbers, shared by threads. All seeds but the first are
/// drawn from another one.
class Dice
{
public:
  explicit Dice(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  void Seed(std::uint64_t aSeed)
  {
    const std::lock_guard lock(mMutex);
    mEngine.seed(aSeed);
  }

  /// @return a whole number of the range, both ends included
  std::int64_t Between(std::int64_t aLow, std::int64_t aHigh)
  {
    const std::lock_guard lock(mMutex);
    // Not a standard distribution: their results differ between libraries.
    const auto size = static_cast<std::uint64_t>(aHigh - aLow) + 1;
    return aLow + static_cast<std::int64_t>(mEngine() % size);
  }
  bool Chance(int aPercent) { return Between(1, 100) <= aPercent; }

private:
  std::mutex mMutex;
  std::mt19937_64 mEngine;
};

} // namespace paddle::soak
