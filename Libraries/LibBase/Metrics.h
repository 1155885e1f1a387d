#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <LibTime/Time.h>

namespace paddle {

/// Counters and latency histograms of one process. All functions are
/// thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds @p aDelta to the counter @p aName.
  void Count(std::string_view aName, std::uint64_t aDelta = 1);

  /// @return the counter's value; 0 if there is no such counter
  [[nodiscard]] std::uint64_t Counter(std::string_view aName) const;

  /// Records one latency in the histogram @p aName.
  void Observe(std::string_view aName, Micros aLatency);

  /// @param aQuantile between 0 and 1
  /// @return the upper edge of the bucket that contains the quantile; 0 if
  ///         nothing was recorded. Buckets are 5% wide.
  [[nodiscard]] Micros Quantile(std::string_view aName, double aQuantile) const;

  /// @return a text page with a line for each counter, and for each histogram
  ///         lines with its count and its p50, p99 and p99.9 in microseconds
  [[nodiscard]] std::string Page() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle
