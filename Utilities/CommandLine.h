#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace paddle {

/// The commands of the command line, by the names that users type.
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

/// How the result of a command is printed.
enum class OutputFormat
{
  Text,
  Json
};

/// The parsed arguments of one call of the command line. A text is empty where
/// its option was not given; each command uses only some of the members.
struct Invocation
{
  Command mCommand = Command::Status;
  OutputFormat mOutputFormat = OutputFormat::Text;
  std::string mPlatform;      ///< Address "IP:PORT" of the platform.
  unsigned mTimeoutMs = 1000; ///< For each answer.
  std::string mWho;           ///< Author of the change, for the audit trail.
  std::string mWhy;           ///< Reason for the change, for the audit trail.
  std::string mSubject; ///< The file, data centre, member, job, request or
                        ///< service that the command is about.
  /// The version of the document that a change starts from (option --from);
  /// without it the change starts from any version.
  std::optional<std::uint64_t> mExpectedVersion;
  std::string mSince;  ///< A time in UTC or, for an audit, also a revision.
  std::string mMember; ///< The process whose decision records are read.
  std::string mOtherSubject; ///< Request or job to compare mSubject with.
  /// Maximum number of batches of decision records to read per process.
  std::uint64_t mMaxBatches = 600;
  std::string mJobId; ///< Replaces the id in the job document (option --job).
};

/// Parses the arguments, and prints the help or a usage error if there is one.
/// @return what to run, or the exit code of the program if there is nothing to
///         run
std::variant<Invocation, int>
ParseCommandLine(int aCount, char** aArguments);

} // namespace paddle
