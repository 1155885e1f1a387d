#pragma once

#include <LibTime/Time.h>

namespace paddle {

/// Clocks of two processes may run at different rates, and a thread may be
/// delayed between two steps. Therefore the holder of a session regards its
/// term as ended 10% early, and another process waits 10% longer.
/// @return the time for which the holder relies on a term
constexpr Millis
HolderTerm(Millis aTerm)
{
  return aTerm * 9 / 10;
}

/// @return the time for which another process waits before it ends the session
constexpr Millis
TakeoverTerm(Millis aTerm)
{
  return aTerm * 11 / 10;
}

/// The margin of the wait before a takeover by others than the successor is
/// only 5%: delays of a few seconds matter little in it, and 10% of 660 s would
/// leave less than the ten minutes that an outage may last.
/// @return the time for which the holder relies on that wait
constexpr Millis
HolderTakeoverWait(Millis aWait)
{
  return aWait * 95 / 100;
}

} // namespace paddle
