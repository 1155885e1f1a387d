#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibLeaseCore/LeaseActions.h>
#include <LibLeaseCore/LeaseState.h>

namespace paddle {

// The lease decisions of one process. Each process keeps a session: a row in
// the table service that it renews and that is valid for a term. A session may
// own shards, each with an epoch that rises with each change of owner. Other
// processes end a session that was not renewed and take its shards. When
// renewal fails, the owner may go on as long as its named successor has
// promised not to end the session.
//
// The caller asks NextAction() for an action, carries it out, and reports the
// result with one of the Report functions, one action at a time. All times are
// of the process's own monotonic clock. docs/design.md, section 5, gives the
// reasons.

/// @param aSelf the description of this process; its incarnation must differ
///              from those of all other processes
/// @return the state of a process that has just started
LeaseState
MakeLeaseState(const LeaseTimes& aTimes, LeaseMember aSelf, MonotonicTime aNow);

/// @return the most urgent action, or nothing if none is due
std::optional<LeaseAction>
NextAction(LeaseState& aState, MonotonicTime aNow);

/// Applies the result of a transaction.
/// @param aSent when the transaction was sent; a renewed lease counts from then
void
ReportWrite(LeaseState& aState,
            const WriteLeaseRows& aAction,
            const LeaseWriteResult& aResult,
            MonotonicTime aSent,
            MonotonicTime aNow);

/// Applies the rows of one part of a read. The last part completes the read.
void
ReportRead(LeaseState& aState,
           const ReadLeaseRows& aAction,
           LeaseRows aRows,
           MonotonicTime aNow);

/// Records that a read failed. A new read starts with its first part.
void
ReportReadFailure(LeaseState& aState, MonotonicTime aNow);

/// Applies the answer to a request for a promise.
/// @param aSent when the request was sent; the promise counts from then
void
ReportPromise(LeaseState& aState,
              const AskPromise& aAction,
              bool aGranted,
              MonotonicTime aSent,
              MonotonicTime aNow);

/// Records the promise of this process not to end a member's session for a
/// term.
void
GrantPromise(LeaseState& aState,
             const std::string& aMember,
             Millis aTerm,
             MonotonicTime aNow);

/// @return whether the own session is valid now, by a renewal or by promises
bool
SessionHolds(const LeaseState& aState, MonotonicTime aNow);

/// @return the shard if this process owns it and accepts new work for it now,
///         else null
const HeldShard*
FindOwned(const LeaseState& aState,
          std::string_view aShard,
          MonotonicTime aNow);

/// @return the members of a role whose sessions were live at the last read
std::vector<const LeaseMember*>
LiveMembers(const LeaseState& aState, std::string_view aRole);

/// @return the successor that the last confirmed renewal named, or null
const LeaseMember*
NamedSuccessor(const LeaseState& aState);

/// Begins an orderly stop: the process hands over all shards and then ends its
/// session.
void
BeginLeave(LeaseState& aState, MonotonicTime aNow);

/// @return whether the session can end now: all shards were handed over or
///         nobody can take them
bool
ReadyToLeave(const LeaseState& aState, MonotonicTime aNow);

} // namespace paddle
