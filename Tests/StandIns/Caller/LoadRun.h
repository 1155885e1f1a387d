#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <StandIns/Caller/CallSender.h>
#include <StandIns/Caller/LoadPlan.h>

namespace paddle {

struct LoadOptions
{
  PlanOptions mPlan;
  CallRoute mRoute;
  std::vector<Endpoint> mTargets;
  bool mDirect = false; ///< Targets are runners and have no health page.
  double mSeconds = 10;
  unsigned mConcurrency = 2000; ///< Calls beyond it are not started.
  unsigned mRetries = 0;        ///< Repeats after a doubtful outcome.
};

/// One order as its caller saw it.
struct OrderRecord
{
  std::string mKey;
  CallResult mResult = CallResult::NotSent; ///< Of the last try.
  /// Whether some try ended without a statement that it was not run.
  bool mDoubtful = false;
};

struct LoadReport
{
  std::uint64_t mPlanned = 0;
  std::uint64_t mSkipped = 0; ///< Not started because of the concurrency.
  std::uint64_t mRetried = 0;
  std::map<CallResult, std::uint64_t> mResults; ///< Of the last tries.
  std::vector<Micros> mLatencies; ///< Answered short calls, from planned time.
  Micros mLongestRefusal{ 0 };
  std::vector<OrderRecord> mOrders;
  std::map<std::string, std::uint64_t> mDetails; ///< Other outcomes, by text.
};

/// Runs the load and waits until every call has ended.
LoadReport
RunLoad(const LoadOptions& aOptions);

/// @return the latency that a share @p aQuantile of @p aLatencies is within;
///         exact, because the buckets of Metrics (5%) are too coarse for the
///         half millisecond that a gateway may add
Micros
QuantileOf(std::vector<Micros> aLatencies, double aQuantile);

} // namespace paddle
