#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <LibDispatch/Interference.h>
#include <LibNode/StoreLimits.h>

namespace paddle {

/// Formats the store row in which a shard's owner keeps its estimates of the
/// interference between images, so that the next owner starts from them.
/// Entries that don't fit are left out, from the end of the record on, which
/// the next owner learns again. Tail latencies take half of the row at most.
/// @param aMaxBytes largest size of the row
/// @return the text of the row, as JSON
std::string
FormatInterference(const dispatch::InterferenceRecord& aRecord,
                   std::size_t aMaxBytes = StoreLimits{}.mRowBytes);

/// Parses such a row.
/// @return the valid entries of the row. Malformed entries are skipped, because
///         their estimates can be learned again.
dispatch::InterferenceRecord
ParseInterference(std::string_view aText);

} // namespace paddle
