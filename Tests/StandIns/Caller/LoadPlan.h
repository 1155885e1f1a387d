#pragma once

#include <cstdint>
#include <random>
#include <string>

#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

enum class CallKind
{
  Order, ///< POST, not idempotent, with a key of its own.
  Read,  ///< GET, idempotent.
  Watch  ///< GET, held open.
};

/// Shares of the kinds of calls; they need not add up to 1.
struct CallMix
{
  double mOrders = 30;
  double mReads = 70;
  double mWatches = 0;
};

/// Parses "orders=30,reads=69,watches=1".
Outcome<CallMix>
ParseCallMix(const std::string& aText);

struct PlanOptions
{
  std::uint64_t mSeed = 1;
  std::string mName = "caller"; ///< Part of each key; unique among callers.
  double mRate = 100;           ///< Calls per second.
  CallMix mMix;
  std::string mOrderPath = "/orders";
  std::string mReadPath = "/stock";
  std::string mWatchPath = "/watch";
};

/// One logical request. A repeat of it has the same target, key and body.
struct PlannedCall
{
  CallKind mKind = CallKind::Read;
  std::string mTarget; ///< Path and query as the runner gets it.
  std::string mKey;    ///< Empty unless an order.
  std::string mBody;
};

/// A seeded sequence of calls with random gaps (a Poisson process), so that
/// the load does not depend on how fast answers come.
class LoadPlan
{
public:
  explicit LoadPlan(PlanOptions aOptions);

  PlannedCall NextCall();
  /// @return the time between the last call and the next
  Micros NextGap();

private:
  PlanOptions mOptions;
  std::mt19937_64 mRandom;
  std::uint64_t mSequence = 0;
};

} // namespace paddle
