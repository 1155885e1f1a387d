#include <LibNode/InterferenceRow.h>
#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>
#include <utility>

namespace paddle {

namespace {

/// @return the name in the log
std::string_view
NameOf(EarlierOwner aOwner)
{
  switch (aOwner) {
    case EarlierOwner::None:
      return "none";
    case EarlierOwner::Released:
      return "released";
    case EarlierOwner::Ended:
      return "ended";
    case EarlierOwner::MayAct:
      return "may_act";
  }
  return "none";
}

/// @return the milliseconds from @p aNow to @p aTime, at least 0, for the log
std::string
RemainingMs(MonotonicTime aTime, MonotonicTime aNow)
{
  return std::to_string(
    std::chrono::duration_cast<Millis>(std::max(aTime, aNow) - aNow).count());
}

} // namespace

void
ShardOwner::State::SendClaim()
{
  ShardRow row;
  row.mShard = mClaim.mShard;
  row.mOwner = mContext.mSelf.mName;
  row.mOwnerIncarnation = mContext.mSelf.mIncarnation;
  row.mEpoch = mClaim.mEpoch;
  row.mPending = mClaim.mPending;
  row.mPendingAsOfMs = mClaim.mPendingAsOfMs;
  row.mRecordsSince = mClaim.mRecordsSince;
  row.mTakesMovedJobs = true;
  const MonotonicTime sentAt = mContext.Now();
  AssumeEarlierLeases(sentAt);
  SetLeaseEnds(row, sentAt);
  StoreTransaction transaction;
  const std::string shards = mContext.mPartitions.OfShards();
  transaction.mChecks.push_back(
    { kClusterTable, shards, ShardKey(mClaim.mShard), mClaim.mRowVersion });
  transaction.mPuts.push_back(
    { kClusterTable, shards, ShardKey(mClaim.mShard), FormatShardRow(row) });
  transaction.mPuts.push_back(
    { ProgressTable(mClaim.mShard),
      mContext.mPartitions.OfProgress(mClaim.mShard),
      kCommitSequenceKey,
      mContext.mSelf.mName + "/" + std::to_string(mClaim.mEpoch) });
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, sentAt](const TransactionOutcome& aOutcome) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aOutcome.mResult != StoreResult::Stored) {
        // NOTE: A claim that got no answer may be stored. The next read of the
        // shards' rows then shows it, and this node claims the shard again.
        self->LoseOwnership("claim_not_stored");
        return;
      }
      self->mRowVersion = aOutcome.mVersion;
      self->mSequenceRowVersion = aOutcome.mVersion;
      self->mLeaseEndsAt =
        sentAt + self->mContext.mSettings.mShardLeaseDuration;
      self->mRenewedAt = sentAt;
      self->UpdateLeaseLimit(self->mContext.Now());
      self->mStage = ShardStage::ReadingProgress;
      self->Log(LogLevel::Notice,
                "shard_claimed",
                "former_owner=" +
                  std::string(NameOf(self->mClaim.mEarlierOwner)));
      self->ReadProgress({});
    });
}

void
ShardOwner::State::ReadProgress(const std::string& aFrom)
{
  auto self = shared_from_this();
  mContext.mStore.mRead(
    ProgressTable(mClaim.mShard),
    mContext.mPartitions.OfProgress(mClaim.mShard),
    aFrom,
    {},
    [self, aFrom](ReadOutcome aRead) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aRead.mResult != ReadResult::Read) {
        self->mContext.mDeadlines->Add(
          self->mContext.Now() + self->mContext.mSettings.mRetryPause,
          [self, aFrom] { self->ReadProgress(aFrom); });
        return;
      }
      const std::string last =
        aRead.mRows.empty() ? std::string() : aRead.mRows.back().mKey;
      for (StoreRow& row : aRead.mRows) {
        const std::string_view key = row.mKey;
        if (IsRunnerRow(key)) {
          self->mRunnerRows.emplace(row.mKey,
                                    ParseRunnerRow(key, std::move(row.mValue)));
        } else if (key == kInterferenceKey) {
          dispatch::Adopt(self->mDispatcher.mInterference,
                          ParseInterference(row.mValue),
                          self->mContext.Now());
        } else if (key.starts_with(kJobPrefix)) {
          self->mStoredProgress.emplace(
            key.substr(std::string_view(kJobPrefix).size()),
            std::move(row.mValue));
        }
      }
      if (aRead.mMore && !last.empty()) {
        self->ReadProgress(last + '\0');
        return;
      }
      self->BeginFencing(self->mContext.Now());
    });
}

void
ShardOwner::State::BeginFencing(MonotonicTime aNow)
{
  const NodeSettings& settings = mContext.mSettings;
  const std::vector<dispatch::InheritedRunner> inherited =
    InheritedRunners(mRunnerRows, mClaim.mRecordsSince, mContext.mStoreClock);
  const RunnerIncarnations first = IncarnationsInFirstRow(mRunnerRows);
  for (const dispatch::InheritedRunner& runner : inherited) {
    dispatch::AddInheritedRunner(mDispatcher, runner, aNow);
    if (first.contains(runner.mSpec.mId)) {
      mInheritedInFirstRow.insert(
        static_cast<dispatch::RunnerIndex>(mInheritedProcesses.size()));
    }
    mStoredRunners.emplace(runner.mSpec.mId, runner.mSpec.mIncarnation);
    mInheritedProcesses.push_back(
      { runner.mSpec.mId, runner.mSpec.mIncarnation });
  }
  const auto recorded =
    std::count_if(inherited.begin(),
                  inherited.end(),
                  [](const dispatch::InheritedRunner& aRunner) {
                    return aRunner.mPossibleRuns.has_value();
                  });
  if (mInheritedProcesses.empty()) {
    // No earlier owner could use any runner, nor count on a majority.
    mMajorityFenced = true;
    mEarlierIsolatedLeasesEnd = {};
  }
  UpdateEarlierLeases();
  ApplyEarlierRunnerLeases();
  Log(
    LogLevel::Notice,
    "earlier_leases",
    "remaining_ms=" + RemainingMs(mEarlierLeasesEnd, aNow) +
      " isolated_remaining_ms=" + RemainingMs(mEarlierIsolatedLeasesEnd, aNow) +
      " rule=" + (mClaim.mLeasesEndMs > 0 ? "shard_row" : "longest_leases") +
      " runners=" + std::to_string(mDispatcher.mRunners.size()) +
      " recorded=" + std::to_string(recorded) +
      " restarted=" + std::to_string(mEarlierRunnerLeasesEnd.size()));
  mStage = ShardStage::Fencing;
  mFencingEndsAt = aNow + settings.mFencingTimeout;
  for (dispatch::RunnerIndex i = 0; i < mDispatcher.mRunners.size(); ++i) {
    Renew(i, aNow);
  }
  if (mDispatcher.mRunners.empty()) {
    mFencingEndsAt = aNow;
  }
}

void
ShardOwner::State::ReadInbox()
{
  mInboxReadSentAt = mContext.Now();
  mInboxPartitionsLeft = mContext.mPartitions.JobPartitionCount();
  for (std::uint32_t i = 0; i < mContext.mPartitions.JobPartitionCount(); ++i) {
    ReadInboxPartition(mContext.mPartitions.JobPartition(i), {});
  }
}

void
ShardOwner::State::ReadInboxPartition(const std::string& aPartition,
                                      const std::string& aFrom)
{
  auto self = shared_from_this();
  mContext.mStore.mRead(
    InboxTable(mClaim.mShard),
    aPartition,
    aFrom,
    {},
    [self, aPartition, aFrom](ReadOutcome aRead) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aRead.mResult != ReadResult::Read) {
        self->mContext.mDeadlines->Add(
          self->mContext.Now() + self->mContext.mSettings.mRetryPause,
          [self, aPartition, aFrom] {
            self->ReadInboxPartition(aPartition, aFrom);
          });
        return;
      }
      // The partitions are read at different versions. Changes are followed
      // from the lowest one on, so that none is missed.
      self->mInboxVersion = self->mInboxVersion == 0
                              ? aRead.mVersion
                              : std::min(self->mInboxVersion, aRead.mVersion);
      self->mInboxReadAsOfMs =
        self->mInboxReadAsOfMs == 0
          ? aRead.mClockMs
          : std::min(self->mInboxReadAsOfMs, aRead.mClockMs);
      const std::string last =
        aRead.mRows.empty() ? std::string() : aRead.mRows.back().mKey;
      for (StoreRow& row : aRead.mRows) {
        self->mInboxRows.push_back(std::move(row));
      }
      if (aRead.mMore && !last.empty()) {
        self->ReadInboxPartition(aPartition, last + '\0');
        return;
      }
      if (--self->mInboxPartitionsLeft == 0) {
        self->HandleInboxRead();
      }
    });
}

void
ShardOwner::State::HandleInboxRead()
{
  mInboxAsOfMs = std::exchange(mInboxReadAsOfMs, 0);
  mDispatcher.mJobsKnownAsOf = mInboxReadSentAt;
  if (mStage == ShardStage::ReadingJobs) {
    LoadJobs();
    return;
  }
  // This read replaces the changes that the store no longer has.
  ApplyInboxRows(std::exchange(mInboxRows, {}), dispatch::PriorRuns::None);
  HoldWideJobs();
  WaitForInboxChanges();
}

void
ShardOwner::State::LoadJobs()
{
  const bool neverOwned = mClaim.mRowVersion == 0;
  const dispatch::PriorRuns history =
    neverOwned ? dispatch::PriorRuns::None : dispatch::PriorRuns::Possible;
  ApplyInboxRows(mInboxRows, history);
  dispatch::AdoptRecordedRuns(mDispatcher, mContext.Now());
  Log(LogLevel::Notice,
      "shard_read",
      "jobs=" + std::to_string(mDispatcher.mJobs.size()) +
        " former_runners=" + std::to_string(mDispatcher.mRunners.size()));
  mInboxRows.clear();
  mInboxRows.shrink_to_fit();
  mStoredProgress.clear();
  BeginServing(mContext.Now());
}

void
ShardOwner::State::BeginServing(MonotonicTime aNow)
{
  mStage = ShardStage::Serving;
  ConsiderBudgets(aNow);
  for (RunnerRenewal& renewal : mRenewals) {
    renewal.mNextRenewalAt = aNow;
  }
  HoldWideJobs();
  ApplyRunners();
  WaitForInboxChanges();
}

} // namespace paddle
