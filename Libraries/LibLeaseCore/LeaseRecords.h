#pragma once

#include <cstdint>
#include <string>

#include <LibTime/Time.h>

namespace paddle {

/// One process, as its session row describes it.
struct LeaseMember
{
  std::string mName;
  std::string mIncarnation; ///< Differs for each start of a process.
  std::string mRole;
  std::string mDataCentre;
  std::string mRegion;
  std::string mAddress; ///< "ADDRESS:PORT"; opaque to the decisions.
  /// Counts the sessions of one process. A session that was ended stays ended,
  /// although its process may start another.
  std::uint64_t mGeneration = 1;

  bool operator==(const LeaseMember&) const = default;
};

/// Value of a session row. It carries the holder's times, so that all
/// processes judge it alike while settings change.
struct SessionRecord
{
  LeaseMember mMember;
  std::uint64_t mRenewals = 0;
  /// The only member that may end the session after a term; empty if none.
  std::string mSuccessor;
  std::string mSuccessorIncarnation;
  Millis mTerm{ 0 };
  Millis mForeignTakeoverWait{ 0 };
  bool mLeaving = false; ///< Gets no further shards.
};

/// How the owner of a shard got it; LibLease has the same list.
enum class ShardAcquisition
{
  FirstOwner,
  HandOver,
  Successor,
  Takeover
};

/// Value of a shard row.
struct ShardRecord
{
  LeaseMember mOwner;
  std::uint64_t mEpoch = 0;
  ShardAcquisition mAcquisition = ShardAcquisition::FirstOwner;
};

/// Value of a release row: an operator states that this session's host is
/// gone.
struct ReleaseRecord
{
  std::string mIncarnation;
};

/// A shard that must have an owner, and where it is.
struct ShardPlace
{
  std::string mId;
  std::string mDataCentre;
  std::string mRegion;
};

/// @return whether two descriptions concern the same session
inline bool
IsSameSession(const LeaseMember& aOne, const LeaseMember& aOther)
{
  return aOne.mName == aOther.mName &&
         aOne.mIncarnation == aOther.mIncarnation &&
         aOne.mGeneration == aOther.mGeneration;
}

} // namespace paddle
