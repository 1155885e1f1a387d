#include <LibNode/Node.h>

#include <algorithm>
#include <functional>

#include <LibTime/BootClock.h>

namespace paddle {

namespace {

/// The layout is created this long after the start at the earliest, and later
/// while the list of runners grows, because the number of shards depends on the
/// number of runners. Most register within three seconds of their start; with
/// 540 runners, about 60% had after 3.6 s.
constexpr Millis kRegistrationWait{ 3500 };
/// The layout is created at the latest then, because no job is accepted before.
constexpr Millis kLongestRegistrationWait{ 4700 };

/// Rate at which a node reads changes of the operator's configuration. Nodes
/// read each change in full and share a regional link of 30 Mbit/s or more,
/// so that frequent large changes must leave bandwidth for all other traffic.
constexpr std::size_t kBytesPerMillisecond = 350;
/// Bounds of the delay between a change that was read and the next read.
constexpr Millis kShortestOperatorReadDelay{ 100 };
constexpr Millis kLongestOperatorReadDelay{ 1500 };

/// A read that waits for a change and gets no answer costs this much beyond its
/// wait: the margin until it is given up (0.7 s), and delays until the next.
constexpr Millis kLostReadTime{ 1050 };
/// Shortest wait for a change for the sake of keys.
constexpr Millis kShortestKeyWait{ 100 };

/// Bound of the delay before a failed read of the operator's table is repeated,
/// without the part that differs between nodes. After an outage, a node reads
/// 1.35 s late at most, where a configuration has to be in force after 2.5 s.
constexpr Millis kLongestOperatorRetryDelay{ 900 };

/// Bytes of the rows of all shards that a node renews in one transaction, which
/// takes 1 MB with the rows in base64 and 100 entries, two for each shard.
constexpr std::size_t kMaxRenewalBytes = 700000;

/// A read of the list of runners that takes longer is logged. A draining runner
/// must get no more starts 2.5 s after its notice.
constexpr Millis kSlowRunnerRead{ 1000 };

/// A copy of the configuration that is older is called stale in the log, if the
/// last read has failed or has no answer yet. The read waits 1.2 s for a
/// change, so that a read without an answer after this time has failed, or its
/// answer is large and still arrives. The age alone does not tell: it counts
/// from sending, so that it reaches 2.4 s before the second of two waits
/// without a change is answered, and 3.9 s with the longest delay between them.
constexpr Millis kMaxConfigurationAge{ 3000 };

/// While every read is answered, the copy does not become older, also with the
/// longest delay between two reads.
constexpr Millis kLongestCalmAge{ 5000 };

/// @param aBytes size of the change that was read
/// @return the delay before the next read
Millis
OperatorReadDelay(std::size_t aBytes)
{
  if (aBytes == 0) {
    return Millis(0);
  }
  return std::min(
    kLongestOperatorReadDelay,
    kShortestOperatorReadDelay +
      Millis(static_cast<Millis::rep>(aBytes / kBytesPerMillisecond)));
}

/// @param aFirst    delay after the first failure
/// @param aFailures number of reads that have failed in a row, 1 at least
/// @param aNodeName adds up to half of the delay, so that nodes whose reads
///                  failed together don't repeat them together
/// @return the delay before the next read
Millis
OperatorRetryDelay(Millis aFirst,
                   std::uint32_t aFailures,
                   std::string_view aNodeName)
{
  Millis delay = aFirst;
  for (std::uint32_t i = 1; i < aFailures && delay < kLongestOperatorRetryDelay;
       ++i) {
    delay *= 2;
  }
  delay = std::min(delay, kLongestOperatorRetryDelay);
  constexpr std::size_t kShares = 1000;
  const std::size_t share =
    std::hash<std::string_view>{}(aNodeName) % (kShares + 1);
  return delay + delay * static_cast<Millis::rep>(share) /
                   static_cast<Millis::rep>(2 * kShares);
}

} // namespace

Node::Node(NodeContext& aContext)
  : mContext(aContext)
  , mClientFrontEnd(aContext, mView)
{
  mContext.mSelf.mKnowsParts = true;
}

Node::~Node()
{
  *mAlive = false;
}

void
Node::Log(LogLevel aLevel, std::string_view aEvent, std::string_view aFields)
{
  mContext.mLog->Write(aLevel, aEvent, aFields, mContext.Now());
}

void
Node::Begin()
{
  mBeginAt = mContext.Now();
}

void
Node::Tick(MonotonicTime aNow)
{
  const NodeSettings& settings = mContext.mSettings;
  const bool reachable =
    aNow - mContext.mStoreAnsweredAt < settings.mStoreAnswerMaxAge;
  if (reachable != mStoreReachable) {
    mStoreReachable = reachable;
    Log(LogLevel::Notice, reachable ? "store_regained" : "store_lost", {});
  }
  if (!mHeartbeatInFlight && aNow >= mNextHeartbeatAt) {
    Heartbeat(aNow);
  }
  if (!mLeaseRenewalInFlight && aNow >= mNextLeaseRenewalAt) {
    RenewShards(aNow);
  }
  if (!mNodeReadInFlight && aNow >= mNextNodeReadAt) {
    ReadNodes();
  }
  if (!mShardReadInFlight && aNow >= mNextShardReadAt) {
    ReadShards();
  }
  UpdateSource(aNow);
  if (mSource.mStore && !mOperatorReadInFlight && aNow >= mNextOperatorReadAt) {
    ReadOperator();
  }
  if (!mSource.mPeer.empty() && mPeerCall == 0) {
    ReadFromPeer(mContext.mSettings.mRelay.mHoldTime);
  }
  AnswerHeldRequests(aNow, false);
  CheckConfigurationAge(aNow);
  for (const LeftOutRefusals& leftOut : TakeLeftOut(mRefusalLimit, aNow)) {
    Log(LogLevel::Info, "request_refused", FormatLeftOut(leftOut));
  }
  const bool ownsOrMayLayOut = !mShards.empty() || mView.mShardCount == 0;
  if (!mRunnerReadInFlight && aNow >= mNextRunnerReadAt && ownsOrMayLayOut) {
    ReadRunners();
  }
  for (auto& [number, shard] : mShards) {
    shard->Tick(aNow);
  }
  std::erase_if(
    mShards, [](const auto& aEntry) { return aEntry.second->OwnershipLost(); });
}

void
Node::Heartbeat(MonotonicTime aNow)
{
  mHeartbeatInFlight = true;
  mNextHeartbeatAt = aNow + mContext.mSettings.mHeartbeatInterval;
  ++mContext.mSelf.mHeartbeatCount;
  const std::string partition = mContext.mPartitions.OfNodes();
  const std::string key = NodeKey(mContext.mSelf.mName);
  StoreTransaction transaction;
  if (mDraining) {
    transaction.mRemovals.push_back({ kClusterTable, partition, key });
  } else {
    transaction.mPuts.push_back(
      { kClusterTable, partition, key, FormatNodeRow(mContext.mSelf) });
  }
  std::weak_ptr<bool> alive = mAlive;
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [this, alive](const TransactionOutcome& aOutcome) {
      if (alive.expired()) {
        return;
      }
      mHeartbeatInFlight = false;
      if (aOutcome.mResult == StoreResult::Stored) {
        mHeartbeatRetryDelay = mContext.mSettings.mRetryPause;
        return;
      }
      // Many nodes write to this partition, so they back off while the store is
      // slow.
      mHeartbeatRetryDelay = std::min(mContext.mSettings.mHeartbeatInterval,
                                      mHeartbeatRetryDelay * 2);
      mNextHeartbeatAt = mContext.Now() + mHeartbeatRetryDelay;
      Log(LogLevel::Info, "heartbeat_not_stored", "row=node");
    });
}

void
Node::RenewShards(MonotonicTime aNow)
{
  const std::string partition = mContext.mPartitions.OfShards();
  StoreTransaction transaction;
  std::vector<RenewedShard> shards;
  const std::size_t rowBytes =
    std::min(StoreLimits{}.mRowBytes,
             kMaxRenewalBytes / std::max<std::size_t>(1, mShards.size()));
  for (auto& [number, shard] : mShards) {
    if (!shard->ClaimStored() ||
        (shard->SteppingDown() && !shard->AllStored())) {
      continue;
    }
    shards.push_back({ number, shard->SteppingDown() });
    transaction.mChecks.push_back(
      { kClusterTable, partition, ShardKey(number), shard->RowVersion() });
    transaction.mPuts.push_back({ kClusterTable,
                                  partition,
                                  ShardKey(number),
                                  FormatShardRow(shard->Row(aNow), rowBytes) });
  }
  if (shards.empty()) {
    return;
  }
  mLeaseRenewalInFlight = true;
  mNextLeaseRenewalAt = aNow + mContext.mSettings.mLeaseRenewalInterval;
  std::weak_ptr<bool> alive = mAlive;
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [this, alive, shards, aNow](const TransactionOutcome& aOutcome) {
      if (!alive.expired()) {
        HandleRenewal(aOutcome, shards, aNow);
      }
    });
}

void
Node::HandleRenewal(const TransactionOutcome& aOutcome,
                    const std::vector<RenewedShard>& aShards,
                    MonotonicTime aSentAt)
{
  mLeaseRenewalInFlight = false;
  RecordReading(
    mContext.mStoreClock, aOutcome.mClockMs, aSentAt, mContext.Now());
  if (aOutcome.mResult == StoreResult::Stored) {
    for (const RenewedShard& sent : aShards) {
      const auto shard = mShards.find(sent.mNumber);
      if (shard != mShards.end()) {
        shard->second->HandleLeaseRenewed(aOutcome.mVersion, aSentAt);
        if (sent.mReleased) {
          shard->second->HandleReleased();
        }
      }
    }
    return;
  }
  mNextLeaseRenewalAt = mContext.Now() + mContext.mSettings.mRetryPause;
  if (aOutcome.mResult != StoreResult::Conflict) {
    Log(LogLevel::Info, "heartbeat_not_stored", "row=shard");
    return;
  }
  for (const StoreRow& row : aOutcome.mCurrent) {
    const std::optional<ShardRow> current = ParseShardRow(row.mValue);
    if (!current) {
      continue;
    }
    const auto shard = mShards.find(current->mShard);
    if (shard == mShards.end() || row.mVersion == shard->second->RowVersion()) {
      continue;
    }
    if (current->mOwner == mContext.mSelf.mName &&
        current->mOwnerIncarnation == mContext.mSelf.mIncarnation) {
      // An earlier renewal that got no answer was stored. It does not extend
      // the lease, because it is not known here when it was sent.
      shard->second->AdoptRowVersion(row.mVersion);
    } else {
      shard->second->HandleOwnerChanged();
    }
  }
}

void
Node::ReadNodes()
{
  mNodeReadInFlight = true;
  std::weak_ptr<bool> alive = mAlive;
  ReadAllPages(
    mContext.mStore,
    kClusterTable,
    mContext.mPartitions.OfNodes(),
    kNodePrefix,
    kNodePrefixEnd,
    [this, alive](const ReadOutcome& aRead) {
      if (alive.expired()) {
        return;
      }
      mNodeReadInFlight = false;
      const MonotonicTime now = mContext.Now();
      if (aRead.mResult != ReadResult::Read) {
        mNextNodeReadAt = now + mContext.mSettings.mRetryPause;
        return;
      }
      mNextNodeReadAt = now + mContext.mSettings.mNodePollInterval;
      UpdateNodes(
        mView, aRead.mRows, mContext.mSelf, mContext.mSettings.mClaims, now);
    });
}

void
Node::ReadShards()
{
  mShardReadInFlight = true;
  const MonotonicTime begin = mContext.Now();
  std::weak_ptr<bool> alive = mAlive;
  ReadAllPages(mContext.mStore,
               kClusterTable,
               mContext.mPartitions.OfShards(),
               {},
               {},
               [this, alive, begin](const ReadOutcome& aRead) {
                 if (alive.expired()) {
                   return;
                 }
                 mShardReadInFlight = false;
                 const MonotonicTime now = mContext.Now();
                 if (aRead.mResult != ReadResult::Read) {
                   mNextShardReadAt = now + mContext.mSettings.mRetryPause;
                   return;
                 }
                 mNextShardReadAt = now + mContext.mSettings.mShardPollInterval;
                 RecordReading(
                   mContext.mStoreClock, aRead.mClockMs, begin, now);
                 UpdateShards(mView, aRead.mRows, now);
                 mView.mShardReadDuration =
                   std::chrono::duration_cast<Millis>(now - begin);
                 if (mView.mShardCount == 0) {
                   CreateLayout();
                 } else {
                   ClaimShards(now);
                   HandOverShards(now);
                 }
               });
}

void
Node::HandOverShards(MonotonicTime aNow)
{
  for (auto& [number, shard] : mShards) {
    if (shard->Serving() && !shard->SteppingDown() &&
        ShouldHandOver(
          mView, number, mContext.mSelf, mContext.mSettings.mClaims, aNow)) {
      Log(LogLevel::Warning,
          "shard_handed_over",
          "shard=" + std::to_string(number) + " cause=larger_node");
      shard->StepDown();
    }
  }
}

void
Node::CreateLayout()
{
  const MonotonicTime now = mContext.Now();
  const bool waited =
    now - mBeginAt >= kLongestRegistrationWait ||
    (now - mBeginAt >= kRegistrationWait && !mRunnerListGrows);
  if (mLayoutWriteInFlight || mDraining || !waited || mRunners.empty() ||
      !mView.mNodesRead) {
    return;
  }
  mLayoutWriteInFlight = true;
  const std::uint32_t shards = ChooseShardCount(
    mView, mRunners.size(), mContext.mSettings.mMaxRunnersPerShard);
  StoreTransaction transaction;
  const std::string partition = mContext.mPartitions.OfShards();
  transaction.mChecks.push_back({ kClusterTable, partition, kLayoutKey, 0 });
  transaction.mPuts.push_back(
    { kClusterTable,
      partition,
      kLayoutKey,
      "{\"shards\":" + std::to_string(shards) + "}" });
  std::weak_ptr<bool> alive = mAlive;
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [this, alive, shards](const TransactionOutcome& aOutcome) {
      if (alive.expired()) {
        return;
      }
      // Whatever the outcome, the next read shows whether there is a layout.
      mLayoutWriteInFlight = false;
      mNextShardReadAt = mContext.Now();
      if (aOutcome.mResult == StoreResult::Stored) {
        Log(LogLevel::Notice, "laid_out", "shards=" + std::to_string(shards));
      }
    });
}

void
Node::ClaimShards(MonotonicTime aNow)
{
  if (mDraining) {
    return;
  }
  for (const Claim& claim :
       DecideClaims(mView, mContext.mSelf, mContext.mSettings.mClaims, aNow)) {
    if (mShards.contains(claim.mShard)) {
      continue;
    }
    auto shard = std::make_unique<ShardOwner>(mContext, claim);
    if (mConfiguration) {
      shard->SetConfiguration(*mConfiguration);
    }
    shard->SetEvacuatedDataCentres(mEvacuatedDataCentres);
    shard->SetCluster(mView, mRunners);
    shard->Begin();
    mShards.emplace(claim.mShard, std::move(shard));
    mNextRunnerReadAt = aNow;
  }
}

Millis
Node::OperatorReadWait() const
{
  if (OthersRely(mSource.mCause)) {
    return mContext.mSettings.mRelay.mReaderWait;
  }
  const std::optional<Millis>& maxAge = mContext.mSettings.mMaxKeyCopyAge;
  if (!maxAge || !mKeys.mAccountsListed) {
    return kOperatorChangeWait;
  }
  // A read without a change is answered after its wait, and its confirmation
  // counts from its sending. The copy thus reaches the age of two waits, and of
  // three waits and kLostReadTime if one read between them is lost.
  return std::clamp(
    (*maxAge - kLostReadTime) / 3, kShortestKeyWait, kOperatorChangeWait);
}

void
Node::ReadOperator()
{
  mOperatorReadInFlight = true;
  mOperatorReadSentAt = mContext.Now();
  std::weak_ptr<bool> alive = mAlive;
  mContext.mDirectory.mReadOperatorState(
    OperatorReadWait(),
    [this, alive, sentAt = mOperatorReadSentAt](ReadResult aResult,
                                                OperatorState aState) {
      if (!alive.expired()) {
        HandleOperatorRead(aResult, std::move(aState), sentAt);
      }
    });
}

void
Node::HandleOperatorRead(ReadResult aResult,
                         OperatorState aState,
                         MonotonicTime aSentAt)
{
  mOperatorReadInFlight = false;
  const bool failed = aResult != ReadResult::Read;
  mOperatorReadFailures = failed ? mOperatorReadFailures + 1 : 0;
  const MonotonicTime now = mContext.Now();
  const ConfigurationCopy before = ConfigurationInForce();
  const std::string readTime =
    std::to_string(std::chrono::duration_cast<Millis>(now - aSentAt).count());
  if (failed) {
    mNextOperatorReadAt =
      now + OperatorRetryDelay(mContext.mSettings.mRetryPause,
                               mOperatorReadFailures,
                               mContext.mSelf.mName);
    Log(LogLevel::Info,
        "operator_read_failed",
        std::string("cause=") +
          (aResult == ReadResult::HistoryGone ? "history_gone" : "failed") +
          " read_ms=" + readTime +
          " received_bytes=" + std::to_string(aState.mReceivedBytes) +
          " first_byte_ms=" + std::to_string(aState.mFirstByteTimeout.count()) +
          " " + FormatConfigurationCopy(before));
    return;
  }
  Millis delay = OperatorReadDelay(aState.mChangedBytes);
  if (mKeys.mAccountsListed && mContext.mSettings.mMaxKeyCopyAge) {
    // The delay leaves bandwidth to others, but must not make the copy too old.
    delay = std::min(delay, *mContext.mSettings.mMaxKeyCopyAge / 4);
  }
  mNextOperatorReadAt = now + delay;
  FinishOperatorRead(
    std::move(aState), aSentAt, "store", "read_ms=" + readTime);
  // What was read may make this node a reader.
  UpdateSource(now);
  if (OthersRely(mSource.mCause)) {
    mNextOperatorReadAt =
      now + std::min(delay, mContext.mSettings.mRelay.mLongestReaderDelay);
  }
}

void
Node::FinishOperatorRead(OperatorState aState,
                         MonotonicTime aConfirmedAt,
                         std::string_view aSource,
                         std::string_view aReadFields)
{
  const MonotonicTime now = mContext.Now();
  const ConfigurationCopy before = ConfigurationInForce();
  mConfigurationConfirmedAt =
    std::max(aConfirmedAt, mConfigurationConfirmedAt.value_or(aConfirmedAt));
  mRelay.mCopyBytes = aState.mCopyBytes;
  const std::string sinceConfirmed =
    "since_confirmed_ms=" +
    (before.mAge ? std::to_string(before.mAge->count()) : "none");
  ApplyOperatorState(std::move(aState),
                     aSource,
                     sinceConfirmed + " " + std::string(aReadFields));
  if (mConfigurationStaleSince) {
    const Millis stale =
      std::chrono::duration_cast<Millis>(now - *mConfigurationStaleSince);
    mConfigurationStaleSince.reset();
    Log(LogLevel::Notice,
        "configuration_current",
        "stale_ms=" + std::to_string(stale.count()) + " " + sinceConfirmed +
          " " + FormatConfigurationCopy(ConfigurationInForce()));
  }
  AnswerHeldRequests(now, true);
}

void
Node::ApplyOperatorState(OperatorState aState,
                         std::string_view aSource,
                         std::string_view aReadFields)
{
  std::optional<Configuration>& read = aState.mConfiguration;
  const bool newer =
    read && (!mConfiguration || read->mVersion > mConfiguration->mVersion);
  if (newer) {
    Log(LogLevel::Notice,
        "configuration_applied",
        "source=" + std::string(aSource) +
          " version=" + std::to_string(read->mVersion) +
          " routes=" + std::to_string(read->mRoutes.size()) + " " +
          std::string(aReadFields));
    mConfiguration = std::move(read);
    mKeys = MakeClientKeys(mConfiguration->mAccounts);
    for (auto& [number, shard] : mShards) {
      shard->SetConfiguration(*mConfiguration);
    }
  }
  if (aState.mEvacuatedDataCentres != mEvacuatedDataCentres) {
    mEvacuatedDataCentres = aState.mEvacuatedDataCentres;
    std::string names;
    for (const std::string& name : mEvacuatedDataCentres) {
      names += (names.empty() ? "" : ",") + name;
    }
    Log(LogLevel::Notice, "evacuated_data_centres", "names=" + names);
    for (auto& [number, shard] : mShards) {
      shard->SetEvacuatedDataCentres(mEvacuatedDataCentres);
    }
  }
}

bool
Node::CopyIsOverdue(MonotonicTime aNow) const
{
  const ConfigurationCopy copy = ConfigurationInForce();
  const bool unanswered = mOperatorReadFailures > 0 ||
                          (mOperatorReadInFlight &&
                           aNow - mOperatorReadSentAt > kMaxConfigurationAge);
  return unanswered && copy.mAge && *copy.mAge > kMaxConfigurationAge;
}

bool
Node::MayLackKeys() const
{
  // A node that has just woken may not have ticked since, and the answer that
  // it has handled may be as old as its sleep.
  return mConfigurationStaleSince || CopyIsOverdue(mContext.Now()) ||
         ConfigurationInForce().mAge.value_or(Millis(0)) > kLongestCalmAge;
}

void
Node::CheckConfigurationAge(MonotonicTime aNow)
{
  if (mConfigurationStaleSince || !CopyIsOverdue(aNow)) {
    return;
  }
  mConfigurationStaleSince = aNow;
  Log(LogLevel::Notice,
      "configuration_stale",
      FormatConfigurationCopy(ConfigurationInForce()));
}

void
Node::LogRunnerRead(bool aSucceeded, MonotonicTime aSentAt, MonotonicTime aNow)
{
  const auto millisSince = [&](MonotonicTime aTime) {
    return std::to_string(
      std::chrono::duration_cast<Millis>(aNow - aTime).count());
  };
  const bool slow = aNow - aSentAt > kSlowRunnerRead;
  if (aSucceeded && !slow) {
    return;
  }
  Log(LogLevel::Info,
      aSucceeded ? "runner_read_slow" : "runner_read_failed",
      "read_ms=" + millisSince(aSentAt) + " list_age_ms=" +
        (mRunnersReadSentAt ? millisSince(*mRunnersReadSentAt) : "none") +
        " runners=" + std::to_string(mRunners.size()));
}

void
Node::ReadRunners()
{
  mRunnerReadInFlight = true;
  std::weak_ptr<bool> alive = mAlive;
  mContext.mDirectory.mReadRunners(
    [this, alive, sentAt = mContext.Now()](
      std::optional<std::vector<dispatch::RunnerSpec>> aRunners) {
      if (alive.expired()) {
        return;
      }
      mRunnerReadInFlight = false;
      const MonotonicTime now = mContext.Now();
      LogRunnerRead(aRunners.has_value(), sentAt, now);
      if (!aRunners) {
        mNextRunnerReadAt = now + mContext.mSettings.mRetryPause;
        return;
      }
      mRunnersReadSentAt = sentAt;
      mNextRunnerReadAt = now + mContext.mSettings.mRunnerPollInterval;
      mRunnerListGrows = aRunners->size() > mRunners.size();
      mRunners = std::move(*aRunners);
      for (auto& [number, shard] : mShards) {
        shard->SetRunners(mRunners, mView.mShardCount);
      }
    });
}

void
Node::Drain()
{
  mDraining = true;
  Log(LogLevel::Notice, "draining", "shards=" + std::to_string(mShards.size()));
  for (auto& [number, shard] : mShards) {
    shard->StepDown();
  }
  mNextHeartbeatAt = {};
  mNextLeaseRenewalAt = {};
}

bool
Node::Drained() const
{
  return mShards.empty();
}

bool
Node::Ready() const
{
  return !mDraining && mConfiguration && mView.mShardCount > 0 &&
         mContext.Now() - mContext.mStoreAnsweredAt <
           mContext.mSettings.mStoreAnswerMaxAge;
}

const std::optional<Configuration>&
Node::Config() const
{
  return mConfiguration;
}

ConfigurationCopy
Node::ConfigurationInForce() const
{
  ConfigurationCopy copy;
  copy.mVersion = mConfiguration ? mConfiguration->mVersion : 0;
  if (mConfigurationConfirmedAt) {
    copy.mAge = std::chrono::duration_cast<Millis>(mContext.Now() -
                                                   *mConfigurationConfirmedAt);
  }
  return copy;
}

ClientAnswer
Node::AnswerUnknownRoute() const
{
  return mConfigurationStaleSince ? ClientAnswer::NotAccepted
                                  : ClientAnswer::NoSuchRoute;
}

CallDecision
Node::DecideCall(const Route& aRoute,
                 std::span<const std::string_view> aAuthorization) const
{
  return paddle::DecideCall(mKeys,
                            aRoute,
                            aAuthorization,
                            { ConfigurationInForce().mAge,
                              mContext.mSettings.mMaxKeyCopyAge,
                              MayLackKeys() });
}

ClientAnswer
Node::AnswerRefusedCall(CallVerdict aVerdict) const
{
  return aVerdict == CallVerdict::CopyTooOld || MayLackKeys()
           ? ClientAnswer::NotAccepted
           : ClientAnswer::NoValidKey;
}

void
Node::LogRefusal(const RefusedRequest& aRequest)
{
  if (IsLimitedByAccount(aRequest.mCause) &&
      !TakeLine(
        mRefusalLimit, aRequest.mCause, aRequest.mAccount, mContext.Now())) {
    return;
  }
  Log(LogLevel::Info,
      "request_refused",
      FormatRefusedRequest(aRequest, ConfigurationInForce()));
}

ClientFrontEnd&
Node::FrontEnd()
{
  return mClientFrontEnd;
}

} // namespace paddle
