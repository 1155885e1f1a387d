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

/// One running process of this project, as its session row describes it.
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

/// How the current owner acquired its shard. This determines what the owner may
/// assume about work and data of the previous owner.
enum class Acquisition
{
  FirstOwner, ///< The shard never had an owner, so no work can be left.
  HandOver,   ///< The previous owner stopped its work, then gave it away.
  Successor,  ///< Taken by the previous owner's named successor.
  Takeover    ///< Taken by another process; the successor's copies are lost.
};

/// A shard that this process owns now.
struct Ownership
{
  std::uint64_t mEpoch = 0;
  Acquisition mAcquisition = Acquisition::FirstOwner;
  MonotonicTime mSince; ///< When this process became the owner.
};

/// Time settings of a lease.
struct LeaseSettings
{
  Millis mTerm{ 3000 };
  Millis mRenewInterval{ 1000 };
  /// How long processes other than the successor wait before a takeover.
  Millis mForeignTakeoverWait{ 660000 };
};

/// Asks another process for the promise not to end this process's session for a
/// term; calls the RPC method lease.promise.
using PromiseCaller =
  std::function<Outcome<Json::Value>(const Endpoint& aPeer,
                                     const Json::Value& aParameters,
                                     Millis aTimeout)>;

/// Keeps the session of this process in the table service and the shards that
/// it owns. It runs one thread. All functions may be called from several
/// threads.
class LeaseKeeper
{
public:
  /// Starts the thread, which creates the session. While the table service
  /// can't be reached, the process gets no session and Owns() returns nothing.
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

  /// @return the ownership if the lease is valid now, by the monotonic clock at
  ///         the time of the call; else nothing
  [[nodiscard]] std::optional<Ownership> Owns(std::string_view aShard) const;

  /// @return the owner as of the latest read of the table, live or not; nothing
  ///         if the shard never had one
  [[nodiscard]] std::optional<Member> OwnerOf(std::string_view aShard) const;

  /// @return the named successor of this process, if there is one
  [[nodiscard]] std::optional<Member> SuccessorOfSelf() const;

  /// @return the live members of a role as of the latest read of the table,
  ///         including this process
  [[nodiscard]] std::vector<Member> Members(std::string_view aRole) const;

  /// @return whether the lease of the session is valid now
  [[nodiscard]] bool SessionValid() const;

  /// Implements the RPC method lease.promise.
  Outcome<Json::Value> HandlePromise(const Json::Value& aParameters);

  /// Sets the function that is called before a hand-over and returns whether
  /// the shard is quiescent (no work is in flight). Until it returns true,
  /// Owns() returns nothing for the shard, so that no new work begins, and the
  /// function is called again.
  void SetQuiescent(std::function<bool(std::string_view aShard)> aQuiescent);

  /// Hands over all shards and ends the session, for an orderly stop.
  /// @return whether everything was handed over within @p aLimit
  bool Leave(Millis aLimit);

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle
