#pragma once

#include <cstdint>
#include <vector>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Outcome.h>
#include <StandIns/Caller/LoadRun.h>

namespace paddle {

/// What the callers saw, compared with what the runners ran.
struct AccountingReport
{
  std::uint64_t mLost = 0;       ///< Answered, yet never run.
  std::uint64_t mRefusedRun = 0; ///< Every try refused or not sent, yet run.
  std::uint64_t mDoubled = 0;    ///< Run more than once.
  std::uint64_t mSlotViolations = 0;
  std::uint64_t mConnectionViolations = 0;
  unsigned mHighestInProgress = 0;
  unsigned mHighestConnections = 0;
};

/// Asks the runner stand-in how often each order ran. Waits first, at most
/// @p aLimit, until the runners have nothing in progress.
Outcome<AccountingReport>
Account(const std::vector<OrderRecord>& aOrders,
        const Endpoint& aRunner,
        Millis aLimit);

} // namespace paddle
