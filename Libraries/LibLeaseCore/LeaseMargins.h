#pragma once

#include <LibTime/Time.h>

namespace paddle {

/// Clocks of two processes may run at different rates, and a thread may be
/// delayed between two steps. The holder ends its term 10% early, and a taker
/// waits 10% longer.
constexpr Millis
HolderTerm(Millis aTerm)
{
  return aTerm * 9 / 10;
}

constexpr Millis
TakerTerm(Millis aTerm)
{
  return aTerm * 11 / 10;
}

/// The long wait keeps a smaller margin: delays of a few seconds don't count
/// in it, and 10% of 660 s would leave less than the ten minutes that an
/// outage may last.
constexpr Millis
HolderLongWait(Millis aWait)
{
  return aWait * 95 / 100;
}

} // namespace paddle
