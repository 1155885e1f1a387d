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

/// What happens to a keyed request at the owner of its key.
struct KeyAnswer
{
  KeyDecision mDecision = KeyDecision::Unknown;
  std::shared_ptr<const std::string> mStored; ///< With Replay.
  bool mCopyFailed = false; ///< The successor did not confirm; not run.
  bool mOwnerMoved = false; ///< This process does not own the key; not run.
};

/// The memory of idempotency keys: this process's own shards, and copies for
/// the owners that named it as their successor. Each shard has a lock, which
/// HTTP threads hold briefly; a request with a key that is running waits.
class KeyBook
{
public:
  KeyBook(const GatewaySettings& aSettings,
          const GatewayPorts& aPorts,
          HttpClient& aClient,
          Metrics& aMetrics);
  KeyBook(const KeyBook&) = delete;
  KeyBook& operator=(const KeyBook&) = delete;

  /// Admits a request with a key; waits until @p aDeadline while another one
  /// with the same key is running. On Run the successor holds a copy.
  KeyAnswer Begin(const std::string& aKey, MonotonicTime aDeadline);

  /// Stores the answer of a key's request, here and at the successor.
  void Finish(const std::string& aKey, std::string aAnswer);

  /// The request may have run.
  void EndUnknown(const std::string& aKey);

  /// The request surely has not run.
  void EndNotRun(const std::string& aKey);

  /// Takes over newly owned shards and renews copies that are not complete.
  /// Called regularly by the peer thread.
  void Tend();

  /// @return whether no keyed request of the shard is running here
  [[nodiscard]] bool Quiescent(std::string_view aShard);

  /// The RPC methods that peers call.
  [[nodiscard]] RpcMethods Methods();

private:
  struct Shard
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    KeyMemory mMemory;
    std::uint64_t mEpoch = 0;   ///< Last adopted; 0 before the first.
    std::uint32_t mRunning = 0; ///< Keyed requests of this process.
    /// Holds a complete copy of this owner's epoch; nobody after a failure.
    std::optional<Member> mSyncedTo;
    /// This process gave the shard away before it had adopted it, so no key
    /// was started in its epoch.
    bool mGivenUnadopted = false;
    /// Epoch of the owner whose complete copy is here; 0 for none.
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
  bool CopyStarted(const std::string& aKey, Shard& aShard, Lock& aLock);
  void CopyEnd(const std::string& aKey, Shard& aShard);
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
