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

struct LeaseTimes
{
  Millis mTerm{ 3000 };
  Millis mRenewInterval{ 1000 };
  Millis mForeignTakeoverWait{ 660000 };
};

/// Earlier than any other moment.
inline constexpr MonotonicTime kNever = MonotonicTime::min();

/// Another process's session, and since when this process has seen its row
/// unchanged.
struct SeenSession
{
  SessionRecord mRecord;
  std::uint64_t mVersion = 0;
  MonotonicTime mFirstSeen; ///< When this session was first seen.
  MonotonicTime mUnchangedSince;
  /// Like mUnchangedSince, but started afresh after a time in which this
  /// process could not read: the holder may not have been able to renew.
  MonotonicTime mWatchedSince;
};

struct SeenShard
{
  ShardRecord mRecord;
  std::uint64_t mVersion = 0;
};

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
  MonotonicTime mSince;
};

/// A shard whose work is being stopped before its hand-over.
struct StoppingShard
{
  MonotonicTime mSince;
  bool mQuiescent = false;
  /// Version of the own session in a hand-over whose effect is unknown. It
  /// can't take effect any more once the session has a newer version.
  std::optional<std::uint64_t> mSentVersion;
};

/// Everything the lease decisions of one process depend on.
struct LeaseState
{
  LeaseTimes mTimes;
  LeaseMember mSelf;
  MonotonicTime mStarted;

  /// @name The own session
  /// @{
  std::uint64_t mSessionVersion = 0; ///< 0: there is no session.
  MonotonicTime mSessionSince;
  std::uint64_t mRenewals = 0;
  SessionRecord mConfirmed; ///< As of the last confirmed renewal.
  MonotonicTime mConfirmedSent = kNever;
  MonotonicTime mValidUntil = kNever; ///< By renewals alone.
  SessionRecord mSent;                ///< The renewal under way.
  MonotonicTime mNextRenewal = kNever;
  bool mRenewalFailing = false;
  /// Members that the session row may name, given writes of unknown effect;
  /// an empty name stands for none.
  std::map<std::string, LeaseMember> mPossibleSuccessors;
  std::map<std::string, LeaseMember> mSuccessorsBeforeSend;
  std::map<std::string, MonotonicTime> mPromisedUntil; ///< By member.
  std::vector<LeaseMember> mPromisesToAsk;
  MonotonicTime mNextPromise = kNever;
  /// @}

  /// @name The table as of the last successful read
  /// @{
  MonotonicTime mNextRead = kNever;
  MonotonicTime mLastRead = kNever;
  std::optional<LeaseReadPart> mNextPart; ///< Nothing between two reads.
  LeaseRows mPartialRead;
  bool mShardsScanned = false; ///< By the read under way.
  bool mFresh = false;         ///< Nothing has failed since the last read.
  std::optional<std::uint64_t> mShardRevision;
  std::map<std::string, SeenSession> mSessions; ///< Includes the own one.
  std::map<std::string, SeenShard> mShards;
  std::map<std::string, SeenRelease> mReleases;
  /// @}

  /// @name Shards
  /// @{
  std::vector<ShardPlace> mPlaces;
  std::map<std::string, HeldShard, std::less<>> mHeld;
  std::map<std::string, StoppingShard, std::less<>> mStopping;
  std::map<std::string, MonotonicTime> mNotBefore; ///< Next hand-over attempt.
  /// @}

  /// Until when this process has promised not to end a member's session.
  std::map<std::string, MonotonicTime> mGrantedUntil;
  bool mLeaving = false;
  bool mEndNow = false; ///< Leave without waiting for further hand-overs.
  bool mLeft = false;
  MonotonicTime mLastHandOver = kNever;
  bool mHandedOverAll = false; ///< When the session ended.
};

} // namespace paddle
