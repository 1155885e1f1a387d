#pragma once

#include <LibControl/ApplyCommand.h>
#include <LibControl/CommitChange.h>

namespace paddle {

/// Plans to put a service document in force. The document must have passed
/// CheckDocument(). A team owns at most one document, so a second service with
/// the same team is refused.
Outcome<ChangePlan>
PlanServiceDocument(const TablePort& aTable, const ApplyRequest& aRequest);

} // namespace paddle
