#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Dice.h"
#include "Http.h"
#include "Record.h"

namespace paddle::soak {

/// What happens to calls of the store.
enum class StoreTrouble
{
  None,
  Silent,      ///< They get no answer and are not carried out.
  Unavailable, ///< They get 503 and are not carried out.
  LosesWrites, ///< Half of the answers to transactions are lost.
  Slow         ///< They take 0.1 s to 0.9 s longer.
};

const char*
TextOf(StoreTrouble aTrouble);

/// Stands before the store: it passes the nodes' calls on, brings trouble over
/// them, and reads from them which node owns a shard.
class StoreGate
{
public:
  StoreGate(std::uint16_t aStorePort, Record& aRecord, Dice& aDice);

  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }
  void SetTrouble(StoreTrouble aTrouble);
  void ResetConnections();
  /// @return the names of the nodes that have owned a shard with this token
  [[nodiscard]] std::set<std::string> OwnersWith(std::int64_t aToken);
  /// @return the name of an owner with the highest token, empty if there is
  /// none
  [[nodiscard]] std::string NewestOwner();

private:
  review::Response Handle(const review::Request& aRequest);
  void ReadOwners(const std::string& aTransaction);
  [[nodiscard]] StoreTrouble Trouble();

  const std::uint16_t mStorePort;
  Record& mRecord;
  Dice& mDice;
  std::mutex mMutex; ///< Protects the members below.
  StoreTrouble mTrouble = StoreTrouble::None;
  std::uint64_t mLastConnection = 0;
  std::uint64_t mResetUpTo = 0; ///< These connections are reset.
  std::map<std::int64_t, std::set<std::string>> mOwners; ///< By token.
  review::Server mServer;
};

} // namespace paddle::soak
