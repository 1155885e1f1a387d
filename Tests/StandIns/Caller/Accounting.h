#pragma once

#include <cstdint>
#include <vector>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Outcome.h>
#include <StandIns/Caller/LoadRun.h>

namespace paddle {

/// Counts from a comparison of the orders' results, as their caller saw them,
/// with the runs that the runners counted, and the violations that the runners
/// saw.
struct AccountingReport
{
  std::uint64_t mAnsweredNotRun = 0; ///< Orders answered, but never run.
  /// Orders run, although every try was refused or not sent.
  std::uint64_t mRunThoughRefused = 0;
  std::uint64_t mRunRepeatedly = 0; ///< Orders run more than once.
  /// Counts of all runners, as standin.stats reports them.
  std::uint64_t mSlotViolations = 0;
  std::uint64_t mConnectionViolations = 0;
  unsigned mHighestInProgress = 0;
  unsigned mHighestConnections = 0;
};

/// Asks the runner stand-in how often each order was run and compares the
/// counts with the results of the orders. Waits first until the runners have no
/// request in progress.
/// @param aRunner      address of any runner of the stand-in
/// @param aIdleTimeout longest time to wait for the requests in progress; then
///                     the comparison is made nevertheless
/// @return the counts, or an error if the runner can't be asked
Outcome<AccountingReport>
CompareWithRunners(const std::vector<OrderRecord>& aOrders,
                   const Endpoint& aRunner,
                   Millis aIdleTimeout);

} // namespace paddle
