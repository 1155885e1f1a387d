#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <LibTime/Time.h>

namespace paddle {

/// Deadlines of one event loop, checked by one coarse timer: a timer for each
/// call would cost a system call when it is set and another when it is cleared.
class Deadlines
{
public:
  using Key = std::pair<MonotonicTime, std::uint64_t>;

  /// @param aExpired called once unless the deadline is cancelled before
  Key Add(MonotonicTime aAt, std::function<void()> aExpired);
  void Cancel(const Key& aKey);
  /// Calls what has expired.
  void Expire(MonotonicTime aNow);

private:
  std::map<Key, std::function<void()>> mEntries;
  std::uint64_t mNext = 1;
};

} // namespace paddle
