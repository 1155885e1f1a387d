#pragma once

#include <json/value.h>
#include <string>

#include <LibTime/Outcome.h>

namespace paddle {

/// Exit codes of the command line program.
enum class ExitCode
{
  Done = 0,        ///< The command succeeded, or nothing had to be done.
  Refused = 1,     ///< Refused, or another change came first.
  BadInput = 2,    ///< The arguments or the document are invalid.
  Unreachable = 3, ///< The platform or the schedulers can't be reached.
  Unknown = 4      ///< Sent, but it is not known whether it took effect.
};

/// The output of a command and the exit code of the program.
struct ControlResult
{
  ExitCode mExit = ExitCode::Done;
  std::string mText; ///< For people; each line ends with a newline.
  Json::Value mJson; ///< The same content for programs.
};

/// @return the result of a read-only command that failed. An error of kind
///         Unknown gives ExitCode::Unreachable, because no change was sent.
ControlResult
ReadFailure(const Error& aError);

/// @return the result of a command that failed to make a change, with advice
///         if the platform can't be reached or the outcome is not known
ControlResult
ChangeFailure(const Error& aError);

} // namespace paddle
