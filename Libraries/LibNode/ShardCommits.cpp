#include <LibNode/InterferenceRow.h>
#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibNode/StoreLimits.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// Bounds of a transaction without the commit sequence row, which takes two
/// entries with names and a value of a few hundred bytes.
constexpr StoreLimits kCommitLimits{ .mEntries = 98, .mMessageBytes = 998000 };
/// A commit includes the interference estimates if they were last stored this
/// long ago. After a takeover, the new owner has to learn again what changed in
/// between.
constexpr Seconds kInterferenceInterval{ 2 };
/// Number of ended jobs that are remembered for reads of the inbox that were in
/// flight when the jobs ended. Such a read takes a second at most, in which
/// some hundred jobs of a shard end.
constexpr std::size_t kMaxRememberedEndedJobs = 5000;
/// The stored list is kept below this size. A row of the store has 64 KiB.
constexpr std::size_t kMaxRunnersBytes = 60000;
/// Shortest interval between two writes of the list of runners, which has up to
/// 50 KB and is priced.
constexpr Millis kRunnersInterval{ 250 };

} // namespace

void
ShardOwner::State::BeginCommit(MonotonicTime aNow)
{
  if (mOwnershipLost || mTransactionInFlight || aNow < mRetryAt) {
    return;
  }
  if (!mTransactions.empty()) {
    SendNextTransaction();
    return;
  }
  if (mDispatcher.mDirtyJobs.empty()) {
    mUncommittedSince = {};
    return;
  }
  if (mUncommittedSince == MonotonicTime{}) {
    mUncommittedSince = aNow;
  }
  const bool due = mDispatcher.mCommitUrgent || mSteppingDown ||
                   aNow - mUncommittedSince >= mContext.mSettings.mCommitDelay;
  if (!due || mCommit) {
    return;
  }
  mUncommittedSince = {};
  mCommit = dispatch::TakeCommit(mDispatcher);
  mCommitPhases.clear();
  const std::string progress = ProgressTable(mClaim.mShard);
  const std::string progressPartition =
    mContext.mPartitions.OfProgress(mClaim.mShard);
  const std::string inbox = InboxTable(mClaim.mShard);
  for (const dispatch::Job* job : mCommit->mJobs) {
    StoreTransaction transaction;
    const std::string& id = job->mSpec.mId;
    mCommitPhases.push_back(job->mPhase);
    if (job->mPhase == dispatch::JobPhase::Active) {
      transaction.mPuts.push_back(
        { progress,
          progressPartition,
          kJobPrefix + id,
          FormatProgress(dispatch::ProgressOf(*job)) });
    } else {
      const JobStatus status{
        mClaim.mShard, job->mSpec.mQueue, job->mPhase, job->mBegan
      };
      const std::string partition = mContext.mPartitions.OfJob(id);
      transaction.mPuts.push_back(
        { kStatusTable, partition, id, FormatStatus(status) });
      transaction.mRemovals.push_back(
        { progress, progressPartition, kJobPrefix + id });
      transaction.mRemovals.push_back(
        { inbox, partition, kAcceptedPrefix + id });
      transaction.mRemovals.push_back({ inbox, partition, kCancelPrefix + id });
      Log(LogLevel::Info,
          "job_ended",
          "job=" + id + " phase=" +
            (job->mPhase == dispatch::JobPhase::Completed   ? "completed"
             : job->mPhase == dispatch::JobPhase::Cancelled ? "cancelled"
                                                            : "failed") +
            " age_ms=" +
            std::to_string(
              std::chrono::duration_cast<Millis>(aNow - job->mAcceptedAt)
                .count()));
    }
    AppendPart(mTransactions, std::move(transaction), kCommitLimits);
  }
  if (aNow - mInterferenceStoredAt >= kInterferenceInterval) {
    mInterferenceStoredAt = aNow;
    StoreTransaction transaction;
    transaction.mPuts.push_back({ progress,
                                  progressPartition,
                                  kInterferenceKey,
                                  FormatInterference(dispatch::RecordOf(
                                    mDispatcher.mInterference, aNow)) });
    AppendPart(mTransactions, std::move(transaction), kCommitLimits);
  }
  SendNextTransaction();
}

std::string
ShardOwner::State::NextSequenceValue() const
{
  return mContext.mSelf.mName + "/" + std::to_string(mClaim.mEpoch) + "/" +
         std::to_string(mLastTransactionNumber + 1);
}

void
ShardOwner::State::SendNextTransaction()
{
  if (mTransactionInFlight) {
    // Each transaction checks the version of the commit sequence row that the
    // transaction before it wrote, so they can't be sent at the same time.
    return;
  }
  StoreTransaction transaction = mTransactions.front();
  const std::string progress = ProgressTable(mClaim.mShard);
  const std::string partition = mContext.mPartitions.OfProgress(mClaim.mShard);
  transaction.mChecks.push_back(
    { progress, partition, kCommitSequenceKey, mSequenceRowVersion });
  transaction.mPuts.push_back(
    { progress, partition, kCommitSequenceKey, NextSequenceValue() });
  mTransactionInFlight = true;
  const MonotonicTime sentAt = mContext.Now();
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, sentAt](const TransactionOutcome& aOutcome) {
      if (self->mOwnershipLost) {
        return;
      }
      self->mContext.mMetrics->Observe(
        "commit",
        std::chrono::duration_cast<Micros>(self->mContext.Now() - sentAt));
      self->HandleTransaction(aOutcome);
    });
}

void
ShardOwner::State::HandleTransaction(const TransactionOutcome& aOutcome)
{
  mTransactionInFlight = false;
  std::int64_t stored = 0;
  if (aOutcome.mResult == StoreResult::Stored) {
    stored = aOutcome.mVersion;
  } else if (aOutcome.mResult == StoreResult::Conflict) {
    const std::string ours = NextSequenceValue();
    for (const StoreRow& row : aOutcome.mCurrent) {
      // The same transaction was sent before, got no answer, and was stored.
      if (row.mKey == kCommitSequenceKey && row.mValue == ours) {
        stored = row.mVersion;
      }
    }
    if (stored == 0) {
      LoseOwnership("chain_replaced");
      return;
    }
  }
  if (stored == 0) {
    Log(LogLevel::Warning,
        "commit_retry",
        aOutcome.mResult == StoreResult::Unknown ? "cause=no_answer"
                                                 : "cause=refused");
    mRetryAt = mContext.Now() + mContext.mSettings.mRetryPause;
    return;
  }
  mSequenceRowVersion = stored;
  ++mLastTransactionNumber;
  mTransactions.pop_front();
  if (mStoringRunners && mTransactions.empty() && !mCommit) {
    HandleRunnersStored();
  } else if (mTransactions.empty() && mCommit) {
    const dispatch::Commit commit = std::move(*mCommit);
    mCommit.reset();
    for (std::size_t i = 0; i < commit.mJobs.size(); ++i) {
      if (mCommitPhases[i] != dispatch::JobPhase::Active) {
        RememberEnded(commit.mJobs[i]->mSpec.mId);
      }
    }
    dispatch::HandleCommitted(mDispatcher, commit, mCommitPhases);
    RenewAfterCommit(mContext.Now());
  }
  // The list of runners goes before the next commit. A busy shard always has
  // one, so that the list would not be stored otherwise.
  if (RunnerListOutdated(mContext.Now())) {
    StoreRunners();
  }
  if (!mTransactions.empty()) {
    SendNextTransaction();
  } else if (mDispatcher.mCommitUrgent) {
    BeginCommit(mContext.Now());
  }
}

void
ShardOwner::State::RememberEnded(const std::string& aJob)
{
  mEndedJobs.insert(aJob);
  mEndedOrder.push_back(aJob);
  if (mEndedOrder.size() > kMaxRememberedEndedJobs) {
    mEndedJobs.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

bool
ShardOwner::State::RunnerListOutdated(MonotonicTime aNow) const
{
  if (mSteppingDown) {
    return FinalListDue();
  }
  if (aNow - mRunnersStoredAt < kRunnersInterval) {
    return false;
  }
  if (mAnyListedNotStored) {
    return true;
  }
  for (dispatch::RunnerIndex i = 0; i < mDispatcher.mRunners.size(); ++i) {
    const dispatch::Runner& runner = mDispatcher.mRunners[i];
    const auto stored = mStoredRunners.find(runner.mSpec.mId);
    if (stored == mStoredRunners.end()) {
      continue;
    }
    if (stored->second != runner.mSpec.mIncarnation) {
      return true;
    }
    const bool wanted = dispatch::ShouldStoreRecord(mDispatcher, i, aNow);
    if (dispatch::HasLeft(mDispatcher, i) || runner.mRecordStored != wanted ||
        (wanted && runner.mRecordedRunCount != runner.mTasks.size())) {
      return true;
    }
  }
  return false;
}

bool
ShardOwner::State::FinalListDue() const
{
  return mStage == ShardStage::Serving && !mFinalListSent &&
         !mDispatcher.mRunners.empty() && !ListPinned(mContext.Now());
}

bool
ShardOwner::State::ListPinned(MonotonicTime aNow) const
{
  return !mMajorityFenced && aNow < mEarlierIsolatedLeasesEnd;
}

dispatch::InheritedRunner
ShardOwner::State::MakeListEntry(dispatch::RunnerIndex aRunner,
                                 MonotonicTime aNow)
{
  dispatch::Runner& runner = mDispatcher.mRunners[aRunner];
  dispatch::InheritedRunner entry;
  entry.mSpec = runner.mSpec;
  const bool restarted = runner.mRestartSeenAt > MonotonicTime{};
  // The last list also records the runners that are about to leave. All records
  // would make it too long.
  const bool leaving =
    mSteppingDown && runner.mPhase == dispatch::RunnerPhase::Live &&
    (runner.mSilent || !runner.mListed || runner.mSpec.mDraining);
  if (leaving || dispatch::ShouldStoreRecord(mDispatcher, aRunner, aNow)) {
    if (!runner.mRecordStored ||
        runner.mRecordedRunCount != runner.mTasks.size()) {
      Log(LogLevel::Info,
          "runner_recorded",
          "runner=" + runner.mSpec.mId +
            " runs=" + std::to_string(runner.mTasks.size()));
    }
    // From now on the dispatcher starts no task there, so that the record stays
    // complete.
    runner.mRecordStored = true;
    runner.mRecordedRunCount = runner.mTasks.size();
    entry.mPossibleRuns = dispatch::PossibleRuns(mDispatcher, aRunner);
    entry.mLeasesExpireAt = runner.mLeasesExpireAt;
    entry.mRecordFinal = mSteppingDown && !restarted &&
                         dispatch::TasksAreOnlyHere(mDispatcher, aRunner);
  } else if (mSteppingDown && !restarted) {
    // A late order to the former process of a restarted runner may still be
    // carried out, so the end of its leases is not stated.
    entry.mLeasesExpireAt =
      runner.mPhase == dispatch::RunnerPhase::AwaitingReport
        ? std::max(runner.mLeasesExpireAt,
                   dispatch::EarlierLeasesEnd(mDispatcher, aRunner))
        : runner.mLeasesExpireAt;
  }
  return entry;
}

void
ShardOwner::State::StoreRunners()
{
  const MonotonicTime now = mContext.Now();
  if (mTransactionInFlight || !mTransactions.empty() || mCommit ||
      (mSteppingDown && !FinalListDue()) || ListPinned(now)) {
    return; // The next tick tries again.
  }
  mRunnersBeingStored.clear();
  mRunnersBeingDropped.clear();
  std::set<std::string_view> listed;
  for (const dispatch::RunnerSpec& spec : mShardRunners) {
    listed.insert(spec.mId);
  }
  std::set<std::string_view> known;
  for (dispatch::RunnerIndex i = 0; i < mDispatcher.mRunners.size(); ++i) {
    const dispatch::Runner& runner = mDispatcher.mRunners[i];
    known.insert(runner.mSpec.mId);
    if (dispatch::HasLeft(mDispatcher, i) &&
        !listed.contains(runner.mSpec.mId)) {
      mRunnersBeingDropped.insert(runner.mSpec.mId);
      continue;
    }
    mRunnersBeingStored.push_back(MakeListEntry(i, now));
  }
  for (const dispatch::RunnerSpec& spec : mShardRunners) {
    if (!known.contains(spec.mId)) {
      mRunnersBeingStored.emplace_back().mSpec = spec;
    }
  }
  mStoringRunners = true;
  mFinalListSent = mSteppingDown;
  mRunnersStoredAt = now;
  std::string list = FormatRunners(mRunnersBeingStored, mContext.mStoreClock);
  if (list.size() > kMaxRunnersBytes) {
    // Without these times, a later owner waits for the end in the shard's row.
    for (dispatch::InheritedRunner& entry : mRunnersBeingStored) {
      if (!entry.mPossibleRuns) {
        entry.mLeasesExpireAt.reset();
      }
    }
    list = FormatRunners(mRunnersBeingStored, mContext.mStoreClock);
  }
  StoreTransaction transaction;
  transaction.mPuts.push_back({ ProgressTable(mClaim.mShard),
                                mContext.mPartitions.OfProgress(mClaim.mShard),
                                kRunnersKey,
                                std::move(list) });
  mTransactions.push_back(std::move(transaction));
  SendNextTransaction();
}

void
ShardOwner::State::HandleRunnersStored()
{
  mStoringRunners = false;
  mRunnersBeingDropped.clear();
  Log(LogLevel::Info,
      "runners_stored",
      "runners=" + std::to_string(mRunnersBeingStored.size()));
  mStoredRunners.clear();
  for (const dispatch::InheritedRunner& entry : mRunnersBeingStored) {
    mStoredRunners.emplace(entry.mSpec.mId, entry.mSpec.mIncarnation);
    const auto index = mDispatcher.mRunnerById.find(entry.mSpec.mId);
    if (!entry.mPossibleRuns && index != mDispatcher.mRunnerById.end()) {
      mDispatcher.mRunners[index->second].mRecordStored = false;
    }
  }
  ApplyRunners();
}

} // namespace paddle
