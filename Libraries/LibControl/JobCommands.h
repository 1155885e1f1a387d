#pragma once

#include <string>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// Submits a job to any scheduler. Submitting a job id again changes nothing.
/// @param aFile name of the document, for errors
/// @param aText text of the document
/// @param aJob job id that replaces the one in the document; may be empty
ControlResult
SubmitJob(const ControlPorts& aPorts,
          const std::string& aFile,
          const std::string& aText,
          const std::string& aJob);

/// Cancels a job that waits or runs.
/// @param aJob job id
ControlResult
CancelJob(const ControlPorts& aPorts,
          const Author& aAuthor,
          const std::string& aJob);

} // namespace paddle
