#include <LibNode/JobRows.h>
#include <LibNode/RunnerSlots.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>
#include <utility>

#include <LibDispatch/JobMoves.h>
#include <LibDispatch/JobParts.h>

namespace paddle {

namespace {

/// A job waits here for this long with nothing running before it is handed over
/// to another shard. Each earlier move doubles the time, so that a job that no
/// shard has room for doesn't go back and forth.
constexpr Millis kIdleBeforeMove{ 4000 };
constexpr std::uint32_t kMaxDoublings = 4;
/// Shortest interval between two moves, so that the rows of the other shards,
/// which are up to a second old, reflect most of the moves before.
constexpr Millis kMoveInterval{ 250 };
/// No shard is looked for again for this long after none had room for a job or
/// the job could not be handed over, so that other jobs are considered.
constexpr Millis kMoveRetryPause{ 1000 };
/// Largest number of jobs for which a shard is looked for at a time. Each may
/// take a look at all runners.
constexpr int kMaxConsidered = 20;
/// A moved job that has not begun counts as waiting here for this long, because
/// the other shard's next row is up to half a second later.
constexpr Millis kCountedAfterMove{ 1500 };
/// A job that is too wide for this shard is started here nevertheless if it
/// could not be handed over within this time.
constexpr Millis kLongestWaitForMove{ 3000 };
/// A job that is too wide for its shard is handed over at most this often.
constexpr std::uint32_t kMaxMovesOfWideJob = 2;
/// Another shard has room only if the free part of its processors exceeds this
/// shard's by this much, or if this shard has no runner for the job.
constexpr double kClearlyMoreFree = 0.05;
/// Number of moved jobs that are remembered. The changes of the inbox that may
/// bring them back are read within seconds.
constexpr std::size_t kMaxRememberedMoves = 5000;

/// @return whether all tasks of the step have to run at the same time
bool
RunsAsAWhole(const dispatch::StepSpec& aStep)
{
  return aStep.mGang || aStep.mKind == dispatch::StepKind::LongRunning;
}

/// @return the part of a shard's processors that tasks with or without a
///         reservation may use
double
FreeShare(const ShardRow& aRow, bool aBestEffort)
{
  const std::int64_t free =
    aBestEffort ? aRow.mBestEffortMilliCores : aRow.mFreeMilliCores;
  return static_cast<double>(free) /
         static_cast<double>(std::max<std::int64_t>(1, aRow.mTotalMilliCores));
}

} // namespace

std::optional<std::uint32_t>
ShardOwner::State::ChooseMoveTarget(const dispatch::Job& aJob) const
{
  const auto queue = mDispatcher.mQueues.find(aJob.mSpec.mQueue);
  const auto own = mView->mShardRows.find(mClaim.mShard);
  if (queue == mDispatcher.mQueues.end() || aJob.mOccurrences.empty() ||
      own == mView->mShardRows.end()) {
    return {};
  }
  // The steps that have not ended, and the first one that waits.
  const std::vector<dispatch::Step>& steps =
    aJob.mOccurrences.begin()->second.mSteps;
  std::vector<const dispatch::StepSpec*> left;
  const dispatch::StepSpec* waiting = nullptr;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (steps[i].mDoneTasks < steps[i].mTasks.size()) {
      left.push_back(&aJob.mSpec.mSteps[i]);
      if (waiting == nullptr && steps[i].mReady) {
        waiting = left.back();
      }
    }
  }
  if (waiting == nullptr) {
    return {};
  }
  const bool bestEffort =
    waiting->mReservation == dispatch::Reservation::BestEffort;
  std::optional<std::uint32_t> best;
  double bestShare = FreeShare(own->second.mRow, bestEffort) + kClearlyMoreFree;
  for (const auto& [number, row] : mView->mShardRows) {
    const std::uint32_t shard = number;
    const ShardRow& known = row.mRow;
    const std::int64_t free =
      bestEffort ? known.mBestEffortMilliCores : known.mFreeMilliCores;
    const double share = FreeShare(known, bestEffort);
    const bool takes =
      !known.mOwner.empty() && (known.mTakesMovedJobs || !aJob.mBegan);
    if (shard == mClaim.mShard || shard >= mView->mShardCount || !takes ||
        share < bestShare || free < waiting->mDemand.mMilliCores ||
        known.mStartWaitMs > own->second.mRow.mStartWaitMs) {
      continue;
    }
    const bool fits = std::all_of(
      left.begin(), left.end(), [&](const dispatch::StepSpec* aStep) {
        return std::any_of(
          mAllRunners->begin(),
          mAllRunners->end(),
          [&](const dispatch::RunnerSpec& aRunner) {
            return ShardOfRunner(aRunner.mId, mView->mShardCount) == shard &&
                   CanRun(aRunner, *aStep, queue->second.mService);
          });
      });
    if (fits) {
      best = shard;
      bestShare = share;
    }
  }
  return best;
}

std::optional<std::uint32_t>
ShardOwner::State::ChooseWiderShard(const dispatch::Job& aJob) const
{
  const auto queue = mDispatcher.mQueues.find(aJob.mSpec.mQueue);
  if (queue == mDispatcher.mQueues.end() || mView == nullptr ||
      mView->mShardCount < 2) {
    return {};
  }
  const std::string& service = queue->second.mService;
  const bool fitsHere =
    std::all_of(aJob.mSpec.mSteps.begin(),
                aJob.mSpec.mSteps.end(),
                [&](const dispatch::StepSpec& aStep) {
                  std::uint64_t slots = 0;
                  for (const dispatch::RunnerSpec& runner : mShardRunners) {
                    slots += Slots(runner, aStep, service);
                  }
                  return !RunsAsAWhole(aStep) || slots >= aStep.mTaskCount;
                });
  if (fitsHere) {
    return {};
  }
  // Slots by step, then by shard.
  std::vector<std::vector<std::uint64_t>> slots;
  for (const dispatch::StepSpec& step : aJob.mSpec.mSteps) {
    slots.push_back(
      SlotsByShard(*mAllRunners, step, service, mView->mShardCount));
  }
  std::optional<std::uint32_t> best;
  double bestShare = 0;
  for (const auto& [shard, row] : mView->mShardRows) {
    // A shard that changes hands just now has an owner soon.
    if (shard == mClaim.mShard || shard >= mView->mShardCount) {
      continue;
    }
    bool fits = true;
    for (std::size_t i = 0; i < slots.size(); ++i) {
      const dispatch::StepSpec& step = aJob.mSpec.mSteps[i];
      fits =
        fits && slots[i][shard] >= (RunsAsAWhole(step) ? step.mTaskCount : 1);
    }
    const double share = FreeShare(row.mRow, false);
    if (fits && (!best || share > bestShare)) {
      best = shard;
      bestShare = share;
    }
  }
  return best;
}

void
ShardOwner::State::HoldWideJobs()
{
  if (!mShardRunnersRead) {
    return; // Nothing is started before the runners are known.
  }
  for (const std::string& id : std::exchange(mUncheckedJobs, {})) {
    const auto found = mDispatcher.mJobs.find(id);
    if (found == mDispatcher.mJobs.end()) {
      continue;
    }
    dispatch::Job& job = *found->second;
    if (!job.mBegan && job.mActiveRuns == 0 && job.mSpec.mOccurrences == 0 &&
        job.mMoves < kMaxMovesOfWideJob && ChooseWiderShard(job)) {
      dispatch::SetAwaitsMove(mDispatcher, job, true);
      mWideJobs.push_back({ id, {} });
    }
  }
}

void
ShardOwner::State::MoveWideJobs(MonotonicTime aNow)
{
  std::erase_if(mWideJobs, [&](WideJob& aWide) {
    const auto found = mDispatcher.mJobs.find(aWide.mJob);
    if (found == mDispatcher.mJobs.end()) {
      return true;
    }
    if (mMove && mMove->mJob == aWide.mJob) {
      return false;
    }
    dispatch::Job& job = *found->second;
    // Before the recovery is complete, nothing of an inherited job may be
    // started anyway.
    if (mDispatcher.mRecovered && aWide.mMovableSince == MonotonicTime{}) {
      aWide.mMovableSince = aNow;
    }
    const bool late = aWide.mMovableSince != MonotonicTime{} &&
                      aNow - aWide.mMovableSince > kLongestWaitForMove;
    if (job.mBegan || late) {
      dispatch::SetAwaitsMove(mDispatcher, job, false);
      return true;
    }
    if (!mMove && aNow >= job.mMoveRetryAt &&
        dispatch::MayMove(mDispatcher, job)) {
      const std::optional<std::uint32_t> target = ChooseWiderShard(job);
      if (!target) {
        dispatch::SetAwaitsMove(mDispatcher, job, false);
        return true;
      }
      BeginMove(job, *target);
    }
    return false;
  });
}

void
ShardOwner::State::ConsiderMove(MonotonicTime aNow)
{
  if (!MayCommandRunners(aNow) || mView == nullptr) {
    return;
  }
  MoveWideJobs(aNow);
  ConsiderParts(aNow);
  if (mMove || mView->mShardCount < 2 || aNow < mNextMoveAt) {
    return;
  }
  mNextMoveAt = aNow + kMoveInterval;
  int considered = 0;
  for (dispatch::Job* job :
       dispatch::IdleJobsThatMayMove(mDispatcher, kIdleBeforeMove, aNow)) {
    const Millis wait =
      kIdleBeforeMove * (1 << std::min(job->mMoves, kMaxDoublings));
    if (aNow - dispatch::IdleForRoomSince(*job) <= wait ||
        aNow < job->mMoveRetryAt) {
      continue;
    }
    if (++considered > kMaxConsidered) {
      return;
    }
    const std::optional<std::uint32_t> target = ChooseMoveTarget(*job);
    if (!target) {
      job->mMoveRetryAt = aNow + kMoveRetryPause;
      continue;
    }
    BeginMove(*job, *target);
    return;
  }
}

void
ShardOwner::State::BeginMove(const dispatch::Job& aJob, std::uint32_t aTarget)
{
  const std::string id = aJob.mSpec.mId;
  mMove = JobMove{ .mJob = id, .mTarget = aTarget };
  mMove->mReadsLeft = aJob.mBegan ? 2 : 1;
  auto self = shared_from_this();
  mContext.mStore.mRead(
    kStatusTable,
    mContext.mPartitions.OfJob(id),
    id,
    id + '\0',
    [self](const ReadOutcome& aRead) {
      const std::optional<JobStatus> status =
        aRead.mRows.empty() ? std::nullopt : ParseStatus(aRead.mRows[0].mValue);
      const bool active = status &&
                          status->mPhase == dispatch::JobPhase::Active &&
                          status->mShard == self->mClaim.mShard;
      self->HandleMoveRead(&JobMove::mStatusVersion,
                           active ? aRead.mRows[0].mVersion : 0);
    });
  if (!aJob.mBegan) {
    return;
  }
  // An owner of an earlier version would start the job from the beginning.
  // Any change of owner changes the row.
  const std::string key = ShardKey(aTarget);
  mContext.mStore.mRead(
    kClusterTable,
    mContext.mPartitions.OfShards(),
    key,
    key + '\0',
    [self](const ReadOutcome& aRead) {
      const std::optional<ShardRow> row =
        aRead.mRows.empty() ? std::nullopt
                            : ParseShardRow(aRead.mRows[0].mValue);
      const bool takes = row && !row->mOwner.empty() && row->mTakesMovedJobs;
      self->HandleMoveRead(&JobMove::mTargetVersion,
                           takes ? aRead.mRows[0].mVersion : 0);
    });
}

void
ShardOwner::State::HandleMoveRead(std::int64_t JobMove::*aMember,
                                  std::int64_t aVersion)
{
  if (mOwnershipLost || !mMove) {
    return;
  }
  (*mMove).*aMember = aVersion;
  mMove->mReadFailed = mMove->mReadFailed || aVersion == 0;
  if (--mMove->mReadsLeft > 0) {
    return;
  }
  if (mMove->mReadFailed) {
    GiveUpMove("rows");
    return;
  }
  SendMove(mContext.Now());
}

void
ShardOwner::State::SendMove(MonotonicTime aNow)
{
  if (!mMove || mMove->mSent || mMove->mReadsLeft > 0 || mTransactionInFlight ||
      !mTransactions.empty() || mCommit || aNow < mRetryAt) {
    return; // The end of the transaction or the next tick makes up for it.
  }
  const auto found = mDispatcher.mJobs.find(mMove->mJob);
  const bool whole = mMove->mTasks.empty();
  if (!MayCommandRunners(aNow) || found == mDispatcher.mJobs.end() ||
      (whole && !dispatch::MayMove(mDispatcher, *found->second))) {
    GiveUpMove("started");
    return;
  }
  dispatch::Job& job = *found->second;
  std::optional<StoreTransaction> move =
    whole ? MakeMove(job) : MakeTaskMove(job);
  if (!move) {
    GiveUpMove("started");
    return;
  }
  if (FindLimitViolation(*move, mContext.mSettings.mStoreLimits)) {
    if (!whole) {
      UndoTaskMove(job);
    }
    GiveUpMove("bound");
    return;
  }
  if (whole) {
    dispatch::HoldJob(mDispatcher, job);
  }
  mMove->mSent = true;
  mTransactions.emplace_back().mParts.push_back({ std::move(*move), {} });
  SendNextTransaction();
}

StoreTransaction
ShardOwner::State::MakeMove(const dispatch::Job& aJob) const
{
  const std::string& id = aJob.mSpec.mId;
  const RowPartitions& partitions = mContext.mPartitions;
  const std::string partition = partitions.OfJob(id);
  const std::uint32_t target = mMove->mTarget;
  const auto ageMs =
    std::chrono::duration_cast<Millis>(mContext.Now() - aJob.mAcceptedAt);
  AcceptedJob accepted{ aJob.mSpec, UnixMs() - ageMs.count() };
  accepted.mMoves = aJob.mMoves + 1;
  const JobStatus status{ target,
                          aJob.mSpec.mQueue,
                          dispatch::JobPhase::Active,
                          aJob.mBegan,
                          /*mTombstone=*/false,
                          aJob.mSpec.mAccount };
  StoreTransaction move;
  move.mChecks.push_back(
    { kStatusTable, partition, id, mMove->mStatusVersion });
  move.mPuts.push_back({ kStatusTable, partition, id, FormatStatus(status) });
  if (aJob.mBegan) {
    move.mChecks.push_back({ kClusterTable,
                             partitions.OfShards(),
                             ShardKey(target),
                             mMove->mTargetVersion });
    accepted.mProgress = dispatch::ProgressForOtherShard(aJob);
    // A later owner reads the progress of all its jobs here.
    move.mPuts.push_back({ ProgressTable(target),
                           partitions.OfProgress(target),
                           kJobPrefix + id,
                           FormatProgress(*accepted.mProgress) });
  }
  move.mPuts.push_back({ InboxTable(target),
                         partition,
                         kAcceptedPrefix + id,
                         FormatAcceptedJob(accepted) });
  move.mRemovals.push_back(
    { InboxTable(mClaim.mShard), partition, kAcceptedPrefix + id });
  move.mRemovals.push_back({ ProgressTable(mClaim.mShard),
                             partitions.OfProgress(mClaim.mShard),
                             kJobPrefix + id });
  return move;
}

void
ShardOwner::State::HandleMoved(std::int64_t aVersion)
{
  const JobMove move = *std::exchange(mMove, {});
  const std::string& id = move.mJob;
  if (!move.mTasks.empty()) {
    ForgetTakenRows(id, move.mTakenRows);
    Log(LogLevel::Notice,
        "tasks_moved",
        "job=" + id + " to=" + std::to_string(move.mTarget) +
          " step=" + std::to_string(move.mStep) +
          " tasks=" + std::to_string(move.mTasks.size()) +
          " first=" + std::to_string(move.mTasks.front()));
    if (!move.mEndsPart) {
      return;
    }
    if (mPartVersions[id] > aVersion) {
      // Further tasks were handed over since, and have been read.
      dispatch::NoteChange(mDispatcher, *mDispatcher.mJobs.find(id)->second);
      return;
    }
    mPartVersions.erase(id);
  } else {
    Log(LogLevel::Notice,
        "job_moved",
        "job=" + id + " to=" + std::to_string(move.mTarget));
  }
  mRefusals.erase(id);
  if (!mMovedJobs.contains(id)) {
    mMovedOrder.push_back(id);
  }
  mMovedJobs[id] = aVersion;
  if (mMovedOrder.size() > kMaxRememberedMoves) {
    mMovedJobs.erase(mMovedOrder.front());
    mMovedOrder.pop_front();
  }
  const auto found = mDispatcher.mJobs.find(id);
  if (found != mDispatcher.mJobs.end()) {
    if (!found->second->mBegan) {
      mMovedPending.emplace_back(mContext.Now(), found->second->mSpec.mQueue);
    }
    dispatch::RemoveMovedJob(mDispatcher, *found->second);
  }
}

void
ShardOwner::State::GiveUpMove(std::string_view aCause)
{
  Log(LogLevel::Info,
      mMove->mTasks.empty() ? "job_not_moved" : "tasks_not_moved",
      "job=" + mMove->mJob + " cause=" + std::string(aCause));
  const auto found = mDispatcher.mJobs.find(mMove->mJob);
  if (found != mDispatcher.mJobs.end()) {
    found->second->mMoveRetryAt = mContext.Now() + kMoveRetryPause;
    if (mMove->mSent && mMove->mTasks.empty()) {
      dispatch::ResumeJob(mDispatcher, *found->second);
    } else if (mMove->mSent) {
      UndoTaskMove(*found->second);
    }
  }
  mMove.reset();
}

void
ShardOwner::State::AddMovedPending(
  std::map<std::string, std::uint64_t>& aPending,
  MonotonicTime aNow)
{
  while (!mMovedPending.empty() &&
         aNow - mMovedPending.front().first > kCountedAfterMove) {
    mMovedPending.pop_front();
  }
  for (const auto& [movedAt, queue] : mMovedPending) {
    ++aPending[queue];
  }
}

} // namespace paddle
