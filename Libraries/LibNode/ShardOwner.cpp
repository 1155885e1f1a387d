#include <LibNode/ShardOwner.h>

#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

std::string
InboxTable(std::uint32_t aShard)
{
  return "inbox-" + std::to_string(aShard);
}

std::string
ProgressTable(std::uint32_t aShard)
{
  return "progress-" + std::to_string(aShard);
}

ShardOwner::State::State(NodeContext& aContext, const Claim& aClaim)
  : mContext(aContext)
  , mClaim(aClaim)
{
  // A count of unknown age is repeated as an old one until this owner has its
  // own.
  mClaim.mPendingAsOfMs = std::max<std::int64_t>(1, mClaim.mPendingAsOfMs);
  mDispatcher.mSettings = aContext.mSettings.mDispatch;
  mDispatcher.mEpoch = aClaim.mEpoch;
  // The number of shards is known only from SetCluster() on.
  mDispatcher.mBudgetSource = dispatch::BudgetSource::Grants;
  if (mClaim.mRecordsSince == 0) {
    mClaim.mRecordsSince = aClaim.mEpoch;
  }
  // Run numbers start from the epoch, so that those of a new owner are higher
  // than those of all earlier owners without a counter in the store.
  constexpr int kRunsPerEpochBits = 20;
  mDispatcher.mNextRun = (aClaim.mEpoch << kRunsPerEpochBits) + 1;
}

void
ShardOwner::State::Log(LogLevel aLevel,
                       std::string_view aEvent,
                       std::string_view aFields)
{
  std::string fields = "shard=" + std::to_string(mClaim.mShard) +
                       " epoch=" + std::to_string(mClaim.mEpoch);
  if (!aFields.empty()) {
    fields += ' ';
    fields += aFields;
  }
  mContext.mLog->Write(aLevel, aEvent, fields, mContext.Now());
}

void
ShardOwner::State::LoseOwnership(std::string_view aReason)
{
  if (mOwnershipLost) {
    return;
  }
  mOwnershipLost = true;
  Log(LogLevel::Warning, "shard_lost", "reason=" + std::string(aReason));
}

void
ShardOwner::State::LogLoad(MonotonicTime aNow)
{
  constexpr Seconds kInterval{ 2 };
  if (aNow - mLoadLoggedAt < kInterval) {
    return;
  }
  const auto since =
    std::chrono::duration_cast<Micros>(aNow - mLoadLoggedAt).count();
  const dispatch::OrderLimit& limit = mDispatcher.mOrderLimit;
  Log(LogLevel::Info,
      "owner_load",
      "lag_ms=" + std::to_string(mContext.mTimerLag.count()) +
        " starts_under_way=" + std::to_string(mDispatcher.mUnansweredStarts) +
        " limit=" + std::to_string(static_cast<int>(limit.mLimit)) +
        " poll_stretch_percent=" +
        std::to_string(static_cast<int>(100 * limit.mPollStretch)) +
        " placing_percent=" +
        std::to_string(100 * mPlacingTime.count() / std::max<long>(1, since)));
  mLoadLoggedAt = aNow;
  mPlacingTime = Micros(0);
}

bool
ShardOwner::State::MayCommandRunners(MonotonicTime aNow) const
{
  return !mOwnershipLost && !mSteppingDown && aNow < mLeaseEndsAt;
}

ShardOwner::ShardOwner(NodeContext& aContext, const Claim& aClaim)
  : mState(std::make_shared<State>(aContext, aClaim))
{
  State* state = mState.get();
  mState->mDispatcher.mSink = [state](std::string_view aEvent,
                                      const dispatch::Job* aJob,
                                      std::string aDetails) {
    if (aJob != nullptr) {
      aDetails = "job=" + aJob->mSpec.mId + " " + aDetails;
    }
    const bool ofShard = aEvent.starts_with("shard_");
    state->Log(ofShard ? LogLevel::Notice : LogLevel::Info, aEvent, aDetails);
  };
}

ShardOwner::~ShardOwner()
{
  // Handlers that are called later see that there is nothing to do any more.
  mState->mOwnershipLost = true;
}

void
ShardOwner::Begin()
{
  mState->SendClaim();
}

bool
ShardOwner::OwnershipLost() const
{
  return mState->mOwnershipLost;
}

bool
ShardOwner::ClaimStored() const
{
  return !mState->mOwnershipLost && mState->mStage != ShardStage::Claiming;
}

ShardRow
ShardOwner::Row(MonotonicTime aNow)
{
  State& state = *mState;
  ShardRow row;
  row.mShard = state.mClaim.mShard;
  row.mOwner = state.mSteppingDown ? std::string() : state.mContext.mSelf.mName;
  row.mOwnerIncarnation = state.mContext.mSelf.mIncarnation;
  row.mEpoch = state.mClaim.mEpoch;
  row.mHeartbeatCount = ++state.mHeartbeatCount;
  row.mRecordsSince = state.mClaim.mRecordsSince;
  row.mTakesMovedJobs = true;
  state.SetLeaseEnds(row, aNow);
  const dispatch::ShardCapacity capacity =
    dispatch::AvailableCapacity(state.mDispatcher, aNow);
  row.mFreeMilliCores = capacity.mFreeMilliCores;
  row.mBestEffortMilliCores = capacity.mBestEffortMilliCores;
  row.mTotalMilliCores = capacity.mTotalMilliCores;
  if (state.mStage != ShardStage::Serving) {
    row.mPending = state.mClaim.mPending;
    row.mPendingAsOfMs = state.mClaim.mPendingAsOfMs;
    return row;
  }
  row.mPending = dispatch::PendingJobs(state.mDispatcher);
  state.AddMovedPending(row.mPending, aNow);
  row.mPendingAsOfMs = state.mInboxAsOfMs;
  row.mStartWaitMs = dispatch::StartWait(state.mDispatcher).count();
  return row;
}

std::int64_t
ShardOwner::RowVersion() const
{
  return mState->mRowVersion;
}

void
ShardOwner::HandleLeaseRenewed(std::int64_t aRowVersion, MonotonicTime aSentAt)
{
  mState->mRowVersion = aRowVersion;
  mState->mLeaseEndsAt =
    aSentAt + mState->mContext.mSettings.mShardLeaseDuration;
  mState->mRenewedAt = aSentAt;
  mState->UpdateLeaseLimit(mState->mContext.Now());
}

void
ShardOwner::AdoptRowVersion(std::int64_t aRowVersion)
{
  mState->mRowVersion = aRowVersion;
}

void
ShardOwner::HandleOwnerChanged()
{
  mState->LoseOwnership("succeeded");
}

void
ShardOwner::HandleReleased()
{
  mState->LoseOwnership("released");
}

void
ShardOwner::SetConfiguration(const Configuration& aConfiguration)
{
  std::vector<dispatch::QueueSpec> queues;
  for (const Route& route : aConfiguration.mRoutes) {
    queues.push_back(route.mQueue);
  }
  dispatch::SetQueues(mState->mDispatcher, queues);
  std::vector<dispatch::AccountSpec> accounts;
  for (const ClientAccount& account : aConfiguration.mAccounts) {
    accounts.push_back(account.mSpec);
  }
  dispatch::SetAccounts(mState->mDispatcher, accounts);
  mState->mBudgets.mNextReadAt = {}; // A lowered cap needs a read of the row.
  mState->ConsiderBudgets(mState->mContext.Now());
}

void
ShardOwner::SetEvacuatedDataCentres(
  const std::vector<std::string>& aDataCentres)
{
  dispatch::SetEvacuatedDataCentres(mState->mDispatcher, aDataCentres);
}

void
ShardOwner::SetCluster(const ClusterView& aView,
                       const std::vector<dispatch::RunnerSpec>& aRunners)
{
  mState->mView = &aView;
  mState->mAllRunners = &aRunners;
}

void
ShardOwner::SetRunners(const std::vector<dispatch::RunnerSpec>& aRunners,
                       std::uint32_t aShards)
{
  mState->mDispatcher.mShardCount = aShards;
  mState->mShardRunners.clear();
  for (const dispatch::RunnerSpec& runner : aRunners) {
    if (ShardOfRunner(runner.mId, aShards) == mState->mClaim.mShard) {
      mState->mShardRunners.push_back(runner);
    }
  }
  mState->mShardRunnersRead = true;
  mState->HoldWideJobs();
  mState->ApplyRunners();
}

void
ShardOwner::Tick(MonotonicTime aNow)
{
  State& state = *mState;
  if (state.mOwnershipLost) {
    return;
  }
  if (state.mStage != ShardStage::Claiming) {
    if (aNow >= state.mLeaseEndsAt) {
      state.LoseOwnership("not_renewed");
      return;
    }
    state.UpdateLeaseLimit(aNow);
  }
  if (state.mStage == ShardStage::Fencing &&
      (aNow >= state.mFencingEndsAt || state.mRenewals.empty())) {
    const auto answered = std::count_if(
      state.mRenewals.begin(),
      state.mRenewals.end(),
      [](const RunnerRenewal& aRenewal) { return aRenewal.mAnswered; });
    state.Log(LogLevel::Notice,
              "fencing_ended",
              "answered=" + std::to_string(answered) +
                " runners=" + std::to_string(state.mRenewals.size()));
    state.mStage = ShardStage::ReadingJobs;
    state.ReadInbox();
  }
  if (state.mStage != ShardStage::Serving) {
    return;
  }
  if (state.MayCommandRunners(aNow)) {
    state.ConsiderBudgets(aNow);
    dispatch::Actions actions;
    dispatch::ObserveLag(state.mDispatcher.mOrderLimit,
                         state.mContext.mTimerLag);
    const MonotonicTime begin = state.mContext.Now();
    dispatch::HandleTick(state.mDispatcher, aNow, UnixMs(), actions);
    state.PauseAfterPass(begin);
    state.LogLoad(aNow);
    state.PerformActions(actions);
    for (dispatch::RunnerIndex i = 0; i < state.mDispatcher.mRunners.size();
         ++i) {
      const dispatch::Runner& runner = state.mDispatcher.mRunners[i];
      const bool wanted =
        runner.mListed || !runner.mTasks.empty() ||
        runner.mPhase == dispatch::RunnerPhase::AwaitingReport;
      RunnerRenewal& renewal = state.RenewalOf(i);
      if (wanted && !renewal.mInFlight &&
          (state.AwaitsToken(i) || aNow >= renewal.mNextRenewalAt)) {
        state.Renew(i, aNow);
      }
    }
  }
  if (state.RunnerListOutdated(aNow)) {
    state.StoreRunners();
  }
  state.SendMove(aNow);
  state.BeginCommit(aNow);
  state.ConsiderMove(aNow);
}

void
ShardOwner::StepDown()
{
  mState->mSteppingDown = true;
}

bool
ShardOwner::Serving() const
{
  return !mState->mOwnershipLost && mState->mStage == ShardStage::Serving;
}

bool
ShardOwner::SteppingDown() const
{
  return mState->mSteppingDown;
}

bool
ShardOwner::AllStored() const
{
  return mState->mOwnershipLost ||
         (!mState->mTransactionInFlight && mState->mTransactions.empty() &&
          !mState->mCommit && mState->mDispatcher.mDirtyJobs.empty() &&
          !mState->FinalListDue());
}

std::uint32_t
ShardOwner::Number() const
{
  return mState->mClaim.mShard;
}

const dispatch::Dispatcher&
ShardOwner::Dispatcher() const
{
  return mState->mDispatcher;
}

} // namespace paddle
