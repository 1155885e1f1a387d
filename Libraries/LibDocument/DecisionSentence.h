#pragma once

#include <string>

#include <LibDocument/DecisionRecord.h>

namespace paddle {

/// @return one or two sentences that tell the client account or the team what
///         was decided, why, by which figures, and what would have led to
///         another decision
std::string
ExplainDecision(const DecisionRecord& aRecord);

/// Compares the decisions about two subjects, using only their records.
/// @param aFirst record of the subject that is asked about
/// @param aOther record of the subject that it is compared with
/// @return sentences that say which was decided first and by which rules
std::string
CompareDecisions(const DecisionRecord& aFirst, const DecisionRecord& aOther);

} // namespace paddle
