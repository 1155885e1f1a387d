#pragma once

#include <string>

#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// States that the host of a member is gone, so that its session may be ended
/// after a term by any process of its role, although it named a successor.
/// The statement concerns the present session only.
/// @param aWho operator who says so
/// @param aWhy reason, kept with the statement
/// @return an error of kind NotFound if the member has no session, Conflict
///         if it has just renewed its session and thus runs, or as the table
Outcome<Done>
ReleaseMember(const TablePort& aTable,
              const std::string& aMember,
              const std::string& aWho,
              const std::string& aWhy);

} // namespace paddle
