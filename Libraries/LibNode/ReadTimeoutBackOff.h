#pragma once

#include <cstdint>

namespace paddle {

/// How much longer than at first a repeated read waits for its answer. On a
/// full link the answer is behind those of other nodes: a read that is given up
/// after the same time at each repetition only adds another one.
struct ReadTimeoutBackOff
{
  /// Multiple of the first time-outs, from 1 to kMaxReadTimeoutFactor.
  std::uint32_t mFactor = 1;
};

/// The first windows of 18 answers take 1.9 s over 20 Mbit/s, and those of the
/// given up reads before them as long again. A full read then waits 4.8 s for
/// its first byte.
inline constexpr std::uint32_t kMaxReadTimeoutFactor = 4;

/// How a read has ended.
enum class ReadEnd
{
  Answered,
  Late,  ///< Its first or further bytes did not come in time.
  Broken ///< It was refused or cut, which says nothing about time-outs.
};

/// Updates the time-outs of the next read.
void
RecordReadEnd(ReadTimeoutBackOff& aBackOff, ReadEnd aEnd);

} // namespace paddle
