#include <LibAsyncHttp/Deadlines.h>

namespace paddle {

Deadlines::Key
Deadlines::Add(MonotonicTime aAt, std::function<void()> aExpired)
{
  const Key key{ aAt, mNextNumber++ };
  mEntries.emplace(key, std::move(aExpired));
  return key;
}

void
Deadlines::Cancel(const Key& aKey)
{
  mEntries.erase(aKey);
}

void
Deadlines::Expire(MonotonicTime aNow)
{
  while (!mEntries.empty() && mEntries.begin()->first.first <= aNow) {
    const std::function<void()> expired = std::move(mEntries.begin()->second);
    mEntries.erase(mEntries.begin());
    expired();
  }
}

} // namespace paddle
