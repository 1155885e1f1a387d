#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace paddle::soak {

/// A kind of trouble.
struct TroubleKind
{
  const char* mName;
  const char* mText;
  bool mByDefault;
};

inline constexpr TroubleKind kTroubleKinds[] = {
  { "late", "orders get no answer and are carried out late", true },
  { "silent", "a runner neither reads nor answers, or loses answers", true },
  { "power", "a runner's host loses power", true },
  { "reset", "connections of a runner or of the store are reset", true },
  { "clock", "a runner's clock is slow, or set back at a restart", true },
  { "stop", "a node gets SIGSTOP and later SIGCONT", true },
  { "kill", "a node gets SIGKILL and is started again", true },
  { "term", "a node gets SIGTERM and is started again", true },
  { "hup", "a node gets SIGHUP", true },
  { "store", "the store is silent, unavailable, slow or loses answers", true },
  { "drain", "a runner drains and leaves, and another joins", true },
  { "outlive", "late orders reach a process that restarted since", false },
};

struct Options
{
  std::uint64_t mSeed = 1;
  int mSeconds = 60; ///< Of trouble; a calm follows.
  int mNodes = 3;
  int mRunners = 12;
  std::set<std::string> mTrouble; ///< Names of kinds.
  std::string mFolder = "soak";
  bool mList = false;
};

/// @return the options, or a text that says what is wrong with them
std::variant<Options, std::string>
ParseOptions(int aCount, const char* const* aArguments);

} // namespace paddle::soak
