#pragma once

// Shared by the source files of the lease decisions; not for their users.

#include <vector>

#include <LibLeaseCore/LeaseState.h>

namespace paddle {

/// @return whether the session's row was unchanged for a term and the margin
///         at the last read
bool
IsSuspect(const LeaseState& aState, const SeenSession& aSession);

/// @return whether @p aMember is the own present session
bool
IsSelf(const LeaseState& aState, const LeaseMember& aMember);

/// @return other live members of the own role that do not leave
std::vector<const LeaseMember*>
StayingPeers(const LeaseState& aState);

/// @return members that shards may be given to, including this process unless
///         it leaves
std::vector<const LeaseMember*>
OwnerCandidates(const LeaseState& aState);

} // namespace paddle
