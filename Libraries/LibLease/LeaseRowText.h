#pragma once

#include <string>

#include <LibLeaseCore/LeaseActions.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// @return the text that is stored as the value of a row, or nothing for a
///         deletion
std::optional<std::string>
LeaseRowText(const LeaseRowValue& aValue);

/// @name Functions that parse row values; errors are of kind Internal and say
/// what is malformed.
/// @{
Outcome<SessionRecord>
ParseSessionRecord(const std::string& aText);

Outcome<ShardRecord>
ParseShardRecord(const std::string& aText);

Outcome<ReleaseRecord>
ParseReleaseRecord(const std::string& aText);
/// @}

} // namespace paddle
