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

/// Tasks are handed over after there has been no room for them for this long.
/// An interrupted one must run again within 6 s, and another shard may give it
/// back.
constexpr Millis kNoRoomBeforeHandOver{ 1000 };
/// Tasks of other shards are given back after this long without room.
constexpr Millis kNoRoomBeforeReturn{ 1500 };
/// No shard is looked for again for this long after none had room.
constexpr Millis kRetryPause{ 1000 };
/// Largest number of steps for which a shard is looked for at a time. Each
/// takes a look at all runners, and is not considered again for kRetryPause.
constexpr int kMaxConsidered = 5;
/// A shard that gave tasks back gets none of the job for this long. Each
/// further time doubles it.
constexpr Millis kRefusalPause{ 4000 };
constexpr std::uint32_t kMaxRefusalDoublings = 3;
/// Nodes whose row has not changed for this long don't count.
constexpr Seconds kNodeGone{ 10 };
/// Bytes of checkpoints that a row of tasks has at most. Tasks without theirs
/// start from the beginning.
constexpr std::size_t kMaxCheckpointBytes = 32768;
/// Number of rows of tasks that are remembered after they were taken.
constexpr std::size_t kMaxKnownTaskRows = 5000;

} // namespace

bool
ShardOwner::State::AllNodesKnowParts(MonotonicTime aNow) const
{
  return std::all_of(
    mView->mNodes.begin(), mView->mNodes.end(), [&](const auto& aEntry) {
      const Observed<NodeRow>& node = aEntry.second;
      return node.mRow.mKnowsParts || aNow - node.mVersionSeenAt > kNodeGone;
    });
}

void
ShardOwner::State::ConsiderParts(MonotonicTime aNow)
{
  if (mMove || mView->mShardCount < 2 || !AllNodesKnowParts(aNow)) {
    return;
  }
  int considered = 0;
  for (dispatch::StepWithoutRoom& step :
       dispatch::StepsWithoutRoom(mDispatcher, kNoRoomBeforeHandOver, aNow)) {
    dispatch::Job& job = *step.mJob;
    if (aNow < job.mMoveRetryAt) {
      continue;
    }
    if (job.mHomeShard && aNow - step.mSince <= kNoRoomBeforeReturn) {
      continue;
    }
    if (++considered > kMaxConsidered) {
      return;
    }
    if (job.mMoves == 0 && dispatch::MayMove(mDispatcher, job) &&
        ChooseMoveTarget(job)) {
      continue; // It is soon handed over as a whole.
    }
    const std::optional<std::uint32_t> target =
      job.mHomeShard ? job.mHomeShard
                     : ChoosePartTarget(job, step.mStep, step.mTasks, aNow);
    if (!target) {
      job.mMoveRetryAt = aNow + kRetryPause;
      continue;
    }
    mMove = JobMove{ .mJob = job.mSpec.mId,
                     .mTarget = *target,
                     .mTasks = std::move(step.mTasks),
                     .mStep = step.mStep };
    SendMove(aNow);
    return;
  }
}

std::optional<std::uint32_t>
ShardOwner::State::ChoosePartTarget(const dispatch::Job& aJob,
                                    std::uint32_t aStep,
                                    std::vector<std::uint32_t>& aTasks,
                                    MonotonicTime aNow) const
{
  const auto queue = mDispatcher.mQueues.find(aJob.mSpec.mQueue);
  const auto own = mView->mShardRows.find(mClaim.mShard);
  if (queue == mDispatcher.mQueues.end() || own == mView->mShardRows.end()) {
    return {};
  }
  const dispatch::StepSpec& step = aJob.mSpec.mSteps[aStep];
  const std::vector<std::uint64_t> slots = SlotsByShard(
    *mAllRunners, step, queue->second.mService, mView->mShardCount);
  const auto refusals = mRefusals.find(aJob.mSpec.mId);
  const auto refuses = [&](std::uint32_t aShard) {
    if (refusals == mRefusals.end()) {
      return false;
    }
    const auto refusal = refusals->second.find(aShard);
    return refusal != refusals->second.end() && aNow < refusal->second.mRetryAt;
  };
  std::optional<std::uint32_t> best;
  std::uint64_t bestRoom = 0;
  for (const auto& [shard, observed] : mView->mShardRows) {
    const ShardRow& row = observed.mRow;
    if (shard == mClaim.mShard || shard >= mView->mShardCount ||
        row.mOwner.empty() ||
        row.mStartWaitMs > own->second.mRow.mStartWaitMs || refuses(shard)) {
      continue;
    }
    const std::int64_t free =
      step.mReservation == dispatch::Reservation::BestEffort
        ? row.mBestEffortMilliCores
        : row.mFreeMilliCores;
    const std::uint64_t taken = dispatch::TasksInShard(aJob, aStep, shard);
    std::uint64_t room = slots[shard] - std::min(slots[shard], taken);
    if (step.mDemand.mMilliCores > 0) {
      room =
        std::min(room,
                 static_cast<std::uint64_t>(std::max<std::int64_t>(0, free) /
                                            step.mDemand.mMilliCores));
    }
    if (room > bestRoom) {
      best = shard;
      bestRoom = room;
    }
  }
  aTasks.resize(std::min<std::uint64_t>(aTasks.size(), bestRoom));
  return best;
}

std::optional<StoreTransaction>
ShardOwner::State::MakeTaskMove(dispatch::Job& aJob)
{
  const std::string& id = aJob.mSpec.mId;
  const RowPartitions& partitions = mContext.mPartitions;
  const std::string partition = partitions.OfJob(id);
  const std::uint32_t own = mClaim.mShard;
  const std::string inbox = InboxTable(mMove->mTarget);
  mMove->mTasks = dispatch::SetElsewhere(
    mDispatcher, aJob, mMove->mStep, mMove->mTasks, mMove->mTarget);
  if (mMove->mTasks.empty()) {
    return {};
  }
  TaskHandOver handOver{ id, own, mMove->mStep, mMove->mTasks };
  std::size_t checkpointBytes = 0;
  for (const std::uint32_t index : mMove->mTasks) {
    const std::string& checkpoint =
      dispatch::TaskOf({ &aJob, 0, mMove->mStep, index }).mCheckpoint;
    checkpointBytes += checkpoint.size();
    if (!checkpoint.empty() && checkpointBytes <= kMaxCheckpointBytes) {
      handOver.mCheckpoints.emplace(index, checkpoint);
    }
  }
  StoreTransaction move;
  // Each row of tasks has a name of its own, so that none replaces one that is
  // not read yet.
  move.mPuts.push_back({ inbox,
                         partition,
                         kTasksPrefix + id + "/" + std::to_string(own) + "-" +
                           std::to_string(mClaim.mEpoch) + "-" +
                           std::to_string(mLastTransactionNumber + 1),
                         FormatTaskHandOver(handOver) });
  if (!aJob.mHomeShard) {
    const auto ageMs =
      std::chrono::duration_cast<Millis>(mContext.Now() - aJob.mAcceptedAt);
    AcceptedJob part{ aJob.mSpec, UnixMs() - ageMs.count() };
    part.mProgress = dispatch::ProgressOfNewPart(aJob, own);
    move.mPuts.push_back(
      { inbox, partition, kPartPrefix + id, FormatAcceptedJob(part) });
  }
  AddTakenRows(move, id);
  const auto taken = mTakenRows.find(id);
  mMove->mTakenRows = taken == mTakenRows.end() ? 0 : taken->second.size();
  mMove->mEndsPart = dispatch::IsEmptyPart(aJob);
  const StoreKey progress{ ProgressTable(own),
                           partitions.OfProgress(own),
                           kJobPrefix + id };
  if (!mMove->mEndsPart) {
    move.mPuts.push_back({ progress.mTable,
                           progress.mPartition,
                           progress.mKey,
                           FormatProgress(dispatch::ProgressOf(aJob)) });
    return move;
  }
  // The home shard may just hand further tasks over, which replaces the row.
  move.mChecks.push_back(
    { InboxTable(own), partition, kPartPrefix + id, mPartVersions[id] });
  move.mRemovals.push_back(progress);
  move.mRemovals.push_back({ InboxTable(own), partition, kPartPrefix + id });
  return move;
}

void
ShardOwner::State::UndoTaskMove(dispatch::Job& aJob)
{
  dispatch::TakeFrom(mDispatcher,
                     aJob,
                     mMove->mStep,
                     mMove->mTasks,
                     mMove->mTarget,
                     dispatch::PriorRuns::None,
                     mContext.Now());
}

void
ShardOwner::State::TakeTasks(const StoreRow& aRow, dispatch::PriorRuns aHistory)
{
  const std::optional<TaskHandOver> handOver = ParseTaskHandOver(aRow.mValue);
  if (!handOver) {
    Log(LogLevel::Error, "unreadable_job", "key=" + aRow.mKey);
    return;
  }
  const auto found = mDispatcher.mJobs.find(handOver->mJob);
  if (found == mDispatcher.mJobs.end() ||
      !mKnownTaskRows.insert(aRow.mKey).second) {
    return; // The job has ended, or the row was read before.
  }
  mKnownTaskRowOrder.push_back(aRow.mKey);
  if (mKnownTaskRowOrder.size() > kMaxKnownTaskRows) {
    mKnownTaskRows.erase(mKnownTaskRowOrder.front());
    mKnownTaskRowOrder.pop_front();
  }
  dispatch::Job& job = *found->second;
  const MonotonicTime now = mContext.Now();
  mTakenRows[handOver->mJob].push_back(aRow.mKey);
  dispatch::TakeFrom(mDispatcher,
                     job,
                     handOver->mStep,
                     handOver->mTasks,
                     handOver->mFromShard,
                     aHistory,
                     now);
  for (const auto& [index, checkpoint] : handOver->mCheckpoints) {
    dispatch::SetCheckpoint(job, handOver->mStep, index, checkpoint);
  }
  job.mTakenAt = now;
  dispatch::NoteChange(mDispatcher, job);
  if (!job.mHomeShard) {
    ShardRefusal& refusal = mRefusals[handOver->mJob][handOver->mFromShard];
    refusal.mRetryAt =
      now +
      kRefusalPause * (1 << std::min(refusal.mCount, kMaxRefusalDoublings));
    ++refusal.mCount;
  }
  Log(LogLevel::Notice,
      job.mHomeShard ? "tasks_taken" : "tasks_returned",
      "job=" + handOver->mJob +
        " from=" + std::to_string(handOver->mFromShard) +
        " step=" + std::to_string(handOver->mStep) +
        " tasks=" + std::to_string(handOver->mTasks.size()));
}

void
ShardOwner::State::AddTakenRows(StoreTransaction& aTransaction,
                                const std::string& aJob) const
{
  const auto taken = mTakenRows.find(aJob);
  if (taken == mTakenRows.end()) {
    return;
  }
  for (const std::string& key : taken->second) {
    aTransaction.mRemovals.push_back(
      { InboxTable(mClaim.mShard), mContext.mPartitions.OfJob(aJob), key });
  }
}

void
ShardOwner::State::ForgetTakenRows(const std::string& aJob, std::size_t aCount)
{
  const auto taken = mTakenRows.find(aJob);
  if (taken == mTakenRows.end()) {
    return;
  }
  std::vector<std::string>& keys = taken->second;
  keys.erase(keys.begin(),
             keys.begin() +
               static_cast<std::ptrdiff_t>(std::min(aCount, keys.size())));
  if (keys.empty()) {
    mTakenRows.erase(taken);
  }
}

} // namespace paddle
