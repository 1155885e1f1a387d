#include <LibDispatch/JobParts.h>
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
/// Shortest interval between two writes of the list of runners, which has up to
/// 50 KB and is priced.
constexpr Millis kRunnersInterval{ 250 };
/// Pause after the store has rejected a list of runners.
constexpr Seconds kListRetryPause{ 2 };
/// Interval at which a job whose row the store has rejected is sent again, even
/// if it has not changed.
constexpr Seconds kRejectedJobRetryInterval{ 5 };
/// Shortest interval between two log lines about rejected rows of jobs.
constexpr Seconds kRejectionLogInterval{ 1 };

StoreTransaction
Merge(const PendingTransaction& aTransaction)
{
  StoreTransaction merged;
  for (const PendingTransaction::Part& part : aTransaction.mParts) {
    const StoreTransaction& entries = part.mEntries;
    merged.mChecks.insert(
      merged.mChecks.end(), entries.mChecks.begin(), entries.mChecks.end());
    merged.mPuts.insert(
      merged.mPuts.end(), entries.mPuts.begin(), entries.mPuts.end());
    merged.mRemovals.insert(merged.mRemovals.end(),
                            entries.mRemovals.begin(),
                            entries.mRemovals.end());
  }
  return merged;
}

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
  if (aNow >= mRejectedJobsRetryAt) {
    mRejectedJobsRetryAt = aNow + kRejectedJobRetryInterval;
    dispatch::RetryRejectedJobs(mDispatcher);
  }
  mCommit = dispatch::TakeCommit(mDispatcher);
  mCommitPhases.clear();
  mRejectedInCommit.clear();
  mTakenRowsInCommit.clear();
  // What was rejected before gets a transaction of its own.
  std::vector<PendingTransaction::Part> rejectedBefore;
  TransactionSize size;
  const auto append = [&](PendingTransaction::Part aPart) {
    if (mTransactions.empty() ||
        !CountPart(size, aPart.mEntries, kCommitLimits)) {
      size = {};
      CountPart(size, aPart.mEntries, kCommitLimits);
      mTransactions.emplace_back();
    }
    mTransactions.back().mParts.push_back(std::move(aPart));
  };
  for (std::size_t i = 0; i < mCommit->mJobs.size(); ++i) {
    const dispatch::Job& job = *mCommit->mJobs[i];
    mCommitPhases.push_back(job.mPhase);
    PendingTransaction::Part part = MakeJobPart(i, aNow);
    const auto taken = mTakenRows.find(job.mSpec.mId);
    if (taken != mTakenRows.end()) {
      mTakenRowsInCommit[job.mSpec.mId] = taken->second.size();
    }
    if (mDispatcher.mRejectedJobs.contains(job.mArrivalNumber)) {
      rejectedBefore.push_back(std::move(part));
    } else {
      append(std::move(part));
    }
  }
  if (aNow - mInterferenceStoredAt >= kInterferenceInterval) {
    mInterferenceStoredAt = aNow;
    PendingTransaction::Part part;
    part.mEntries.mPuts.push_back(
      { ProgressTable(mClaim.mShard),
        mContext.mPartitions.OfProgress(mClaim.mShard),
        kInterferenceKey,
        FormatInterference(
          dispatch::RecordOf(mDispatcher.mInterference, aNow)) });
    if (mInterferenceRejected) {
      rejectedBefore.push_back(std::move(part));
    } else {
      append(std::move(part));
    }
  }
  for (PendingTransaction::Part& part : rejectedBefore) {
    mTransactions.emplace_back().mParts.push_back(std::move(part));
  }
  SendNextTransaction();
}

PendingTransaction::Part
ShardOwner::State::MakeJobPart(std::size_t aJob, MonotonicTime aNow)
{
  const dispatch::Job& job = *mCommit->mJobs[aJob];
  const std::string& id = job.mSpec.mId;
  const std::string progress = ProgressTable(mClaim.mShard);
  const std::string progressPartition =
    mContext.mPartitions.OfProgress(mClaim.mShard);
  PendingTransaction::Part part;
  part.mJob = aJob;
  if (job.mPhase == dispatch::JobPhase::Active) {
    part.mEntries.mPuts.push_back(
      { progress,
        progressPartition,
        kJobPrefix + id,
        FormatProgress(dispatch::ProgressOf(job)) });
    AddTakenRows(part.mEntries, id);
    return part;
  }
  const JobStatus status{
    mClaim.mShard, job.mSpec.mQueue, job.mPhase, job.mBegan
  };
  const std::string inbox = InboxTable(mClaim.mShard);
  const std::string partition = mContext.mPartitions.OfJob(id);
  if (!job.mHomeShard) {
    part.mEntries.mPuts.push_back(
      { kStatusTable, partition, id, FormatStatus(status) });
    for (const std::uint32_t shard : dispatch::OtherShardsOf(job)) {
      part.mEntries.mPuts.push_back(
        { InboxTable(shard), partition, kCancelPrefix + id, "{}" });
    }
  }
  part.mEntries.mRemovals.push_back(
    { progress, progressPartition, kJobPrefix + id });
  part.mEntries.mRemovals.push_back(
    { inbox,
      partition,
      (job.mHomeShard ? kPartPrefix : kAcceptedPrefix) + id });
  part.mEntries.mRemovals.push_back({ inbox, partition, kCancelPrefix + id });
  AddTakenRows(part.mEntries, id);
  Log(LogLevel::Info,
      "job_ended",
      "job=" + id + " phase=" +
        (job.mPhase == dispatch::JobPhase::Completed   ? "completed"
         : job.mPhase == dispatch::JobPhase::Cancelled ? "cancelled"
                                                       : "failed") +
        " age_ms=" +
        std::to_string(
          std::chrono::duration_cast<Millis>(aNow - job.mAcceptedAt).count()));
  return part;
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
  StoreTransaction transaction = Merge(mTransactions.front());
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
  bool moveRefused = false;
  if (aOutcome.mResult == StoreResult::Stored) {
    stored = aOutcome.mVersion;
  } else if (aOutcome.mResult == StoreResult::Conflict) {
    const std::string ours = NextSequenceValue();
    for (const StoreRow& row : aOutcome.mCurrent) {
      // The same transaction was sent before, got no answer, and was stored.
      if (row.mKey == kCommitSequenceKey && row.mValue == ours) {
        stored = row.mVersion;
      }
      // Another row of a move has changed. Versions only rise, so an earlier
      // one without an answer can't be stored either.
      moveRefused = moveRefused ||
                    (mMove && mMove->mSent && row.mKey == kCommitSequenceKey &&
                     row.mVersion == mSequenceRowVersion);
    }
    if (stored == 0 && !moveRefused) {
      LoseOwnership("chain_replaced");
      return;
    }
  }
  if (mMove && mMove->mSent) {
    mMove->mMayBeStored =
      mMove->mMayBeStored || aOutcome.mResult == StoreResult::Unknown;
    moveRefused =
      moveRefused || aOutcome.mResult == StoreResult::Rejected ||
      (aOutcome.mResult == StoreResult::NotApplied && !mMove->mMayBeStored);
    if (moveRefused) {
      ++mLastTransactionNumber;
      mTransactions.clear();
      GiveUpMove("refused");
      return;
    }
  }
  const bool rejected = aOutcome.mResult == StoreResult::Rejected;
  if (stored == 0 && !rejected) {
    Log(LogLevel::Warning,
        "commit_retry",
        aOutcome.mResult == StoreResult::Unknown ? "cause=no_answer"
                                                 : "cause=refused");
    mRetryAt = mContext.Now() + mContext.mSettings.mRetryPause;
    return;
  }
  // What follows a rejected transaction differs from it, so it gets another
  // number.
  ++mLastTransactionNumber;
  if (rejected) {
    HandleRejection();
  } else {
    mSequenceRowVersion = stored;
    ApplyChanges(mRunnerRows, mTransactions.front().mListChanges);
    mTransactions.pop_front();
    if (mMove && mMove->mSent) {
      HandleMoved(stored);
    }
    if (mStoringRunners && mTransactions.empty()) {
      HandleRunnersStored();
    }
  }
  if (mTransactions.empty() && mCommit) {
    HandleCommitStored();
  }
  // The list of runners goes before the next commit. A busy shard always has
  // one, so that the list would not be stored otherwise.
  if (RunnerListOutdated(mContext.Now())) {
    StoreRunners();
  }
  SendMove(mContext.Now());
  if (!mTransactions.empty()) {
    SendNextTransaction();
  } else if (mDispatcher.mCommitUrgent) {
    BeginCommit(mContext.Now());
  }
}

void
ShardOwner::State::HandleCommitStored()
{
  dispatch::Commit stored;
  stored.mSequence = mCommit->mSequence;
  std::vector<dispatch::JobPhase> phases;
  for (std::size_t i = 0; i < mCommit->mJobs.size(); ++i) {
    if (mRejectedInCommit.contains(i)) {
      continue;
    }
    const std::string& id = mCommit->mJobs[i]->mSpec.mId;
    stored.mJobs.push_back(mCommit->mJobs[i]);
    phases.push_back(mCommitPhases[i]);
    const auto taken = mTakenRowsInCommit.find(id);
    if (taken != mTakenRowsInCommit.end()) {
      ForgetTakenRows(id, taken->second);
    }
    if (mCommitPhases[i] != dispatch::JobPhase::Active) {
      RememberEnded(id);
      mRefusals.erase(id);
      mPartVersions.erase(id);
    }
  }
  mCommit.reset();
  dispatch::HandleCommitted(mDispatcher, stored, phases);
  RenewAfterCommit(mContext.Now());
}

void
ShardOwner::State::HandleRejection()
{
  const MonotonicTime now = mContext.Now();
  const PendingTransaction transaction = std::move(mTransactions.front());
  mTransactions.pop_front();
  if (!mStoringRunners && transaction.mParts.size() > 1) {
    for (auto part = transaction.mParts.rbegin();
         part != transaction.mParts.rend();
         ++part) {
      mTransactions.emplace_front().mParts.push_back(*part);
    }
    return;
  }
  const std::optional<LimitViolation> violation =
    FindLimitViolation(Merge(transaction), mContext.mSettings.mStoreLimits);
  const std::string bound =
    violation ? FormatLimitViolation(*violation) : "bound=unknown";
  if (mStoringRunners) {
    Log(LogLevel::Error, "runners_rejected", bound);
    HandleRunnersRejected();
    return;
  }
  std::string row = "row=interference";
  const std::optional<std::size_t> job = transaction.mParts.front().mJob;
  if (job) {
    row = "job=" + mCommit->mJobs[*job]->mSpec.mId;
    mRejectedInCommit.insert(*job);
    dispatch::HandleJobRejected(mDispatcher, *mCommit->mJobs[*job]);
  } else {
    mInterferenceRejected = true;
  }
  if (now - mRejectionLoggedAt >= kRejectionLogInterval) {
    mRejectionLoggedAt = now;
    Log(LogLevel::Error, "progress_rejected", row + " " + bound);
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
  if (aNow - mRunnersStoredAt < kRunnersInterval || aNow < mListRetryAt) {
    return false;
  }
  if (mAnyListedNotStored ||
      mListHasCapacities == mDispatcher.mAccountBudgets.empty()) {
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
      (mSteppingDown && !FinalListDue()) || ListPinned(now) ||
      now < mListRetryAt) {
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
  mListHasCapacities = !mDispatcher.mAccountBudgets.empty();
  if (!mListHasCapacities) {
    for (dispatch::InheritedRunner& entry : mRunnersBeingStored) {
      entry.mSpec.mCapacity = {};
    }
  }
  mStoringRunners = true;
  mFinalListSent = mSteppingDown;
  mRunnersStoredAt = now;
  if (mListRejected) {
    // Without the records, a later owner waits for the end in the shard's row.
    for (dispatch::InheritedRunner& entry : mRunnersBeingStored) {
      entry.mPossibleRuns.reset();
      entry.mLeasesExpireAt.reset();
      entry.mRecordFinal = false;
    }
  }
  const StoreKey name = RunnerRowName();
  RunnerListPlan plan = PlanRunnerList(mRunnerRows,
                                       mRunnersBeingStored,
                                       mClaim.mEpoch,
                                       mContext.mStoreClock,
                                       name,
                                       mContext.mSettings.mStoreLimits);
  if (!plan.mEntriesLeftOut.empty() || plan.mRecordsLeftOut > 0) {
    Log(LogLevel::Error,
        "runners_left_out",
        "entries=" + std::to_string(plan.mEntriesLeftOut.size()) +
          " records=" + std::to_string(plan.mRecordsLeftOut) + " first=" +
          (plan.mEntriesLeftOut.empty() ? "" : plan.mEntriesLeftOut.front()) +
          " bound=row_bytes limit=" +
          std::to_string(mContext.mSettings.mStoreLimits.mRowBytes));
  }
  for (const std::string& id : plan.mEntriesLeftOut) {
    std::erase_if(mRunnersBeingStored,
                  [&](const dispatch::InheritedRunner& aEntry) {
                    return aEntry.mSpec.mId == id;
                  });
  }
  if (!plan.mEntriesLeftOut.empty()) {
    mListRetryAt = now + kListRetryPause;
  }
  for (std::vector<RunnerRowChange>& step : plan.mSteps) {
    PendingTransaction& transaction = mTransactions.emplace_back();
    transaction.mParts.push_back({ MakeTransaction(step, name), std::nullopt });
    transaction.mListChanges = std::move(step);
  }
  if (mTransactions.empty()) {
    HandleRunnersStored();
    return;
  }
  SendNextTransaction();
}

StoreKey
ShardOwner::State::RunnerRowName() const
{
  return { ProgressTable(mClaim.mShard),
           mContext.mPartitions.OfProgress(mClaim.mShard),
           {} };
}

void
ShardOwner::State::HandleRunnersRejected()
{
  mTransactions.clear();
  mStoringRunners = false;
  mRunnersBeingDropped.clear();
  mListRejected = !mListRejected;
  mListRetryAt = mContext.Now() + kListRetryPause;
  // Some rows of the list may be stored. Only the runners of the list before
  // that are still in it are used.
  const RunnerIncarnations stored = IncarnationsOf(mRunnerRows);
  std::erase_if(mStoredRunners, [&](const auto& aEntry) {
    return !stored.contains(aEntry.first);
  });
  ApplyRunners();
}

void
ShardOwner::State::HandleRunnersStored()
{
  mStoringRunners = false;
  mListRejected = false;
  mRunnersBeingDropped.clear();
  const auto rows = [&](std::string_view aPrefix) {
    return std::to_string(std::count_if(
      mRunnerRows.begin(), mRunnerRows.end(), [&](const auto& aEntry) {
        return aEntry.first.starts_with(aPrefix);
      }));
  };
  Log(LogLevel::Info,
      "runners_stored",
      "runners=" + std::to_string(mRunnersBeingStored.size()) +
        " rows=" + rows(kRunnersKey) + " records=" + rows(kRecordPrefix));
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
