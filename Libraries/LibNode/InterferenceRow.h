#pragma once

#include <string>
#include <string_view>

#include <LibDispatch/Interference.h>

namespace paddle {

/// The row in which a shard's owner keeps what it has learned of images that
/// disturb each other.
std::string
FormatInterference(const dispatch::InterferenceRecord& aRecord);

/// @return what can be read of the row; entries of another form are left out,
///         because they can be learned again
dispatch::InterferenceRecord
ParseInterference(std::string_view aText);

} // namespace paddle
