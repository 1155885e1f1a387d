#pragma once

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibHttp/HttpMessage.h>
#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// One running process of ours, as its session row describes it.
struct Member
{
  std::string mName;        ///< Unique among live processes.
  std::string mIncarnation; ///< Differs each time a process starts.
  std::string mRole;        ///< "gateway" or "scheduler".
  std::string mDataCentre;
  std::string mRegion;
  Endpoint mAddress;
};

/// A shard that must have an owner among the members of a role.
struct ShardSpec
{
  std::string mId; ///< For instance "runner/press-desk/dc-1/0".
  std::string mDataCentre;
  std::string mRegion;
};

/// How the present owner got its shard; decides what it may assume.
enum class Acquisition
{
  FirstOwner, ///< The shard never had an owner: nothing can be left over.
  HandOver,   ///< The predecessor stopped its work on the shard and gave it.
  Successor,  ///< Taken as the predecessor's named successor.
  Takeover    ///< Taken by anyone else: copies at the successor are lost.
};

/// A shard that this process owns now.
struct Ownership
{
  std::uint64_t mEpoch = 0;
  Acquisition mAcquisition = Acquisition::FirstOwner;
  MonotonicTime mSince; ///< When this process became the owner.
};

struct LeaseSettings
{
  Millis mTerm{ 3000 };
  Millis mRenewInterval{ 1000 };
  /// How long anyone but the successor waits before a takeover.
  Millis mForeignTakeoverWait{ 660000 };
};

/// Asks another process for a promise; calls the RPC method lease.promise.
using PromiseCaller =
  std::function<Outcome<Json::Value>(const Endpoint& aPeer,
                                     const Json::Value& aParameters,
                                     Millis aTimeout)>;

/// Keeps this process's session and the shards it owns; runs one thread.
/// All functions may be called from several threads.
class LeaseKeeper
{
public:
  /// Starts the session. While the table service can't be reached, the
  /// process has no session and Owns() answers nothing.
  LeaseKeeper(LeaseSettings aSettings,
              Member aSelf,
              TablePort aTable,
              PromiseCaller aPromise);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Replaces the list of shards that must have an owner among the members of
  /// this role. Called again whenever the list changes.
  void SetShards(std::vector<ShardSpec> aShards);

  /// @return the ownership if the lease holds at this moment, checked against
  ///         the monotonic clock at each call
  [[nodiscard]] std::optional<Ownership> Owns(std::string_view aShard) const;

  /// @return the owner by the latest table read, live or not; nothing if the
  ///         shard never had one
  [[nodiscard]] std::optional<Member> OwnerOf(std::string_view aShard) const;

  /// @return this process's named successor, if there is one
  [[nodiscard]] std::optional<Member> SuccessorOfSelf() const;

  /// @return the live members of a role by the latest table read, including
  ///         this process
  [[nodiscard]] std::vector<Member> Members(std::string_view aRole) const;

  /// @return whether the session's lease holds at this moment
  [[nodiscard]] bool SessionValid() const;

  /// Answers the RPC method lease.promise.
  Outcome<Json::Value> HandlePromise(const Json::Value& aParameters);

  /// Asked before a hand-over: returns whether the shard is quiescent (no
  /// work in flight); until then the keeper refuses Owns() for new work and
  /// asks again.
  void SetQuiescent(std::function<bool(std::string_view aShard)> aQuiescent);

  /// Hands over all shards and ends the session, for an orderly stop.
  /// @return whether everything was handed over within @p aLimit
  bool Leave(Millis aLimit);

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle
