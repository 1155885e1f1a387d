#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTable/HostList.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// A host list in memory that shows each change after a lag. Safe for use
/// from several threads.
class MemoryHosts
{
public:
  MemoryHosts(std::vector<HostEntry> aHosts, Millis aLag);

  /// @return the hosts as they were one lag ago
  std::vector<HostEntry> List(MonotonicTime aNow);

  /// Adds a host, or replaces the one of the same name.
  void Add(HostEntry aHost, MonotonicTime aNow);

  /// @return an error of kind NotFound if there is no such host
  Outcome<Done> SetState(std::string_view aName,
                         HostState aState,
                         MonotonicTime aNow);

  /// @return an error of kind NotFound if there is no such host
  Outcome<Done> Remove(std::string_view aName, MonotonicTime aNow);

private:
  /// A host's entry from some moment on; nothing if it was removed.
  struct Change
  {
    MonotonicTime mVisible;
    std::optional<HostEntry> mEntry;
  };

  Outcome<HostEntry> Newest(std::string_view aName) const;
  void Append(const std::string& aName,
              std::optional<HostEntry> aEntry,
              MonotonicTime aNow);

  std::mutex mMutex;
  Millis mLag;
  /// Changes by host, oldest first.
  std::map<std::string, std::vector<Change>, std::less<>> mChanges;
};

} // namespace paddle
