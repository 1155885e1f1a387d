#pragma once

#include <string>
#include <string_view>

#include <LibDispatch/Interference.h>

namespace paddle {

/// Formats the store row in which a shard's owner keeps its estimates of the
/// interference between images, so that the next owner starts from them.
/// @return the text of the row, as JSON
std::string
FormatInterference(const dispatch::InterferenceRecord& aRecord);

/// Parses such a row.
/// @return the valid entries of the row. Malformed entries are skipped, because
///         their estimates can be learned again.
dispatch::InterferenceRecord
ParseInterference(std::string_view aText);

} // namespace paddle
