#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace paddle::soak {

struct Options
{
  std::uint64_t mSeed = 1;
  int mSeconds = 60; ///< Of trouble; a calm follows.
  int mNodes = 3;
  int mRunners = 12;
  std::vector<std::string> mTrouble; ///< Names of kinds.
  std::string mFolder = "soak";
};

/// A kind of trouble.
struct TroubleKind
{
  const char* mName;
  const char* mText;
  int mPauseMs; ///< Mean time between two events; 0: there are none.
};

/// Late orders are also carried out by a process that has restarted since. The
/// platform may not do this, so that it is off by default.
inline constexpr const char* kOutlive = "outlive";

inline constexpr TroubleKind kTroubleKinds[] = {
  { "late", "orders get no answer and are carried out late", 3000 },
  { "silent", "a runner neither reads nor answers, or loses answers", 3000 },
  { "power", "a runner's host loses power", 3500 },
  { "reset", "connections of a runner or of the store are reset", 4500 },
  { "clock", "a runner's clock is slow, or set back at a restart", 6000 },
  { "stop", "a node gets SIGSTOP, and SIGCONT later", 7000 },
  { "kill", "a node gets SIGKILL and is started again", 9000 },
  { "term", "a node gets SIGTERM and is started again", 12000 },
  { "hup", "a node gets SIGHUP", 12000 },
  { "store", "the store is silent, unavailable, slow or loses answers", 9000 },
  { "drain", "a runner drains and leaves, and another joins", 8000 },
  { kOutlive, "late orders reach restarted processes (off by default)", 0 },
};

/// Reads the options.
/// @return the exit status if the program is to end, otherwise -1
int
ParseOptions(int aCount, const char* const* aArguments, Options& aOptions);

} // namespace paddle::soak
