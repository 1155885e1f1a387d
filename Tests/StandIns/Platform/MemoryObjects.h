#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// Counts of the operations on an object store, reported by standin.stats.
struct ObjectCounters
{
  std::uint64_t mReads = 0;  ///< Calls of Read() and List().
  std::uint64_t mWrites = 0; ///< Calls of Store().
};

/// The object store of the platform stand-in, held in memory. Safe for use
/// from several threads.
class MemoryObjects
{
public:
  /// Stores an object, or replaces the object of the same name.
  void Store(std::string_view aName, std::string_view aBody);

  /// @return the body of the object, or an error of kind NotFound
  Outcome<std::string> Read(std::string_view aName);

  /// @return the names that start with the prefix, in ascending order
  std::vector<std::string> List(std::string_view aPrefix);

  [[nodiscard]] ObjectCounters Counters() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::string, std::less<>> mObjects;
  ObjectCounters mCounters;
};

} // namespace paddle
