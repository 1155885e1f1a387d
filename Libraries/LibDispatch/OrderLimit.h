#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Load control of a shard's owner. It limits the start orders that may be
/// without an answer at the same time, and stretches the intervals of renewals,
/// by what the owner observes: how late its answers and its timers are. It
/// knows nothing of the host's processor or link.
///
/// Like CoDel, it takes the shortest delay of an interval, because single slow
/// runners must not count; the limit rises additively and falls
/// multiplicatively (AIMD, as TCP's congestion window).
struct OrderLimit
{
  double mLimit = 256;     ///< Start orders without an answer.
  double mPollStretch = 1; ///< Factor of the intervals of renewals.
  MonotonicTime mIntervalBegan;
  /// Shortest times in the present interval, of an order to its answer and by
  /// which a timer was late.
  std::optional<Millis> mShortestAnswer;
  std::optional<Millis> mShortestLag;
  /// Whether the limit has kept starts back in the present interval.
  bool mReached = false;
  /// Share of the latest intervals in which it has, from 0 to 1.
  double mPressure = 0;
  std::uint32_t mAnswers = 0; ///< In the present interval.
  double mAnswersPerS = 0;    ///< Mean of the latest intervals.
};

/// Takes over the time that a start order took until its answer, or until it
/// was given up.
void
ObserveAnswer(OrderLimit& aLimit, Millis aTime);

/// Takes over the time by which a timer of the process was late.
void
ObserveLag(OrderLimit& aLimit, Millis aLag);

/// Adapts the limit at the end of each interval.
/// @param aUnderWay start orders without an answer now
void
UpdateOrderLimit(OrderLimit& aLimit,
                 std::uint32_t aUnderWay,
                 MonotonicTime aNow);

/// @return the time that the owner needs to start @p aWaiting tasks; none if it
///         is not the limit that keeps starts back
Millis
StartWait(const OrderLimit& aLimit, std::uint64_t aWaiting);

/// @param aTook time that a placement pass took
/// @return the pause until the next one, which leaves time for answers and
///         renewals
Micros
PauseAfterPass(Micros aTook);

/// @return @p aInterval, stretched by the load, but at most @p aLongest
Millis
Stretched(const OrderLimit& aLimit, Millis aInterval, Millis aLongest);

} // namespace paddle::dispatch
