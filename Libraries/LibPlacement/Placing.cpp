#include <algorithm>
#include <vector>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace {

using namespace placement;

/// @return whether the job may run in the data centre
bool
AllowedIn(const JobSpec& aSpec, const std::string& aDataCentre)
{
  return aSpec.mDataCentres.empty() ||
         std::find(aSpec.mDataCentres.begin(),
                   aSpec.mDataCentres.end(),
                   aDataCentre) != aSpec.mDataCentres.end();
}

/// @return the amounts as a text for users
std::string
SizeText(const ResourceVector& aAmount)
{
  return std::to_string(static_cast<double>(aAmount.mMilliCores) / 1000) +
         " cores, " + std::to_string(aAmount.mMemoryMb) + " MB, " +
         std::to_string(aAmount.mAccelerators) + " accelerators";
}

/// Starts the queued job on the worker and reserves its resources there.
void
StartOn(Shard& aShard,
        Job& aJob,
        WorkerIndex aWorker,
        const ResourceVector& aReservation,
        MonotonicTime aNow,
        Actions& aActions)
{
  Worker& worker = aShard.mWorkers[aWorker];
  Dequeue(aShard, aJob);
  aJob.mPhase = JobPhase::Starting;
  aJob.mWorker = aWorker;
  aJob.mStartedAt = aNow;
  if (worker.mReservedFor == aJob.mRow.mSpec.mJob) {
    worker.mReservedFor.clear();
  }
  aJob.mWorkerReservedUntil.reset();
  TaskSlot slot;
  slot.mJob = aJob.mRow.mSpec.mJob;
  slot.mAttempt = aJob.mRow.mAttempt;
  slot.mDeclared = aJob.mRow.mSpec.mDeclared;
  slot.mReserved = ReservationOn(worker, aJob, aReservation);
  slot.mTeam = aJob.mTeam;
  slot.mClass = aJob.mRow.mSpec.mClass;
  slot.mToken = worker.mToken;
  slot.mCheckpoint = aJob.mRow.mCheckpoint;
  DataCentreStatus& dataCentre = aShard.mDataCentres[worker.mDataCentre];
  if (dataCentre.mReturnedAt) {
    dataCentre.mMilliCoresStartedSinceReturn += slot.mReserved.mMilliCores;
  }
  ++aShard.mCounters.mStarts;
  aActions.emplace_back(StartTask{ aWorker,
                                   slot.mJob,
                                   slot.mAttempt,
                                   slot.mReserved,
                                   slot.mCheckpoint,
                                   slot.mToken,
                                   slot.mClass,
                                   aJob.mRow.mSpec.mExpectedTime });
  AddSlot(aShard, aWorker, std::move(slot), aNow);
}

/// The position of a pass in one team's queue.
struct TeamCursor
{
  Team* mTeam = nullptr;
  std::map<std::uint64_t, Job*>::iterator mNext;
  double mScore = 0;      ///< The team with the lowest score is served first.
  std::size_t mTries = 0; ///< Jobs of the team that could not be started.
};

/// The state of one pass over the queued jobs of one class.
struct PlacementPass
{
  Shard& mShard;
  TaskClass mClass;
  MonotonicTime mNow;
  Actions& mActions;
  std::vector<TeamCursor> mCursors;
  /// A reservation that fitted on no worker. Jobs that need at least as much of
  /// each resource are not tried in this pass.
  std::optional<ResourceVector> mKnownNotToFit;
};

/// @return the score of the team whose job is at the cursor: the dominant share
///         of its quota that is in use, less the job's waiting time. Ten
///         minutes of waiting weigh as much as a whole quota, so that no team
///         starves.
double
FairShareScore(const PlacementPass& aPass, const TeamCursor& aCursor)
{
  constexpr double kWaitEqualToQuotaS = 600;
  const Team& team = *aCursor.mTeam;
  const ResourceVector& quota =
    team.mQuota == ResourceVector{} ? aPass.mShard.mCapacity : team.mQuota;
  const std::chrono::duration<double> age =
    aPass.mNow - aCursor.mNext->second->mAcceptedAt;
  return DominantShare(team.mReserved, quota) -
         age.count() / kWaitEqualToQuotaS;
}

/// @return the team's queue for the class of the pass
std::map<std::uint64_t, Job*>&
QueueOf(const PlacementPass& aPass, Team& aTeam)
{
  return aTeam.mQueues[static_cast<std::size_t>(aPass.mClass)];
}

/// Adds a cursor for each team that has queued jobs of the class.
void
CollectCursors(PlacementPass& aPass)
{
  for (const auto& [name, team] : aPass.mShard.mTeams) {
    auto& queue = QueueOf(aPass, *team);
    if (!queue.empty()) {
      TeamCursor cursor{ team.get(), queue.begin(), 0, 0 };
      cursor.mScore = FairShareScore(aPass, cursor);
      aPass.mCursors.push_back(cursor);
    }
  }
}

/// @return whether the pass has shown already that the job fits on no worker. A
///         job for which a worker is or was reserved is always tried.
bool
IsKnownNotToFit(const PlacementPass& aPass,
                const Job& aJob,
                const ResourceVector& aReservation)
{
  return aPass.mKnownNotToFit && Fits(*aPass.mKnownNotToFit, aReservation) &&
         !aJob.mWorkerReservedUntil;
}

/// Handles that no worker takes the job now: makes room for a service, and
/// reserves a worker for a batch job that has waited too long.
void
HandleNoFit(PlacementPass& aPass, Job& aJob, const ResourceVector& aReservation)
{
  if (aJob.mRow.mSpec.mDataCentres.empty() && aJob.mFailedOn.empty() &&
      !aPass.mKnownNotToFit) {
    aPass.mKnownNotToFit = aReservation;
  }
  if (aPass.mClass == TaskClass::Service) {
    PreemptBatch(aPass.mShard, aJob, aPass.mNow, aPass.mActions);
  } else if (aPass.mNow - aJob.mAcceptedAt >=
             aPass.mShard.mSettings.mReserveWorkerAfter) {
    ReserveWorkerForStarvedJob(aPass.mShard, aJob, aPass.mNow);
  }
}

/// Tries to start the job at the cursor and advances the cursor.
/// @return whether it was started
bool
TryNext(PlacementPass& aPass, TeamCursor& aCursor)
{
  Shard& shard = aPass.mShard;
  Job& job = *aCursor.mNext->second;
  ++aCursor.mNext;
  if (job.mNotBefore > aPass.mNow) {
    ++aCursor.mTries;
    return false;
  }
  const ResourceVector reservation =
    shard.mPolicy->mSizeReservation(shard, job);
  if (!IsKnownNotToFit(aPass, job, reservation)) {
    const auto worker =
      shard.mPolicy->mChooseWorker(shard, job, reservation, aPass.mNow);
    if (worker &&
        MayPlace(
          shard, job, shard.mWorkers[*worker], reservation, aPass.mNow)) {
      StartOn(shard, job, *worker, reservation, aPass.mNow, aPass.mActions);
      return true;
    }
    HandleNoFit(aPass, job, reservation);
  }
  ++aCursor.mTries;
  return false;
}

/// Starts queued jobs of one class, one at a time from the team with the lowest
/// score.
/// @return the number of starts
std::size_t
RunPass(PlacementPass& aPass, std::size_t aLimit)
{
  CollectCursors(aPass);
  std::size_t started = 0;
  auto& cursors = aPass.mCursors;
  while (started < aLimit && !cursors.empty()) {
    const auto lowest =
      std::min_element(cursors.begin(),
                       cursors.end(),
                       [](const TeamCursor& aLeft, const TeamCursor& aRight) {
                         return aLeft.mScore < aRight.mScore;
                       });
    started += TryNext(aPass, *lowest) ? 1 : 0;
    if (lowest->mNext == QueueOf(aPass, *lowest->mTeam).end() ||
        lowest->mTries >= aPass.mShard.mSettings.mMaxFailedTriesPerTeam) {
      *lowest = cursors.back();
      cursors.pop_back();
    } else {
      lowest->mScore = FairShareScore(aPass, *lowest);
    }
  }
  return started;
}

} // namespace

std::size_t
PlaceQueued(Shard& aShard,
            MonotonicTime aNow,
            std::size_t aLimit,
            Actions& aActions)
{
  std::size_t started = 0;
  for (const TaskClass taskClass :
       { TaskClass::Service, TaskClass::Urgent, TaskClass::Batch }) {
    if (aShard.mQueued == 0 || started >= aLimit) {
      break;
    }
    PlacementPass pass{ aShard, taskClass, aNow, aActions, {}, {} };
    started += RunPass(pass, aLimit - started);
  }
  return started;
}

bool
CouldEverRun(const WorkerSpec& aWorker, const JobSpec& aJob)
{
  return Fits(aJob.mDeclared, aWorker.mCapacity) &&
         AllowedIn(aJob, aWorker.mDataCentre);
}

std::optional<std::string>
WhyUnplaceable(const std::vector<WorkerSpec>& aWorkers, const JobSpec& aJob)
{
  ResourceVector largest;
  for (const WorkerSpec& worker : aWorkers) {
    if (CouldEverRun(worker, aJob)) {
      return std::nullopt;
    }
    if (AllowedIn(aJob, worker.mDataCentre) &&
        std::pair(worker.mCapacity.mMilliCores, worker.mCapacity.mMemoryMb) >
          std::pair(largest.mMilliCores, largest.mMemoryMb)) {
      largest = worker.mCapacity;
    }
  }
  if (largest == ResourceVector{}) {
    return "no worker exists in the data centres that job " + aJob.mJob +
           " allows";
  }
  return "job " + aJob.mJob + " needs " + SizeText(aJob.mDeclared) +
         ", which no worker could ever hold; the largest worker has " +
         SizeText(largest);
}

ResourceVector
ReservationOn(const Worker& aWorker,
              const Job& aJob,
              const ResourceVector& aReservation)
{
  return ElementwiseMax(aJob.mRow.mSpec.mDeclared,
                        ElementwiseMin(aReservation, aWorker.mSpec.mCapacity));
}

bool
MayPlace(const Shard& aShard,
         const Job& aJob,
         const Worker& aWorker,
         const ResourceVector& aReservation,
         MonotonicTime aNow)
{
  if (!aWorker.mPoolKey || !aWorker.mLastReportAt ||
      aNow - *aWorker.mLastReportAt > aShard.mSettings.mMaxTokenAgeToSend) {
    return false;
  }
  const ResourceVector reservation = ReservationOn(aWorker, aJob, aReservation);
  if (!Fits(reservation, aWorker.mFree) ||
      !AllowedIn(aJob.mRow.mSpec, aWorker.mSpec.mDataCentre)) {
    return false;
  }
  if (!aWorker.mReservedFor.empty() && aWorker.mReservedUntil > aNow &&
      aWorker.mReservedFor != aJob.mRow.mSpec.mJob) {
    return false;
  }
  const auto failedOn = [&](const Worker& aOther) {
    const auto index =
      static_cast<WorkerIndex>(&aOther - aShard.mWorkers.data());
    return std::find(aJob.mFailedOn.begin(), aJob.mFailedOn.end(), index) !=
           aJob.mFailedOn.end();
  };
  // A worker that has been silent for longer than a lease may never answer.
  const Millis lease =
    aShard.mSettings.mTaskLease + aShard.mSettings.mLeaseMargin;
  const auto isAlternative = [&](const Worker& aOther) {
    return aOther.mLastReportAt && aNow - *aOther.mLastReportAt <= lease &&
           !failedOn(aOther);
  };
  if (failedOn(aWorker) && std::any_of(aShard.mWorkers.begin(),
                                       aShard.mWorkers.end(),
                                       isAlternative)) {
    return false;
  }
  return AllowsStart(
    aShard, aShard.mDataCentres[aWorker.mDataCentre], reservation, aNow);
}

std::string
ExplainJob(const Shard& aShard, const Job& aJob, MonotonicTime aNow)
{
  switch (aJob.mPhase) {
    case JobPhase::Reconciling:
      return "waits until every worker that may still run it has reported or "
             "its lease has ended, after a change of owner";
    case JobPhase::Starting:
    case JobPhase::Running:
      return (aJob.mPhase == JobPhase::Starting ? "starting on " : "runs on ") +
             aShard.mWorkers[*aJob.mWorker].mSpec.mName + ", attempt " +
             std::to_string(aJob.mRow.mAttempt);
    case JobPhase::Evicting:
      return "is being checkpointed and moved away from " +
             aShard.mWorkers[*aJob.mWorker].mSpec.mName;
    case JobPhase::Committing:
      return "its state is being written to the table service";
    case JobPhase::Completed:
      return "ended";
    case JobPhase::Cancelled:
      return "cancelled";
    case JobPhase::Held:
      return "held: " + aJob.mRow.mReason;
    case JobPhase::Moving:
      return "is being given to another shard";
    case JobPhase::Queued:
      break;
  }
  if (aJob.mNotBefore > aNow) {
    return "waits before it is tried again after " +
           std::to_string(aJob.mFailures) + " failures";
  }
  const bool anyOpen = std::any_of(
    aShard.mDataCentres.begin(),
    aShard.mDataCentres.end(),
    [&](const DataCentreStatus& aDataCentre) {
      return AllowedIn(aJob.mRow.mSpec, aDataCentre.mName) &&
             AllowsStart(aShard, aDataCentre, aJob.mRow.mSpec.mDeclared, aNow);
    });
  if (!anyOpen) {
    return "waits for proof that a data centre it allows is in service";
  }
  return "waits for " +
         SizeText(aShard.mPolicy->mSizeReservation(aShard, aJob)) +
         " to become free on one worker; team " + aJob.mTeam->mName + " uses " +
         SizeText(aJob.mTeam->mReserved) + " now";
}

} // namespace paddle
