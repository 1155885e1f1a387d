#include <LibNode/InterferenceRow.h>
#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// A transaction holds at most 100 entries; a job takes up to four, and the
/// chain two.
constexpr std::size_t kJobsPerTransaction = 24;
/// What is learned rides along with a commit this often. A takeover within that
/// time learns the rest again.
constexpr Seconds kInterferenceInterval{ 2 };
/// Ended jobs that are remembered; a reading of the inbox takes a second at
/// most, in which a shard ends some hundred jobs.
constexpr std::size_t kRememberedEnds = 5000;

} // namespace

void
ShardHost::State::BeginCommit(MonotonicTime aNow)
{
  if (mLost || mTransactionOut || aNow < mRetryAt) {
    return;
  }
  if (!mTransactions.empty()) {
    SendNextTransaction();
    return;
  }
  if (mCore.mDirtyJobs.empty()) {
    mDirtySince = {};
    return;
  }
  if (mDirtySince == MonotonicTime{}) {
    mDirtySince = aNow;
  }
  const bool due = mCore.mCommitUrgent || mRetired ||
                   aNow - mDirtySince >= mContext.mSettings.mCommitDelay;
  if (!due || mCommit) {
    return;
  }
  mDirtySince = {};
  mCommit = dispatch::TakeCommit(mCore);
  mCommitPhases.clear();
  const std::string progress = ProgressTable(mClaim.mShard);
  const std::string progressPart = mContext.mParts.OfProgress(mClaim.mShard);
  const std::string inbox = InboxTable(mClaim.mShard);
  StoreTransaction transaction;
  std::size_t jobs = 0;
  for (const dispatch::Job* job : mCommit->mJobs) {
    const std::string& id = job->mSpec.mId;
    mCommitPhases.push_back(job->mPhase);
    if (job->mPhase == dispatch::JobPhase::Active) {
      transaction.mPuts.push_back(
        { progress,
          progressPart,
          kJobPrefix + id,
          FormatProgress(dispatch::ProgressOf(*job)) });
    } else {
      const JobStatus status{
        mClaim.mShard, job->mSpec.mQueue, job->mPhase, job->mBegan
      };
      const std::string part = mContext.mParts.OfJob(id);
      transaction.mPuts.push_back(
        { kStatusTable, part, id, FormatStatus(status) });
      transaction.mRemovals.push_back(
        { progress, progressPart, kJobPrefix + id });
      transaction.mRemovals.push_back({ inbox, part, kAcceptedPrefix + id });
      transaction.mRemovals.push_back({ inbox, part, kCancelPrefix + id });
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
    if (++jobs == kJobsPerTransaction) {
      mTransactions.push_back(std::move(transaction));
      transaction = {};
      jobs = 0;
    }
  }
  if (aNow - mInterferenceStoredAt >= kInterferenceInterval) {
    mInterferenceStoredAt = aNow;
    transaction.mPuts.push_back(
      { progress,
        progressPart,
        kInterferenceKey,
        FormatInterference(dispatch::RecordOf(mCore.mInterference, aNow)) });
    ++jobs;
  }
  if (jobs > 0) {
    mTransactions.push_back(std::move(transaction));
  }
  SendNextTransaction();
}

std::string
ShardHost::State::NextChainValue() const
{
  return mContext.mSelf.mName + "/" + std::to_string(mClaim.mEpoch) + "/" +
         std::to_string(mChainNumber + 1);
}

void
ShardHost::State::SendNextTransaction()
{
  if (mTransactionOut) {
    // Each transaction replaces the row that the one before it wrote.
    return;
  }
  StoreTransaction transaction = mTransactions.front();
  const std::string progress = ProgressTable(mClaim.mShard);
  const std::string part = mContext.mParts.OfProgress(mClaim.mShard);
  transaction.mChecks.push_back({ progress, part, kChainKey, mChainVersion });
  transaction.mPuts.push_back({ progress, part, kChainKey, NextChainValue() });
  mTransactionOut = true;
  const MonotonicTime sentAt = mContext.Now();
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, sentAt](const TransactionOutcome& aOutcome) {
      if (self->mLost) {
        return;
      }
      self->mContext.mMetrics->Observe(
        "commit",
        std::chrono::duration_cast<Micros>(self->mContext.Now() - sentAt));
      self->HandleTransaction(aOutcome);
    });
}

void
ShardHost::State::HandleTransaction(const TransactionOutcome& aOutcome)
{
  mTransactionOut = false;
  std::int64_t stored = 0;
  if (aOutcome.mResult == StoreResult::Stored) {
    stored = aOutcome.mVersion;
  } else if (aOutcome.mResult == StoreResult::Conflict) {
    const std::string ours = NextChainValue();
    for (const StoreRow& row : aOutcome.mCurrent) {
      // An earlier send of this same transaction was carried out after all.
      if (row.mKey == kChainKey && row.mValue == ours) {
        stored = row.mVersion;
      }
    }
    if (stored == 0) {
      Lose("chain_replaced");
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
  mChainVersion = stored;
  ++mChainNumber;
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
    dispatch::HandleCommitted(mCore, commit, mCommitPhases);
    RenewStored(mContext.Now());
  }
  if (!mTransactions.empty()) {
    SendNextTransaction();
  } else if (mCore.mCommitUrgent) {
    BeginCommit(mContext.Now());
  }
}

void
ShardHost::State::RememberEnded(const std::string& aJob)
{
  mEndedJobs.insert(aJob);
  mEndedOrder.push_back(aJob);
  if (mEndedOrder.size() > kRememberedEnds) {
    mEndedJobs.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

bool
ShardHost::State::RecordsDiffer(MonotonicTime aNow) const
{
  for (dispatch::RunnerIndex i = 0; i < mCore.mRunners.size(); ++i) {
    const dispatch::Runner& runner = mCore.mRunners[i];
    if (!mStoredRunners.contains(runner.mSpec.mId)) {
      continue;
    }
    const bool wanted = dispatch::ShouldStoreRecord(mCore, i, aNow);
    if (runner.mRecordStored != wanted ||
        (wanted && runner.mRecordedRunCount != runner.mTasks.size())) {
      return true;
    }
  }
  return false;
}

void
ShardHost::State::StoreRunners()
{
  if (mTransactionOut || !mTransactions.empty() || mCommit || mRetired) {
    return; // The next tick tries again.
  }
  const MonotonicTime now = mContext.Now();
  mRunnersBeingStored.clear();
  std::set<std::string_view> known;
  for (dispatch::RunnerIndex i = 0; i < mCore.mRunners.size(); ++i) {
    dispatch::Runner& runner = mCore.mRunners[i];
    known.insert(runner.mSpec.mId);
    if (!runner.mListed && runner.mTasks.empty() &&
        runner.mPhase == dispatch::RunnerPhase::LeaseExpired) {
      continue; // It has left, and nothing can run there.
    }
    dispatch::InheritedRunner former{ runner.mSpec, {} };
    if (dispatch::ShouldStoreRecord(mCore, i, now)) {
      // From now on nothing is started there, so that the record stays whole.
      runner.mRecordStored = true;
      runner.mRecordedRunCount = runner.mTasks.size();
      former.mPossibleRuns = dispatch::PossibleRuns(mCore, i);
    }
    mRunnersBeingStored.push_back(std::move(former));
  }
  for (const dispatch::RunnerSpec& spec : mListed) {
    if (!known.contains(spec.mId)) {
      mRunnersBeingStored.push_back({ spec, {} });
    }
  }
  mStoringRunners = true;
  StoreTransaction transaction;
  transaction.mPuts.push_back({ ProgressTable(mClaim.mShard),
                                mContext.mParts.OfProgress(mClaim.mShard),
                                kRunnersKey,
                                FormatRunners(mRunnersBeingStored) });
  mTransactions.push_back(std::move(transaction));
  SendNextTransaction();
}

void
ShardHost::State::HandleRunnersStored()
{
  mStoringRunners = false;
  mStoredRunners.clear();
  for (const dispatch::InheritedRunner& former : mRunnersBeingStored) {
    mStoredRunners.insert(former.mSpec.mId);
    const auto index = mCore.mRunnerById.find(former.mSpec.mId);
    if (!former.mPossibleRuns && index != mCore.mRunnerById.end()) {
      mCore.mRunners[index->second].mRecordStored = false;
    }
  }
  ApplyRunners();
}

} // namespace paddle
