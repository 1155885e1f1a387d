#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// How often an object store was used.
struct ObjectCounters
{
  std::uint64_t mReads = 0; ///< Reads and lists.
  std::uint64_t mWrites = 0;
};

/// An object store in memory. Safe for use from several threads.
class MemoryObjects
{
public:
  void Store(std::string_view aName, std::string_view aBody);

  /// @return the body, or an error of kind NotFound
  Outcome<std::string> Read(std::string_view aName);

  /// @return the names that start with the prefix, in order
  std::vector<std::string> List(std::string_view aPrefix);

  [[nodiscard]] ObjectCounters Counters() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::string, std::less<>> mObjects;
  ObjectCounters mCounters;
};

} // namespace paddle
