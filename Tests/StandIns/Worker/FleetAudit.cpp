#include <StandIns/Worker/FleetAudit.h>

#include <algorithm>

namespace paddle {

void
AddViolation(FleetAudit& aAudit, const std::string& aText)
{
  constexpr std::size_t kMaxViolations = 20;
  if (aAudit.mViolations.size() < kMaxViolations) {
    aAudit.mViolations.push_back(aText);
  }
}

void
AuditStart(FleetAudit& aAudit,
           const std::string& aJob,
           const StartRecord& aStart,
           Millis aWorkInCheckpoint,
           const std::string& aDataCentre,
           MonotonicTime aNow)
{
  auto& starts = aAudit.mStartsByJob[aJob];
  const bool repeated =
    std::any_of(starts.begin(), starts.end(), [&](const StartRecord& aOther) {
      return aOther.mAttempt == aStart.mAttempt &&
             aOther.mEpoch == aStart.mEpoch;
    });
  if (repeated) {
    ++aAudit.mRepeatedAttempts;
    AddViolation(aAudit, aJob + " started twice with one attempt");
  }
  if (aAudit.mAcknowledgedJobs.count(aJob) != 0) {
    ++aAudit.mStartsAfterEnd;
    AddViolation(aAudit, aJob + " started after its acknowledged end");
  }
  const auto saved = aAudit.mAcknowledgedWork.find(aJob);
  if (saved != aAudit.mAcknowledgedWork.end() &&
      aWorkInCheckpoint < saved->second) {
    ++aAudit.mStaleCheckpoints;
    AddViolation(aAudit, aJob + " resumed from an old checkpoint");
  }
  const auto out = aAudit.mOutOfServiceSince.find(aDataCentre);
  if (out != aAudit.mOutOfServiceSince.end() &&
      aNow - out->second > kOutOfServiceGrace) {
    ++aAudit.mStartsOutOfService;
    AddViolation(aAudit, aJob + " started in " + aDataCentre + " while out");
  }
  ++aAudit.mStarts;
  starts.push_back(aStart);
}

Json::Value
ToJson(const FleetAudit& aAudit)
{
  Json::Value stats(Json::objectValue);
  stats["starts"] = Json::UInt64(aAudit.mStarts);
  stats["rejected"] = Json::UInt64(aAudit.mRejectedStarts);
  stats["finished"] = Json::UInt64(aAudit.mFinished);
  stats["failed"] = Json::UInt64(aAudit.mFailed);
  stats["stopped"] = Json::UInt64(aAudit.mStopped);
  stats["lapsed"] = Json::UInt64(aAudit.mExpiredLeases);
  stats["oldEpochs"] = Json::UInt64(aAudit.mStaleEpochCommands);
  stats["highestCommitment"] = aAudit.mHighestReservedShare;
  stats["capacityViolations"] = Json::UInt64(aAudit.mCapacityViolations);
  stats["twoPlaces"] = Json::UInt64(aAudit.mConcurrentRuns);
  stats["startsWhileOut"] = Json::UInt64(aAudit.mStartsOutOfService);
  stats["repeatedAttempts"] = Json::UInt64(aAudit.mRepeatedAttempts);
  stats["startsAfterEnd"] = Json::UInt64(aAudit.mStartsAfterEnd);
  stats["oldCheckpoints"] = Json::UInt64(aAudit.mStaleCheckpoints);
  stats["endedJobs"] = Json::UInt64(aAudit.mAcknowledgedJobs.size());
  stats["violations"] = Json::Value(Json::arrayValue);
  for (const std::string& violation : aAudit.mViolations) {
    stats["violations"].append(violation);
  }
  return stats;
}

Json::Value
StartsToJson(const FleetAudit& aAudit)
{
  Json::Value jobs(Json::objectValue);
  for (const auto& [job, starts] : aAudit.mStartsByJob) {
    for (const StartRecord& start : starts) {
      Json::Value shown(Json::objectValue);
      shown["worker"] = start.mWorker;
      shown["epoch"] = Json::UInt64(start.mEpoch);
      shown["attempt"] = start.mAttempt;
      shown["checkpoint"] = start.mCheckpoint;
      jobs[job].append(shown);
    }
  }
  return jobs;
}

} // namespace paddle
