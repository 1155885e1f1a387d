#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <LibDocument/ServiceDocument.h>

namespace paddle {

/// Priority of a job. The scheduler places urgent jobs before batch jobs.
enum class JobClass
{
  Batch,
  Urgent
};

/// A batch job as its team submits it.
struct JobDocument
{
  std::string mJobId; ///< Submitting the same id again changes nothing.
  std::string mTeam;
  JobClass mClass = JobClass::Batch;
  Resources mSize;               ///< As declared; the real use may differ much.
  Seconds mExpectedRunTime{ 0 }; ///< As declared; may be far off the real time.
  std::vector<std::string> mDataCentres; ///< Where it may run; empty: anywhere.
};

/// Parses and validates a job document.
/// @param aFile name used in errors
/// @return the job, or all problems, see ParseServiceDocument()
Outcome<JobDocument>
ParseJobDocument(std::string_view aFile, std::string_view aText);

} // namespace paddle
