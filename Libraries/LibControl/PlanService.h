#pragma once

#include <LibControl/Acceptance.h>
#include <LibControl/ApplyCommand.h>

namespace paddle {

/// Plans the acceptance of a service document that passed its check. A team
/// owns one document, so a second one with the same team is refused.
Outcome<ChangePlan>
PlanService(const TablePort& aTable, const ApplyRequest& aRequest);

} // namespace paddle
