#include <StandIns/Platform/MemoryObjects.h>

namespace paddle {

void
MemoryObjects::Store(std::string_view aName, std::string_view aBody)
{
  std::lock_guard lock(mMutex);
  ++mCounters.mWrites;
  mObjects.insert_or_assign(std::string(aName), std::string(aBody));
}

Outcome<std::string>
MemoryObjects::Read(std::string_view aName)
{
  std::lock_guard lock(mMutex);
  ++mCounters.mReads;
  const auto found = mObjects.find(aName);
  if (found == mObjects.end()) {
    return Error{ ErrorKind::NotFound,
                  "object \"" + std::string(aName) + "\" does not exist" };
  }
  return found->second;
}

std::vector<std::string>
MemoryObjects::List(std::string_view aPrefix)
{
  std::lock_guard lock(mMutex);
  ++mCounters.mReads;
  std::vector<std::string> names;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix);
       ++it) {
    names.push_back(it->first);
  }
  return names;
}

ObjectCounters
MemoryObjects::Counters() const
{
  std::lock_guard lock(mMutex);
  return mCounters;
}

} // namespace paddle
