#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>
#include <LibControl/RecordReader.h>

namespace paddle {

/// Explains the decisions about a request or a job, in sentences for the client
/// account or the team. The explanation uses the decision records and, for
/// a job, also the answer of the scheduler that holds it.
/// @param aSubject request id or job id
/// @param aOther id of another request or job to compare it with; may be empty
ControlResult
ExplainSubject(const ControlPorts& aPorts,
               const RecordWindow& aWindow,
               const std::string& aSubject,
               const std::string& aOther);

/// Shows for each client account and team of a service how many requests and
/// jobs were served, delayed, evicted and refused, and how long they waited.
ControlResult
ShowFairness(const ControlPorts& aPorts,
             const RecordWindow& aWindow,
             const std::string& aService);

} // namespace paddle
