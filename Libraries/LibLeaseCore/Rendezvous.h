#pragma once

#include <span>
#include <string_view>

#include <LibLeaseCore/LeaseRecords.h>

namespace paddle {

/// Rendezvous hashing: the member with the highest score for a key is chosen.
/// The score does not depend on other members, so that a key moves only if its
/// member leaves or a member with a higher score joins.
/// @return the score of a member for a key
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aMember);

/// Chooses the owner of a shard: a member in the shard's data centre, else in
/// its region, else any member. Among several it is the one with the highest
/// score.
/// @return the chosen member, or null if there are no candidates
const LeaseMember*
ChooseOwner(const ShardPlace& aShard,
            std::span<const LeaseMember* const> aCandidates);

/// Chooses the successor of a session: a member in another data centre of the
/// region, else in the same data centre, else any member. Among several it is
/// the one with the highest score.
/// @return the chosen member, or null if there are no candidates
const LeaseMember*
ChooseSuccessor(const LeaseMember& aSelf,
                std::span<const LeaseMember* const> aCandidates);

} // namespace paddle
