#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// Issues the identities of one process's writes and remembers which marker
/// rows may be deleted. Safe for use from several threads.
class WriteMarkers
{
public:
  WriteMarkers();

  /// @return an identity that no other write has
  std::string NextId();

  /// Notes that the marker row of a write exists from now on.
  void Keep(const std::string& aWriteId, MonotonicTime aNow);

  /// @return keys of some marker rows that are old enough to be deleted. The
  ///         caller gives them back with Restore() if it did not delete them.
  std::vector<std::string> TakeExpired(MonotonicTime aNow);

  void Restore(const std::vector<std::string>& aKeys, MonotonicTime aNow);

private:
  struct Marker
  {
    std::string mKey;
    MonotonicTime mExpires;
  };

  std::mutex mMutex;
  std::string mPrefix;
  std::uint64_t mNext = 0;
  std::deque<Marker> mKept;
};

} // namespace paddle
