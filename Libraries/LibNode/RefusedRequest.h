#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <LibNode/ClientKeys.h>
#include <LibTime/Time.h>

namespace paddle {

/// A node's copy of the configuration, as far as it is known.
struct ConfigurationCopy
{
  std::int64_t mVersion = 0; ///< 0: the node has no configuration.
  /// Time since the node last knew for certain that no newer version was
  /// stored, which is the sending of the last read that was answered. Nothing:
  /// no read was answered yet.
  std::optional<Millis> mAge;
};

/// Why a client's request was refused before it reached the store.
enum class RefusalCause
{
  NoConfiguration, ///< The node has not read a configuration yet.
  UnknownRoute,    ///< The node's version has no route for the request.
  InvalidJobId,
  InvalidJob,     ///< The request's body does not describe a job.
  PendingUnknown, ///< The known number of waiting jobs is too old.
  Method,         ///< The method is not served on the path of a job.
  KeyUnknown,     ///< The key that was sent belongs to no client account.
  KeyMissing,     ///< The route requires a key, and none was sent.
  CopyTooOld,  ///< The copy is too old to tell whether the key is still valid.
  OtherAccount ///< The job belongs to another client account.
};

/// A client's request that was refused, as its line in the log describes it.
struct RefusedRequest
{
  int mStatus = 0; ///< HTTP status code of the response.
  RefusalCause mCause = RefusalCause::NoConfiguration;
  std::string_view mMethod;
  std::string_view mHost;
  std::string_view mPath;    ///< Without the query.
  std::string_view mMessage; ///< What is invalid; may be empty.
  /// Client account of the caller; empty: none, or not known.
  std::string_view mAccount{};
  std::string_view mRoute{}; ///< Name of the route's queue; may be empty.
};

/// @return whether lines with this cause are limited to one a second for each
///         account: a client that has lost its key repeats each request
bool
IsLimitedByAccount(RefusalCause aCause);

/// Lines about refusals that were left out.
struct LeftOutRefusals
{
  RefusalCause mCause = RefusalCause::KeyUnknown;
  std::string mAccount;
  std::uint64_t mCount = 0;
};

/// Limits lines to one a second for each cause and account.
struct RefusalLimit
{
  struct Entry
  {
    MonotonicTime mWrittenAt; ///< The last line.
    std::uint64_t mLeftOut = 0;
  };
  std::map<std::pair<RefusalCause, std::string>, Entry> mEntries;
};

/// @return whether the line may be written; otherwise it counts as left out
bool
TakeLine(RefusalLimit& aLimit,
         RefusalCause aCause,
         std::string_view aAccount,
         MonotonicTime aNow);

/// Takes what was left out where the last line is a second old, so that it can
/// be reported. Forgets where nothing was left out since.
std::vector<LeftOutRefusals>
TakeLeftOut(RefusalLimit& aLimit, MonotonicTime aNow);

/// @return the cause of a call that is not admitted
RefusalCause
CauseOf(CallVerdict aVerdict);

/// @return the fields of the line that reports what was left out
std::string
FormatLeftOut(const LeftOutRefusals& aLeftOut);

/// @return a text of a client or an operator in printable ASCII, shortened for
///         a line of the log
std::string
PrintableText(std::string_view aText);

/// @return the version and the age as fields of a log line. The age is "none"
///         if no read was answered yet.
std::string
FormatConfigurationCopy(const ConfigurationCopy& aCopy);

/// @param aCopy the configuration by which the request was refused
/// @return the fields of the log line. Texts of the client are shortened, and
///         their bytes outside printable ASCII are replaced.
std::string
FormatRefusedRequest(const RefusedRequest& aRequest,
                     const ConfigurationCopy& aCopy);

} // namespace paddle
