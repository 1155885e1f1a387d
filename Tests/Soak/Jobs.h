#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Dice.h"

namespace paddle::soak {

/// A job that clients submit, and what they have seen of it.
struct Job
{
  std::string mId; ///< 16 hexadecimal digits, as in the names of its tasks.
  std::string mBody;
  std::int64_t mSubmitAtMs = 0; ///< After the begin of the play.
  bool mSpeculative = false;
  bool mGang = false;
  bool mLongRunning = false;
  bool mRepeated = false;
  std::int64_t mCancelAfterMs = -1;   ///< After acceptance; -1: never.
  std::int64_t mResubmitAfterMs = -1; ///< After acceptance; -1: never.
  // What the clients have seen.
  bool mAccepted = false;
  bool mCancelSent = false;
  std::int64_t mCompletedMs = 0; ///< When it was shown first; 0: never.
};

/// @return the jobs of a play, drawn with the dice
std::vector<Job>
DrawJobs(Dice& aDice, std::int64_t aForMs);

} // namespace paddle::soak
