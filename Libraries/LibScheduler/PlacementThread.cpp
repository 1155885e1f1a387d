#include <LibScheduler/PlacementThread.h>

#include <algorithm>

#include <LibBase/Log.h>
#include <LibScheduler/JobRows.h>
#include <LibScheduler/ServiceTaskList.h>
#include <LibScheduler/WorkerJson.h>

namespace paddle {

namespace {

constexpr Millis kTick{ 100 };
constexpr Millis kLoadRetry{ 1000 };

/// Jobs that another shard gave are found by reading the rows again.
constexpr Millis kReload{ 5000 };

constexpr Millis kServicesInterval{ 1000 };

/// A job that has waited this long is given to a shard that has room.
constexpr Millis kMoveAfter{ 3000 };

/// Jobs given away in one step, so that a shard with room is not flooded
/// before its next summary.
constexpr std::size_t kMovesAtOnce = 8;
constexpr Millis kMoveInterval{ 1000 };

/// Starts of one step, so that events are never kept waiting for long.
constexpr std::size_t kStartsAtOnce = 500;
constexpr std::size_t kEventsAtOnce = 2000;

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

void
Fulfil(const Reply& aReply, Outcome<Json::Value> aAnswer)
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
  constexpr Millis kWait{ 10 };
  MonotonicTime nextTick = Now();
  while (!mStopping) {
    std::optional<SchedulerEvent> event = mEvents.Pop(kWait);
    for (std::size_t i = 0; event && i < kEventsAtOnce; ++i) {
      std::visit([&](const auto& aEvent) { Handle(aEvent, Now()); }, *event);
      event = mEvents.Pop(Micros(0));
    }
    if (event) {
      std::visit([&](const auto& aEvent) { Handle(aEvent, Now()); }, *event);
    }
    const MonotonicTime now = Now();
    if (now >= nextTick) {
      nextTick = now + kTick;
      Tick(now);
    }
    for (const auto& [id, owned] : mOwned) {
      if (owned->mLoaded && owned->mChanged) {
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
  FollowOwnership(aNow);
  for (const auto& [id, owned] : mOwned) {
    if (!owned->mLoaded || owned->mNextLoad <= aNow) {
      if (owned->mNextLoad <= aNow) {
        owned->mNextLoad = aNow + (owned->mLoaded ? kReload : kLoadRetry);
        Push(*owned, LoadItem{ id, owned->mEpoch });
      }
    }
    FollowConfiguration(*owned, aNow);
    Actions actions;
    HandleTick(owned->mCore, aNow, actions);
    Execute(*owned, std::move(actions));
    owned->mChanged = true;
    MoveWaitingJobs(*owned, aNow);
  }
  if (mNextServices <= aNow) {
    mNextServices = aNow + kServicesInterval;
    FollowServices(aNow);
  }
  PublishSummary();
}

void
PlacementThread::FollowOwnership(MonotonicTime aNow)
{
  if (!mHosts) {
    return;
  }
  for (const auto& [id, shard] : *mHosts) {
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
    // A lease that lapsed may be renewed as long as nobody else took the
    // shard; the state is still true then.
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
  // This process may itself have started tasks under this epoch before.
  const bool again = mSeenEpochs[aShard] == aOwnership.mEpoch;
  mSeenEpochs[aShard] = aOwnership.mEpoch;
  const PriorOwner history =
    aOwnership.mAcquisition == Acquisition::FirstOwner && !again
      ? PriorOwner::None
      : PriorOwner::Possible;
  owned->mCore = MakeShard({}, mPolicy, history, aNow);
  owned->mNextLoad = aNow;
  FollowHosts(*owned);
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
  for (const auto& [job, waiter] : aOwned.mWaiters) {
    Fulfil(waiter.mReply,
           Error{ ErrorKind::Unknown,
                  "shard " + aOwned.mId +
                    " went to another process before job " + job +
                    " was committed; repeat the call" });
  }
  aOwned.mWaiters.clear();
  LogEvent(LogLevel::Info,
           "shard_dropped",
           { { "shard", aOwned.mId }, { "epoch", aOwned.mEpoch } });
}

void
PlacementThread::FollowHosts(OwnedShard& aOwned)
{
  const auto found = mHosts->find(aOwned.mId);
  if (found == mHosts->end()) {
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
PlacementThread::FollowConfiguration(OwnedShard& aOwned, MonotonicTime aNow)
{
  // The age is read first: it bounds the age of what is read after it.
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
            ToAmount(service.mQuota),
            service.mEvictionsPerHour,
            aNow);
  }
}

void
PlacementThread::FollowServices(MonotonicTime aNow)
{
  const auto current = mPorts.mConfig.mCurrent();
  if (!current || !mHosts) {
    return;
  }
  const auto tasks = ListServiceTasks(*current, *mHosts);
  std::map<std::string, const WantedTask*> wanted;
  for (const WantedTask& task : tasks) {
    wanted[task.mSpec.mJob] = &task;
    OwnedShard* owned = Find(task.mShard);
    if (!owned || !owned->mLoaded || FindJob(owned->mCore, task.mSpec.mJob)) {
      continue;
    }
    const auto elsewhere = owned->mElsewhere.find(task.mSpec.mJob);
    if (elsewhere != owned->mElsewhere.end() && elsewhere->second > aNow) {
      continue;
    }
    Actions actions;
    AcceptJob(owned->mCore, task.mSpec, aNow, actions);
    Execute(*owned, std::move(actions));
  }
  CancelUnwanted(wanted, aNow);
}

void
PlacementThread::CancelUnwanted(
  const std::map<std::string, const WantedTask*>& aWanted,
  MonotonicTime aNow)
{
  for (const auto& [id, owned] : mOwned) {
    std::vector<std::string> unwanted;
    for (const auto& [name, job] : owned->mCore.mJobs) {
      if (job->mRow.mSpec.mClass == TaskClass::Service &&
          !job->mRow.mCancelRequested && aWanted.count(name) == 0) {
        unwanted.push_back(name);
      }
    }
    for (const std::string& name : unwanted) {
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
    if (moved >= kMovesAtOnce) {
      return;
    }
    const JobSpec& spec = job->mRow.mSpec;
    if (job->mPhase != JobPhase::Queued || job->mNotBefore > aNow ||
        aNow - job->mAcceptedAt < kMoveAfter || job->mRow.mCancelRequested) {
      continue;
    }
    const auto room =
      std::find_if(mRooms.begin(), mRooms.end(), [&](const auto& aRoom) {
        const auto& allowed = spec.mDataCentres;
        return aRoom.mShard != aOwned.mId && aRoom.mQueued == 0 &&
               Fits(spec.mDeclared, aRoom.mLargestFree) &&
               (allowed.empty() ||
                std::find(allowed.begin(), allowed.end(), aRoom.mDataCentre) !=
                  allowed.end());
      });
    if (room == mRooms.end()) {
      continue;
    }
    const auto row = BeginMove(aOwned.mCore, name);
    if (!row) {
      continue;
    }
    // What is given away counts until the next summary arrives.
    room->mLargestFree -= spec.mDeclared;
    Push(aOwned, MoveItem{ aOwned.mId, aOwned.mEpoch, *row, room->mShard });
    ++moved;
  }
}

void
PlacementThread::Place(OwnedShard& aOwned, MonotonicTime aNow)
{
  aOwned.mChanged = false;
  if (aOwned.mCore.mQueued == 0) {
    return;
  }
  Actions actions;
  const std::size_t started =
    PlaceQueued(aOwned.mCore, aNow, kStartsAtOnce, actions);
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
  owned->mWaiters.emplace(aEvent.mSpec.mJob,
                          Waiter{ job.mLatestCommit, aEvent.mReply });
  Execute(*owned, std::move(actions));
}

void
PlacementThread::Handle(const QuestionEvent& aEvent, MonotonicTime aNow)
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
  if (aEvent.mQuestion != JobQuestion::Cancel) {
    Json::Value status = JobStatus(*owned, *job, aNow);
    if (aEvent.mQuestion == JobQuestion::Explain) {
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
  owned->mWaiters.emplace(aEvent.mJob,
                          Waiter{ job->mLatestCommit, aEvent.mReply });
  Execute(*owned, std::move(actions));
}

void
PlacementThread::Handle(const HostsEvent& aEvent, MonotonicTime)
{
  mHosts = aEvent.mShards;
  for (const auto& [id, owned] : mOwned) {
    FollowHosts(*owned);
  }
}

void
PlacementThread::Handle(const ReportEvent& aEvent, MonotonicTime)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned || !owned->mLoaded) {
    return; // Without the rows, every task would look like a stray one.
  }
  Actions actions;
  HandleReport(
    owned->mCore, aEvent.mWorker, aEvent.mReport, aEvent.mReceived, actions);
  WorkerLinks::SetPlan(*owned->mLinks[aEvent.mWorker],
                       PlanPoll(owned->mCore, aEvent.mWorker));
  Execute(*owned, std::move(actions));
  owned->mChanged = true;
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
  owned->mChanged = true;
}

void
PlacementThread::Handle(const CommittedEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned) {
    return;
  }
  constexpr Seconds kBelievedElsewhere{ 30 };
  Actions actions;
  if (aEvent.mState == CommitState::Committed) {
    RaiseAttempt(owned->mCore, aEvent.mJob, aEvent.mAttempt);
    HandleCommitted(owned->mCore, aEvent.mJob, aEvent.mSequence, aNow, actions);
  } else {
    HandleNotAccepted(owned->mCore, aEvent.mJob);
    owned->mElsewhere[aEvent.mJob] = aNow + kBelievedElsewhere;
  }
  AnswerWaiters(*owned, aEvent);
  Execute(*owned, std::move(actions));
  owned->mChanged = true;
}

void
PlacementThread::AnswerWaiters(OwnedShard& aOwned, const CommittedEvent& aEvent)
{
  Json::Value answer(Json::objectValue);
  answer["job"] = aEvent.mJob;
  const bool repeated = aEvent.mState == CommitState::Refused;
  answer["shard"] = repeated ? aEvent.mHolder : aOwned.mId;
  answer["state"] = "accepted";
  answer["repeated"] = repeated;
  const Job* job = FindJob(aOwned.mCore, aEvent.mJob);
  if (!repeated) {
    answer["state"] = !job                         ? "cancelled"
                      : job->mRow.mCancelRequested ? "cancelling"
                                                   : "accepted";
  }
  const auto [begin, end] = aOwned.mWaiters.equal_range(aEvent.mJob);
  for (auto waiter = begin; waiter != end;) {
    if (waiter->second.mSequence > aEvent.mSequence) {
      ++waiter;
      continue;
    }
    Fulfil(waiter->second.mReply, answer);
    waiter = aOwned.mWaiters.erase(waiter);
  }
}

void
PlacementThread::Handle(const MovedEvent& aEvent, MonotonicTime)
{
  if (OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch)) {
    EndMove(owned->mCore, aEvent.mJob, aEvent.mResult);
  }
}

void
PlacementThread::Handle(const RowsEvent& aEvent, MonotonicTime aNow)
{
  OwnedShard* owned = Find(aEvent.mShard, aEvent.mEpoch);
  if (!owned) {
    return;
  }
  for (const JobRow& row : aEvent.mRows) {
    if (!owned->mLoaded) {
      LoadJob(owned->mCore, row, aNow);
    } else {
      // Only rows that another shard moved here are unknown: this shard's own
      // commits arrive in the same order as the rows.
      AdoptJob(owned->mCore, row, aNow);
    }
  }
  if (!owned->mLoaded) {
    owned->mLoaded = true;
    LogEvent(LogLevel::Info,
             "shard_loaded",
             { { "shard", owned->mId }, { "jobs", aEvent.mRows.size() } });
  }
  owned->mChanged = true;
}

void
PlacementThread::Handle(const PeersEvent& aEvent, MonotonicTime)
{
  mRooms = aEvent.mRooms;
}

void
PlacementThread::PublishSummary()
{
  Json::Value summary(Json::objectValue);
  summary["member"] = mPorts.mSelf.mName;
  if (const auto current = mPorts.mConfig.mCurrent()) {
    // Tells a drain that this process knows the data centre is out.
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
    std::uint64_t heard = 0;
    std::uint64_t tasks = 0;
    for (const Worker& worker : core.mWorkers) {
      heard += worker.mLastReportAt ? 1 : 0;
      tasks += worker.mSlots.size();
      const bool open =
        worker.mPoolKey &&
        AllowsStart(core, core.mDataCentres[worker.mDataCentre], {}, Now());
      if (open) {
        free += worker.mFree;
        shard["dataCentre"] = worker.mSpec.mDataCentre;
        largest = largest.mMilliCores < worker.mFree.mMilliCores ? worker.mFree
                                                                 : largest;
      }
    }
    shard["workers"] = Json::UInt64(core.mWorkers.size());
    shard["heard"] = Json::UInt64(heard);
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
