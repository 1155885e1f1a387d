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
  /// Counts the sessions of one process. A session that was ended stays ended;
  /// the process may start another one with the next generation.
  std::uint64_t mGeneration = 1;

  bool operator==(const LeaseMember&) const = default;
};

/// Value of a session row. It contains the time settings of its holder, so that
/// all processes apply the same times to it while settings change.
struct SessionRecord
{
  LeaseMember mMember;
  std::uint64_t mRenewals = 0; ///< Number of renewals sent.
  /// Name of the only member that may end the session as soon as its term has
  /// ended. Empty if there is no successor; then any member may.
  std::string mSuccessor;
  std::string mSuccessorIncarnation;
  Millis mTerm{ 0 };
  /// How long members other than the successor wait before they end it.
  Millis mForeignTakeoverWait{ 0 };
  bool mLeaving = false; ///< The process stops and gets no more shards.
};

/// How the owner of a shard acquired it. Acquisition in LibLease, where the
/// values are documented, has the same values in the same order.
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

/// Value of a release row. An operator writes it to state that the host of the
/// session with this incarnation is gone, so that others need not wait.
struct ReleaseRecord
{
  std::string mIncarnation;
};

/// A shard that must have an owner, and its location.
struct ShardPlace
{
  std::string mId;
  std::string mDataCentre;
  std::string mRegion;
};

/// @return whether two descriptions are of the same session
inline bool
IsSameSession(const LeaseMember& aOne, const LeaseMember& aOther)
{
  return aOne.mName == aOther.mName &&
         aOne.mIncarnation == aOther.mIncarnation &&
         aOne.mGeneration == aOther.mGeneration;
}

} // namespace paddle
