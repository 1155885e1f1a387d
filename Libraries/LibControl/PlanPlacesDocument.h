#pragma once

#include <LibControl/ApplyCommand.h>
#include <LibControl/CommitChange.h>

namespace paddle {

/// Plans to put a places document, which lists the data centres, in force. The
/// document must have passed CheckDocument(). New data centres start in
/// service. A data centre that is no longer listed is removed; the plan is
/// refused while it is in service. The others keep their state.
Outcome<ChangePlan>
PlanPlacesDocument(const TablePort& aTable,
                   const Author& aAuthor,
                   const ApplyRequest& aRequest);

/// @param aState "in" or "out"
/// @param aAuthor who set the state and why; stored in the row
/// @return the value of a row "dc/<name>"
std::string
DataCentreRowValue(const std::string& aRegion,
                   const std::string& aState,
                   const Author& aAuthor);

} // namespace paddle
