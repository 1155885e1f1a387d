#include <algorithm>
#include <vector>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace {

using namespace placement;

bool
AllowedIn(const JobSpec& aSpec, const std::string& aDataCentre)
{
  return aSpec.mDataCentres.empty() ||
         std::find(aSpec.mDataCentres.begin(),
                   aSpec.mDataCentres.end(),
                   aDataCentre) != aSpec.mDataCentres.end();
}

std::string
SizeText(const Amount& aAmount)
{
  return std::to_string(static_cast<double>(aAmount.mMilliCores) / 1000) +
         " cores, " + std::to_string(aAmount.mMemoryMb) + " MB, " +
         std::to_string(aAmount.mAccelerators) + " accelerators";
}

void
StartOn(Shard& aShard,
        Job& aJob,
        WorkerIndex aWorker,
        const Amount& aReserve,
        MonotonicTime aNow,
        Actions& aActions)
{
  Worker& worker = aShard.mWorkers[aWorker];
  Dequeue(aShard, aJob);
  aJob.mPhase = JobPhase::Starting;
  aJob.mWorker = aWorker;
  aJob.mStartedAt = aNow;
  if (worker.mKeptFor == aJob.mRow.mSpec.mJob) {
    worker.mKeptFor.clear();
  }
  aJob.mKeptUntil.reset();
  TaskSlot slot;
  slot.mJob = aJob.mRow.mSpec.mJob;
  slot.mAttempt = aJob.mRow.mAttempt;
  slot.mDeclared = aJob.mRow.mSpec.mDeclared;
  slot.mReserved = ReserveOn(worker, aJob, aReserve);
  slot.mTeam = aJob.mTeam;
  slot.mClass = aJob.mRow.mSpec.mClass;
  slot.mToken = worker.mToken;
  slot.mCheckpoint = aJob.mRow.mCheckpoint;
  DataCentreGate& gate = aShard.mDataCentres[worker.mDataCentre];
  if (gate.mReturnedAt) {
    gate.mStartedSinceReturn += slot.mReserved.mMilliCores;
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

/// Position in one team's queue during one pass.
struct Cursor
{
  Team* mTeam = nullptr;
  std::map<std::uint64_t, Job*>::iterator mNext;
  double mScore = 0; ///< The lowest is served first.
  std::size_t mTries = 0;
};

/// One pass over the waiting jobs of one class.
struct Pass
{
  Shard& mShard;
  TaskClass mClass;
  MonotonicTime mNow;
  Actions& mActions;
  std::vector<Cursor> mCursors;
  /// A size that did not fit anywhere: what needs no less is not tried.
  std::optional<Amount> mFailed;
};

/// A team's share of its quota; ten minutes of waiting outweigh a whole
/// quota, so that no team waits for ever.
double
Score(const Pass& aPass, const Cursor& aCursor)
{
  constexpr double kFullAgeS = 600;
  const Team& team = *aCursor.mTeam;
  const Amount& quota =
    team.mQuota == Amount{} ? aPass.mShard.mCapacity : team.mQuota;
  const std::chrono::duration<double> age =
    aPass.mNow - aCursor.mNext->second->mAcceptedAt;
  return DominantShare(team.mUsed, quota) - age.count() / kFullAgeS;
}

std::map<std::uint64_t, Job*>&
QueueOf(const Pass& aPass, Team& aTeam)
{
  return aTeam.mQueues[static_cast<std::size_t>(aPass.mClass)];
}

void
CollectCursors(Pass& aPass)
{
  for (const auto& [name, team] : aPass.mShard.mTeams) {
    auto& queue = QueueOf(aPass, *team);
    if (!queue.empty()) {
      Cursor cursor{ team.get(), queue.begin(), 0, 0 };
      cursor.mScore = Score(aPass, cursor);
      aPass.mCursors.push_back(cursor);
    }
  }
}

bool
SurelyNoRoom(const Pass& aPass, const Job& aJob, const Amount& aReserve)
{
  return aPass.mFailed && Fits(*aPass.mFailed, aReserve) && !aJob.mKeptUntil;
}

void
NoteNoRoom(Pass& aPass, Job& aJob, const Amount& aReserve)
{
  if (aJob.mRow.mSpec.mDataCentres.empty() && aJob.mFailedOn.empty() &&
      !aPass.mFailed) {
    aPass.mFailed = aReserve;
  }
  if (aPass.mClass == TaskClass::Service) {
    MakeRoom(aPass.mShard, aJob, aPass.mNow, aPass.mActions);
  } else if (aPass.mNow - aJob.mAcceptedAt >=
             aPass.mShard.mSettings.mReserveAfter) {
    KeepWorkerFree(aPass.mShard, aJob, aPass.mNow);
  }
}

/// Tries the job at the cursor and moves the cursor on.
/// @return whether it was started
bool
TryNext(Pass& aPass, Cursor& aCursor)
{
  Shard& shard = aPass.mShard;
  Job& job = *aCursor.mNext->second;
  ++aCursor.mNext;
  if (job.mNotBefore > aPass.mNow) {
    ++aCursor.mTries;
    return false;
  }
  const Amount reserve = shard.mPolicy->mReserve(shard, job);
  if (!SurelyNoRoom(aPass, job, reserve)) {
    const auto worker = shard.mPolicy->mChoose(shard, job, reserve, aPass.mNow);
    if (worker &&
        MayPlace(shard, job, shard.mWorkers[*worker], reserve, aPass.mNow)) {
      StartOn(shard, job, *worker, reserve, aPass.mNow, aPass.mActions);
      return true;
    }
    NoteNoRoom(aPass, job, reserve);
  }
  ++aCursor.mTries;
  return false;
}

std::size_t
RunPass(Pass& aPass, std::size_t aLimit)
{
  CollectCursors(aPass);
  std::size_t started = 0;
  auto& cursors = aPass.mCursors;
  while (started < aLimit && !cursors.empty()) {
    const auto lowest =
      std::min_element(cursors.begin(),
                       cursors.end(),
                       [](const Cursor& aLeft, const Cursor& aRight) {
                         return aLeft.mScore < aRight.mScore;
                       });
    started += TryNext(aPass, *lowest) ? 1 : 0;
    if (lowest->mNext == QueueOf(aPass, *lowest->mTeam).end() ||
        lowest->mTries >= aPass.mShard.mSettings.mLookahead) {
      *lowest = cursors.back();
      cursors.pop_back();
    } else {
      lowest->mScore = Score(aPass, *lowest);
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
    Pass pass{ aShard, taskClass, aNow, aActions, {}, {} };
    started += RunPass(pass, aLimit - started);
  }
  return started;
}

bool
CouldHold(const WorkerSpec& aWorker, const JobSpec& aJob)
{
  return Fits(aJob.mDeclared, aWorker.mCapacity) &&
         AllowedIn(aJob, aWorker.mDataCentre);
}

std::optional<std::string>
WhyNeverHeld(const std::vector<WorkerSpec>& aWorkers, const JobSpec& aJob)
{
  Amount largest;
  for (const WorkerSpec& worker : aWorkers) {
    if (CouldHold(worker, aJob)) {
      return std::nullopt;
    }
    if (AllowedIn(aJob, worker.mDataCentre) &&
        std::pair(worker.mCapacity.mMilliCores, worker.mCapacity.mMemoryMb) >
          std::pair(largest.mMilliCores, largest.mMemoryMb)) {
      largest = worker.mCapacity;
    }
  }
  if (largest == Amount{}) {
    return "no worker exists in the data centres that job " + aJob.mJob +
           " allows";
  }
  return "job " + aJob.mJob + " needs " + SizeText(aJob.mDeclared) +
         ", which no worker could ever hold; the largest worker has " +
         SizeText(largest);
}

Amount
ReserveOn(const Worker& aWorker, const Job& aJob, const Amount& aReserve)
{
  return Largest(aJob.mRow.mSpec.mDeclared,
                 Smallest(aReserve, aWorker.mSpec.mCapacity));
}

bool
MayPlace(const Shard& aShard,
         const Job& aJob,
         const Worker& aWorker,
         const Amount& aReserve,
         MonotonicTime aNow)
{
  if (!aWorker.mPoolKey || !aWorker.mHeardAt ||
      aNow - *aWorker.mHeardAt > aShard.mSettings.mOldestTokenToSend) {
    return false;
  }
  const Amount reserve = ReserveOn(aWorker, aJob, aReserve);
  if (!Fits(reserve, aWorker.mFree) ||
      !AllowedIn(aJob.mRow.mSpec, aWorker.mSpec.mDataCentre)) {
    return false;
  }
  if (!aWorker.mKeptFor.empty() && aWorker.mKeptUntil > aNow &&
      aWorker.mKeptFor != aJob.mRow.mSpec.mJob) {
    return false;
  }
  const auto index =
    static_cast<WorkerIndex>(&aWorker - aShard.mWorkers.data());
  if (std::find(aJob.mFailedOn.begin(), aJob.mFailedOn.end(), index) !=
        aJob.mFailedOn.end() &&
      aShard.mWorkers.size() > aJob.mFailedOn.size()) {
    return false;
  }
  return GateOpen(
    aShard, aShard.mDataCentres[aWorker.mDataCentre], reserve, aNow);
}

std::string
ExplainJob(const Shard& aShard, const Job& aJob, MonotonicTime aNow)
{
  switch (aJob.mPhase) {
    case JobPhase::Doubtful:
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
    case JobPhase::Recording:
      return "its state is being written to the table service";
    case JobPhase::Ended:
      return "ended";
    case JobPhase::Cancelled:
      return "cancelled";
    case JobPhase::Held:
      return "held: " + aJob.mRow.mReason;
    case JobPhase::Moved:
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
    [&](const DataCentreGate& aGate) {
      return AllowedIn(aJob.mRow.mSpec, aGate.mName) &&
             GateOpen(aShard, aGate, aJob.mRow.mSpec.mDeclared, aNow);
    });
  if (!anyOpen) {
    return "waits for proof that a data centre it allows is in service";
  }
  return "waits for " + SizeText(aShard.mPolicy->mReserve(aShard, aJob)) +
         " to become free on one worker; team " + aJob.mTeam->mName + " uses " +
         SizeText(aJob.mTeam->mUsed) + " now";
}

} // namespace paddle
