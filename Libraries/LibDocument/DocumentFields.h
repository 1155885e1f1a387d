#pragma once

#include <string>
#include <vector>

#include <LibBase/JsonReader.h>
#include <LibDocument/ServiceDocument.h>
#include <LibHttp/HttpMessage.h>

namespace paddle {

/// Largest values of each resource that a document may name.
struct ResourceLimits
{
  double mLowestCores = 0;
  double mMostCores = 0;
  std::int64_t mLowestMemoryMb = 0;
  std::int64_t mMostMemoryMb = 0;
  std::int64_t mMostAccelerators = 0;
};

/// Sizes of one task. Memory is at least 1 MB, since a task of size nothing
/// would fit on a full worker.
inline constexpr ResourceLimits kTaskLimits{ 0.01, 1024, 1, 16777216, 64 };

/// Quotas of a team; 19,000 workers of 32 cores hold 608,000 cores.
inline constexpr ResourceLimits kQuotaLimits{ 0,
                                              10000000,
                                              0,
                                              100000000000,
                                              1000000 };

/// @return whether a text may be part of a row key and of a path: letters,
///         digits, "-", "_" and ".", at most 64, with a letter or digit first
bool
IsName(const std::string& aText);

/// Reads a name, see IsName().
std::string
ReadName(ObjectReader& aReader, const char* aField, Presence aPresence);

/// Reads an address "IP:PORT".
Endpoint
ReadEndpoint(ObjectReader& aReader, const char* aField, Presence aPresence);

/// Reads an object of cores, memoryMb and accelerators.
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
