#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <LibPlacement/Job.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// The row jobid/<job>: which shard holds the job, and how it ended.
struct JobIdRow
{
  std::string mShard;
  std::string mState; ///< "accepted", "ended", "cancelled" or "held".
  std::string mReason;
  std::uint32_t mAttempt = 0; ///< The last one, if it ended.
};

std::string
JobKey(std::string_view aShard, std::string_view aJob);

std::string
JobPrefix(std::string_view aShard);

std::string
JobIdKey(std::string_view aJob);

std::string
JobRowText(const JobRow& aRow);

Outcome<JobRow>
ParseJobRow(const std::string& aText);

std::string
JobIdRowText(const JobIdRow& aRow);

Outcome<JobIdRow>
ParseJobIdRow(const std::string& aText);

/// @return the phase in a word, as status and rows show it
const char*
PhaseName(JobPhase aPhase);

const char*
ClassName(TaskClass aClass);

} // namespace paddle
