#include <StandIns/Worker/FleetAudit.h>

#include <algorithm>

namespace paddle {

void
AddViolation(FleetAudit& aAudit, const std::string& aText)
{
  constexpr std::size_t kMostKept = 20;
  if (aAudit.mViolations.size() < kMostKept) {
    aAudit.mViolations.push_back(aText);
  }
}

void
AuditStart(FleetAudit& aAudit,
           const std::string& aJob,
           const StartRecord& aStart,
           Millis aProgress,
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
  if (aAudit.mEnded.count(aJob) != 0) {
    ++aAudit.mStartsAfterEnd;
    AddViolation(aAudit, aJob + " started after its acknowledged end");
  }
  const auto saved = aAudit.mSaved.find(aJob);
  if (saved != aAudit.mSaved.end() && aProgress < saved->second) {
    ++aAudit.mOldCheckpoints;
    AddViolation(aAudit, aJob + " resumed from an old checkpoint");
  }
  const auto out = aAudit.mOutSince.find(aDataCentre);
  if (out != aAudit.mOutSince.end() && aNow - out->second > kOutGrace) {
    ++aAudit.mStartsWhileOut;
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
  stats["rejected"] = Json::UInt64(aAudit.mRejected);
  stats["finished"] = Json::UInt64(aAudit.mFinished);
  stats["failed"] = Json::UInt64(aAudit.mFailed);
  stats["stopped"] = Json::UInt64(aAudit.mStopped);
  stats["lapsed"] = Json::UInt64(aAudit.mLapsed);
  stats["oldEpochs"] = Json::UInt64(aAudit.mOldEpochs);
  stats["highestCommitment"] = aAudit.mHighestCommitment;
  stats["capacityViolations"] = Json::UInt64(aAudit.mCapacityViolations);
  stats["twoPlaces"] = Json::UInt64(aAudit.mTwoPlaces);
  stats["startsWhileOut"] = Json::UInt64(aAudit.mStartsWhileOut);
  stats["repeatedAttempts"] = Json::UInt64(aAudit.mRepeatedAttempts);
  stats["startsAfterEnd"] = Json::UInt64(aAudit.mStartsAfterEnd);
  stats["oldCheckpoints"] = Json::UInt64(aAudit.mOldCheckpoints);
  stats["endedJobs"] = Json::UInt64(aAudit.mEnded.size());
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
