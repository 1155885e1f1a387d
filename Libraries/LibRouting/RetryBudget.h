#pragma once

#include <algorithm>

namespace paddle {

/// Token bucket that limits retries to a share of recent requests, so that a
/// failing back end does not get a multiple of its load. Each request adds a
/// fraction of a retry; the maximum bounds how many past requests count.
struct RetryBudget
{
  double mRetriesPerRequest = 0.10; ///< What each request adds.
  double mMaxAvailableRetries = 20; ///< What 200 requests add.
  double mAvailableRetries = 20;
};

/// Adds to the budget what the first try of a request adds.
inline void
CreditRetryBudget(RetryBudget& aBudget)
{
  aBudget.mAvailableRetries =
    std::min(aBudget.mMaxAvailableRetries,
             aBudget.mAvailableRetries + aBudget.mRetriesPerRequest);
}

/// Takes one retry from the budget.
/// @return whether there was one; otherwise the request must not be retried
inline bool
TrySpendRetry(RetryBudget& aBudget)
{
  if (aBudget.mAvailableRetries < 1) {
    return false;
  }
  aBudget.mAvailableRetries -= 1;
  return true;
}

} // namespace paddle
