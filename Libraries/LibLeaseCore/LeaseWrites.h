#pragma once

// Functions that build the transactions of the lease decisions. Other libraries
// must not include this file.

#include <optional>

#include <LibLeaseCore/LeaseActions.h>
#include <LibLeaseCore/LeaseState.h>

namespace paddle {

/// @return the interval between renewals; it grows with the number of
///         processes, to limit the load on the table service
Millis
RenewInterval(const LeaseState& aState);

/// @return the term of the own session; it grows with the interval
Millis
SessionTerm(const LeaseState& aState);

/// @return a transaction that creates or renews the own session. The state
///         changes too: from now on the row may contain the new successor and
///         the new term.
WriteLeaseRows
MakeRenewal(LeaseState& aState, MonotonicTime aNow);

/// @return a transaction that ends another session, or nothing if there is none
///         that this process may end
std::optional<WriteLeaseRows>
MakeSessionEnd(const LeaseState& aState, MonotonicTime aNow);

/// @return a transaction that takes the shards without a live owner for which
///         this process is the best owner, or nothing if there are none
std::optional<WriteLeaseRows>
MakeAcquisition(const LeaseState& aState, MonotonicTime aNow);

/// @return a transaction that hands over the shards whose work has stopped, or
///         nothing if there are none
std::optional<WriteLeaseRows>
MakeHandOver(const LeaseState& aState);

/// @return a transaction that ends the own session
WriteLeaseRows
MakeOwnSessionEnd(const LeaseState& aState);

} // namespace paddle
