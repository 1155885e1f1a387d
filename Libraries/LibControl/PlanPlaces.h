#pragma once

#include <LibControl/Acceptance.h>
#include <LibControl/ApplyCommand.h>

namespace paddle {

/// Plans the acceptance of a places document that passed its check. New data
/// centres begin in service; one that is no longer listed must be out of
/// service before it can be removed. The state of the others is kept.
Outcome<ChangePlan>
PlanPlaces(const TablePort& aTable,
           const Author& aAuthor,
           const ApplyRequest& aRequest);

/// @return the value of a row "dc/<name>"
std::string
DataCentreRowValue(const std::string& aRegion,
                   const std::string& aState,
                   const Author& aAuthor);

} // namespace paddle
