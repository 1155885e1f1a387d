#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>

#include <LibDispatch/JobSpec.h>

namespace paddle::dispatch {

// How long a task waits for a runner in its preferred rack: the one that holds
// its data, or the one in which the other tasks of its step run. Elsewhere the
// task takes longer by a factor that the settings state. The rules are in
// docs/design/placement-wait.md.

/// Why a wait has ended.
enum class WaitEnd : std::uint8_t
{
  Placed,        ///< The task was started in the preferred rack.
  Expired,       ///< It has waited for as long as the wait may cost.
  Deadline,      ///< Its job would be late if it waited for longer.
  PlaceLost,     ///< No runner in the rack can take it any more.
  NotWorthwhile, ///< By a new estimate, the wait costs more than it gains.
  Idle           ///< Its job has had nothing running for too long.
};

/// Names of the causes in the log, in the order of the enum.
inline constexpr std::array<std::string_view, 6> kWaitEndNames = {
  "placed", "expired", "deadline", "place_lost", "not_worthwhile", "idle"
};

/// State of a task's wait. A task, or the whole of a gang, waits once.
struct PlaceWait
{
  MonotonicTime mSince;        ///< The zero time if no wait has begun.
  MonotonicTime mUntil;        ///< The limit, which only shrinks.
  bool mDeadlineFirst = false; ///< Whether the deadline decided about mUntil.
  bool mOver = false;          ///< The task takes any place from now on.

  [[nodiscard]] bool Active() const
  {
    return mSince != MonotonicTime{} && !mOver;
  }
};

/// What a decision about a wait depends on.
struct WaitInputs
{
  /// Time that the task saves in the preferred rack.
  Millis mGain{ 0 };
  Millis mWorth{ 0 }; ///< The longest wait that pays, see WorthOfWait().
  /// Time until the task can probably start there; nothing if it is unknown.
  std::optional<Millis> mExpectedWait{};
  /// Latest time of a start elsewhere with which the job ends by its soft
  /// deadline.
  MonotonicTime mLatestStart = MonotonicTime::max();
  bool mPlaceLost = false;
};

/// Whether a task waits, and until when; or why it does not.
struct WaitDecision
{
  bool mWait = false;
  MonotonicTime mUntil{};
  bool mDeadlineFirst = false;
  WaitEnd mCause = WaitEnd::NotWorthwhile; ///< Only set if it does not wait.
};

/// Decides whether a task waits, or goes on waiting, for its preferred rack. It
/// is called when no runner there has room for the task.
WaitDecision
DecideWait(const PlaceWait& aWait,
           const WaitInputs& aInputs,
           MonotonicTime aNow);

/// @param aFactor ratio of the task's duration elsewhere to that in the
///                preferred rack
/// @return the time that a task saves there
Millis
GainOf(Millis aEstimate, double aFactor);

/// A task that waits delays those that will wait behind it, while the processor
/// time that it saves is of use to others only where processors are scarce.
/// With the whole gain, tasks of a busy rack in an otherwise idle service took
/// up to a tenth longer than without waiting (docs/design/placement-wait.md).
/// @param aShareInUse share of the processors in use, from 0 to 1
/// @return the longest wait that pays
Millis
WorthOfWait(Millis aGain, double aShareInUse);

/// Number of durations of a step's tasks that are kept.
inline constexpr std::size_t kMaxDurations = 15;

/// @param aDurations those of completed tasks of the step, as they are or would
///                   be in the preferred rack; all have the same estimate
/// @return the estimate of a task, corrected by these from three tasks on
Millis
CorrectedEstimate(Millis aEstimate, std::span<const Millis> aDurations);

/// Free capacity of a runner.
struct Room
{
  Resources mForReserved; ///< For tasks that reserve processors.
  std::int64_t mBestEffortMilliCores = 0; ///< For best-effort tasks.
};

/// @return the capacity that tasks of this kind can use
Resources
RoomFor(const Room& aRoom, Reservation aReservation);

/// @return the number of tasks that fit into the free capacity
std::int64_t
TasksThatFit(const Resources& aFree, const Resources& aDemand);

/// End of a run, and the capacity of its runner that was free just after it.
struct RoomEnd
{
  MonotonicTime mAt;
  Room mAfter;
  Room mFreed; ///< What the run had used.
};

/// Latest ends of runs on the runners of a rack that can take tasks.
struct RoomEnds
{
  std::deque<RoomEnd> mEnds; ///< At most kMaxRoomEnds, the oldest first.
};

inline constexpr std::size_t kMaxRoomEnds = 64;

/// Adds the end of a run.
void
AddRoomEnd(RoomEnds& aEnds, const RoomEnd& aEnd);

/// @return the rate at which room for a task of this size has become free in
///         the last seconds, in tasks a second; recent ends count more
double
RoomRate(const RoomEnds& aEnds,
         Reservation aReservation,
         const Resources& aDemand,
         MonotonicTime aNow);

/// @param aTasks       number of tasks that need room: this one and those ahead
///                     of it
/// @param aEarliestEnd expected end of the run in the rack that ends first;
///                     nothing if no run there will end
/// @return the time until the last of the tasks can start there, or nothing if
///         it is unknown
std::optional<Millis>
ExpectedWait(double aTasks,
             double aRoomRate,
             std::optional<MonotonicTime> aEarliestEnd,
             MonotonicTime aNow);

} // namespace paddle::dispatch
