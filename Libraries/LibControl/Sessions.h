#pragma once

#include <string>
#include <vector>

#include <LibControl/ControlPorts.h>
#include <LibLeaseCore/LeaseActions.h>

namespace paddle {

/// The session of a process, from the row "session/<member>".
struct SessionView
{
  SessionRecord mRecord;
  Endpoint mAddress; ///< Of the process, for RPC calls.

  [[nodiscard]] const LeaseMember& Member() const { return mRecord.mMember; }
};

/// Reads all sessions. Rows that can't be parsed are left out.
Outcome<std::vector<SessionView>>
ReadSessions(const TablePort& aTable);

/// Reads the sessions of all processes of one role, for instance "scheduler".
/// @return the sessions; an error of kind Unavailable if there is none
Outcome<std::vector<SessionView>>
SessionsOfRole(const TablePort& aTable, const std::string& aRole);

/// Calls a method of the schedulers in turn until one answers or refuses. The
/// method must be safe to repeat, because a scheduler whose answer was lost may
/// have carried it out.
/// @return the answer or the refusal. If no scheduler answered, an error: of
///         kind Unknown if one of them may have carried out the call, otherwise
///         of kind Unavailable
Outcome<Json::Value>
CallAnyScheduler(const ControlPorts& aPorts,
                 const std::string& aMethod,
                 const Json::Value& aParameters);

} // namespace paddle
