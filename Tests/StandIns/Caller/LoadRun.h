#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <StandIns/Caller/CallSender.h>
#include <StandIns/Caller/LoadPlan.h>

namespace paddle {

/// Options of a load run.
struct LoadOptions
{
  PlanOptions mPlan;
  CallRoute mRoute;
  std::vector<Endpoint> mTargets; ///< Gateways, or runners if mDirect.
  bool mDirect = false; ///< Targets are runners, and no health check is made.
  double mDurationSeconds = 10;
  unsigned mConcurrency = 2000; ///< Calls in flight; further ones are skipped.
  unsigned mRetries = 0;        ///< Repeats of a call that may have run.
};

/// The result of one order, as its caller saw it.
struct OrderRecord
{
  std::string mKey;
  CallResult mResult = CallResult::NotSent; ///< Of the last try.
  /// Whether a try ended in a way that leaves open whether the order was run.
  bool mSomeTryMayHaveRun = false;
};

/// Results of a load run.
struct LoadReport
{
  std::uint64_t mPlanned = 0; ///< All calls, skipped ones included.
  std::uint64_t mSkipped = 0; ///< Not started because of mConcurrency.
  std::uint64_t mRetried = 0; ///< Repeats of calls that may have run.
  /// Number of calls by the result of their last try.
  std::map<CallResult, std::uint64_t> mResults;
  /// Latencies of answered calls other than watches, from their planned start,
  /// so that delays in the caller count too.
  std::vector<Micros> mLatencies;
  /// Longest time from the planned start of a call until it was refused.
  Micros mLongestRefusal{ 0 };
  std::vector<OrderRecord> mOrders;
  /// Number of tries that were not answered, by result and detail.
  std::map<std::string, std::uint64_t> mDetails;
};

/// Sends the load and waits until every call has ended.
LoadReport
RunLoad(const LoadOptions& aOptions);

/// Computes an exact quantile, because the buckets of Metrics (5% wide) are too
/// coarse for the half millisecond that a gateway may add.
/// @return the latency that a share @p aQuantile of @p aLatencies does not
///         exceed, or 0 if there are none
Micros
QuantileOf(std::vector<Micros> aLatencies, double aQuantile);

} // namespace paddle
