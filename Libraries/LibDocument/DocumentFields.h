#pragma once

#include <string>
#include <vector>

#include <LibBase/JsonReader.h>
#include <LibDocument/ServiceDocument.h>
#include <LibHttp/HttpMessage.h>

namespace paddle {

/// Range of values that a document may give for each resource. Accelerators
/// may always be 0.
struct ResourceLimits
{
  double mMinCores = 0;
  double mMaxCores = 0;
  std::int64_t mMinMemoryMb = 0;
  std::int64_t mMaxMemoryMb = 0;
  std::int64_t mMaxAccelerators = 0;
};

/// Limits for the resources of one task. A task needs at least 0.01 cores and
/// 1 MB of memory, because a task that needs nothing would fit on a full
/// worker.
inline constexpr ResourceLimits kTaskLimits{ 0.01, 1024, 1, 16777216, 64 };

/// Limits for the quota of a team. They exceed the largest fleet, 19,000
/// workers with 32 cores each, which has 608,000 cores.
inline constexpr ResourceLimits kQuotaLimits{ 0,
                                              10000000,
                                              0,
                                              100000000000,
                                              1000000 };

/// @return whether a text can be used as a name, which becomes part of row keys
///         and paths: 1 to 64 letters, digits, "-", "_" and ".", of which the
///         first is a letter or digit
bool
IsValidName(const std::string& aText);

/// Reads a string member that must be a name, see IsValidName().
/// @return the text; a text that is not a valid name is also reported to
///         @p aReader as a problem
std::string
ReadName(ObjectReader& aReader, const char* aField, Presence aPresence);

/// Reads a member that must be an address "IP:PORT". A host name is refused.
/// @return the address, or an empty one after a problem was reported to
///         @p aReader
Endpoint
ReadEndpoint(ObjectReader& aReader, const char* aField, Presence aPresence);

/// Reads a required object with the members cores, memoryMb and accelerators.
/// @param aText   the document that is read
/// @param aParent the object that has the member @p aField
/// @param aErrors receives a line per problem
Resources
ReadResources(const JsonText& aText,
              ObjectReader& aParent,
              const char* aField,
              const ResourceLimits& aLimits,
              std::vector<std::string>& aErrors);

/// @return the path of an array element, for instance "routes[2]"
std::string
ElementPath(const ObjectReader& aParent, const char* aField, unsigned aIndex);

} // namespace paddle
