#include <LibGateway/IdempotencyKeyStore.h>

#include <LibBase/Log.h>
#include <LibGateway/Codec/Base64.h>
#include <LibGateway/KeyCopy.h>
#include <LibGateway/RunnerFollower.h>
#include <LibRpc/RpcClient.h>

namespace paddle {

namespace {

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

/// @return the key shard number in the parameters of an RPC call, or nothing
///         if it is out of range
std::optional<std::uint32_t>
NumberOf(const Json::Value& aParameters)
{
  const std::uint32_t number = aParameters["shard"].asUInt();
  if (number >= kKeyShards) {
    return std::nullopt;
  }
  return number;
}

/// @return the name of an acquisition in log lines
const char*
NameOf(Acquisition aAcquisition)
{
  switch (aAcquisition) {
    case Acquisition::FirstOwner:
      return "first_owner";
    case Acquisition::HandOver:
      return "hand_over";
    case Acquisition::Successor:
      return "successor";
    case Acquisition::Takeover:
      return "takeover";
  }
  return "unknown";
}

Error
NoSuchShard()
{
  return Error{ ErrorKind::InvalidInput, "key shard does not exist" };
}

} // namespace

IdempotencyKeyStore::IdempotencyKeyStore(const GatewaySettings& aSettings,
                                         const GatewayPorts& aPorts,
                                         HttpClient& aClient,
                                         Metrics& aMetrics)
  : mSettings(aSettings)
  , mPorts(aPorts)
  , mClient(aClient)
  , mMetrics(aMetrics)
{
  for (Shard& shard : mShards) {
    shard.mMemory.mSettings = aSettings.mKeys;
  }
}

IdempotencyKeyStore::Shard&
IdempotencyKeyStore::ShardOf(const std::string& aKey)
{
  return mShards[KeyShardOf(aKey)];
}

KeyAdmission
IdempotencyKeyStore::Begin(const std::string& aKey, MonotonicTime aDeadline)
{
  const std::uint32_t number = KeyShardOf(aKey);
  Shard& shard = mShards[number];
  Lock lock(shard.mMutex);
  for (;;) {
    const auto owned = mPorts.mOwns(KeyShardId(number));
    if (!owned) {
      return { KeyDecision::Unknown, nullptr, false, true };
    }
    Adopt(number, shard, *owned);
    const KeyDecision decision = AdmitKey(shard.mMemory, aKey, Now());
    if (decision == KeyDecision::Wait) {
      if (shard.mChanged.wait_until(lock, aDeadline) ==
          std::cv_status::timeout) {
        return { KeyDecision::Wait, nullptr, false, false };
      }
      continue;
    }
    KeyAdmission answer{ decision, nullptr, false, false };
    if (decision == KeyDecision::Replay) {
      answer.mStoredReply = shard.mMemory.mEntries.find(aKey)->second.mAnswer;
    }
    if (decision == KeyDecision::Run) {
      ++shard.mRunning;
      if (!CopyStartedKey(aKey, shard, lock)) {
        --shard.mRunning;
        ForgetKey(shard.mMemory, aKey);
        shard.mChanged.notify_all();
        answer.mCopyFailed = true;
      }
    }
    return answer;
  }
}

void
IdempotencyKeyStore::Finish(const std::string& aKey, std::string aAnswer)
{
  Shard& shard = ShardOf(aKey);
  {
    Lock lock(shard.mMutex);
    FinishKey(shard.mMemory,
              aKey,
              std::make_shared<const std::string>(std::move(aAnswer)),
              Now());
    shard.mChanged.notify_all();
  }
  CopyFinishedKey(aKey, shard);
}

void
IdempotencyKeyStore::EndUnknown(const std::string& aKey)
{
  Shard& shard = ShardOf(aKey);
  {
    Lock lock(shard.mMutex);
    MarkKeyUnknown(shard.mMemory, aKey, Now());
    shard.mChanged.notify_all();
  }
  CopyFinishedKey(aKey, shard);
}

void
IdempotencyKeyStore::EndNotRun(const std::string& aKey)
{
  Shard& shard = ShardOf(aKey);
  {
    Lock lock(shard.mMutex);
    ForgetKey(shard.mMemory, aKey);
    shard.mChanged.notify_all();
  }
  CopyFinishedKey(aKey, shard);
}

void
IdempotencyKeyStore::Maintain()
{
  for (std::uint32_t number = 0; number < kKeyShards; ++number) {
    const auto owned = mPorts.mOwns(KeyShardId(number));
    if (!owned) {
      continue;
    }
    Shard& shard = mShards[number];
    Lock lock(shard.mMutex);
    Adopt(number, shard, *owned);
    EnsureSynced(number, shard);
  }
}

bool
IdempotencyKeyStore::Quiescent(std::string_view aShard)
{
  for (std::uint32_t number = 0; number < kKeyShards; ++number) {
    if (KeyShardId(number) == aShard) {
      Shard& shard = mShards[number];
      Lock lock(shard.mMutex);
      // A successor may have to hand a shard over before it has adopted it.
      shard.mHandedOverUnadopted = shard.mEpoch <= shard.mCopyEpoch;
      return shard.mRunning == 0;
    }
  }
  return true;
}

/// Prepares the memory of a shard for a new ownership: obtains the keys of the
/// previous owner, or marks the memory as incomplete if they can't be obtained.
/// Does nothing if the shard is prepared for this epoch already.
void
IdempotencyKeyStore::Adopt(std::uint32_t aNumber,
                           Shard& aShard,
                           const Ownership& aOwnership)
{
  if (aShard.mEpoch == aOwnership.mEpoch) {
    return;
  }
  aShard.mHandedOverUnadopted = false;
  if (aShard.mEpoch != 0 && aShard.mEpoch + 1 == aOwnership.mEpoch) {
    // A session of this process ended, and its next session acquired the
    // shard. No other process owned it in between, so the memory is as
    // complete as it was.
    aShard.mEpoch = aOwnership.mEpoch;
    aShard.mSyncedHolder.reset();
    return;
  }
  const bool hasCopy =
    aShard.mCopyEpoch != 0 && aShard.mCopyEpoch + 1 == aOwnership.mEpoch;
  const bool found = aOwnership.mAcquisition == Acquisition::HandOver
                       ? FetchKeys(aNumber, aShard, aOwnership.mEpoch - 1)
                       : hasCopy;
  const KeyCopies copies = found ? KeyCopies::Synced : KeyCopies::Missing;
  AdoptKeys(aShard.mMemory, aOwnership.mAcquisition, copies, Now());
  aShard.mEpoch = aOwnership.mEpoch;
  aShard.mSyncedHolder.reset();
  if (aShard.mMemory.mCompleteness == KeyCompleteness::Incomplete) {
    LogEvent(LogLevel::Warning,
             "key_memory_incomplete",
             { { "shard", aNumber },
               { "epoch", aOwnership.mEpoch },
               { "copy_epoch", aShard.mCopyEpoch },
               { "acquisition", NameOf(aOwnership.mAcquisition) } });
  }
}

/// Obtains the keys that the previous owner held in @p aEpoch: from that owner
/// or, if it has left already, from a complete copy in this process or at a
/// peer.
/// @return whether they were found
bool
IdempotencyKeyStore::FetchKeys(std::uint32_t aNumber,
                               Shard& aShard,
                               std::uint64_t aEpoch)
{
  return FetchFromPeers(aNumber, aShard, aEpoch, "owner") ||
         (aEpoch != 0 && aShard.mCopyEpoch == aEpoch) ||
         FetchFromPeers(aNumber, aShard, aEpoch, "copy");
}

/// Asks the peers one after the other for the keys of a shard and epoch.
/// @param aHolder "owner" to ask for the keys of an owner, "copy" to ask for a
///                copy of them
/// @return whether a peer had them; they are in the shard's memory then
bool
IdempotencyKeyStore::FetchFromPeers(std::uint32_t aNumber,
                                    Shard& aShard,
                                    std::uint64_t aEpoch,
                                    const char* aHolder)
{
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = aNumber;
  parameters["epoch"] = Json::UInt64(aEpoch);
  parameters["holder"] = aHolder;
  for (const Member& peer : mPorts.mMembers()) {
    if (peer.mName == mSettings.mSelf.mName) {
      continue;
    }
    const auto answer = CallRpc(mClient,
                                peer.mAddress,
                                "gateway.key_fetch",
                                parameters,
                                mSettings.mPeerTimeout);
    if (Succeeded(answer) && ValueOf(answer).isMember("entries")) {
      ApplyKeyMemory(aShard.mMemory, ValueOf(answer), Now());
      return true;
    }
  }
  return false;
}

/// @return the member that must hold a copy of each key, if there is one: the
///         named successor. A process that leaves names no successor any more;
///         the member that holds the latest complete copy remains the copy
///         holder then, because the new owners of the shards rely on it.
std::optional<Member>
IdempotencyKeyStore::CopyHolder(const Shard& aShard) const
{
  auto successor = mPorts.mSuccessor();
  if (successor || !aShard.mSyncedHolder) {
    return successor;
  }
  for (const Member& member : mPorts.mMembers()) {
    if (member.mIncarnation == aShard.mSyncedHolder->mIncarnation) {
      return member;
    }
  }
  return std::nullopt;
}

/// Sends a complete copy of a shard to the copy holder unless it has one. The
/// shard's mutex is held during the call, so that no key starts between the
/// making of the copy and the setting of mSyncedHolder.
/// @return whether the holder has a complete copy; true if there is no holder
bool
IdempotencyKeyStore::EnsureSynced(std::uint32_t aNumber, Shard& aShard)
{
  const auto holder = CopyHolder(aShard);
  if (!holder) {
    aShard.mSyncedHolder.reset();
    return true;
  }
  if (aShard.mSyncedHolder &&
      aShard.mSyncedHolder->mIncarnation == holder->mIncarnation) {
    return true;
  }
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = aNumber;
  parameters["epoch"] = Json::UInt64(aShard.mEpoch);
  EncodeKeyMemory(aShard.mMemory, Now(), parameters);
  if (!Call(holder->mAddress, "gateway.key_sync", parameters)) {
    return false;
  }
  aShard.mSyncedHolder = holder;
  return true;
}

/// Sends a started key to the copy holder before its request is sent to a
/// runner. The shard's mutex, which @p aLock holds, may be released during the
/// call.
/// @return whether the holder has the key; true if there is no holder
bool
IdempotencyKeyStore::CopyStartedKey(const std::string& aKey,
                                    Shard& aShard,
                                    Lock& aLock)
{
  const std::uint32_t number = KeyShardOf(aKey);
  const auto holder = CopyHolder(aShard);
  if (!holder) {
    // Without a copy, a process that takes the shard over treats every key
    // that has no entry as unknown, so the key can't run twice.
    return true;
  }
  if (!aShard.mSyncedHolder ||
      aShard.mSyncedHolder->mIncarnation != holder->mIncarnation) {
    return EnsureSynced(number, aShard); // The copy includes this key.
  }
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = number;
  parameters["epoch"] = Json::UInt64(aShard.mEpoch);
  parameters["entry"] =
    EncodeKeyEntry(aKey, aShard.mMemory.mEntries.find(aKey)->second, Now());
  aLock.unlock();
  const bool copied = Call(holder->mAddress, "gateway.key_started", parameters);
  aLock.lock();
  if (copied) {
    return true;
  }
  // The holder may have lost its copy. A new complete copy includes this key.
  aShard.mSyncedHolder.reset();
  return EnsureSynced(number, aShard);
}

/// Sends the end of a key's request to the copy holder, and then counts the
/// request as no longer running.
void
IdempotencyKeyStore::CopyFinishedKey(const std::string& aKey, Shard& aShard)
{
  Json::Value parameters(Json::objectValue);
  std::optional<Member> holder;
  {
    Lock lock(aShard.mMutex);
    holder = CopyHolder(aShard);
    const auto entry = aShard.mMemory.mEntries.find(aKey);
    parameters["shard"] = KeyShardOf(aKey);
    parameters["epoch"] = Json::UInt64(aShard.mEpoch);
    if (entry != aShard.mMemory.mEntries.end()) {
      parameters["entry"] = EncodeKeyEntry(aKey, entry->second, Now());
    } else {
      parameters["forget"] = ToBase64(aKey);
    }
  }
  const bool copied =
    !holder || Call(holder->mAddress, "gateway.key_finished", parameters);
  Lock lock(aShard.mMutex);
  --aShard.mRunning;
  if (!copied) {
    aShard.mSyncedHolder.reset(); // Maintain() sends a new complete copy.
  }
}

/// Calls an RPC method of a peer, and counts and logs a failure.
/// @return whether the call succeeded
bool
IdempotencyKeyStore::Call(const Endpoint& aPeer,
                          const char* aMethod,
                          const Json::Value& aParameters)
{
  // A call that is delivered twice does no harm: it sets the same entry again.
  const auto answer =
    CallRpc(mClient, aPeer, aMethod, aParameters, mSettings.mPeerTimeout);
  if (!Succeeded(answer)) {
    mMetrics.Count("key_copy_failed");
    LogEvent(LogLevel::Debug,
             "key_copy_failed",
             { { "error", ErrorOf(answer).mMessage } });
  }
  return Succeeded(answer);
}

RpcMethods
IdempotencyKeyStore::Methods()
{
  return {
    { "gateway.key_started",
      [this](const Json::Value& aIn) { return HandleStarted(aIn); } },
    { "gateway.key_finished",
      [this](const Json::Value& aIn) { return HandleFinished(aIn); } },
    { "gateway.key_sync",
      [this](const Json::Value& aIn) { return HandleSync(aIn); } },
    { "gateway.key_fetch",
      [this](const Json::Value& aIn) { return HandleFetch(aIn); } },
  };
}

/// Answers the RPC method gateway.key_started: adds a started key to the copy.
Outcome<Json::Value>
IdempotencyKeyStore::HandleStarted(const Json::Value& aParameters)
{
  const auto number = NumberOf(aParameters);
  if (!number) {
    return NoSuchShard();
  }
  Shard& shard = mShards[*number];
  Lock lock(shard.mMutex);
  const std::uint64_t epoch = aParameters["epoch"].asUInt64();
  if (shard.mCopyEpoch != epoch || shard.mEpoch > epoch) {
    // This process has no complete copy of that epoch, or owns the shard by
    // now, so it must not confirm the key.
    return Error{ ErrorKind::Conflict, "no complete copy of this epoch here" };
  }
  ApplyKeyEntry(shard.mMemory, aParameters["entry"], Now());
  return Json::Value(Json::objectValue);
}

/// Answers the RPC method gateway.key_finished: updates the copy of a key whose
/// request has ended, or removes it if the request did not run.
Outcome<Json::Value>
IdempotencyKeyStore::HandleFinished(const Json::Value& aParameters)
{
  const auto number = NumberOf(aParameters);
  if (!number) {
    return NoSuchShard();
  }
  Shard& shard = mShards[*number];
  Lock lock(shard.mMutex);
  if (shard.mCopyEpoch != aParameters["epoch"].asUInt64()) {
    return Error{ ErrorKind::Conflict, "no complete copy of this epoch here" };
  }
  if (aParameters.isMember("forget")) {
    ForgetKey(shard.mMemory, FromBase64(aParameters["forget"].asString()));
  } else {
    ApplyKeyEntry(shard.mMemory, aParameters["entry"], Now());
  }
  shard.mChanged.notify_all();
  return Json::Value(Json::objectValue);
}

/// Answers the RPC method gateway.key_sync: replaces the copy of a shard by a
/// complete one.
Outcome<Json::Value>
IdempotencyKeyStore::HandleSync(const Json::Value& aParameters)
{
  const auto number = NumberOf(aParameters);
  if (!number) {
    return NoSuchShard();
  }
  Shard& shard = mShards[*number];
  Lock lock(shard.mMutex);
  const std::uint64_t epoch = aParameters["epoch"].asUInt64();
  if (epoch <= shard.mEpoch) {
    return Error{ ErrorKind::Conflict, "this process has a newer epoch" };
  }
  KeyMemory memory;
  memory.mSettings = shard.mMemory.mSettings;
  ApplyKeyMemory(memory, aParameters, Now());
  shard.mMemory = std::move(memory);
  shard.mCopyEpoch = epoch;
  shard.mHandedOverUnadopted = false;
  return Json::Value(Json::objectValue);
}

/// Answers the RPC method gateway.key_fetch: returns the keys of a shard if
/// this process holds those of the epoch asked for, as owner or as a copy. The
/// answer has no member "entries" if it does not.
Outcome<Json::Value>
IdempotencyKeyStore::HandleFetch(const Json::Value& aParameters)
{
  const auto number = NumberOf(aParameters);
  if (!number) {
    return NoSuchShard();
  }
  Shard& shard = mShards[*number];
  Lock lock(shard.mMutex);
  Json::Value answer(Json::objectValue);
  const bool asOwner = aParameters["holder"].asString() == "owner";
  const std::uint64_t epoch = aParameters["epoch"].asUInt64();
  const bool unadopted = asOwner && shard.mHandedOverUnadopted &&
                         epoch == shard.mCopyEpoch + 1 && shard.mEpoch < epoch;
  if (epoch != 0 &&
      (unadopted || epoch == (asOwner ? shard.mEpoch : shard.mCopyEpoch))) {
    EncodeKeyMemory(shard.mMemory, Now(), answer);
  }
  return answer;
}

} // namespace paddle
