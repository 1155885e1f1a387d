#include <LibNode/ShardHost.h>

#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

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

ShardHost::State::State(NodeContext& aContext, const Claim& aClaim)
  : mContext(aContext)
  , mClaim(aClaim)
{
  mCore.mSettings = aContext.mSettings.mDispatch;
  mCore.mEpoch = aClaim.mEpoch;
  // Run numbers rise over takeovers without a stored counter.
  constexpr int kRunsPerEpochBits = 20;
  mCore.mNextRun = (aClaim.mEpoch << kRunsPerEpochBits) + 1;
}

void
ShardHost::State::Log(LogLevel aLevel,
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
ShardHost::State::Lose(std::string_view aReason)
{
  if (mLost) {
    return;
  }
  mLost = true;
  Log(LogLevel::Warning, "shard_lost", "reason=" + std::string(aReason));
}

bool
ShardHost::State::MayAct(MonotonicTime aNow) const
{
  return !mLost && !mRetired && aNow < mRightUntil;
}

ShardHost::ShardHost(NodeContext& aContext, const Claim& aClaim)
  : mState(std::make_shared<State>(aContext, aClaim))
{
  State* state = mState.get();
  mState->mCore.mSink = [state](std::string_view aEvent,
                                const dispatch::Job* aJob,
                                std::string aDetails) {
    if (aJob != nullptr) {
      aDetails = "job=" + aJob->mSpec.mId + " " + aDetails;
    }
    const bool ofShard = aEvent.starts_with("shard_");
    state->Log(ofShard ? LogLevel::Notice : LogLevel::Info, aEvent, aDetails);
  };
}

ShardHost::~ShardHost()
{
  // Handlers that are still to come see that the shard is given up.
  mState->mLost = true;
}

void
ShardHost::Begin()
{
  mState->SendClaim();
}

bool
ShardHost::Lost() const
{
  return mState->mLost;
}

bool
ShardHost::Owned() const
{
  return !mState->mLost && mState->mStage != ShardStage::Claiming;
}

ShardRow
ShardHost::Row(MonotonicTime aNow)
{
  State& state = *mState;
  ShardRow row;
  row.mShard = state.mClaim.mShard;
  row.mOwner = state.mRetired ? std::string() : state.mContext.mSelf.mName;
  row.mOwnerIncarnation = state.mContext.mSelf.mIncarnation;
  row.mEpoch = state.mClaim.mEpoch;
  row.mBeat = ++state.mBeat;
  const dispatch::Room room = dispatch::FreeRoom(state.mCore, aNow);
  row.mFreeCores = room.mFreeCores;
  row.mLeftoverCores = room.mLeftoverCores;
  row.mTotalCores = room.mTotalCores;
  if (state.mStage != ShardStage::Serving) {
    row.mPending = state.mClaim.mPending;
    return row;
  }
  for (const auto& [name, queue] : state.mCore.mQueues) {
    const std::uint64_t pending = dispatch::PendingJobs(state.mCore, name);
    if (pending > 0) {
      row.mPending.emplace(name, pending);
    }
  }
  return row;
}

std::int64_t
ShardHost::RowVersion() const
{
  return mState->mRowVersion;
}

void
ShardHost::HandleRenewed(std::int64_t aRowVersion, MonotonicTime aSentAt)
{
  mState->mRowVersion = aRowVersion;
  mState->mRightUntil = aSentAt + mState->mContext.mSettings.mRightToAct;
}

void
ShardHost::AdoptRowVersion(std::int64_t aRowVersion)
{
  mState->mRowVersion = aRowVersion;
}

void
ShardHost::HandleSucceeded()
{
  mState->Lose("succeeded");
}

void
ShardHost::SetConfiguration(const Configuration& aConfiguration)
{
  std::vector<dispatch::QueueSpec> queues;
  for (const Route& route : aConfiguration.mRoutes) {
    queues.push_back(route.mQueue);
  }
  dispatch::SetQueues(mState->mCore, queues);
}

void
ShardHost::SetEvacuatedDataCentres(const std::vector<std::string>& aDataCentres)
{
  dispatch::SetEvacuatedDataCentres(mState->mCore, aDataCentres);
}

void
ShardHost::SetRunners(const std::vector<dispatch::RunnerSpec>& aRunners,
                      std::uint32_t aShards)
{
  mState->mListed.clear();
  for (const dispatch::RunnerSpec& runner : aRunners) {
    if (ShardOfRunner(runner.mId, aShards) == mState->mClaim.mShard) {
      mState->mListed.push_back(runner);
    }
  }
  mState->mListedRead = true;
  mState->ApplyRunners();
}

void
ShardHost::Tick(MonotonicTime aNow)
{
  State& state = *mState;
  if (state.mLost) {
    return;
  }
  if (state.mStage != ShardStage::Claiming && aNow >= state.mRightUntil) {
    state.Lose("not_renewed");
    return;
  }
  if (state.mStage == ShardStage::Fencing &&
      (aNow >= state.mFencedAt || state.mLinks.empty())) {
    state.mStage = ShardStage::ReadingJobs;
    state.ReadInbox();
  }
  if (state.mStage != ShardStage::Serving) {
    return;
  }
  if (state.MayAct(aNow)) {
    dispatch::Actions actions;
    dispatch::HandleTick(state.mCore, aNow, UnixMs(), actions);
    state.Perform(actions);
    for (dispatch::RunnerIndex i = 0; i < state.mCore.mRunners.size(); ++i) {
      const dispatch::Runner& runner = state.mCore.mRunners[i];
      const bool wanted = runner.mListed || !runner.mTasks.empty() ||
                          runner.mPhase == dispatch::RunnerPhase::Unheard;
      RunnerLink& link = state.LinkOf(i);
      if (wanted && !link.mInFlight && aNow >= link.mNextAt) {
        state.Renew(i, aNow);
      }
    }
  }
  if (state.RecordsDiffer(aNow)) {
    state.StoreRunners();
  }
  state.BeginCommit(aNow);
}

void
ShardHost::Retire()
{
  mState->mRetired = true;
}

bool
ShardHost::Serving() const
{
  return !mState->mLost && mState->mStage == ShardStage::Serving;
}

bool
ShardHost::Retired() const
{
  return mState->mRetired;
}

bool
ShardHost::Settled() const
{
  return mState->mLost || (!mState->mTransactionOut && !mState->mCommit &&
                           mState->mCore.mDirty.empty());
}

std::uint32_t
ShardHost::Number() const
{
  return mState->mClaim.mShard;
}

const dispatch::Dispatcher&
ShardHost::Core() const
{
  return mState->mCore;
}

} // namespace paddle
