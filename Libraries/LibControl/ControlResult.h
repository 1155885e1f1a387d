#pragma once

#include <json/value.h>
#include <string>

#include <LibTime/Outcome.h>

namespace paddle {

/// Exit codes of the command line.
enum class ExitCode
{
  Done = 0,        ///< Done, or nothing was to be done.
  Refused = 1,     ///< Refused, or somebody else's change came first.
  BadInput = 2,    ///< The arguments or the document are wrong.
  Unreachable = 3, ///< The platform or the schedulers can't be reached.
  Unknown = 4      ///< Sent, but whether it took effect is not known.
};

/// What a command prints and how it ends.
struct ControlResult
{
  ExitCode mExit = ExitCode::Done;
  std::string mText; ///< For people; lines end with a newline.
  Json::Value mJson; ///< The same for programs.
};

/// @return the result of a command that read only and failed: an unknown
///         outcome is one that can't be reached
ControlResult
ReadFailure(const Error& aError);

/// @return the result of a command that failed to change something
ControlResult
ChangeFailure(const Error& aError);

} // namespace paddle
