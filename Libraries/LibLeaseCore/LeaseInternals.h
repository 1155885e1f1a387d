#pragma once

// Functions that the source files of the lease decisions share. Other libraries
// must not include this file.

#include <vector>

#include <LibLeaseCore/LeaseState.h>

namespace paddle {

/// @return whether the session's row had not changed for a term and the safety
///         margin at the last read, so that its holder may be dead
bool
IsSuspect(const LeaseState& aState, const SeenSession& aSession);

/// @return whether @p aMember describes the current session of this process
bool
IsSelf(const LeaseState& aState, const LeaseMember& aMember);

/// @return the other live members of the own role, without those that are
///         leaving
std::vector<const LeaseMember*>
StayingPeers(const LeaseState& aState);

/// @return the members that may become owners of shards, including this process
///         unless it is leaving
std::vector<const LeaseMember*>
OwnerCandidates(const LeaseState& aState);

} // namespace paddle
