#include <LibScheduler/PlacementThread.h>

#include <algorithm>

#include <LibBase/Log.h>
#include <LibScheduler/JobRows.h>
#include <LibScheduler/ServiceTaskList.h>
#include <LibScheduler/WorkerJson.h>

namespace paddle {

namespace {

/// Interval of the periodic work.
constexpr Millis kTickInterval{ 100 };

/// Interval at which the read of a new shard's rows is requested until they
/// arrive.
constexpr Millis kLoadRetryInterval{ 1000 };

/// Interval at which the rows of a shard are read again, to find the jobs that
/// other shards moved here.
constexpr Millis kReloadInterval{ 5000 };

/// Interval at which the service tasks are compared with the configuration.
constexpr Millis kServiceTaskInterval{ 1000 };

/// A job that has waited this long is moved to a shard with enough free
/// capacity.
constexpr Millis kMoveAfterWaiting{ 3000 };

/// The most jobs that a shard moves away in one pass, so that they do not
/// overload another shard before its next summary arrives.
constexpr std::size_t kMaxMovesPerPass = 8;

/// Interval between two such passes.
constexpr Millis kMoveInterval{ 1000 };

/// The most starts in one placement pass of a shard, so that events do not wait
/// long.
constexpr std::size_t kMaxStartsPerPass = 500;

/// The most events that are handled in a row before jobs are placed again.
constexpr std::size_t kMaxEventsPerPass = 2000;

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

/// Sends a reply if a caller waits for it.
void
Fulfil(const ReplyPromise& aReply, Outcome<Json::Value> aAnswer)
{
  if (aReply) {
    aReply->set_value(std::move(aAnswer));
  }
}

Error
NotOwned(const std::string& aShard)
{
  return { ErrorKind::Unavailable,
           "shard " + aShard + " is not served by this process now" };
}

} // namespace

Json::Value
JobStatus(const OwnedShard& aOwned, const Job& aJob, MonotonicTime aNow)
{
  Json::Value status(Json::objectValue);
  status["job"] = aJob.mRow.mSpec.mJob;
  status["shard"] = aOwned.mId;
  status["state"] = PhaseName(aJob.mPhase);
  status["team"] = aJob.mRow.mSpec.mTeam;
  status["class"] = ClassName(aJob.mRow.mSpec.mClass);
  status["attempt"] = aJob.mRow.mAttempt;
  status["checkpoint"] = aJob.mRow.mCheckpoint;
  status["cancelRequested"] = aJob.mRow.mCancelRequested;
  status["waitedMs"] = Json::Int64(
    std::chrono::duration_cast<Millis>(aNow - aJob.mAcceptedAt).count());
  if (aJob.mWorker) {
    status["worker"] = aOwned.mCore.mWorkers[*aJob.mWorker].mSpec.mName;
  }
  return status;
}

PlacementThread::PlacementThread(const SchedulerPorts& aPorts,
                                 PlacementPolicy aPolicy,
                                 SchedulerRing& aEvents,
                                 Committer& aCommitter,
                                 WorkerLinks& aLinks)
  : mPorts(aPorts)
  , mPolicy(std::move(aPolicy))
  , mEvents(aEvents)
  , mCommitter(aCommitter)
  , mLinks(aLinks)
  , mThread([this] { Run(); })
{
}

PlacementThread::~PlacementThread()
{
  Stop();
}

void
PlacementThread::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PlacementThread::Run()
{
  // The longest wait for an event before the other work is done.
  constexpr Millis kMaxWait{ 10 };
  MonotonicTime nextTick = Now();
  while (!mStopping) {
    std::optional<SchedulerEvent> event = mEvents.Pop(kMaxWait);
    for (std::size_t i = 0; event && i < kMaxEventsPerPass; ++i) {
      std::visit([&](const auto& aEvent) { Handle(aEvent, Now()); }, *event);
      event = mEvents.Pop(Micros(0));
    }
    if (event) {
      std::visit([&](const auto& aEvent) { Handle(aEvent, Now()); }, *event);
    }
    const MonotonicTime now = Now();
    if (now >= nextTick) {
      nextTick = now + kTickInterval;
      Tick(now);
    }
    for (const auto& [id, owned] : mOwned) {
      if (owned->mLoaded && owned->mNeedsPlacement) {
        Place(*owned, now);
      }
      FlushBacklog(*owned);
    }
  }
  for (const auto& [id, owned] : mOwned) {
    Drop(*owned);
  }
}

OwnedShard*
PlacementThread::Find(const std::string& aShard)
{
  const auto found = mOwned.find(aShard);
  return found == mOwned.end() ? nullptr : found->second.get();
}

OwnedShard*
PlacementThread::Find(const std::string& aShard, std::uint64_t aEpoch)
{
  OwnedShard* owned = Find(aShard);
  return owned && owned->mEpoch == aEpoch ? owned : nullptr;
}

void
PlacementThread::Tick(MonotonicTime aNow)
{
  UpdateOwnership(aNow);
  for (const auto& [id, owned] : mOwned) {
    if (!owned->mLoaded || owned->mNextLoad <= aNow) {
      if (owned->mNextLoad <= aNow) {
        owned->mNextLoad =
          aNow + (owned->mLoaded ? kReloadInterval : kLoadRetryInterval);
        Push(*owned, LoadItem{ id, owned->mEpoch });
      }
    }
    ApplyConfiguration(*owned, aNow);
    Actions actions;
    HandleTick(owned->mCore, aNow, actions);
    Execute(*owned, std::move(actions));
    owned->mNeedsPlacement = true;
    MoveWaitingJobs(*owned, aNow);
  }
  if (mNextServiceTaskUpdate <= aNow) {
    mNextServiceTaskUpdate = aNow + kServiceTaskInterval;
    UpdateServiceTasks(aNow);
  }
  PublishSummary();
}

void
PlacementThread::UpdateOwnership(MonotonicTime aNow)
{
  if (!mWorkerShards) {
    return;
  }
  for (const auto& [id, shard] : *mWorkerShards) {
    const auto ownership = mPorts.mLease.mOwns(id);
    OwnedShard* owned = Find(id);
    if (ownership && (!owned || owned->mEpoch != ownership->mEpoch)) {
      if (owned) {
        Drop(*owned);
        mOwned.erase(id);
      }
      Acquire(id, *ownership, aNow);
      continue;
    }
    // A shard whose lease has expired is kept while no other process is its
    // owner: the lease may be renewed, and then the state is still valid.
    const auto owner = owned ? mPorts.mLease.mOwnerOf(id) : std::nullopt;
    if (owned && !ownership && owner && owner->mName != mPorts.mSelf.mName) {
      Drop(*owned);
      mOwned.erase(id);
    }
  }
}

void
PlacementThread::Acquire(const std::string& aShard,
                         const Ownership& aOwnership,
                         MonotonicTime aNow)
{
  auto owned = std::make_unique<OwnedShard>();
  owned->mId = aShard;
  owned->mEpoch = aOwnership.mEpoch;
  // This process may itself have started tasks in this epoch, before it dropped
  // the shard and acquired it again.
  const bool reacquired = mLatestEpochs[aShard] == aOwnership.mEpoch;
  mLatestEpochs[aShard] = aOwnership.mEpoch;
  const PriorOwner priorOwner =
    aOwnership.mAcquisition == Acquisition::FirstOwner && !reacquired
      ? PriorOwner::None
      : PriorOwner::Possible;
  owned->mCore = MakeShard({}, mPolicy, priorOwner, aNow);
  owned->mNextLoad = aNow;
  UpdateWorkers(*owned);
  LogEvent(LogLevel::Info,
           "shard_acquired",
           { { "shard", aShard },
             { "epoch", aOwnership.mEpoch },
             { "workers", owned->mLinks.size() } });
  mPorts.mMetrics->Count("shards_acquired");
  mOwned[aShard] = std::move(owned);
}

void
PlacementThread::Drop(OwnedShard& aOwned)
{
  for (const auto& link : aOwned.mLinks) {
    WorkerLinks::Close(*link);
  }
  for (const auto& [job, pending] : aOwned.mPendingReplies) {
    Fulfil(pending.mReply,
           Error{ ErrorKind::Unknown,
                  "shard " + aOwned.mId +
                    " went to another process before job " + job +
                    " was committed; repeat the call" });
  }
  aOwned.mPendingReplies.clear();
  LogEvent(LogLevel::Info,
           "shard_dropped",
           { { "shard", aOwned.mId }, { "epoch", aOwned.mEpoch } });
}

void
PlacementThread::UpdateWorkers(OwnedShard& aOwned)
{
  const auto found = mWorkerShards->find(aOwned.mId);
  if (found == mWorkerShards->end()) {
    return;
  }
  for (const WorkerHost& host : found->second.mWorkers) {
    const WorkerIndex index = SetWorker(aOwned.mCore, host.mSpec);
    if (index >= aOwned.mLinks.size()) {
      aOwned.mLinks.push_back(
        mLinks.Open(aOwned.mId, aOwned.mEpoch, index, host.mAddress));
    }
  }
}

void
PlacementThread::ApplyConfiguration(OwnedShard& aOwned, MonotonicTime aNow)
{
  // The age is read before the configuration, so that the configuration is at
  // most this old.
  const auto age = mPorts.mConfig.mAge();
  const auto current = mPorts.mConfig.mCurrent();
  if (!age || !current) {
    return;
  }
  for (const auto& [name, dataCentre] : current->mDataCentres) {
    SetDataCentre(aOwned.mCore,
                  name,
                  dataCentre.mState == DataCentreState::InService,
                  aNow - *age,
                  aNow);
  }
  for (const auto& [name, service] : current->mServices) {
    SetTeam(aOwned.mCore,
            service.mTeam,
            ToResourceVector(service.mQuota),
            service.mEvictionsPerHour,
            aNow);
  }
}

void
PlacementThread::UpdateServiceTasks(MonotonicTime aNow)
{
  const auto current = mPorts.mConfig.mCurrent();
  if (!current || !mWorkerShards) {
    return;
  }
  const auto tasks = ListServiceTasks(*current, *mWorkerShards);
  std::map<std::string, const DesiredTask*> desired;
  for (const DesiredTask& task : tasks) {
    desired[task.mSpec.mJob] = &task;
    OwnedShard* owned = Find(task.mShard);
    if (!owned || !owned->mLoaded || FindJob(owned->mCore, task.mSpec.mJob)) {
      continue;
    }
    const auto heldElsewhere = owned->mHeldElsewhereUntil.find(task.mSpec.mJob);
    if (heldElsewhere != owned->mHeldElsewhereUntil.end() &&
        heldElsewhere->second > aNow) {
      continue;
    }
    Actions actions;
    AcceptJob(owned->mCore, task.mSpec, aNow, actions);
    Execute(*owned, std::move(actions));
  }
  CancelRemovedServiceTasks(desired, aNow);
}

void
PlacementThread::CancelRemovedServiceTasks(
  const std::map<std::string, const DesiredTask*>& aDesired,
  MonotonicTime aNow)
{
  for (const auto& [id, owned] : mOwned) {
    std::vector<std::string> removed;
    for (const auto& [name, job] : owned->mCore.mJobs) {
      if (job->mRow.mSpec.mClass == TaskClass::Service &&
          !job->mRow.mCancelRequested && aDesired.count(name) == 0) {
        removed.push_back(name);
      }
    }
    for (const std::string& name : removed) {
      Actions actions;
      CancelJob(owned->mCore, name, aNow, actions);
      Execute(*owned, std::move(actions));
    }
  }
}

void
PlacementThread::MoveWaitingJobs(OwnedShard& aOwned, MonotonicTime aNow)
{
  if (!aOwned.mLoaded || aOwned.mCore.mQueued == 0 || aOwned.mNextMove > aNow) {
    return;
  }
  aOwned.mNextMove = aNow + kMoveInterval;
  std::size_t moved = 0;
  for (const auto& [name, job] : aOwned.mCore.mJobs) {
    if (moved >= kMaxMovesPerPass) {
      return;
    }
    const JobSpec& spec = job->mRow.mSpec;
    if (job->mPhase != JobPhase::Queued || job->mNotBefore > aNow ||
        aNow - job->mAcceptedAt < kMoveAfterWaiting ||
        job->mRow.mCancelRequested) {
      continue;
    }
    const auto target =
      std::find_if(mShardSummaries.begin(),
                   mShardSummaries.end(),
                   [&](const auto& aSummary) {
                     const auto& allowed = spec.mDataCentres;
                     return aSummary.mShard != aOwned.mId &&
                            aSummary.mQueued == 0 &&
                            Fits(spec.mDeclared, aSummary.mLargestFree) &&
                            (allowed.empty() ||
                             std::find(allowed.begin(),
                                       allowed.end(),
                                       aSummary.mDataCentre) != allowed.end());
                   });
    if (target == mShardSummaries.end()) {
      continue;
    }
    const auto row = BeginMove(aOwned.mCore, name);
    if (!row) {
      continue;
    }
    // The moved job reduces the target's free capacity until the next summary
    // arrives.
    target->mLargestFree -= spec.mDeclared;
    Push(aOwned, MoveItem{ aOwned.mId, aOwned.mEpoch, *row, target->mShard });
    ++moved;
  }
}

void
PlacementThread::Place(OwnedShard& aOwned, MonotonicTime aNow)
{
  aOwned.mNeedsPlacement = false;
  if (aOwned.mCore.mQueued == 0) {
    return;
  }
  Actions actions;
  const std::size_t started =
    PlaceQueued(aOwned.mCore, aNow, kMaxStartsPerPass, actions);
  mPorts.mMetrics->Count("starts", started);
  Execute(aOwned, std::move(actions));
}

void
PlacementThread::Execute(OwnedShard& aOwned, Actions aActions)
{
  for (Action& action : aActions) {
    if (auto* row = std::get_if<CommitRow>(&action)) {
      Push(aOwned, CommitItem{ aOwned.mId, aOwned.mEpoch, std::move(*row) });
      continue;
    }
    const WorkerIndex worker = std::visit(
      [](const auto& aAction) -> WorkerIndex {
        if constexpr (requires { aAction.mWorker; }) {
          return aAction.mWorker;
        } else {
          return 0;
        }
      },
      action);
    mLinks.Send(*aOwned.mLinks[worker], std::move(action));
  }
}

void
PlacementThread::Push(OwnedShard& aOwned, CommitterItem aItem)
{
  aOwned.mBacklog.push_back(std::move(aItem));
  FlushBacklog(aOwned);
}

void
PlacementThread::FlushBacklog(OwnedShard& aOwned)
{
  while (!aOwned.mBacklog.empty()) {
    if (mCommitter.TryPush(aOwned.mBacklog.front()) != PushResult::Accepted) {
      return;
    }
    aOwned.mBacklog.pop_front();
  }
}

void
PlacementThread::Handle(const SubmitEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard);
  if (!owned || !owned->mLoaded) {
    Fulfil(aEvent.mReply, NotOwned(aEvent.mShard));
    return;
  }
  if (!owned->mBacklog.empty()) {
    Fulfil(aEvent.mReply,
           Error{ ErrorKind::Unavailable,
                  "the table service does not keep up; the job was not "
                  "accepted" });
    return;
  }
  Actions actions;
  const AcceptResult result =
    AcceptJob(owned->mCore, aEvent.mSpec, aNow, actions);
  const Job& job = *FindJob(owned->mCore, aEvent.mSpec.mJob);
  if (result == AcceptResult::Present && job.mAccepted) {
    Json::Value status = JobStatus(*owned, job, aNow);
    status["repeated"] = true;
    Fulfil(aEvent.mReply, status);
    return;
  }
  owned->mPendingReplies.emplace(
    aEvent.mSpec.mJob, PendingReply{ job.mLatestCommit, aEvent.mReply });
  Execute(*owned, std::move(actions));
}

void
PlacementThread::Handle(const JobRequestEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard);
  Job* job =
    owned && owned->mLoaded ? FindJob(owned->mCore, aEvent.mJob) : nullptr;
  if (!owned || !owned->mLoaded) {
    Fulfil(aEvent.mReply, NotOwned(aEvent.mShard));
    return;
  }
  if (!job) {
    Fulfil(
      aEvent.mReply,
      Error{ ErrorKind::NotFound,
             "shard " + aEvent.mShard + " does not hold job " + aEvent.mJob });
    return;
  }
  if (aEvent.mRequest != JobRequest::Cancel) {
    Json::Value status = JobStatus(*owned, *job, aNow);
    if (aEvent.mRequest == JobRequest::Explain) {
      status["explanation"] = ExplainJob(owned->mCore, *job, aNow);
    }
    Fulfil(aEvent.mReply, status);
    return;
  }
  Actions actions;
  if (CancelJob(owned->mCore, aEvent.mJob, aNow, actions) !=
      CancelResult::Committing) {
    Fulfil(aEvent.mReply,
           Error{ ErrorKind::Unavailable,
                  "job " + aEvent.mJob +
                    " is being accepted or moved; repeat the call" });
    return;
  }
  owned->mPendingReplies.emplace(
    aEvent.mJob, PendingReply{ job->mLatestCommit, aEvent.mReply });
  Execute(*owned, std::move(actions));
}

void
PlacementThread::Handle(const HostsEvent& aEvent, MonotonicTime)
{
  mWorkerShards = aEvent.mShards;
  for (const auto& [id, owned] : mOwned) {
    UpdateWorkers(*owned);
  }
}

void
PlacementThread::Handle(const ReportEvent& aEvent, MonotonicTime)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned || !owned->mLoaded) {
    // Before the rows are read, each reported task would seem to belong to no
    // job.
    return;
  }
  Actions actions;
  HandleReport(
    owned->mCore, aEvent.mWorker, aEvent.mReport, aEvent.mReceived, actions);
  WorkerLinks::SetPlan(*owned->mLinks[aEvent.mWorker],
                       PlanPoll(owned->mCore, aEvent.mWorker));
  Execute(*owned, std::move(actions));
  owned->mNeedsPlacement = true;
}

void
PlacementThread::Handle(const StartAnswerEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned) {
    return;
  }
  Actions actions;
  HandleStartAnswer(owned->mCore,
                    aEvent.mWorker,
                    aEvent.mJob,
                    aEvent.mAttempt,
                    aEvent.mAnswer,
                    aNow,
                    actions);
  Execute(*owned, std::move(actions));
  owned->mNeedsPlacement = true;
}

void
PlacementThread::Handle(const CommitResultEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned) {
    return;
  }
  // How long another shard is assumed to hold a service task after a commit
  // found it there.
  constexpr Seconds kHeldElsewhereCacheTime{ 30 };
  Actions actions;
  if (aEvent.mResult == CommitResult::Committed) {
    RaiseAttempt(owned->mCore, aEvent.mJob, aEvent.mAttempt);
    HandleCommitted(owned->mCore, aEvent.mJob, aEvent.mSequence, aNow, actions);
  } else {
    HandleNotAccepted(owned->mCore, aEvent.mJob);
    owned->mHeldElsewhereUntil[aEvent.mJob] = aNow + kHeldElsewhereCacheTime;
  }
  FulfilPendingReplies(*owned, aEvent);
  Execute(*owned, std::move(actions));
  owned->mNeedsPlacement = true;
}

void
PlacementThread::FulfilPendingReplies(OwnedShard& aOwned,
                                      const CommitResultEvent& aEvent)
{
  Json::Value answer(Json::objectValue);
  answer["job"] = aEvent.mJob;
  const bool repeated = aEvent.mResult == CommitResult::JobExists;
  answer["shard"] = repeated ? aEvent.mHolder : aOwned.mId;
  answer["state"] = "accepted";
  answer["repeated"] = repeated;
  const Job* job = FindJob(aOwned.mCore, aEvent.mJob);
  if (!repeated) {
    answer["state"] = !job                         ? "cancelled"
                      : job->mRow.mCancelRequested ? "cancelling"
                                                   : "accepted";
  }
  const auto [begin, end] = aOwned.mPendingReplies.equal_range(aEvent.mJob);
  for (auto pending = begin; pending != end;) {
    if (pending->second.mSequence > aEvent.mSequence) {
      ++pending;
      continue;
    }
    Fulfil(pending->second.mReply, answer);
    pending = aOwned.mPendingReplies.erase(pending);
  }
}

void
PlacementThread::Handle(const MoveResultEvent& aEvent, MonotonicTime)
{
  if (OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch)) {
    EndMove(owned->mCore, aEvent.mJob, aEvent.mResult);
  }
}

void
PlacementThread::Handle(const JobRowsEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned) {
    return;
  }
  for (const JobRow& row : aEvent.mRows) {
    if (!owned->mLoaded) {
      LoadJob(owned->mCore, row, aNow);
    } else {
      // Only a job that another shard moved here is unknown, because the
      // results of this shard's own commits arrive in order with the rows.
      AdoptJob(owned->mCore, row, aNow);
    }
  }
  if (!owned->mLoaded) {
    owned->mLoaded = true;
    LogEvent(LogLevel::Info,
             "shard_loaded",
             { { "shard", owned->mId }, { "jobs", aEvent.mRows.size() } });
  }
  owned->mNeedsPlacement = true;
}

void
PlacementThread::Handle(const ShardSummariesEvent& aEvent, MonotonicTime)
{
  mShardSummaries = aEvent.mSummaries;
}

void
PlacementThread::PublishSummary()
{
  Json::Value summary(Json::objectValue);
  summary["member"] = mPorts.mSelf.mName;
  if (const auto current = mPorts.mConfig.mCurrent()) {
    // Whoever takes a data centre out of service sees from the revision that
    // this process knows of it.
    summary["configRevision"] = Json::UInt64(current->mRevision);
  }
  summary["shards"] = Json::Value(Json::arrayValue);
  for (const auto& [id, owned] : mOwned) {
    const Shard& core = owned->mCore;
    Json::Value shard(Json::objectValue);
    shard["shard"] = id;
    shard["epoch"] = Json::UInt64(owned->mEpoch);
    shard["loaded"] = owned->mLoaded;
    shard["jobs"] = Json::UInt64(core.mJobs.size());
    shard["queued"] = Json::UInt64(core.mQueued);
    ResourceVector free;
    ResourceVector largest;
    std::uint64_t workersReported = 0;
    std::uint64_t tasks = 0;
    for (const Worker& worker : core.mWorkers) {
      workersReported += worker.mLastReportAt ? 1 : 0;
      tasks += worker.mSlots.size();
      const bool takesStarts =
        worker.mPoolKey &&
        AllowsStart(core, core.mDataCentres[worker.mDataCentre], {}, Now());
      if (takesStarts) {
        free += worker.mFree;
        shard["dataCentre"] = worker.mSpec.mDataCentre;
        largest = largest.mMilliCores < worker.mFree.mMilliCores ? worker.mFree
                                                                 : largest;
      }
    }
    shard["workers"] = Json::UInt64(core.mWorkers.size());
    shard["heard"] = Json::UInt64(workersReported);
    shard["tasks"] = Json::UInt64(tasks);
    shard["free"] = ToJson(free);
    shard["largestFree"] = ToJson(largest);
    shard["capacity"] = ToJson(core.mCapacity);
    shard["ended"] = Json::UInt64(core.mCounters.mCompleted);
    shard["evictions"] = Json::UInt64(core.mCounters.mEvictions);
    shard["lost"] = Json::UInt64(core.mCounters.mLost);
    shard["failed"] = Json::UInt64(core.mCounters.mFailed);
    shard["held"] = Json::UInt64(core.mCounters.mHeld);
    shard["quarantines"] = Json::UInt64(core.mCounters.mQuarantines);
    shard["rejectedStarts"] = Json::UInt64(core.mCounters.mRejectedStarts);
    summary["shards"].append(shard);
  }
  const std::lock_guard lock(mSummaryMutex);
  mSummary = std::move(summary);
}

Json::Value
PlacementThread::Summary() const
{
  const std::lock_guard lock(mSummaryMutex);
  return mSummary;
}

} // namespace paddle
