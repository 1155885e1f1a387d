#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>
#include <LibControl/RecordReader.h>

namespace paddle {

/// Explains what was decided about a request or a job, in sentences for the
/// customer or the team: from the decision records, and for a job also from
/// the scheduler that holds it.
/// @param aOther another request or job to compare it with; may be empty
ControlResult
ExplainSubject(const ControlPorts& aPorts,
               const RecordWindow& aWindow,
               const std::string& aSubject,
               const std::string& aOther);

/// Shows per customer and team of a service how many requests and jobs were
/// served, delayed, evicted and refused, and how long they waited.
ControlResult
ShowFairness(const ControlPorts& aPorts,
             const RecordWindow& aWindow,
             const std::string& aService);

} // namespace paddle
