#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibLeaseCore/LeaseActions.h>
#include <LibLeaseCore/LeaseState.h>

namespace paddle {

// The decisions of docs/design.md, section 5. A driver asks NextAction() what
// to do, does it, and reports the result with the moment at which it started,
// one action at a time. All moments are of the process's own clock.

/// @param aSelf its incarnation must differ from that of all other processes
LeaseState
MakeLeaseState(const LeaseTimes& aTimes, LeaseMember aSelf, MonotonicTime aNow);

/// @return the most urgent thing to do, or nothing for now
std::optional<LeaseAction>
NextAction(LeaseState& aState, MonotonicTime aNow);

/// @param aSent when the transaction was sent
void
ReportWrite(LeaseState& aState,
            const WriteLeaseRows& aAction,
            const LeaseWriteResult& aResult,
            MonotonicTime aSent,
            MonotonicTime aNow);

void
ReportRead(LeaseState& aState,
           const ReadLeaseRows& aAction,
           LeaseRows aRows,
           MonotonicTime aNow);

void
ReportReadFailure(LeaseState& aState, MonotonicTime aNow);

/// @param aSent when the request was sent
void
ReportPromise(LeaseState& aState,
              const AskPromise& aAction,
              bool aGranted,
              MonotonicTime aSent,
              MonotonicTime aNow);

/// Promises not to end a member's session for a term.
void
GrantPromise(LeaseState& aState,
             const std::string& aMember,
             Millis aTerm,
             MonotonicTime aNow);

/// @return whether the own session holds at this moment
bool
SessionHolds(const LeaseState& aState, MonotonicTime aNow);

/// @return the shard if this process owns it and takes new work for it now
const HeldShard*
FindOwned(const LeaseState& aState,
          std::string_view aShard,
          MonotonicTime aNow);

/// @return members of a role that were live at the last read
std::vector<const LeaseMember*>
LiveMembers(const LeaseState& aState, std::string_view aRole);

/// @return the named successor by the last confirmed renewal, or null
const LeaseMember*
NamedSuccessor(const LeaseState& aState);

/// Begins an orderly stop: hands over all shards, then ends the session.
void
BeginLeave(LeaseState& aState, MonotonicTime aNow);

/// @return whether nothing is left to wait for before the session ends
bool
ReadyToLeave(const LeaseState& aState, MonotonicTime aNow);

} // namespace paddle
