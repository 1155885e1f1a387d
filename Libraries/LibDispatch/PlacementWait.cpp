#include <LibDispatch/PlacementWait.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace paddle::dispatch {

namespace {

/// Time after which an end counts 1/e times as much for the rate at which room
/// becomes free.
constexpr std::chrono::duration<double> kRateMemory{ 5.0 };
/// Shortest span over which a rate is taken, because a runner reports several
/// ends at once.
constexpr MonotonicTime::duration kShortestSpan = Millis(50);
/// Completed tasks of a step from which on their durations correct its
/// estimate.
constexpr std::size_t kMinDurations = 3;
/// Bounds that keep numbers of tasks and times within their types. Estimates
/// are the clients' own.
constexpr std::int64_t kMostTasks = 1'000'000;
constexpr double kLongestMillis = 86'400'000;

Millis
ToMillis(double aMillis)
{
  return Millis(
    static_cast<Millis::rep>(std::clamp(aMillis, 0.0, kLongestMillis)));
}

} // namespace

WaitDecision
DecideWait(const PlaceWait& aWait,
           const WaitInputs& aInputs,
           MonotonicTime aNow)
{
  WaitDecision decision;
  if (aInputs.mPlaceLost) {
    decision.mCause = WaitEnd::PlaceLost;
    return decision;
  }
  const bool waiting = aWait.Active();
  const MonotonicTime since = waiting ? aWait.mSince : aNow;
  decision.mUntil = since + aInputs.mWorth;
  if (waiting && aWait.mUntil <= decision.mUntil) {
    decision.mUntil = aWait.mUntil;
    decision.mDeadlineFirst = aWait.mDeadlineFirst;
  }
  // Later than that, the job is late if the task starts elsewhere, so that the
  // deadline is no reason against the wait. While it is in time there, it is in
  // time after a wait that is shorter than the gain as well.
  if (aNow <= aInputs.mLatestStart && aInputs.mLatestStart < decision.mUntil) {
    decision.mUntil = aInputs.mLatestStart;
    decision.mDeadlineFirst = true;
  }
  if (aNow >= decision.mUntil) {
    decision.mCause =
      decision.mDeadlineFirst ? WaitEnd::Deadline : WaitEnd::Expired;
    return decision;
  }
  decision.mWait = !aWait.mOver && aInputs.mExpectedWait &&
                   *aInputs.mExpectedWait < aInputs.mWorth;
  return decision;
}

Millis
GainOf(Millis aEstimate, double aFactor)
{
  return ToMillis(static_cast<double>(aEstimate.count()) * (aFactor - 1));
}

Millis
WorthOfWait(Millis aGain, double aShareInUse)
{
  return ToMillis(static_cast<double>(aGain.count()) * aShareInUse *
                  aShareInUse);
}

Millis
CorrectedEstimate(Millis aEstimate, std::span<const Millis> aDurations)
{
  if (aDurations.size() < kMinDurations) {
    return aEstimate;
  }
  std::vector<Millis> sorted(aDurations.begin(), aDurations.end());
  const auto middle =
    sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

Resources
RoomFor(const Room& aRoom, Reservation aReservation)
{
  Resources room = aRoom.mForReserved;
  if (aReservation == Reservation::BestEffort) {
    room.mMilliCores = aRoom.mBestEffortMilliCores;
  }
  return room;
}

std::int64_t
TasksThatFit(const Resources& aFree, const Resources& aDemand)
{
  std::int64_t most = kMostTasks;
  const auto limit = [&](std::int64_t aAvailable, std::int64_t aNeeded) {
    if (aNeeded > 0) {
      most = std::min(most, std::max<std::int64_t>(0, aAvailable) / aNeeded);
    }
  };
  limit(aFree.mMilliCores, aDemand.mMilliCores);
  limit(aFree.mMemoryMb, aDemand.mMemoryMb);
  limit(aFree.mAccelerators, aDemand.mAccelerators);
  return most;
}

void
AddRoomEnd(RoomEnds& aEnds, const RoomEnd& aEnd)
{
  if (aEnds.mEnds.size() == kMaxRoomEnds) {
    aEnds.mEnds.pop_front();
  }
  aEnds.mEnds.push_back(aEnd);
}

double
RoomRate(const RoomEnds& aEnds,
         Reservation aReservation,
         const Resources& aDemand,
         MonotonicTime aNow)
{
  double tasks = 0;
  for (const RoomEnd& end : aEnds.mEnds) {
    const Resources after = RoomFor(end.mAfter, aReservation);
    Resources before = after;
    before -= RoomFor(end.mFreed, aReservation);
    const std::int64_t more =
      TasksThatFit(after, aDemand) - TasksThatFit(before, aDemand);
    tasks +=
      static_cast<double>(more) * std::exp(-((aNow - end.mAt) / kRateMemory));
  }
  // With the largest number of ends, earlier ones are not known.
  const double known =
    aEnds.mEnds.size() < kMaxRoomEnds
      ? 1
      : 1 - std::exp(-(std::max(kShortestSpan, aNow - aEnds.mEnds.front().mAt) /
                       kRateMemory));
  return tasks / (known * kRateMemory.count());
}

std::optional<Millis>
ExpectedWait(double aTasks,
             double aRoomRate,
             std::optional<MonotonicTime> aEarliestEnd,
             MonotonicTime aNow)
{
  if (aRoomRate <= 0 || !aEarliestEnd) {
    return {};
  }
  constexpr double kMillisPerSecond = 1000;
  return std::max(ToMillis(aTasks * kMillisPerSecond / aRoomRate),
                  std::chrono::duration_cast<Millis>(*aEarliestEnd - aNow));
}

} // namespace paddle::dispatch
