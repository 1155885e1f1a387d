#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <LibDocument/ServiceDocument.h>

namespace paddle {

enum class JobClass
{
  Batch,
  Urgent
};

/// A unit of batch work as submitted.
struct JobDocument
{
  std::string mJob; ///< Identity; a repeated submit of it changes nothing.
  std::string mTeam;
  JobClass mClass = JobClass::Batch;
  Resources mSize;                       ///< As declared; may be far off.
  Seconds mExpectedTime{ 0 };            ///< As declared; may be far off.
  std::vector<std::string> mDataCentres; ///< Allowed ones; empty: all.
};

/// Parses and checks a job, see ParseServiceDocument().
Outcome<JobDocument>
ParseJobDocument(std::string_view aFile, std::string_view aText);

} // namespace paddle
