#pragma once

#include <string>

#include <LibDocument/DecisionRecord.h>

namespace paddle {

/// @return one or two sentences that say to the customer or the team what was
///         decided, why, by which figures, and what would have changed it
std::string
SentenceOf(const DecisionRecord& aRecord);

/// Says why one subject came before another, from their records alone.
/// @param aFirst  the one that is asked about
/// @param aOther  the one it is compared with
std::string
Comparison(const DecisionRecord& aFirst, const DecisionRecord& aOther);

} // namespace paddle
