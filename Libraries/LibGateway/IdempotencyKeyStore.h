#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include <LibBase/Metrics.h>
#include <LibGateway/GatewayPorts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibHttp/HttpClient.h>
#include <LibRouting/KeyMemory.h>
#include <LibRpc/RpcServer.h>

namespace paddle {

/// Tells what to do with a request that carries an idempotency key, as
/// decided by the owner of the key's shard.
struct KeyAdmission
{
  KeyDecision mDecision = KeyDecision::Unknown;
  /// The encoded reply of the earlier request; only for KeyDecision::Replay.
  std::shared_ptr<const std::string> mStoredReply;
  /// The successor did not confirm its copy of the key, so the request must
  /// not be run.
  bool mCopyFailed = false;
  /// This process does not own the key's shard, so the request must not be run
  /// here.
  bool mNotOwner = false;
};

/// Stores idempotency keys and the replies to their requests: for the key
/// shards that this process owns, and copies for the owners that named it as
/// their successor. Each shard has a mutex, which HTTP threads normally hold
/// only briefly. A request waits without the mutex while another request with
/// the same key is running.
class IdempotencyKeyStore
{
public:
  IdempotencyKeyStore(const GatewaySettings& aSettings,
                      const GatewayPorts& aPorts,
                      HttpClient& aClient,
                      Metrics& aMetrics);
  IdempotencyKeyStore(const IdempotencyKeyStore&) = delete;
  IdempotencyKeyStore& operator=(const IdempotencyKeyStore&) = delete;

  /// Decides about a request with a key. While another request with the same
  /// key is running, the call waits for it, at most until @p aDeadline.
  /// @return the decision. With KeyDecision::Run and without mCopyFailed, the
  ///         successor, if there is one, has a copy of the key, and the caller
  ///         must report the end by Finish(), EndUnknown() or EndNotRun().
  KeyAdmission Begin(const std::string& aKey, MonotonicTime aDeadline);

  /// Stores the answer to a key's request in this process and at the
  /// successor.
  /// @param aAnswer the encoded reply
  void Finish(const std::string& aKey, std::string aAnswer);

  /// Records that a key's request may have run. A repeat of it is not run while
  /// the key is remembered.
  void EndUnknown(const std::string& aKey);

  /// Forgets a key whose request certainly did not run, so that a repeat of it
  /// may run.
  void EndNotRun(const std::string& aKey);

  /// Prepares shards that this process has newly acquired, and sends complete
  /// copies to successors that have none. PeerExchange calls it at regular
  /// intervals.
  void Maintain();

  /// Called before a hand-over of the shard.
  /// @return whether no request with a key of the shard is running in this
  ///         process
  [[nodiscard]] bool Quiescent(std::string_view aShard);

  /// @return the RPC methods that peers call
  [[nodiscard]] RpcMethods Methods();

private:
  /// The state of one key shard in this process.
  struct Shard
  {
    std::mutex mMutex;
    std::condition_variable mChanged; ///< It is notified when a request ends.
    /// The keys of a shard that this process owns, or the copy of an owner's
    /// keys.
    KeyMemory mMemory;
    /// The epoch of the ownership for which Adopt() last prepared this shard; 0
    /// before the first.
    std::uint64_t mEpoch = 0;
    /// The number of requests with keys of this shard that run in this process.
    std::uint32_t mRunning = 0;
    /// The member that holds a complete copy of the keys of mEpoch; empty if
    /// there is none or a call to it has failed.
    std::optional<Member> mSyncedHolder;
    /// This process, as the successor, may hand the shard over before it has
    /// adopted it. No key was started in its own epoch then, so its copy of
    /// the previous epoch is still complete.
    bool mHandedOverUnadopted = false;
    /// The epoch of the owner whose keys this process holds as a complete copy;
    /// 0 if it holds none.
    std::uint64_t mCopyEpoch = 0;
  };

  using Lock = std::unique_lock<std::mutex>;

  Shard& ShardOf(const std::string& aKey);
  void Adopt(std::uint32_t aNumber, Shard& aShard, const Ownership& aOwnership);
  bool FetchKeys(std::uint32_t aNumber, Shard& aShard, std::uint64_t aEpoch);
  bool FetchFromPeers(std::uint32_t aNumber,
                      Shard& aShard,
                      std::uint64_t aEpoch,
                      const char* aHolder);
  std::optional<Member> CopyHolder(const Shard& aShard) const;
  bool EnsureSynced(std::uint32_t aNumber, Shard& aShard);
  bool CopyStartedKey(const std::string& aKey, Shard& aShard, Lock& aLock);
  void CopyFinishedKey(const std::string& aKey, Shard& aShard);
  bool Call(const Endpoint& aPeer,
            const char* aMethod,
            const Json::Value& aParameters);

  Outcome<Json::Value> HandleStarted(const Json::Value& aParameters);
  Outcome<Json::Value> HandleFinished(const Json::Value& aParameters);
  Outcome<Json::Value> HandleSync(const Json::Value& aParameters);
  Outcome<Json::Value> HandleFetch(const Json::Value& aParameters);

  const GatewaySettings& mSettings;
  const GatewayPorts& mPorts;
  HttpClient& mClient;
  Metrics& mMetrics;
  std::array<Shard, kKeyShards> mShards;
};

} // namespace paddle
