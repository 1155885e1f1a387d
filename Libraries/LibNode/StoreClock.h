#pragma once

#include <cstdint>
#include <optional>

#include <LibTime/Time.h>

namespace paddle {

/// A reading of the store's clock, which is steady and the same for all nodes.
/// Nodes pass times on to each other on this clock, because their own clocks
/// have nothing in common.
struct StoreClock
{
  std::int64_t mReadingMs = 0; ///< 0: there is no reading yet.
  MonotonicTime mRequestedAt;  ///< The reading was taken after this time,
  MonotonicTime mReceivedAt;   ///< and before this time.
};

/// Takes over the reading in an answer of the store.
/// @param aReadingMs   0 if the answer had none, which is ignored
/// @param aRequestedAt when the request was sent
void
RecordReading(StoreClock& aClock,
              std::int64_t aReadingMs,
              MonotonicTime aRequestedAt,
              MonotonicTime aReceivedAt);

/// @return a reading in milliseconds that the store's clock has not passed at
///         @p aTime, or nothing without a reading
std::optional<std::int64_t>
LatestStoreTime(const StoreClock& aClock, MonotonicTime aTime);

/// @return a time by which the store's clock has certainly reached @p aStoreMs,
///         or nothing without a reading
std::optional<MonotonicTime>
TimeReached(const StoreClock& aClock, std::int64_t aStoreMs);

} // namespace paddle
