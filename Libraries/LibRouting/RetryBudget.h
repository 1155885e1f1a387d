#pragma once

#include <algorithm>

namespace paddle {

/// Limits retries to a share of recent requests, so that a failing back end
/// doesn't get a multiple of its load. Each request adds a fraction of a
/// retry; the cap bounds how far back "recent" reaches.
struct RetryBudget
{
  double mShare = 0.10;
  double mCap = 20; ///< The retries that 200 requests earn.
  double mRetries = 20;
};

/// Adds what one first try earns.
inline void
EarnRetry(RetryBudget& aBudget)
{
  aBudget.mRetries = std::min(aBudget.mCap, aBudget.mRetries + aBudget.mShare);
}

/// Takes one retry from the budget.
/// @return whether there was one
inline bool
SpendRetry(RetryBudget& aBudget)
{
  if (aBudget.mRetries < 1) {
    return false;
  }
  aBudget.mRetries -= 1;
  return true;
}

} // namespace paddle
