#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Submits a job to any scheduler. Submitting it again changes nothing.
/// @param aJob job id that replaces the one in the document; may be empty
ControlResult
SubmitJob(const ControlPorts& aPorts,
          const std::string& aFile,
          const std::string& aText,
          const std::string& aJob);

/// Cancels a job, whether it waits or runs.
ControlResult
CancelJob(const ControlPorts& aPorts,
          const Author& aAuthor,
          const std::string& aJob);

} // namespace paddle
