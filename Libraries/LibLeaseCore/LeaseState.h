#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <LibLeaseCore/LeaseActions.h>
#include <LibLeaseCore/LeaseRecords.h>
#include <LibTime/Time.h>

namespace paddle {

/// Time settings of a session.
struct LeaseTimes
{
  Millis mTerm{ 3000 };
  Millis mRenewInterval{ 1000 };
  /// How long members other than the successor wait before a takeover.
  Millis mForeignTakeoverWait{ 660000 };
};

/// A time before any other. It stands for events that have not happened, for
/// leases that are not valid, and for actions that are due at once.
inline constexpr MonotonicTime kDistantPast = MonotonicTime::min();

/// A session row that this process has read, and since when the row has not
/// changed.
struct SeenSession
{
  SessionRecord mRecord;
  std::uint64_t mVersion = 0;
  MonotonicTime mFirstSeen;      ///< When this session was first read.
  MonotonicTime mUnchangedSince; ///< When this version was first read.
  /// Like mUnchangedSince, but set again after a time in which this process
  /// could not read, because the holder may not have been able to renew either.
  MonotonicTime mWatchedSince;
};

/// A shard row that this process has read.
struct SeenShard
{
  ShardRecord mRecord;
  std::uint64_t mVersion = 0;
};

/// A release row that this process has read.
struct SeenRelease
{
  ReleaseRecord mRecord;
  std::uint64_t mVersion = 0;
};

/// A shard that this process owns.
struct HeldShard
{
  std::uint64_t mEpoch = 0;
  ShardAcquisition mAcquisition = ShardAcquisition::FirstOwner;
  MonotonicTime mSince; ///< When this process became the owner.
};

/// A shard whose work is being stopped before its hand-over.
struct StoppingShard
{
  MonotonicTime mSince;    ///< When the work began to stop.
  bool mQuiescent = false; ///< No work of the shard is in flight.
  /// Set while the result of a sent hand-over is not known: the version of the
  /// own session that the transaction requires. The transaction can't be
  /// committed any more once the session has a newer version.
  std::optional<std::uint64_t> mHandOverSessionVersion;
};

/// Everything that the lease decisions of one process depend on.
struct LeaseState
{
  LeaseTimes mTimes;
  LeaseMember mSelf;
  MonotonicTime mStartedAt; ///< When this process started.

  /// @name The own session
  /// @{
  std::uint64_t mSessionVersion = 0; ///< Version of its row; 0: no session.
  MonotonicTime mSessionSince;       ///< When the session began.
  std::uint64_t mRenewals = 0;       ///< Number of renewals sent.
  SessionRecord mConfirmedRenewal;   ///< The last renewal that was confirmed.
  /// When that renewal was sent; kDistantPast if there is none.
  MonotonicTime mConfirmedSentAt = kDistantPast;
  /// End of the lease by renewals. Promises may extend the lease beyond it.
  MonotonicTime mValidUntil = kDistantPast;
  SessionRecord mSentRenewal; ///< The renewal that was sent last.
  MonotonicTime mNextRenewal = kDistantPast;
  bool mRenewalFailing = false; ///< The last renewal was not confirmed.
  /// Members that the session row may name as successor, given renewals whose
  /// result is not known. The empty name means that the row may name nobody.
  std::map<std::string, LeaseMember> mPossibleSuccessors;
  /// mPossibleSuccessors before the last renewal was sent.
  std::map<std::string, LeaseMember> mSuccessorsBeforeSend;
  /// Until when each member has promised not to end the own session.
  std::map<std::string, MonotonicTime> mPromisedUntil;
  std::vector<LeaseMember> mPromisesToAsk; ///< Members to ask next.
  MonotonicTime mNextPromise = kDistantPast;
  /// @}

  /// @name The table as of the last successful read
  /// @{
  MonotonicTime mNextRead = kDistantPast;
  MonotonicTime mLastRead = kDistantPast;
  std::optional<LeaseReadPart> mNextReadPart; ///< Not set between two reads.
  LeaseRows mPartialRead;      ///< The parts of the read in progress.
  bool mShardsScanned = false; ///< The read in progress scanned the shards.
  /// No call has failed and no write has conflicted since the last read.
  bool mReadIsCurrent = false;
  /// Revision as of the last scan of the shards.
  std::optional<std::uint64_t> mShardRevision;
  std::map<std::string, SeenSession> mSessions; ///< Includes the own session.
  std::map<std::string, SeenShard> mShards;
  std::map<std::string, SeenRelease> mReleases;
  /// @}

  /// @name Shards
  /// @{
  std::vector<ShardPlace> mShardPlaces; ///< The shards that need an owner.
  std::map<std::string, HeldShard, std::less<>> mHeldShards;
  std::map<std::string, StoppingShard, std::less<>> mStoppingShards;
  /// Earliest next attempt to hand over a shard whose work did not stop in
  /// time.
  std::map<std::string, MonotonicTime> mHandOverNotBefore;
  /// @}

  /// Until when this process has promised not to end a member's session.
  std::map<std::string, MonotonicTime> mGrantedUntil;
  bool mLeaving = false; ///< An orderly stop has begun.
  /// The orderly stop ends the session without further hand-overs.
  bool mEndWithoutHandOver = false;
  bool mHasLeft = false; ///< The orderly stop is complete.
  MonotonicTime mLastHandOver = kDistantPast;
  /// No shard was left when the orderly stop ended the session.
  bool mHandedOverAll = false;
};

} // namespace paddle
