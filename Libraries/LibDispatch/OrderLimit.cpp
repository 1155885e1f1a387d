#include <LibDispatch/OrderLimit.h>

#include <cmath>

namespace paddle::dispatch {

namespace {

/// Interval at which the limit adapts, several round trips between regions of
/// 24 ms and several ticks of 25 ms.
constexpr Millis kInterval{ 300 };
/// An interval in which no answer took less than this is congested. An answer
/// takes a round trip and a few milliseconds at the runner.
constexpr Millis kAnswerTarget{ 200 };
/// An interval in which every timer was later than this is congested.
constexpr Millis kLagTarget{ 60 };
constexpr double kDecrease = 0.7; ///< Factor after a congested interval.
/// Added after an interval without congestion in which the limit was reached:
/// a share of the limit, and at least two.
constexpr double kIncreaseShare = 0.1;
constexpr double kMinIncrease = 2;
constexpr double kMinLimit = 4;
constexpr double kMaxLimit = 512;
/// The stretch grows faster than it shrinks, so that renewals don't come back
/// all at once.
constexpr double kStretchGrowth = 1.5;
constexpr double kStretchDecay = 0.9;
constexpr double kMaxStretch = 5;
/// Pause after a placement pass, as a multiple of its time. Passes over 540
/// runners took a third of the time of a host of 0.069 cores with it.
constexpr int kPausePerPass = 2;
/// A pass in which the process was suspended seems to have taken seconds.
constexpr Millis kLongestPause{ 500 };
/// Weight of the latest interval in the means.
constexpr double kMeanWeight = 0.2;
/// From this share of intervals on, in which the limit has kept starts back,
/// the owner counts as overloaded. A burst that lasts for a second does not
/// reach it.
constexpr double kOverloadPressure = 0.6;

} // namespace

void
ObserveAnswer(OrderLimit& aLimit, Millis aTime)
{
  ++aLimit.mAnswers;
  aLimit.mShortestAnswer =
    std::min(aTime, aLimit.mShortestAnswer.value_or(aTime));
}

void
ObserveLag(OrderLimit& aLimit, Millis aLag)
{
  aLimit.mShortestLag = std::min(aLag, aLimit.mShortestLag.value_or(aLag));
}

void
UpdateOrderLimit(OrderLimit& aLimit,
                 std::uint32_t aUnderWay,
                 MonotonicTime aNow)
{
  if (aNow - aLimit.mIntervalBegan < kInterval) {
    return;
  }
  const bool late = aLimit.mShortestLag.value_or(Millis(0)) > kLagTarget;
  const bool slow = aLimit.mShortestAnswer.value_or(Millis(0)) > kAnswerTarget;
  if (late || slow) {
    // What is under way has made it late, not what the limit would allow.
    const double base = std::min(aLimit.mLimit, static_cast<double>(aUnderWay));
    aLimit.mLimit = std::max(kMinLimit, base * kDecrease);
  } else if (aLimit.mReached) {
    aLimit.mLimit = std::min(
      kMaxLimit,
      aLimit.mLimit + std::max(kMinIncrease, aLimit.mLimit * kIncreaseShare));
  }
  aLimit.mPollStretch =
    late ? std::min(kMaxStretch, aLimit.mPollStretch * kStretchGrowth)
         : std::max(1.0, aLimit.mPollStretch * kStretchDecay);
  const std::chrono::duration<double> seconds = aNow - aLimit.mIntervalBegan;
  const double rate = aLimit.mAnswers / seconds.count();
  aLimit.mAnswersPerS += kMeanWeight * (rate - aLimit.mAnswersPerS);
  aLimit.mPressure +=
    kMeanWeight * ((aLimit.mReached ? 1 : 0) - aLimit.mPressure);
  aLimit.mAnswers = 0;
  aLimit.mIntervalBegan = aNow;
  aLimit.mShortestAnswer.reset();
  aLimit.mShortestLag.reset();
  aLimit.mReached = false;
}

Millis
StartWait(const OrderLimit& aLimit, std::uint64_t aWaiting)
{
  if (aLimit.mPressure < kOverloadPressure) {
    return Millis(0);
  }
  constexpr double kMillisPerSecond = 1000;
  const double wait = static_cast<double>(aWaiting) * kMillisPerSecond /
                      std::max(1.0, aLimit.mAnswersPerS);
  return Millis(static_cast<Millis::rep>(wait));
}

Micros
PauseAfterPass(Micros aTook)
{
  return std::min(aTook * kPausePerPass, Micros(kLongestPause));
}

Millis
Stretched(const OrderLimit& aLimit, Millis aInterval, Millis aLongest)
{
  const auto stretched = static_cast<Millis::rep>(
    std::llround(static_cast<double>(aInterval.count()) * aLimit.mPollStretch));
  return std::max(aInterval, std::min(aLongest, Millis(stretched)));
}

} // namespace paddle::dispatch
