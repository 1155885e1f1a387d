#pragma once

#include <string>
#include <vector>

#include <LibControl/ControlPorts.h>
#include <LibLeaseCore/LeaseActions.h>

namespace paddle {

/// A row "session/<member>".
struct SessionView
{
  SessionRecord mRecord;
  Endpoint mAddress;

  [[nodiscard]] const LeaseMember& Self() const { return mRecord.mMember; }
};

/// Reads all sessions; rows that can't be parsed are left out.
Outcome<std::vector<SessionView>>
ReadSessions(const TablePort& aTable);

/// Reads the sessions of one role. None is an error that says so.
Outcome<std::vector<SessionView>>
SessionsOfRole(const TablePort& aTable, const std::string& aRole);

/// Calls a method at one scheduler after the other until one answers or
/// refuses.
Outcome<Json::Value>
CallAnyScheduler(const ControlPorts& aPorts,
                 const std::string& aMethod,
                 const Json::Value& aParameters);

} // namespace paddle
