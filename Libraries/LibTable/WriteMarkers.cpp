#include <LibTable/WriteMarkers.h>

#include <LibTable/TransactionSettler.h>
#include <cstdio>
#include <random>

namespace paddle {

namespace {

/// A request is not expected to arrive later than this after it was sent. A
/// marker must outlast every repetition of its write.
constexpr Seconds kMarkerLifeS{ 600 };

/// Deletions ride on later writes, so that they cost no write of their own.
/// More than one per write lets a backlog shrink.
constexpr std::size_t kDeletionsPerWrite = 4;

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
  return mPrefix + std::to_string(++mNext);
}

void
WriteMarkers::Keep(const std::string& aWriteId, MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  mKept.push_back({ MarkerKey(aWriteId), aNow + kMarkerLifeS });
}

std::vector<std::string>
WriteMarkers::TakeExpired(MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  std::vector<std::string> keys;
  while (keys.size() < kDeletionsPerWrite && !mKept.empty() &&
         mKept.front().mExpires <= aNow) {
    keys.push_back(std::move(mKept.front().mKey));
    mKept.pop_front();
  }
  return keys;
}

void
WriteMarkers::Restore(const std::vector<std::string>& aKeys, MonotonicTime aNow)
{
  std::lock_guard lock(mMutex);
  for (const std::string& key : aKeys) {
    mKept.push_front({ key, aNow });
  }
}

} // namespace paddle
