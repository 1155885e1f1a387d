#include <LibTable/WriteMarkers.h>

#include <LibTable/TransactionSettler.h>
#include <cstdio>
#include <random>

namespace paddle {

namespace {

/// A marker row must exist for as long as a duplicate of its write may arrive.
/// A request is not expected to arrive later than this after it was sent.
constexpr Seconds kMarkerLifetimeS{ 600 };

/// Expired marker rows are deleted as part of later transactions, so that they
/// cost no transaction of their own. Each transaction adds one marker row, so
/// more than one deletion per transaction lets a backlog shrink.
constexpr std::size_t kMaxDeletionsPerWrite = 4;

} // namespace

WriteMarkers::WriteMarkers()
{
  std::random_device random;
  char text[32];
  std::snprintf(
    text, sizeof text, "%08x%08x%08x-", random(), random(), random());
  mPrefix = text;
}

std::string
WriteMarkers::NextId()
{
  std::lock_guard lock(mMutex);
  return mPrefix + std::to_string(++mLastNumber);
}

void
WriteMarkers::Add(const std::string& aWriteId, MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  mStoredMarkers.push_back({ MarkerKey(aWriteId), aNow + kMarkerLifetimeS });
}

std::vector<std::string>
WriteMarkers::TakeExpired(MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  std::vector<std::string> keys;
  while (keys.size() < kMaxDeletionsPerWrite && !mStoredMarkers.empty() &&
         mStoredMarkers.front().mExpires <= aNow) {
    keys.push_back(std::move(mStoredMarkers.front().mKey));
    mStoredMarkers.pop_front();
  }
  return keys;
}

void
WriteMarkers::Restore(const std::vector<std::string>& aKeys, MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  for (const std::string& key : aKeys) {
    mStoredMarkers.push_front({ key, aNow });
  }
}

} // namespace paddle
