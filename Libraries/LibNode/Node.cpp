#include <LibNode/Node.h>

#include <algorithm>

#include <LibTime/BootClock.h>

namespace paddle {

namespace {

/// Before the first shards are laid out, runners get this long to register;
/// they do so within about three seconds of the start.
constexpr Millis kRegistrationWait{ 3500 };

/// Nodes read each change in full, and share a regional link of 30 Mbit/s or
/// more: a storm of large configurations must leave room for everything else.
constexpr std::size_t kBytesPerMilli = 350;
constexpr Millis kShortestPause{ 100 };
constexpr Millis kLongestPause{ 1500 };

/// @param aBytes size of the change that was read
/// @return the pause before the next one is read
Millis
OperatorPause(std::size_t aBytes)
{
  if (aBytes == 0) {
    return Millis(0);
  }
  return std::min(kLongestPause,
                  kShortestPause +
                    Millis(static_cast<Millis::rep>(aBytes / kBytesPerMilli)));
}

} // namespace

Node::Node(NodeContext& aContext)
  : mContext(aContext)
  , mFront(aContext, mView)
{
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
    aNow - mContext.mStoreAnsweredAt < settings.mStoreFreshness;
  if (reachable != mStoreReachable) {
    mStoreReachable = reachable;
    Log(LogLevel::Notice, reachable ? "store_regained" : "store_lost", {});
  }
  if (!mHeartbeatOut && aNow >= mHeartbeatAt) {
    Heartbeat(aNow);
  }
  if (!mRenewalOut && aNow >= mRenewalAt) {
    RenewShards(aNow);
  }
  if (!mNodesOut && aNow >= mNodesAt) {
    ReadNodes();
  }
  if (!mClusterOut && aNow >= mClusterAt) {
    ReadShards();
  }
  if (!mOperatorOut && aNow >= mOperatorAt) {
    ReadOperator();
  }
  const bool ownsOrMayLayOut = !mShards.empty() || mView.mShards == 0;
  if (!mRunnersOut && aNow >= mRunnersAt && ownsOrMayLayOut) {
    ReadRunners();
  }
  for (auto& [number, shard] : mShards) {
    shard->Tick(aNow);
  }
  std::erase_if(mShards,
                [](const auto& aEntry) { return aEntry.second->Lost(); });
}

void
Node::Heartbeat(MonotonicTime aNow)
{
  mHeartbeatOut = true;
  mHeartbeatAt = aNow + mContext.mSettings.mHeartbeat;
  ++mContext.mSelf.mBeat;
  const std::string part = mContext.mParts.OfNodes();
  const std::string key = NodeKey(mContext.mSelf.mName);
  StoreTransaction transaction;
  if (mDraining) {
    transaction.mRemovals.push_back({ kClusterTable, part, key });
  } else {
    transaction.mPuts.push_back(
      { kClusterTable, part, key, FormatNodeRow(mContext.mSelf) });
  }
  std::weak_ptr<bool> alive = mAlive;
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [this, alive](const TransactionOutcome& aOutcome) {
      if (alive.expired()) {
        return;
      }
      mHeartbeatOut = false;
      if (aOutcome.mResult == StoreResult::Stored) {
        mHeartbeatPause = mContext.mSettings.mRetryPause;
        return;
      }
      // Many nodes share the part: while the store is slow, they back off.
      mHeartbeatPause =
        std::min(mContext.mSettings.mHeartbeat, mHeartbeatPause * 2);
      mHeartbeatAt = mContext.Now() + mHeartbeatPause;
      Log(LogLevel::Info, "heartbeat_not_stored", "row=node");
    });
}

void
Node::RenewShards(MonotonicTime aNow)
{
  const std::string part = mContext.mParts.OfShards();
  StoreTransaction transaction;
  std::vector<SentShard> shards;
  for (auto& [number, shard] : mShards) {
    if (!shard->Owned() || (shard->Retired() && !shard->Settled())) {
      continue;
    }
    shards.push_back({ number, shard->Retired() });
    transaction.mChecks.push_back(
      { kClusterTable, part, ShardKey(number), shard->RowVersion() });
    transaction.mPuts.push_back({ kClusterTable,
                                  part,
                                  ShardKey(number),
                                  FormatShardRow(shard->Row(aNow)) });
  }
  if (shards.empty()) {
    return;
  }
  mRenewalOut = true;
  mRenewalAt = aNow + mContext.mSettings.mRenewal;
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
                    const std::vector<SentShard>& aShards,
                    MonotonicTime aSentAt)
{
  mRenewalOut = false;
  if (aOutcome.mResult == StoreResult::Stored) {
    for (const SentShard& sent : aShards) {
      const auto shard = mShards.find(sent.mNumber);
      if (shard != mShards.end()) {
        shard->second->HandleRenewed(aOutcome.mVersion, aSentAt);
        if (sent.mReleased) {
          shard->second->HandleSucceeded();
        }
      }
    }
    return;
  }
  mRenewalAt = mContext.Now() + mContext.mSettings.mRetryPause;
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
      // An earlier heartbeat without an answer was stored. It counts from the
      // right that the shard has already, because its send time is not known
      // here.
      shard->second->AdoptRowVersion(row.mVersion);
    } else {
      shard->second->HandleSucceeded();
    }
  }
}

void
Node::ReadNodes()
{
  mNodesOut = true;
  std::weak_ptr<bool> alive = mAlive;
  mContext.mStore.mRead(
    kClusterTable,
    mContext.mParts.OfNodes(),
    kNodePrefix,
    kNodePrefixEnd,
    [this, alive](const ReadOutcome& aRead) {
      if (alive.expired()) {
        return;
      }
      mNodesOut = false;
      const MonotonicTime now = mContext.Now();
      if (aRead.mResult != ReadResult::Read) {
        mNodesAt = now + mContext.mSettings.mRetryPause;
        return;
      }
      mNodesAt = now + mContext.mSettings.mNodesPoll;
      UpdateNodes(
        mView, aRead.mRows, mContext.mSelf, mContext.mSettings.mClaims, now);
    });
}

void
Node::ReadShards()
{
  mClusterOut = true;
  const MonotonicTime begin = mContext.Now();
  std::weak_ptr<bool> alive = mAlive;
  mContext.mStore.mRead(kClusterTable,
                        mContext.mParts.OfShards(),
                        {},
                        {},
                        [this, alive, begin](const ReadOutcome& aRead) {
                          if (alive.expired()) {
                            return;
                          }
                          mClusterOut = false;
                          const MonotonicTime now = mContext.Now();
                          if (aRead.mResult != ReadResult::Read) {
                            mClusterAt = now + mContext.mSettings.mRetryPause;
                            return;
                          }
                          mClusterAt = now + mContext.mSettings.mClusterPoll;
                          UpdateShards(mView, aRead.mRows, now);
                          mView.mReadingTook =
                            std::chrono::duration_cast<Millis>(now - begin);
                          if (mView.mShards == 0) {
                            LayOut();
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
    if (shard->Serving() && !shard->Retired() &&
        ShouldHandOver(
          mView, number, mContext.mSelf, mContext.mSettings.mClaims, aNow)) {
      Log(LogLevel::Warning,
          "shard_handed_over",
          "shard=" + std::to_string(number) + " cause=larger_node");
      shard->Retire();
    }
  }
}

void
Node::LayOut()
{
  const bool waited = mContext.Now() - mBeginAt >= kRegistrationWait;
  if (mLayoutOut || mDraining || !waited || mRunners.empty()) {
    return;
  }
  mLayoutOut = true;
  const std::size_t perShard = mContext.mSettings.mRunnersPerShard;
  const std::size_t shards =
    std::max<std::size_t>(1, (mRunners.size() + perShard / 2) / perShard);
  StoreTransaction transaction;
  const std::string part = mContext.mParts.OfShards();
  transaction.mChecks.push_back({ kClusterTable, part, kLayoutKey, 0 });
  transaction.mPuts.push_back(
    { kClusterTable,
      part,
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
      // Whatever the outcome, the next reading shows what is laid out.
      mLayoutOut = false;
      mClusterAt = mContext.Now();
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
    auto shard = std::make_unique<ShardHost>(mContext, claim);
    if (mConfiguration) {
      shard->SetConfiguration(*mConfiguration);
    }
    shard->SetEvacuatedDataCentres(mEvacuatedDataCentres);
    shard->Begin();
    mShards.emplace(claim.mShard, std::move(shard));
    mRunnersAt = aNow;
  }
}

void
Node::ReadOperator()
{
  mOperatorOut = true;
  std::weak_ptr<bool> alive = mAlive;
  mContext.mDirectory.mReadOperator(
    [this, alive](std::optional<OperatorState> aState) {
      if (alive.expired()) {
        return;
      }
      mOperatorOut = false;
      if (!aState) {
        mOperatorAt = mContext.Now() + mContext.mSettings.mRetryPause;
        return;
      }
      mOperatorAt = mContext.Now() + OperatorPause(aState->mBytes);
      std::optional<Configuration>& read = aState->mConfiguration;
      const bool newer =
        read && (!mConfiguration || read->mVersion > mConfiguration->mVersion);
      if (newer) {
        Log(LogLevel::Notice,
            "configuration_applied",
            "version=" + std::to_string(read->mVersion) +
              " routes=" + std::to_string(read->mRoutes.size()));
        mConfiguration = std::move(read);
        for (auto& [number, shard] : mShards) {
          shard->SetConfiguration(*mConfiguration);
        }
      }
      if (aState->mEvacuatedDataCentres != mEvacuatedDataCentres) {
        mEvacuatedDataCentres = aState->mEvacuatedDataCentres;
        std::string zones;
        for (const std::string& zone : mEvacuatedDataCentres) {
          zones += (zones.empty() ? "" : ",") + zone;
        }
        Log(LogLevel::Notice, "evacuated_data_centres", "names=" + zones);
        for (auto& [number, shard] : mShards) {
          shard->SetEvacuatedDataCentres(mEvacuatedDataCentres);
        }
      }
    });
}

void
Node::ReadRunners()
{
  mRunnersOut = true;
  std::weak_ptr<bool> alive = mAlive;
  mContext.mDirectory.mReadRunners(
    [this, alive](std::optional<std::vector<dispatch::RunnerSpec>> aRunners) {
      if (alive.expired()) {
        return;
      }
      mRunnersOut = false;
      if (!aRunners) {
        mRunnersAt = mContext.Now() + mContext.mSettings.mRetryPause;
        return;
      }
      mRunnersAt = mContext.Now() + mContext.mSettings.mRunnerPoll;
      mRunners = std::move(*aRunners);
      for (auto& [number, shard] : mShards) {
        shard->SetRunners(mRunners, mView.mShards);
      }
    });
}

void
Node::Drain()
{
  mDraining = true;
  Log(LogLevel::Notice, "draining", "shards=" + std::to_string(mShards.size()));
  for (auto& [number, shard] : mShards) {
    shard->Retire();
  }
  mHeartbeatAt = {};
  mRenewalAt = {};
}

bool
Node::Drained() const
{
  return mShards.empty();
}

bool
Node::Ready() const
{
  return !mDraining && mConfiguration && mView.mShards > 0 &&
         mContext.Now() - mContext.mStoreAnsweredAt <
           mContext.mSettings.mStoreFreshness;
}

const std::optional<Configuration>&
Node::Config() const
{
  return mConfiguration;
}

Front&
Node::Clients()
{
  return mFront;
}

} // namespace paddle
