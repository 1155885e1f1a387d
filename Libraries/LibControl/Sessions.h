#pragma once

#include <string>
#include <vector>

#include <LibControl/ControlPorts.h>

namespace paddle {

/// A row "session/<member>".
struct SessionView
{
  std::string mName;
  std::string mIncarnation;
  std::string mRole;
  std::string mDataCentre;
  std::string mRegion;
  Endpoint mAddress;
  std::uint64_t mRenewal = 0; ///< Rises with each renewal.
  std::string mSuccessor;
};

/// Reads all sessions; rows that can't be parsed are left out.
Outcome<std::vector<SessionView>>
ReadSessions(const TablePort& aTable);

/// Reads the sessions of one role. None is an error that says so.
Outcome<std::vector<SessionView>>
SessionsOfRole(const TablePort& aTable, const std::string& aRole);

/// Calls a method at one scheduler after the other until one answers.
/// @param aIsAnswer whether an outcome ends the search; by default everything
///        but an unreachable scheduler does
Outcome<Json::Value>
CallAnyScheduler(const ControlPorts& aPorts,
                 const std::string& aMethod,
                 const Json::Value& aParameters);

} // namespace paddle
