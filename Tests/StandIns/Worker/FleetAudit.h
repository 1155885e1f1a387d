#pragma once

#include <cstdint>
#include <json/value.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// One start that a worker accepted.
struct StartRecord
{
  std::string mWorker;
  std::uint64_t mEpoch = 0;
  std::uint32_t mAttempt = 0;
  std::string mCheckpoint; ///< Where the task resumed; empty: from the start.
};

/// Counts of what the workers saw, and of violations of the guarantees that the
/// scheduler gives across all workers of the process.
struct FleetAudit
{
  std::uint64_t mStarts = 0;         ///< Accepted starts.
  std::uint64_t mRejectedStarts = 0; ///< Token too old or from before a reboot.
  std::uint64_t mFinished = 0;       ///< Tasks that did all their work.
  std::uint64_t mFailed = 0;         ///< Tasks that failed.
  std::uint64_t mStopped = 0;        ///< Tasks that were stopped by command.
  std::uint64_t mExpiredLeases = 0;  ///< Tasks whose lease was not renewed.
  /// Requests that were rejected for an older epoch than the worker's.
  std::uint64_t mStaleEpochCommands = 0;
  double mHighestReservedShare = 0; ///< Highest share of a worker's capacity.
  /// Violation: a start reserved more than the worker's capacity.
  std::uint64_t mCapacityViolations = 0;
  /// Violation: a job started while a task of it still ran.
  std::uint64_t mConcurrentRuns = 0;
  /// Violation: a task started in a data centre that is out of service.
  std::uint64_t mStartsOutOfService = 0;
  /// Violation: an attempt of a job started twice in one epoch.
  std::uint64_t mRepeatedAttempts = 0;
  /// Violation: a job started although its end was acknowledged.
  std::uint64_t mStartsAfterEnd = 0;
  /// Violation: a task resumed with less work than was acknowledged as saved.
  std::uint64_t mStaleCheckpoints = 0;
  /// Descriptions of the first violations.
  std::vector<std::string> mViolations;
  std::map<std::string, std::vector<StartRecord>> mStartsByJob;
  std::set<std::string> mAcknowledgedJobs; ///< Their end was acknowledged.
  std::map<std::string, Millis> mAcknowledgedWork; ///< Saved work by job.
  /// By data centre, when it was taken out of service.
  std::map<std::string, MonotonicTime> mOutOfServiceSince;
};

/// How long after the command that takes a data centre out of service a start
/// there is still allowed; a later one is a violation.
inline constexpr Millis kOutOfServiceGrace{ 3000 };

/// Records the description of a violation; only the first ones are kept.
void
AddViolation(FleetAudit& aAudit, const std::string& aText);

/// Checks an accepted start against the guarantees for attempts, checkpoints,
/// ended jobs and data centres out of service, and records the start.
/// @param aWorkInCheckpoint work that the start's checkpoint holds
/// @param aDataCentre       data centre of the worker
void
AuditStart(FleetAudit& aAudit,
           const std::string& aJob,
           const StartRecord& aStart,
           Millis aWorkInCheckpoint,
           const std::string& aDataCentre,
           MonotonicTime aNow);

/// @return the counts and violations, without the starts, for standin.stats
Json::Value
ToJson(const FleetAudit& aAudit);

/// @return an object with the list of starts of each job
Json::Value
StartsToJson(const FleetAudit& aAudit);

} // namespace paddle
