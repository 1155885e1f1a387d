#include <algorithm>

#include <LibPlacement/Internal.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace placement {

Team&
FindOrAddTeam(Shard& aShard, std::string_view aName)
{
  const auto found = aShard.mTeams.find(aName);
  if (found != aShard.mTeams.end()) {
    return *found->second;
  }
  auto team = std::make_unique<Team>();
  team->mName = aName;
  return *aShard.mTeams.emplace(team->mName, std::move(team)).first->second;
}

void
Enqueue(Shard& aShard, Job& aJob)
{
  aJob.mPhase = JobPhase::Queued;
  aJob.mWorker.reset();
  const auto taskClass = static_cast<std::size_t>(aJob.mRow.mSpec.mClass);
  aJob.mTeam->mQueues[taskClass].emplace(aJob.mOrder, &aJob);
  ++aShard.mQueued;
}

void
Dequeue(Shard& aShard, Job& aJob)
{
  const auto taskClass = static_cast<std::size_t>(aJob.mRow.mSpec.mClass);
  aShard.mQueued -= aJob.mTeam->mQueues[taskClass].erase(aJob.mOrder);
}

namespace {

/// Issues a commit of the job's row as it is now.
/// @param aMustNotExist whether the commit creates the row
/// @return the sequence of the commit
std::uint64_t
CommitJob(Shard& aShard, Job& aJob, bool aMustNotExist, Actions& aActions)
{
  aJob.mLatestCommit = aShard.mNextCommit++;
  aActions.emplace_back(
    CommitRow{ aJob.mLatestCommit, aMustNotExist, aJob.mRow });
  return aJob.mLatestCommit;
}

} // namespace

void
CommitPhase(Shard& aShard, Job& aJob, JobPhase aNext, Actions& aActions)
{
  if (aJob.mPhase == JobPhase::Queued) {
    Dequeue(aShard, aJob);
  }
  aJob.mPhase = JobPhase::Committing;
  aJob.mWorker.reset();
  aJob.mPhaseAfterCommit = aNext;
  aJob.mRow.mPhase = aNext;
  CommitJob(aShard, aJob, false, aActions);
}

void
CommitNextAttempt(Shard& aShard, Job& aJob, Actions& aActions)
{
  if (aJob.mRow.mCancelRequested) {
    CommitPhase(aShard, aJob, JobPhase::Cancelled, aActions);
    return;
  }
  ++aJob.mRow.mAttempt;
  CommitPhase(aShard, aJob, JobPhase::Queued, aActions);
}

} // namespace placement

using namespace placement;

Shard
MakeShard(const PlacementSettings& aSettings,
          const PlacementPolicy& aPolicy,
          PriorOwner aPriorOwner,
          MonotonicTime aNow)
{
  Shard shard;
  shard.mSettings = aSettings;
  shard.mPolicy = &aPolicy;
  shard.mTakenOverAt = aNow;
  shard.mReconciled = aPriorOwner == PriorOwner::None;
  return shard;
}

void
SetTeam(Shard& aShard,
        std::string_view aTeam,
        const ResourceVector& aQuota,
        double aEvictionsPerHour,
        MonotonicTime aNow)
{
  Team& team = FindOrAddTeam(aShard, aTeam);
  team.mQuota = aQuota;
  if (team.mEvictionsPerHour != aEvictionsPerHour) {
    team.mEvictionsPerHour = aEvictionsPerHour;
    team.mEvictionsLeft = aEvictionsPerHour;
    team.mEvictionsUpdatedAt = aNow;
  }
}

Job*
FindJob(const Shard& aShard, std::string_view aJob)
{
  const auto found = aShard.mJobs.find(aJob);
  return found == aShard.mJobs.end() ? nullptr : found->second.get();
}

namespace {

/// Adds a job that was accepted now; the caller sets its phase.
Job&
AddJob(Shard& aShard, JobRow aRow, MonotonicTime aNow)
{
  auto job = std::make_unique<Job>();
  job->mTeam = &FindOrAddTeam(aShard, aRow.mSpec.mTeam);
  job->mOrder = aShard.mNextOrder++;
  job->mAcceptedAt = aNow;
  job->mRow = std::move(aRow);
  Job& added = *job;
  aShard.mJobs.emplace(added.mRow.mSpec.mJob, std::move(job));
  return added;
}

} // namespace

void
LoadJob(Shard& aShard, JobRow aRow, MonotonicTime aNow)
{
  if (IsTerminal(aRow.mPhase) || FindJob(aShard, aRow.mSpec.mJob)) {
    return;
  }
  Job& job = AddJob(aShard, std::move(aRow), aNow);
  job.mAccepted = true;
  job.mPhase = JobPhase::Reconciling;
  if (aShard.mReconciled) {
    Enqueue(aShard, job);
  }
}

void
AdoptJob(Shard& aShard, JobRow aRow, MonotonicTime aNow)
{
  if (IsTerminal(aRow.mPhase) || FindJob(aShard, aRow.mSpec.mJob)) {
    return;
  }
  Job& job = AddJob(aShard, std::move(aRow), aNow);
  job.mAccepted = true;
  Enqueue(aShard, job);
}

AcceptResult
AcceptJob(Shard& aShard, JobSpec aSpec, MonotonicTime aNow, Actions& aActions)
{
  if (FindJob(aShard, aSpec.mJob)) {
    return AcceptResult::Present;
  }
  JobRow row;
  row.mSpec = std::move(aSpec);
  Job& job = AddJob(aShard, std::move(row), aNow);
  job.mPhase = JobPhase::Committing;
  job.mPhaseAfterCommit = JobPhase::Queued;
  CommitJob(aShard, job, true, aActions);
  return AcceptResult::Committing;
}

CancelResult
CancelJob(Shard& aShard,
          std::string_view aJob,
          MonotonicTime aNow,
          Actions& aActions)
{
  Job* job = FindJob(aShard, aJob);
  if (!job || !job->mAccepted || IsTerminal(job->mPhase)) {
    return CancelResult::Unknown;
  }
  job->mRow.mCancelRequested = true;
  switch (job->mPhase) {
    case JobPhase::Queued:
      CommitPhase(aShard, *job, JobPhase::Cancelled, aActions);
      break;
    case JobPhase::Committing: {
      const JobPhase next = IsTerminal(job->mPhaseAfterCommit)
                              ? job->mPhaseAfterCommit
                              : JobPhase::Cancelled;
      CommitPhase(aShard, *job, next, aActions);
      break;
    }
    default:
      if (job->mWorker) {
        Worker& worker = aShard.mWorkers[*job->mWorker];
        if (TaskSlot* slot = FindSlot(worker, aJob, job->mRow.mAttempt)) {
          StopSlot(*job->mWorker, *slot, aNow, aActions);
        }
      }
      CommitJob(aShard, *job, false, aActions);
  }
  return CancelResult::Committing;
}

std::optional<JobRow>
BeginMove(Shard& aShard, std::string_view aJob)
{
  Job* job = FindJob(aShard, aJob);
  if (!job || job->mPhase != JobPhase::Queued) {
    return std::nullopt;
  }
  Dequeue(aShard, *job);
  job->mPhase = JobPhase::Moving;
  return job->mRow;
}

void
EndMove(Shard& aShard, std::string_view aJob, MoveResult aResult)
{
  Job* job = FindJob(aShard, aJob);
  if (!job || job->mPhase != JobPhase::Moving) {
    return;
  }
  if (aResult == MoveResult::Done) {
    aShard.mJobs.erase(std::string(aJob));
    return;
  }
  Enqueue(aShard, *job);
}

void
HandleCommitted(Shard& aShard,
                std::string_view aJob,
                std::uint64_t aSequence,
                MonotonicTime /*aNow*/,
                Actions& /*aActions*/)
{
  Job* job = FindJob(aShard, aJob);
  if (!job) {
    return;
  }
  job->mAccepted = true;
  if (job->mLatestCommit != aSequence || job->mPhase != JobPhase::Committing) {
    return;
  }
  if (IsTerminal(job->mPhaseAfterCommit)) {
    aShard.mJobs.erase(std::string(aJob));
    return;
  }
  Enqueue(aShard, *job);
}

void
RaiseAttempt(Shard& aShard, std::string_view aJob, std::uint32_t aAttempt)
{
  Job* job = FindJob(aShard, aJob);
  if (job && !job->mAccepted) {
    job->mRow.mAttempt = std::max(job->mRow.mAttempt, aAttempt);
  }
}

void
HandleNotAccepted(Shard& aShard, std::string_view aJob)
{
  Job* job = FindJob(aShard, aJob);
  if (job && !job->mAccepted) {
    aShard.mJobs.erase(std::string(aJob));
  }
}

} // namespace paddle
