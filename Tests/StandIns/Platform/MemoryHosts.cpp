#include <StandIns/Platform/MemoryHosts.h>

#include <utility>

namespace paddle {

MemoryHosts::MemoryHosts(std::vector<HostEntry> aHosts, Millis aLag)
  : mLag(aLag)
{
  for (HostEntry& host : aHosts) {
    const std::string name = host.mName;
    mChanges[name].push_back({ MonotonicTime::min(), std::move(host) });
  }
}

std::vector<HostEntry>
MemoryHosts::List(MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  std::vector<HostEntry> hosts;
  for (auto& [name, changes] : mChanges) {
    while (changes.size() > 1 && changes[1].mVisibleFrom <= aNow) {
      changes.erase(changes.begin());
    }
    const Change& visible = changes.front();
    if (visible.mVisibleFrom <= aNow && visible.mEntry) {
      hosts.push_back(*visible.mEntry);
    }
  }
  return hosts;
}

void
MemoryHosts::Add(HostEntry aHost, MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  const std::string name = aHost.mName;
  AppendChange(name, std::move(aHost), aNow);
}

Outcome<Done>
MemoryHosts::SetState(std::string_view aName,
                      HostState aState,
                      MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  Outcome<HostEntry> host = LatestEntry(aName);
  if (!Succeeded(host)) {
    return ErrorOf(host);
  }
  ValueOf(host).mState = aState;
  AppendChange(std::string(aName), std::move(ValueOf(host)), aNow);
  return Done{};
}

Outcome<Done>
MemoryHosts::Remove(std::string_view aName, MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  const Outcome<HostEntry> host = LatestEntry(aName);
  if (!Succeeded(host)) {
    return ErrorOf(host);
  }
  AppendChange(std::string(aName), std::nullopt, aNow);
  return Done{};
}

Outcome<HostEntry>
MemoryHosts::LatestEntry(std::string_view aName) const
{
  const auto found = mChanges.find(aName);
  if (found == mChanges.end() || !found->second.back().mEntry) {
    return Error{ ErrorKind::NotFound,
                  "host \"" + std::string(aName) + "\" does not exist" };
  }
  return *found->second.back().mEntry;
}

void
MemoryHosts::AppendChange(const std::string& aName,
                          std::optional<HostEntry> aEntry,
                          MonotonicTime aNow)
{
  mChanges[aName].push_back({ aNow + mLag, std::move(aEntry) });
}

} // namespace paddle
