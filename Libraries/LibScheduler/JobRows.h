#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <LibPlacement/Job.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// The row "jobid/<job>": the shard that holds the job, and how the job ended.
/// It remains after the end, so that a repeated submit is recognised.
struct JobIdRow
{
  std::string mShard;
  std::string mState;         ///< "accepted", "ended", "cancelled" or "held".
  std::string mReason;        ///< Why the job is held.
  std::uint32_t mAttempt = 0; ///< The last attempt, if the job is done.
};

/// @return the key of the row that holds a job's state
std::string
JobKey(std::string_view aShard, std::string_view aJob);

/// @return the prefix of the keys of all job rows of a shard
std::string
JobPrefix(std::string_view aShard);

/// @return the key of the row that says which shard holds a job
std::string
JobIdKey(std::string_view aJob);

/// Converts a job's durable state to the JSON text of its row.
std::string
JobRowText(const JobRow& aRow);

Outcome<JobRow>
ParseJobRow(const std::string& aText);

/// Converts a job id row to its JSON text.
std::string
JobIdRowText(const JobIdRow& aRow);

Outcome<JobIdRow>
ParseJobIdRow(const std::string& aText);

/// @return the name of the phase in answers and rows
const char*
PhaseName(JobPhase aPhase);

/// @return the name of the class in answers, rows and worker.start
const char*
ClassName(TaskClass aClass);

} // namespace paddle
