#include <LibLeaseCore/LeaseCore.h>

#include <algorithm>
#include <utility>

#include <LibLeaseCore/LeaseInternals.h>
#include <LibLeaseCore/LeaseMargins.h>
#include <LibLeaseCore/LeaseWrites.h>

namespace paddle {

namespace {

/// Forgets the own session, which was ended, and its shards. The next session
/// gets another generation, so that shard rows that still name this session
/// have no live owner.
void
ForgetOwnSession(LeaseState& aState)
{
  aState.mSessionVersion = 0;
  aState.mValidUntil = kDistantPast;
  aState.mConfirmedSentAt = kDistantPast;
  aState.mRenewalFailing = false;
  aState.mPossibleSuccessors.clear();
  aState.mPromisedUntil.clear();
  aState.mHeldShards.clear();
  aState.mStoppingShards.clear();
  ++aState.mSelf.mGeneration;
}

/// Schedules a read soon. Until then no session is created or ended and no
/// shard is taken or handed over.
void
RequireRead(LeaseState& aState, MonotonicTime aNow)
{
  aState.mReadIsCurrent = false;
  aState.mNextRead = std::min(
    aState.mNextRead, aNow + std::min(RenewInterval(aState) / 4, Millis(250)));
}

/// Adopts the version of the own session row, which a write whose result is not
/// known may have changed. If the row is absent or is not that of the own
/// session, the session was ended.
/// @param aRow the row with the name of this process, or null if it is absent
void
AdoptOwnSession(LeaseState& aState,
                const LeaseRow<SessionRecord>* aRow,
                MonotonicTime aNow)
{
  if (aRow && IsSelf(aState, aRow->mRecord.mMember)) {
    if (aState.mSessionVersion == 0) {
      aState.mSessionSince = aNow;
    }
    if (aRow->mVersion != aState.mSessionVersion) {
      aState.mSessionVersion = aRow->mVersion;
      aState.mNextRenewal = aNow;
    }
    return;
  }
  if (aState.mSessionVersion != 0) {
    ForgetOwnSession(aState);
  }
}

/// Applies the result of a renewal.
void
ReportRenewal(LeaseState& aState,
              const LeaseWriteResult& aResult,
              MonotonicTime aSent,
              MonotonicTime aNow)
{
  const Millis interval = RenewInterval(aState);
  switch (aResult.mStatus) {
    case LeaseWriteStatus::Committed: {
      if (aState.mSessionVersion == 0) {
        aState.mSessionSince = aNow;
        aState.mNextRead = aNow;
      }
      const LeaseMember successor =
        aState.mPossibleSuccessors[aState.mSentRenewal.mSuccessor];
      aState.mSessionVersion = aResult.mVersion;
      aState.mConfirmedRenewal = aState.mSentRenewal;
      aState.mConfirmedSentAt = aSent;
      aState.mValidUntil = aSent + HolderTerm(aState.mSentRenewal.mTerm);
      aState.mPossibleSuccessors = { { successor.mName, successor } };
      aState.mRenewalFailing = false;
      aState.mNextRenewal = aSent + interval;
      return;
    }
    case LeaseWriteStatus::Conflict:
      AdoptOwnSession(
        aState, aResult.mOwnSession ? &*aResult.mOwnSession : nullptr, aNow);
      RequireRead(aState, aNow);
      return;
    case LeaseWriteStatus::Unavailable:
      aState.mPossibleSuccessors = aState.mSuccessorsBeforeSend;
      [[fallthrough]];
    case LeaseWriteStatus::Unknown:
      if (!aState.mRenewalFailing) {
        aState.mRenewalFailing = true;
        aState.mNextPromise = aNow;
      }
      aState.mNextRenewal = aNow + interval / 2;
      RequireRead(aState, aNow);
      return;
  }
}

/// Records that this process owns a shard.
void
HoldShard(LeaseState& aState,
          const std::string& aShard,
          const ShardRecord& aRecord,
          MonotonicTime aNow)
{
  const auto held = aState.mHeldShards.find(aShard);
  if (held != aState.mHeldShards.end() &&
      held->second.mEpoch == aRecord.mEpoch) {
    return;
  }
  aState.mHeldShards.insert_or_assign(
    aShard, HeldShard{ aRecord.mEpoch, aRecord.mAcquisition, aNow });
}

/// Records that this process does not own a shard.
void
DropShard(LeaseState& aState, const std::string& aShard)
{
  aState.mHeldShards.erase(aShard);
  aState.mStoppingShards.erase(aShard);
}

/// Applies the shard rows of a committed transaction, as if they had been read.
void
ApplyCommitted(LeaseState& aState,
               const WriteLeaseRows& aAction,
               std::uint64_t aVersion,
               MonotonicTime aNow)
{
  for (const LeaseRowWrite& write : aAction.mWrites) {
    const auto* record = std::get_if<ShardRecord>(&write.mValue);
    if (!record) {
      continue;
    }
    const std::string shard =
      write.mKey.substr(std::string_view(kShardPrefix).size());
    aState.mShards[shard] = { *record, aVersion };
    if (IsSelf(aState, record->mOwner)) {
      HoldShard(aState, shard, *record, aNow);
    } else {
      DropShard(aState, shard);
    }
  }
}

/// Allows the hand-overs of a transaction to be sent again, because certainly
/// none of it was written.
void
ClearSentVersions(LeaseState& aState, const WriteLeaseRows& aAction)
{
  for (const LeaseRowWrite& write : aAction.mWrites) {
    if (!std::holds_alternative<ShardRecord>(write.mValue)) {
      continue;
    }
    const auto stopping = aState.mStoppingShards.find(
      write.mKey.substr(std::string_view(kShardPrefix).size()));
    if (stopping != aState.mStoppingShards.end()) {
      stopping->second.mHandOverSessionVersion.reset();
    }
  }
}

/// @return the session of a row that was read now. The times of the earlier
///         read are kept if the row has not changed.
/// @param aBefore the session of the earlier read, or null
/// @param aGap whether this process could not read for longer than a term
SeenSession
WatchSession(const SeenSession* aBefore,
             const LeaseRow<SessionRecord>& aRow,
             bool aGap,
             MonotonicTime aNow)
{
  SeenSession seen{ aRow.mRecord, aRow.mVersion, aNow, aNow, aNow };
  if (!aBefore) {
    return seen;
  }
  if (IsSameSession(aBefore->mRecord.mMember, aRow.mRecord.mMember)) {
    seen.mFirstSeen = aBefore->mFirstSeen;
  }
  if (aBefore->mVersion == aRow.mVersion) {
    seen.mUnchangedSince = aBefore->mUnchangedSince;
    seen.mWatchedSince = aGap ? aNow : aBefore->mWatchedSince;
  }
  return seen;
}

void
ApplySessions(LeaseState& aState,
              const std::vector<LeaseRow<SessionRecord>>& aRows,
              MonotonicTime aNow)
{
  const bool gap = aState.mLastRead == kDistantPast ||
                   aNow - aState.mLastRead > SessionTerm(aState);
  std::map<std::string, SeenSession> sessions;
  const LeaseRow<SessionRecord>* own = nullptr;
  for (const LeaseRow<SessionRecord>& row : aRows) {
    const auto before = aState.mSessions.find(row.mName);
    sessions.emplace(
      row.mName,
      WatchSession(before == aState.mSessions.end() ? nullptr : &before->second,
                   row,
                   gap,
                   aNow));
    if (row.mName == aState.mSelf.mName) {
      own = &row;
    }
  }
  aState.mSessions = std::move(sessions);
  AdoptOwnSession(aState, own, aNow);
}

/// Allows the hand-over of a shard to be sent again if the one that was sent
/// can no longer be committed.
void
SettleHandOver(LeaseState& aState, const std::string& aShard)
{
  const auto stopping = aState.mStoppingShards.find(aShard);
  if (stopping != aState.mStoppingShards.end() &&
      stopping->second.mHandOverSessionVersion &&
      *stopping->second.mHandOverSessionVersion != aState.mSessionVersion) {
    stopping->second.mHandOverSessionVersion.reset();
  }
}

void
ApplyShards(LeaseState& aState,
            const std::vector<LeaseRow<ShardRecord>>& aRows,
            MonotonicTime aNow)
{
  aState.mShards.clear();
  for (const LeaseRow<ShardRecord>& row : aRows) {
    aState.mShards[row.mName] = { row.mRecord, row.mVersion };
    if (IsSelf(aState, row.mRecord.mOwner)) {
      HoldShard(aState, row.mName, row.mRecord, aNow);
      SettleHandOver(aState, row.mName);
    } else {
      DropShard(aState, row.mName);
    }
  }
}

/// @return whether a sent hand-over may still be committed. The shards must
///         then be scanned even if their revision has not changed.
bool
HasUnsettledHandOver(const LeaseState& aState)
{
  return std::ranges::any_of(aState.mStoppingShards, [](const auto& aStopping) {
    return aStopping.second.mHandOverSessionVersion.has_value();
  });
}

/// Applies a complete read to the state.
void
ApplyRead(LeaseState& aState, MonotonicTime aNow)
{
  const LeaseRows rows = std::exchange(aState.mPartialRead, {});
  // Sessions are applied first, because they determine whether this process
  // still has its session, which the shard rows are compared with.
  ApplySessions(aState, rows.mSessions, aNow);
  aState.mReleases.clear();
  for (const LeaseRow<ReleaseRecord>& row : rows.mReleases) {
    aState.mReleases[row.mName] = { row.mRecord, row.mVersion };
  }
  if (aState.mShardsScanned) {
    ApplyShards(aState, rows.mShards, aNow);
    aState.mShardRevision = rows.mRevision;
  }
  aState.mNextReadPart.reset();
  aState.mLastRead = aNow;
  aState.mReadIsCurrent = true;
}

} // namespace

LeaseState
MakeLeaseState(const LeaseTimes& aTimes, LeaseMember aSelf, MonotonicTime aNow)
{
  LeaseState state;
  state.mTimes = aTimes;
  state.mSelf = std::move(aSelf);
  state.mStartedAt = aNow;
  return state;
}

void
ReportWrite(LeaseState& aState,
            const WriteLeaseRows& aAction,
            const LeaseWriteResult& aResult,
            MonotonicTime aSent,
            MonotonicTime aNow)
{
  if (aAction.mPurpose == LeaseWritePurpose::Renew) {
    ReportRenewal(aState, aResult, aSent, aNow);
    return;
  }
  if (aResult.mStatus == LeaseWriteStatus::Committed) {
    if (aAction.mPurpose == LeaseWritePurpose::EndOwnSession) {
      ForgetOwnSession(aState);
      aState.mHasLeft = true;
      return;
    }
    if (aAction.mPurpose == LeaseWritePurpose::EndOtherSession) {
      aState.mSessions.erase(aAction.mEndedMember);
      aState.mReleases.erase(aAction.mEndedMember);
    }
    if (aAction.mPurpose == LeaseWritePurpose::HandOver) {
      aState.mLastHandOver = aNow;
    }
    ApplyCommitted(aState, aAction, aResult.mVersion, aNow);
    return;
  }
  if (aResult.mStatus != LeaseWriteStatus::Unknown) {
    ClearSentVersions(aState, aAction);
  }
  RequireRead(aState, aNow);
}

void
ReportRead(LeaseState& aState,
           const ReadLeaseRows& aAction,
           LeaseRows aRows,
           MonotonicTime aNow)
{
  switch (aAction.mPart) {
    case LeaseReadPart::Revision: {
      const bool scan = aState.mShardRevision != aRows.mRevision ||
                        HasUnsettledHandOver(aState);
      aState.mPartialRead = std::move(aRows);
      aState.mShardsScanned = false;
      aState.mNextReadPart =
        scan ? LeaseReadPart::Shards : LeaseReadPart::Sessions;
      return;
    }
    case LeaseReadPart::Shards:
      aState.mPartialRead.mShards = std::move(aRows.mShards);
      aState.mShardsScanned = true;
      aState.mNextReadPart = LeaseReadPart::Sessions;
      return;
    case LeaseReadPart::Sessions:
      aState.mPartialRead.mSessions = std::move(aRows.mSessions);
      ApplyRead(aState, aNow);
      return;
  }
}

void
ReportReadFailure(LeaseState& aState, MonotonicTime aNow)
{
  aState.mReadIsCurrent = false;
  aState.mNextReadPart.reset();
  aState.mNextRead = aNow + RenewInterval(aState);
}

void
ReportPromise(LeaseState& aState,
              const AskPromise& aAction,
              bool aGranted,
              MonotonicTime aSent,
              MonotonicTime aNow)
{
  // Once the lease has lapsed, the successor may have ended the session. If the
  // successor has restarted since, it promises without knowing that.
  if (!aGranted || !SessionHolds(aState, aNow)) {
    return;
  }
  MonotonicTime& until = aState.mPromisedUntil[aAction.mPeer.mName];
  until = std::max(until, aSent + HolderTerm(aAction.mTerm));
}

void
GrantPromise(LeaseState& aState,
             const std::string& aMember,
             Millis aTerm,
             MonotonicTime aNow)
{
  MonotonicTime& until = aState.mGrantedUntil[aMember];
  until = std::max(until, aNow + aTerm);
}

} // namespace paddle
