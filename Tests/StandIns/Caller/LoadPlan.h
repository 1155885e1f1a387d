#pragma once

#include <cstdint>
#include <random>
#include <string>

#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// Kinds of calls.
enum class CallKind
{
  Order, ///< POST, not idempotent, with its own Idempotency-Key.
  Read,  ///< GET, idempotent.
  Watch  ///< GET, held open by the runner.
};

/// Weights of the kinds of calls; only their ratios matter.
struct CallMix
{
  double mOrders = 30;
  double mReads = 70;
  double mWatches = 0;
};

/// Parses a mix such as "orders=30,reads=69,watches=1". A kind that is left out
/// has the weight 0.
Outcome<CallMix>
ParseCallMix(const std::string& aText);

/// Options of a load plan.
struct PlanOptions
{
  std::uint64_t mSeed = 1;
  /// Part of each idempotency key; must be unique among callers.
  std::string mName = "caller";
  double mCallsPerSecond = 100; ///< Mean rate.
  CallMix mMix;
  std::string mOrderPath = "/orders";
  std::string mReadPath = "/stock";
  std::string mWatchPath = "/watch";
};

/// One logical request. A repeat of it has the same target, key and body.
struct PlannedCall
{
  CallKind mKind = CallKind::Read;
  std::string mTarget; ///< Path and query as the runner receives them.
  std::string mKey;    ///< Idempotency key; empty unless it is an order.
  std::string mBody;
};

/// A seeded sequence of calls with exponentially distributed gaps (a Poisson
/// process). This makes the load open-loop: it does not depend on how fast
/// answers arrive.
class LoadPlan
{
public:
  explicit LoadPlan(PlanOptions aOptions);

  /// Draws the kind of the next call and makes the call.
  PlannedCall NextCall();
  /// Draws the time between the previous call and the next one.
  Micros NextGap();

private:
  PlanOptions mOptions;
  std::mt19937_64 mRandom;
  std::uint64_t mSequence = 0; ///< Number of the latest call.
};

} // namespace paddle
