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

/// The host list of the platform stand-in, held in memory. Each change becomes
/// visible only after a delay. Safe for use from several threads.
class MemoryHosts
{
public:
  /// @param aHosts the initial hosts, visible at once
  /// @param aLag   time until List() shows a change
  MemoryHosts(std::vector<HostEntry> aHosts, Millis aLag);

  /// Also discards changes that later visible ones have replaced.
  /// @return the hosts as they were at @p aNow minus the lag
  std::vector<HostEntry> List(MonotonicTime aNow);

  /// Adds a host, or replaces the host of the same name.
  void Add(HostEntry aHost, MonotonicTime aNow);

  /// Marks a host as live or as leaving.
  /// @return an error of kind NotFound if no host has this name
  Outcome<Done> SetState(std::string_view aName,
                         HostState aState,
                         MonotonicTime aNow);

  /// @return an error of kind NotFound if no host has this name
  Outcome<Done> Remove(std::string_view aName, MonotonicTime aNow);

private:
  /// One version of a host's entry.
  struct Change
  {
    /// Time from which List() uses this version.
    MonotonicTime mVisibleFrom;
    /// Empty if the host was removed.
    std::optional<HostEntry> mEntry;
  };

  /// @return the latest version of a host's entry, visible or not, or an error
  ///         of kind NotFound. The caller holds mMutex.
  Outcome<HostEntry> LatestEntry(std::string_view aName) const;
  /// Records a change that becomes visible one lag after @p aNow. The caller
  /// holds mMutex.
  void AppendChange(const std::string& aName,
                    std::optional<HostEntry> aEntry,
                    MonotonicTime aNow);

  std::mutex mMutex;
  Millis mLag;
  /// Changes by host name, oldest first. No list is empty.
  std::map<std::string, std::vector<Change>, std::less<>> mChanges;
};

} // namespace paddle
