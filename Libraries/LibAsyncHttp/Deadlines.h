#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <LibTime/Time.h>

namespace paddle {

/// Deadlines of one event loop. The owner of the loop calls Expire()
/// periodically from a single timer, because a timer for each deadline would
/// cost one system call to set and another to cancel.
class Deadlines
{
public:
  /// Identifies a deadline: its time and a number that makes it unique.
  using Key = std::pair<MonotonicTime, std::uint64_t>;

  /// @param aAt      time of the deadline
  /// @param aExpired called once, by the first call of Expire() from that time
  ///                 on, unless the deadline is cancelled before
  /// @return the key to cancel the deadline with
  Key Add(MonotonicTime aAt, std::function<void()> aExpired);
  /// Removes a deadline; does nothing if it has expired already.
  void Cancel(const Key& aKey);
  /// Removes the deadlines that have passed and calls their functions.
  void Expire(MonotonicTime aNow);

private:
  std::map<Key, std::function<void()>> mEntries;
  std::uint64_t mNextNumber = 1;
};

} // namespace paddle
