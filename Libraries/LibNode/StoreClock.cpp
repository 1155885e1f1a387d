#include <LibNode/StoreClock.h>

namespace paddle {

namespace {

/// Assumed bound of the ratio between the rates of this host's clock and the
/// store's clock.
constexpr double kMaxRateRatio = 1.01;

/// @return the duration, lengthened by the uncertainty of the rates; a negative
///         one stays as it is
Millis
Lengthen(Millis aDuration)
{
  return aDuration.count() <= 0
           ? aDuration
           : Millis(static_cast<Millis::rep>(
                      static_cast<double>(aDuration.count()) * kMaxRateRatio) +
                    1);
}

} // namespace

void
RecordReading(StoreClock& aClock,
              std::int64_t aReadingMs,
              MonotonicTime aRequestedAt,
              MonotonicTime aReceivedAt)
{
  if (aReadingMs > 0) {
    aClock = { aReadingMs, aRequestedAt, aReceivedAt };
  }
}

std::optional<std::int64_t>
LatestStoreTime(const StoreClock& aClock, MonotonicTime aTime)
{
  if (aClock.mReadingMs == 0) {
    return {};
  }
  const auto since = std::chrono::ceil<Millis>(aTime - aClock.mRequestedAt);
  return aClock.mReadingMs + Lengthen(since).count();
}

std::optional<MonotonicTime>
TimeReached(const StoreClock& aClock, std::int64_t aStoreMs)
{
  if (aClock.mReadingMs == 0) {
    return {};
  }
  return aClock.mReceivedAt + Lengthen(Millis(aStoreMs - aClock.mReadingMs));
}

} // namespace paddle
