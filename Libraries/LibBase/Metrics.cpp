#include <LibBase/Metrics.h>

#include <boost/histogram.hpp>
#include <map>
#include <mutex>

namespace paddle {

namespace {

using LogAxis =
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>;
using Histogram =
  decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

constexpr double kLowestMicros = 1;
/// Ten minutes: the longest time that a request which watches for changes is
/// held.
constexpr double kHighestMicros = 6e8;
/// Number of buckets between these bounds. Each bucket is 5% wider than the one
/// before.
constexpr unsigned kBuckets = 415;

Histogram
MakeLatencyHistogram()
{
  return boost::histogram::make_histogram(
    LogAxis(kBuckets, kLowestMicros, kHighestMicros));
}

/// @return number of recorded latencies, also of those outside the bounds
double
CountOf(const Histogram& aHistogram)
{
  double total = 0;
  for (auto&& cell :
       boost::histogram::indexed(aHistogram, boost::histogram::coverage::all)) {
    total += static_cast<double>(*cell);
  }
  return total;
}

/// @return the upper edge of the bucket that contains the quantile, at most
///         kHighestMicros
Micros
QuantileOf(const Histogram& aHistogram, double aQuantile)
{
  const double wanted = aQuantile * CountOf(aHistogram);
  double seen = 0;
  for (auto&& cell :
       boost::histogram::indexed(aHistogram, boost::histogram::coverage::all)) {
    seen += static_cast<double>(*cell);
    if (seen >= wanted && seen > 0) {
      const double edge = std::min(cell.bin().upper(), kHighestMicros);
      return Micros(static_cast<Micros::rep>(edge));
    }
  }
  return Micros(0);
}

} // namespace

struct Metrics::State
{
  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t, std::less<>> mCounters;
  std::map<std::string, Histogram, std::less<>> mHistograms;
};

Metrics::Metrics()
  : mState(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(std::string_view aName, std::uint64_t aDelta)
{
  std::lock_guard lock(mState->mMutex);
  auto found = mState->mCounters.find(aName);
  if (found == mState->mCounters.end()) {
    found = mState->mCounters.emplace(aName, 0).first;
  }
  found->second += aDelta;
}

std::uint64_t
Metrics::Counter(std::string_view aName) const
{
  std::lock_guard lock(mState->mMutex);
  const auto found = mState->mCounters.find(aName);
  return found == mState->mCounters.end() ? 0 : found->second;
}

void
Metrics::Observe(std::string_view aName, Micros aLatency)
{
  std::lock_guard lock(mState->mMutex);
  auto found = mState->mHistograms.find(aName);
  if (found == mState->mHistograms.end()) {
    found =
      mState->mHistograms.emplace(std::string(aName), MakeLatencyHistogram())
        .first;
  }
  found->second(static_cast<double>(aLatency.count()));
}

Micros
Metrics::Quantile(std::string_view aName, double aQuantile) const
{
  std::lock_guard lock(mState->mMutex);
  const auto found = mState->mHistograms.find(aName);
  if (found == mState->mHistograms.end()) {
    return Micros(0);
  }
  return QuantileOf(found->second, aQuantile);
}

std::string
Metrics::Page() const
{
  std::lock_guard lock(mState->mMutex);
  std::string page;
  for (const auto& [name, value] : mState->mCounters) {
    page += name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, histogram] : mState->mHistograms) {
    const auto count = static_cast<std::uint64_t>(CountOf(histogram));
    page += name + "_count " + std::to_string(count) + "\n";
    const std::pair<const char*, double> quantiles[] = { { "p50", 0.5 },
                                                         { "p99", 0.99 },
                                                         { "p99.9", 0.999 } };
    for (const auto& [label, quantile] : quantiles) {
      page += name + "_" + label + "_us " +
              std::to_string(QuantileOf(histogram, quantile).count()) + "\n";
    }
  }
  return page;
}

} // namespace paddle
