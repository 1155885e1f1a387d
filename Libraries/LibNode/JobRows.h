#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibDispatch/Job.h>
#include <LibDispatch/Runner.h>

namespace paddle {

/// A job as the node that accepted it stores it for the shard's owner.
struct AcceptedJob
{
  dispatch::JobSpec mSpec;
  std::int64_t mAcceptedUnixMs = 0;
};

/// What any node answers about a job.
struct JobStatus
{
  std::uint32_t mShard = 0;
  std::string mQueue;
  dispatch::JobPhase mPhase = dispatch::JobPhase::Active;
  bool mBegan = false;
};

std::string
FormatAcceptedJob(const AcceptedJob& aJob);
std::optional<AcceptedJob>
ParseAcceptedJob(std::string_view aText);

std::string
FormatStatus(const JobStatus& aStatus);
std::optional<JobStatus>
ParseStatus(std::string_view aText);

std::string
FormatProgress(const dispatch::JobProgress& aProgress);
std::optional<dispatch::JobProgress>
ParseProgress(std::string_view aText);

/// The runners on which a shard's tasks may run, for a later owner.
std::string
FormatRunners(std::span<const dispatch::InheritedRunner> aRunners);
std::vector<dispatch::InheritedRunner>
ParseRunners(std::string_view aText);

} // namespace paddle
