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

/// One accepted start.
struct StartRecord
{
  std::string mWorker;
  std::uint64_t mEpoch = 0;
  std::uint32_t mAttempt = 0;
  std::string mCheckpoint;
};

/// What the stand-in saw, checked against the guarantees that hold across all
/// workers of the process.
struct FleetAudit
{
  std::uint64_t mStarts = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mStopped = 0;
  std::uint64_t mLapsed = 0; ///< Tasks whose lease was not renewed.
  std::uint64_t mOldEpochs = 0;
  double mHighestCommitment = 0; ///< Share of a worker's capacity.
  std::uint64_t mCapacityViolations = 0;
  std::uint64_t mTwoPlaces = 0;
  std::uint64_t mStartsWhileOut = 0;
  std::uint64_t mRepeatedAttempts = 0;
  std::uint64_t mStartsAfterEnd = 0;
  std::uint64_t mOldCheckpoints = 0;
  std::vector<std::string> mViolations; ///< The first few, as text.
  std::map<std::string, std::vector<StartRecord>> mStartsByJob;
  std::set<std::string> mEnded;         ///< Jobs whose end was acknowledged.
  std::map<std::string, Millis> mSaved; ///< Acknowledged work by job.
  std::map<std::string, MonotonicTime> mOutSince; ///< By data centre.
};

/// Time after an operator's command from which a start is a violation.
inline constexpr Millis kOutGrace{ 3000 };

/// Notes a violation in words; only the first few are kept.
void
AddViolation(FleetAudit& aAudit, const std::string& aText);

/// Checks an accepted start against the rules for attempts, checkpoints, ends
/// and data centres, and records it.
void
AuditStart(FleetAudit& aAudit,
           const std::string& aJob,
           const StartRecord& aStart,
           Millis aProgress,
           const std::string& aDataCentre,
           MonotonicTime aNow);

/// @return the audit as the answer of standin.stats
Json::Value
ToJson(const FleetAudit& aAudit);

/// @return the starts by job
Json::Value
StartsToJson(const FleetAudit& aAudit);

} // namespace paddle
