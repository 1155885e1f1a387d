#include <LibNode/InterferenceRow.h>
#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>
#include <utility>

namespace paddle {

void
ShardHost::State::SendClaim()
{
  ShardRow row;
  row.mShard = mClaim.mShard;
  row.mOwner = mContext.mSelf.mName;
  row.mOwnerIncarnation = mContext.mSelf.mIncarnation;
  row.mEpoch = mClaim.mEpoch;
  row.mPending = mClaim.mPending;
  StoreTransaction transaction;
  const std::string shards = mContext.mParts.OfShards();
  transaction.mChecks.push_back(
    { kClusterTable, shards, ShardKey(mClaim.mShard), mClaim.mRowVersion });
  transaction.mPuts.push_back(
    { kClusterTable, shards, ShardKey(mClaim.mShard), FormatShardRow(row) });
  transaction.mPuts.push_back(
    { ProgressTable(mClaim.mShard),
      mContext.mParts.OfProgress(mClaim.mShard),
      kChainKey,
      mContext.mSelf.mName + "/" + std::to_string(mClaim.mEpoch) });
  const MonotonicTime sentAt = mContext.Now();
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, sentAt](const TransactionOutcome& aOutcome) {
      if (self->mLost) {
        return;
      }
      if (aOutcome.mResult != StoreResult::Stored) {
        // NOTE: A claim without an answer may be stored. The next reading of
        // the cluster shows it, and this node then claims once more.
        self->Lose("claim_not_stored");
        return;
      }
      self->mRowVersion = aOutcome.mVersion;
      self->mChainVersion = aOutcome.mVersion;
      self->mRightUntil = sentAt + self->mContext.mSettings.mRightToAct;
      self->mStage = ShardStage::ReadingRunners;
      self->Log(LogLevel::Notice,
                "shard_claimed",
                self->mClaim.mFormerOwnerMayAct ? "former_owner=maybe_alive"
                                                : "former_owner=gone");
      self->ReadProgress({});
    });
}

void
ShardHost::State::ReadProgress(const std::string& aFrom)
{
  auto self = shared_from_this();
  mContext.mStore.mRead(
    ProgressTable(mClaim.mShard),
    mContext.mParts.OfProgress(mClaim.mShard),
    aFrom,
    {},
    [self, aFrom](ReadOutcome aRead) {
      if (self->mLost) {
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
        if (key == kRunnersKey) {
          self->mFormerRunners = ParseRunners(row.mValue);
        } else if (key == kInterferenceKey) {
          dispatch::Adopt(self->mCore.mInterference,
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
      self->BeginFence(self->mContext.Now());
    });
}

void
ShardHost::State::BeginFence(MonotonicTime aNow)
{
  const NodeSettings& settings = mContext.mSettings;
  for (const dispatch::InheritedRunner& runner : mFormerRunners) {
    dispatch::AddInheritedRunner(mCore, runner, aNow);
    mStoredRunners.insert(runner.mSpec.mId);
  }
  mFormerRunners.clear();
  // What an unreachable runner was last granted has ended once the former
  // owner's right to act and the longest lease are over.
  Millis unheard = settings.mDispatch.mLeaseExpiryMargin;
  if (!mCore.mRunners.empty()) {
    unheard += Millis(static_cast<Millis::rep>(
      static_cast<double>(settings.mDispatch.mMaxLease.count()) *
      settings.mDispatch.mClockDriftFactor));
    if (mClaim.mFormerOwnerMayAct) {
      unheard += settings.mRightToAct;
    }
  }
  mCore.mEarlierLeasesUntil = aNow + unheard;
  mStage = ShardStage::Fencing;
  mFencedAt = aNow + settings.mFenceWait;
  for (dispatch::RunnerIndex i = 0; i < mCore.mRunners.size(); ++i) {
    Renew(i, aNow);
  }
  if (mCore.mRunners.empty()) {
    mFencedAt = aNow;
  }
}

void
ShardHost::State::ReadInbox()
{
  mInboxPartsLeft = mContext.mParts.JobParts();
  for (std::uint32_t i = 0; i < mContext.mParts.JobParts(); ++i) {
    ReadInboxPart(mContext.mParts.JobPart(i), {});
  }
}

void
ShardHost::State::ReadInboxPart(const std::string& aPart,
                                const std::string& aFrom)
{
  auto self = shared_from_this();
  mContext.mStore.mRead(
    InboxTable(mClaim.mShard),
    aPart,
    aFrom,
    {},
    [self, aPart, aFrom](ReadOutcome aRead) {
      if (self->mLost) {
        return;
      }
      if (aRead.mResult != ReadResult::Read) {
        self->mContext.mDeadlines->Add(
          self->mContext.Now() + self->mContext.mSettings.mRetryPause,
          [self, aPart, aFrom] { self->ReadInboxPart(aPart, aFrom); });
        return;
      }
      // Changes are followed from the earliest reading on.
      self->mInboxVersion = self->mInboxVersion == 0
                              ? aRead.mVersion
                              : std::min(self->mInboxVersion, aRead.mVersion);
      const std::string last =
        aRead.mRows.empty() ? std::string() : aRead.mRows.back().mKey;
      for (StoreRow& row : aRead.mRows) {
        self->mInboxRows.push_back(std::move(row));
      }
      if (aRead.mMore && !last.empty()) {
        self->ReadInboxPart(aPart, last + '\0');
        return;
      }
      if (--self->mInboxPartsLeft == 0) {
        self->HandleInboxRead();
      }
    });
}

void
ShardHost::State::HandleInboxRead()
{
  if (mStage == ShardStage::ReadingJobs) {
    LoadJobs();
    return;
  }
  // A reading in place of a history that is gone.
  for (const StoreRow& row : std::exchange(mInboxRows, {})) {
    ApplyInboxRow(row, dispatch::PriorRuns::None);
  }
  FollowInbox();
}

void
ShardHost::State::LoadJobs()
{
  const bool neverOwned = mClaim.mRowVersion == 0;
  const dispatch::PriorRuns history =
    neverOwned ? dispatch::PriorRuns::None : dispatch::PriorRuns::Possible;
  for (const StoreRow& row : mInboxRows) {
    ApplyInboxRow(row, history);
  }
  dispatch::AdoptRecordedRuns(mCore, mContext.Now());
  Log(LogLevel::Notice,
      "shard_read",
      "jobs=" + std::to_string(mCore.mJobs.size()) +
        " former_runners=" + std::to_string(mCore.mRunners.size()));
  mInboxRows.clear();
  mInboxRows.shrink_to_fit();
  mStoredProgress.clear();
  BeginServing(mContext.Now());
}

void
ShardHost::State::BeginServing(MonotonicTime aNow)
{
  mStage = ShardStage::Serving;
  for (RunnerLink& link : mLinks) {
    link.mNextAt = aNow;
  }
  ApplyRunners();
  FollowInbox();
}

} // namespace paddle
