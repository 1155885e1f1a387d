#include <LibGateway/KeyBook.h>

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

/// @return the shard number of a call's parameters, if it is valid
std::optional<std::uint32_t>
NumberOf(const Json::Value& aParameters)
{
  const std::uint32_t number = aParameters["shard"].asUInt();
  if (number >= kKeyShards) {
    return std::nullopt;
  }
  return number;
}

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

KeyBook::KeyBook(const GatewaySettings& aSettings,
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

KeyBook::Shard&
KeyBook::ShardOf(const std::string& aKey)
{
  return mShards[KeyShardOf(aKey)];
}

KeyAnswer
KeyBook::Begin(const std::string& aKey, MonotonicTime aDeadline)
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
    KeyAnswer answer{ decision, nullptr, false, false };
    if (decision == KeyDecision::Replay) {
      answer.mStored = shard.mMemory.mEntries.find(aKey)->second.mAnswer;
    }
    if (decision == KeyDecision::Run) {
      ++shard.mRunning;
      if (!CopyStarted(aKey, shard, lock)) {
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
KeyBook::Finish(const std::string& aKey, std::string aAnswer)
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
  CopyEnd(aKey, shard);
}

void
KeyBook::EndUnknown(const std::string& aKey)
{
  Shard& shard = ShardOf(aKey);
  {
    Lock lock(shard.mMutex);
    MarkKeyUnknown(shard.mMemory, aKey, Now());
    shard.mChanged.notify_all();
  }
  CopyEnd(aKey, shard);
}

void
KeyBook::EndNotRun(const std::string& aKey)
{
  Shard& shard = ShardOf(aKey);
  {
    Lock lock(shard.mMutex);
    ForgetKey(shard.mMemory, aKey);
    shard.mChanged.notify_all();
  }
  CopyEnd(aKey, shard);
}

void
KeyBook::Tend()
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
KeyBook::Quiescent(std::string_view aShard)
{
  for (std::uint32_t number = 0; number < kKeyShards; ++number) {
    if (KeyShardId(number) == aShard) {
      Shard& shard = mShards[number];
      Lock lock(shard.mMutex);
      // A successor may have to pass a shard on at once.
      shard.mGivenUnadopted = shard.mEpoch <= shard.mCopyEpoch;
      return shard.mRunning == 0;
    }
  }
  return true;
}

/// Applies what this process may assume as the new owner of a shard.
void
KeyBook::Adopt(std::uint32_t aNumber,
               Shard& aShard,
               const Ownership& aOwnership)
{
  if (aShard.mEpoch == aOwnership.mEpoch) {
    return;
  }
  aShard.mGivenUnadopted = false;
  if (aShard.mEpoch != 0 && aShard.mEpoch + 1 == aOwnership.mEpoch) {
    // A session of this process ended and its next one took the shard: nobody
    // else has owned it since, so the memory is as complete as it was.
    aShard.mEpoch = aOwnership.mEpoch;
    aShard.mSyncedTo.reset();
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
  aShard.mSyncedTo.reset();
  if (aShard.mMemory.mCompleteness == KeyCompleteness::Incomplete) {
    LogEvent(LogLevel::Warning,
             "key_memory_incomplete",
             { { "shard", aNumber },
               { "epoch", aOwnership.mEpoch },
               { "copy_epoch", aShard.mCopyEpoch },
               { "acquisition", NameOf(aOwnership.mAcquisition) } });
  }
}

/// Finds the memory that the owner before this one had at @p aEpoch: with
/// that owner, or, if it has left already, in a complete copy.
/// @return whether it was found
bool
KeyBook::FetchKeys(std::uint32_t aNumber, Shard& aShard, std::uint64_t aEpoch)
{
  return FetchFromPeers(aNumber, aShard, aEpoch, "owner") ||
         (aEpoch != 0 && aShard.mCopyEpoch == aEpoch) ||
         FetchFromPeers(aNumber, aShard, aEpoch, "copy");
}

bool
KeyBook::FetchFromPeers(std::uint32_t aNumber,
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

/// @return who must have a copy of each key: the named successor, or the one
///         before it. A process that leaves names no successor, but the new
///         owners of its shards rely on the copy until then.
std::optional<Member>
KeyBook::CopyHolder(const Shard& aShard) const
{
  auto successor = mPorts.mSuccessor();
  if (successor || !aShard.mSyncedTo) {
    return successor;
  }
  for (const Member& member : mPorts.mMembers()) {
    if (member.mIncarnation == aShard.mSyncedTo->mIncarnation) {
      return member;
    }
  }
  return std::nullopt;
}

/// Gives the copy holder a complete copy unless it has one. The shard's lock
/// is held during the call, so that no key starts between the copy and its
/// mark.
/// @return whether the holder, if there is one, has a complete copy
bool
KeyBook::EnsureSynced(std::uint32_t aNumber, Shard& aShard)
{
  const auto holder = CopyHolder(aShard);
  if (!holder) {
    aShard.mSyncedTo.reset();
    return true;
  }
  if (aShard.mSyncedTo &&
      aShard.mSyncedTo->mIncarnation == holder->mIncarnation) {
    return true;
  }
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = aNumber;
  parameters["epoch"] = Json::UInt64(aShard.mEpoch);
  EncodeKeyMemory(aShard.mMemory, Now(), parameters);
  if (!Call(holder->mAddress, "gateway.key_sync", parameters)) {
    return false;
  }
  aShard.mSyncedTo = holder;
  return true;
}

/// Sends a started key to the copy holder before the request goes out.
/// @return whether the holder, if there is one, has the key
bool
KeyBook::CopyStarted(const std::string& aKey, Shard& aShard, Lock& aLock)
{
  const std::uint32_t number = KeyShardOf(aKey);
  const auto holder = CopyHolder(aShard);
  if (!holder) {
    // A takeover can then come only from a process that treats all keys
    // without an entry as unknown.
    return true;
  }
  if (!aShard.mSyncedTo ||
      aShard.mSyncedTo->mIncarnation != holder->mIncarnation) {
    return EnsureSynced(number, aShard); // Includes this key.
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
  // The holder may have lost its copy; a complete one includes this key.
  aShard.mSyncedTo.reset();
  return EnsureSynced(number, aShard);
}

/// Sends the end of a key to the copy holder and counts the request as ended.
void
KeyBook::CopyEnd(const std::string& aKey, Shard& aShard)
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
    aShard.mSyncedTo.reset(); // Tend() sends a complete copy.
  }
}

bool
KeyBook::Call(const Endpoint& aPeer,
              const char* aMethod,
              const Json::Value& aParameters)
{
  // A second delivery does no harm: it sets the same entry again.
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
KeyBook::Methods()
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

Outcome<Json::Value>
KeyBook::HandleStarted(const Json::Value& aParameters)
{
  const auto number = NumberOf(aParameters);
  if (!number) {
    return NoSuchShard();
  }
  Shard& shard = mShards[*number];
  Lock lock(shard.mMutex);
  const std::uint64_t epoch = aParameters["epoch"].asUInt64();
  if (shard.mCopyEpoch != epoch || shard.mEpoch > epoch) {
    // Not confirmed: this process has no complete copy of that epoch, or is
    // the owner by now.
    return Error{ ErrorKind::Conflict, "no complete copy of this epoch here" };
  }
  ApplyKeyEntry(shard.mMemory, aParameters["entry"], Now());
  return Json::Value(Json::objectValue);
}

Outcome<Json::Value>
KeyBook::HandleFinished(const Json::Value& aParameters)
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

Outcome<Json::Value>
KeyBook::HandleSync(const Json::Value& aParameters)
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
  shard.mGivenUnadopted = false;
  return Json::Value(Json::objectValue);
}

Outcome<Json::Value>
KeyBook::HandleFetch(const Json::Value& aParameters)
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
  const bool unadopted = asOwner && shard.mGivenUnadopted &&
                         epoch == shard.mCopyEpoch + 1 && shard.mEpoch < epoch;
  if (epoch != 0 &&
      (unadopted || epoch == (asOwner ? shard.mEpoch : shard.mCopyEpoch))) {
    EncodeKeyMemory(shard.mMemory, Now(), answer);
  }
  return answer;
}

} // namespace paddle
