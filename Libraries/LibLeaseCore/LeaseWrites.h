#pragma once

// Builds the transactions of the lease decisions; not for their users.

#include <optional>

#include <LibLeaseCore/LeaseActions.h>
#include <LibLeaseCore/LeaseState.h>

namespace paddle {

/// @return interval between renewals; it widens with the number of writers
Millis
RenewInterval(const LeaseState& aState);

/// @return term of the own session; it widens with the interval
Millis
SessionTerm(const LeaseState& aState);

/// Creates or renews the own session. From here on the row may name the new
/// successor and the new term.
WriteLeaseRows
MakeRenewal(LeaseState& aState, MonotonicTime aNow);

/// @return a transaction that ends another session, if this process may
std::optional<WriteLeaseRows>
MakeSessionEnd(const LeaseState& aState, MonotonicTime aNow);

/// @return a transaction that takes the shards that have no live owner and
///         for which this process comes first, if there are any
std::optional<WriteLeaseRows>
MakeAcquisition(const LeaseState& aState, MonotonicTime aNow);

/// @return a transaction that hands over stopped shards, if there are any
std::optional<WriteLeaseRows>
MakeHandOver(const LeaseState& aState);

/// @return a transaction that ends the own session
WriteLeaseRows
MakeOwnSessionEnd(const LeaseState& aState);

} // namespace paddle
