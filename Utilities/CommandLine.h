#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace paddle {

enum class Command
{
  Apply,
  Drain,
  Return,
  Status,
  Audit,
  Submit,
  Cancel,
  Explain,
  Fairness,
  Release,
  Check
};

enum class OutputForm
{
  Text,
  Json
};

/// The arguments of one call of the command line.
struct Invocation
{
  Command mCommand = Command::Status;
  OutputForm mForm = OutputForm::Text;
  std::string mPlatform;
  unsigned mTimeoutMs = 1000;
  std::string mWho;
  std::string mWhy;
  std::string mSubject; ///< A file, data centre, job, member and so on.
  std::optional<std::uint64_t> mFrom;
  std::string mSince;
  std::string mMember;
  std::string mOther;
  std::uint64_t mBatches = 600;
  std::string mJob;
};

/// Parses the arguments; prints help and usage errors itself.
/// @return what to run, or the exit code to end with
std::variant<Invocation, int>
ParseCommandLine(int aCount, char** aArguments);

} // namespace paddle
