#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <LibDispatch/Job.h>
#include <LibDispatch/Runner.h>
#include <LibNode/StoreClock.h>
#include <LibNode/StoreLimits.h>

namespace paddle {

/// A job as the node that accepted it stores it in the inbox of a shard, where
/// the shard's owner reads it.
struct AcceptedJob
{
  dispatch::JobSpec mSpec;
  std::int64_t mAcceptedUnixMs = 0;
};

/// The status row of a job, from which any node answers clients.
struct JobStatus
{
  std::uint32_t mShard = 0;
  std::string mQueue;
  dispatch::JobPhase mPhase = dispatch::JobPhase::Active;
  bool mBegan = false; ///< A task of the job has started.
};

/// Formats the row of a job in a shard's inbox.
std::string
FormatAcceptedJob(const AcceptedJob& aJob);
std::optional<AcceptedJob>
ParseAcceptedJob(std::string_view aText);

/// Finds out before a job is accepted whether the store takes its rows. The row
/// in the inbox is the largest of them that doesn't change; the status row has
/// only texts that it has too.
/// @return the bound that the job exceeds, if any
std::optional<LimitViolation>
FindJobViolation(const dispatch::JobSpec& aJob, const StoreLimits& aLimits);

/// Formats the row of a job in the status table.
std::string
FormatStatus(const JobStatus& aStatus);
std::optional<JobStatus>
ParseStatus(std::string_view aText);

/// Formats the progress row of a job, which the shard's owner writes.
std::string
FormatProgress(const dispatch::JobProgress& aProgress);
std::optional<dispatch::JobProgress>
ParseProgress(std::string_view aText);

/// Formats the row that tells a later owner on which runners tasks of the shard
/// may still run. The row states times on the store's clock.
std::string
FormatRunners(std::span<const dispatch::InheritedRunner> aRunners,
              const StoreClock& aClock);
std::vector<dispatch::InheritedRunner>
ParseRunners(std::string_view aText, const StoreClock& aClock);

} // namespace paddle
