#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
  Method          ///< The method is not served on the path of a job.
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
};

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
