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

Error
NoSuchShard()
{
  return Error{ ErrorKind::InvalidInput, "key shard does not exist" };
}

} // namespace

KeyBook::KeyBook(const GatewaySettings& aSettings,
                 const GatewayPorts& aPorts,
                 HttpClient& aClient)
  : mSettings(aSettings)
  , mPorts(aPorts)
  , mClient(aClient)
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
      Lock lock(mShards[number].mMutex);
      return mShards[number].mRunning == 0;
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
  if (aShard.mEpoch != 0 && aShard.mEpoch + 1 == aOwnership.mEpoch) {
    // A session of this process ended and its next one took the shard: nobody
    // else has owned it since, so the memory is as complete as it was.
    aShard.mEpoch = aOwnership.mEpoch;
    return;
  }
  KeyCopies copies = KeyCopies::Missing;
  if (aOwnership.mAcquisition == Acquisition::HandOver) {
    if (FetchFromPredecessor(aNumber, aShard, aOwnership.mEpoch)) {
      copies = KeyCopies::Synced;
    }
  } else if (aShard.mCopyEpoch != 0 &&
             aShard.mCopyEpoch + 1 == aOwnership.mEpoch) {
    copies = KeyCopies::Synced;
  }
  AdoptKeys(aShard.mMemory, aOwnership.mAcquisition, copies, Now());
  aShard.mEpoch = aOwnership.mEpoch;
  aShard.mSyncedTo.clear();
  if (aShard.mMemory.mCompleteness == KeyCompleteness::Incomplete) {
    LogEvent(LogLevel::Warning,
             "key_memory_incomplete",
             { { "shard", aNumber }, { "epoch", aOwnership.mEpoch } });
  }
}

/// Asks the live gateways for the memory of the owner before this one.
/// @return whether that owner answered
bool
KeyBook::FetchFromPredecessor(std::uint32_t aNumber,
                              Shard& aShard,
                              std::uint64_t aEpoch)
{
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = aNumber;
  parameters["epoch"] = Json::UInt64(aEpoch - 1);
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

/// Gives the successor a complete copy unless it has one. The shard's lock is
/// held during the call, so that no key starts between the copy and its mark.
/// @return whether the successor, if there is one, has a complete copy
bool
KeyBook::EnsureSynced(std::uint32_t aNumber, Shard& aShard)
{
  const auto successor = mPorts.mSuccessor();
  if (!successor) {
    aShard.mSyncedTo.clear();
    return true;
  }
  if (aShard.mSyncedTo == successor->mIncarnation &&
      aShard.mSyncedEpoch == aShard.mEpoch) {
    return true;
  }
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = aNumber;
  parameters["epoch"] = Json::UInt64(aShard.mEpoch);
  EncodeKeyMemory(aShard.mMemory, Now(), parameters);
  if (!Call(successor->mAddress, "gateway.key_sync", parameters)) {
    return false;
  }
  aShard.mSyncedTo = successor->mIncarnation;
  aShard.mSyncedEpoch = aShard.mEpoch;
  return true;
}

/// Sends a started key to the successor before the request goes out.
/// @return whether the successor, if there is one, has the key
bool
KeyBook::CopyStarted(const std::string& aKey, Shard& aShard, Lock& aLock)
{
  const std::uint32_t number = KeyShardOf(aKey);
  const auto successor = mPorts.mSuccessor();
  if (!successor) {
    // A takeover can then come only from a process that treats all keys
    // without an entry as unknown.
    return true;
  }
  if (aShard.mSyncedTo != successor->mIncarnation ||
      aShard.mSyncedEpoch != aShard.mEpoch) {
    return EnsureSynced(number, aShard); // Includes this key.
  }
  Json::Value parameters(Json::objectValue);
  parameters["shard"] = number;
  parameters["epoch"] = Json::UInt64(aShard.mEpoch);
  parameters["entry"] =
    EncodeKeyEntry(aKey, aShard.mMemory.mEntries.find(aKey)->second, Now());
  aLock.unlock();
  const bool copied =
    Call(successor->mAddress, "gateway.key_started", parameters);
  aLock.lock();
  if (!copied) {
    aShard.mSyncedTo.clear();
  }
  return copied;
}

/// Sends the end of a key to the successor and counts the request as ended.
void
KeyBook::CopyEnd(const std::string& aKey, Shard& aShard)
{
  const auto successor = mPorts.mSuccessor();
  Json::Value parameters(Json::objectValue);
  {
    Lock lock(aShard.mMutex);
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
    !successor || Call(successor->mAddress, "gateway.key_finished", parameters);
  Lock lock(aShard.mMutex);
  --aShard.mRunning;
  if (!copied) {
    aShard.mSyncedTo.clear(); // Tend() sends a complete copy.
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
    LogEvent(LogLevel::Warning,
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
  if (shard.mEpoch != 0 && shard.mEpoch == aParameters["epoch"].asUInt64()) {
    EncodeKeyMemory(shard.mMemory, Now(), answer);
  }
  return answer;
}

} // namespace paddle
