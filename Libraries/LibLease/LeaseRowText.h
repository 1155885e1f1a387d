#pragma once

#include <string>

#include <LibLeaseCore/LeaseActions.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// @return the value of a row as stored, or nothing for a deletion
std::optional<std::string>
LeaseRowText(const LeaseRowValue& aValue);

/// @name Parse row values; an error of kind Internal says what is malformed.
/// @{
Outcome<SessionRecord>
ParseSessionRecord(const std::string& aText);

Outcome<ShardRecord>
ParseShardRecord(const std::string& aText);

Outcome<ReleaseRecord>
ParseReleaseRecord(const std::string& aText);
/// @}

} // namespace paddle
