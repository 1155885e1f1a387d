#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// Issues the ids of the writes of one process, and tracks their marker rows
/// until these may be deleted. A marker row shows that its write was committed,
/// see TransactOnce(). Safe for use from several threads.
class WriteMarkers
{
public:
  WriteMarkers();

  /// @return an id that no other write has, of this or another process
  std::string NextId();

  /// Adds the marker row of a write that was committed.
  void Add(const std::string& aWriteId, MonotonicTime aNow);

  /// Stops tracking some expired marker rows, which the caller deletes.
  /// @return their keys. If the rows could not be deleted, the caller must pass
  ///         the keys to Restore().
  std::vector<std::string> TakeExpired(MonotonicTime aNow);

  /// Tracks marker rows again that could not be deleted. They count as expired
  /// at @p aNow already.
  void Restore(const std::vector<std::string>& aKeys, MonotonicTime aNow);

private:
  struct Marker
  {
    std::string mKey;
    MonotonicTime mExpires;
  };

  std::mutex mMutex;
  std::string mPrefix; ///< Random first part of all ids of this process.
  std::uint64_t mLastNumber = 0;     ///< Second part of the last id issued.
  std::deque<Marker> mStoredMarkers; ///< Rows that exist; oldest first.
};

} // namespace paddle
