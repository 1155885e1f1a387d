#include <LibLeaseCore/LeaseWrites.h>

#include <algorithm>
#include <utility>

#include <LibLeaseCore/LeaseCore.h>
#include <LibLeaseCore/LeaseInternals.h>
#include <LibLeaseCore/LeaseMargins.h>
#include <LibLeaseCore/Rendezvous.h>

namespace paddle {

namespace {

/// The renewals of all processes together stay below this rate, which is a part
/// of the several hundred writes per second that the table service sustains.
constexpr std::int64_t kMaxRenewalsPerSecond = 100;

/// Bound on the size of one transaction.
constexpr std::size_t kMaxShardsPerTransaction = 32;

std::string
SessionKey(const LeaseMember& aMember)
{
  return kSessionPrefix + aMember.mName;
}

/// Adds the condition that the own session row has not changed, so that a
/// process that has lost its session can't change a shard.
void
RequireOwnSession(const LeaseState& aState, WriteLeaseRows& aAction)
{
  aAction.mConditions.push_back(
    { SessionKey(aState.mSelf), aState.mSessionVersion });
}

/// Adds the change of one shard row.
void
AddShard(WriteLeaseRows& aAction,
         const std::string& aShard,
         std::uint64_t aVersion,
         ShardRecord aRecord)
{
  const std::string key = kShardPrefix + aShard;
  aAction.mConditions.push_back({ key, aVersion });
  aAction.mWrites.push_back({ key, std::move(aRecord) });
}

/// Adds the write that tells other processes that shard rows have changed.
void
TouchShardRevision(WriteLeaseRows& aAction)
{
  aAction.mWrites.push_back({ kShardRevisionKey, RowTouch{} });
}

/// @return the number of shards in a transaction that writes nothing else so
///         far
std::size_t
ShardsInTransaction(const WriteLeaseRows& aAction)
{
  return aAction.mWrites.size();
}

/// @return the successor that the next renewal names, or null for none
const LeaseMember*
PreferredSuccessor(const LeaseState& aState)
{
  if (aState.mLeaving) {
    return nullptr;
  }
  return ChooseSuccessor(aState.mSelf, StayingPeers(aState));
}

/// @return whether the session is an earlier one of this process since its
///         start, which it certainly no longer uses
bool
IsOwnEarlierSession(const LeaseState& aState, const LeaseMember& aMember)
{
  return aMember.mName == aState.mSelf.mName &&
         aMember.mIncarnation == aState.mSelf.mIncarnation &&
         aMember.mGeneration < aState.mSelf.mGeneration;
}

/// @return whether an operator has stated that the host of a member is gone
bool
IsReleased(const LeaseState& aState, const LeaseMember& aMember)
{
  const auto release = aState.mReleases.find(aMember.mName);
  return release != aState.mReleases.end() &&
         release->second.mRecord.mIncarnation == aMember.mIncarnation;
}

/// @return whether a promise of this process to a member holds
bool
HasGrantedPromise(const LeaseState& aState,
                  const std::string& aMember,
                  MonotonicTime aNow)
{
  const auto granted = aState.mGrantedUntil.find(aMember);
  return granted != aState.mGrantedUntil.end() && aNow < granted->second;
}

/// @return whether this process may end a session now
bool
MayEndSession(const LeaseState& aState,
              const SeenSession& aSession,
              MonotonicTime aNow)
{
  const SessionRecord& record = aSession.mRecord;
  if (record.mMember.mRole != aState.mSelf.mRole ||
      IsSelf(aState, record.mMember)) {
    return false;
  }
  if (IsOwnEarlierSession(aState, record.mMember)) {
    return true;
  }
  const Millis wait = TakeoverTerm(record.mTerm);
  if (aNow < aSession.mWatchedSince + wait ||
      HasGrantedPromise(aState, record.mMember.mName, aNow)) {
    return false;
  }
  if (record.mSuccessor == aState.mSelf.mName) {
    // Before its last restart this process may have made a promise, which would
    // have ended by then.
    return aNow >= aState.mStartedAt + wait;
  }
  return record.mSuccessor.empty() || IsReleased(aState, record.mMember) ||
         aNow >= aSession.mUnchangedSince + record.mForeignTakeoverWait;
}

/// Adds the acquisition of the shards of the ended session if this process is
/// its successor. The incarnation must match too, because a restarted process
/// no longer has the copies of the shards' data.
void
AddShardsOfEndedSession(const LeaseState& aState,
                        const SessionRecord& aEnded,
                        WriteLeaseRows& aAction)
{
  if (aState.mSessionVersion == 0 || aState.mLeaving ||
      aEnded.mSuccessor != aState.mSelf.mName ||
      aEnded.mSuccessorIncarnation != aState.mSelf.mIncarnation) {
    return;
  }
  RequireOwnSession(aState, aAction);
  for (const auto& [shard, seen] : aState.mShards) {
    if (IsSameSession(seen.mRecord.mOwner, aEnded.mMember)) {
      AddShard(
        aAction,
        shard,
        seen.mVersion,
        { aState.mSelf, seen.mRecord.mEpoch + 1, ShardAcquisition::Successor });
    }
  }
  TouchShardRevision(aAction);
}

/// @return whether this session of a member exists as of the last read
bool
HasSession(const LeaseState& aState, const LeaseMember& aMember)
{
  if (IsSelf(aState, aMember)) {
    return true;
  }
  const auto session = aState.mSessions.find(aMember.mName);
  return session != aState.mSessions.end() &&
         IsSameSession(session->second.mRecord.mMember, aMember);
}

} // namespace

Millis
RenewInterval(const LeaseState& aState)
{
  const auto writers = static_cast<std::int64_t>(aState.mSessions.size());
  return std::max(aState.mTimes.mRenewInterval,
                  Millis(writers * 1000 / kMaxRenewalsPerSecond));
}

Millis
SessionTerm(const LeaseState& aState)
{
  return aState.mTimes.mTerm * RenewInterval(aState).count() /
         aState.mTimes.mRenewInterval.count();
}

WriteLeaseRows
MakeRenewal(LeaseState& aState, MonotonicTime aNow)
{
  SessionRecord record;
  record.mMember = aState.mSelf;
  record.mRenewals = ++aState.mRenewals;
  record.mTerm = SessionTerm(aState);
  record.mForeignTakeoverWait = aState.mTimes.mForeignTakeoverWait;
  record.mLeaving = aState.mLeaving;
  LeaseMember successor;
  if (const LeaseMember* wanted = PreferredSuccessor(aState)) {
    successor = *wanted;
  }
  record.mSuccessor = successor.mName;
  record.mSuccessorIncarnation = successor.mIncarnation;

  aState.mSuccessorsBeforeSend = aState.mPossibleSuccessors;
  aState.mPossibleSuccessors[successor.mName] = successor;
  // A shorter term applies from the time at which the row may contain it.
  aState.mValidUntil =
    std::min(aState.mValidUntil, aNow + HolderTerm(record.mTerm));
  aState.mSentRenewal = record;

  WriteLeaseRows action;
  action.mPurpose = LeaseWritePurpose::Renew;
  RequireOwnSession(aState, action);
  action.mWrites.push_back({ SessionKey(aState.mSelf), std::move(record) });
  if (aState.mSessionVersion == 0) {
    // A release row was meant for an earlier process with this name.
    action.mWrites.push_back(
      { kReleasePrefix + aState.mSelf.mName, RowDeletion{} });
  }
  return action;
}

std::optional<WriteLeaseRows>
MakeSessionEnd(const LeaseState& aState, MonotonicTime aNow)
{
  for (const auto& [name, session] : aState.mSessions) {
    if (!MayEndSession(aState, session, aNow)) {
      continue;
    }
    WriteLeaseRows action;
    action.mPurpose = LeaseWritePurpose::EndOtherSession;
    action.mEndedMember = name;
    action.mConditions.push_back({ kSessionPrefix + name, session.mVersion });
    action.mWrites.push_back({ kSessionPrefix + name, RowDeletion{} });
    const auto release = aState.mReleases.find(name);
    if (release != aState.mReleases.end()) {
      action.mConditions.push_back(
        { kReleasePrefix + name, release->second.mVersion });
      action.mWrites.push_back({ kReleasePrefix + name, RowDeletion{} });
    }
    AddShardsOfEndedSession(aState, session.mRecord, action);
    return action;
  }
  return std::nullopt;
}

std::optional<WriteLeaseRows>
MakeAcquisition(const LeaseState& aState, MonotonicTime aNow)
{
  const std::vector<const LeaseMember*> candidates = OwnerCandidates(aState);
  // Processes that start at the same time see each other before the first
  // owners are chosen, which avoids hand-overs.
  const bool settled =
    aNow >= aState.mSessionSince + aState.mTimes.mRenewInterval;
  WriteLeaseRows action;
  action.mPurpose = LeaseWritePurpose::TakeShards;
  RequireOwnSession(aState, action);
  for (const ShardPlace& place : aState.mShardPlaces) {
    const auto seen = aState.mShards.find(place.mId);
    const bool isNew = seen == aState.mShards.end();
    if (isNew ? !settled : HasSession(aState, seen->second.mRecord.mOwner)) {
      continue;
    }
    if (ChooseOwner(place, candidates) != &aState.mSelf) {
      continue;
    }
    AddShard(
      action,
      place.mId,
      isNew ? 0 : seen->second.mVersion,
      { aState.mSelf,
        isNew ? 1 : seen->second.mRecord.mEpoch + 1,
        isNew ? ShardAcquisition::FirstOwner : ShardAcquisition::Takeover });
    if (ShardsInTransaction(action) == kMaxShardsPerTransaction) {
      break;
    }
  }
  if (action.mWrites.empty()) {
    return std::nullopt;
  }
  TouchShardRevision(action);
  return action;
}

std::optional<WriteLeaseRows>
MakeHandOver(const LeaseState& aState)
{
  const std::vector<const LeaseMember*> candidates = StayingPeers(aState);
  WriteLeaseRows action;
  action.mPurpose = LeaseWritePurpose::HandOver;
  RequireOwnSession(aState, action);
  for (const auto& [shard, stopping] : aState.mStoppingShards) {
    const auto seen = aState.mShards.find(shard);
    if (!stopping.mQuiescent || stopping.mHandOverSessionVersion ||
        seen == aState.mShards.end()) {
      continue;
    }
    const auto place =
      std::ranges::find(aState.mShardPlaces, shard, &ShardPlace::mId);
    const LeaseMember* target = ChooseOwner(
      place == aState.mShardPlaces.end() ? ShardPlace{ shard, "", "" } : *place,
      candidates);
    if (!target) {
      continue;
    }
    AddShard(
      action,
      shard,
      seen->second.mVersion,
      { *target, seen->second.mRecord.mEpoch + 1, ShardAcquisition::HandOver });
    if (ShardsInTransaction(action) == kMaxShardsPerTransaction) {
      break;
    }
  }
  if (action.mWrites.empty()) {
    return std::nullopt;
  }
  TouchShardRevision(action);
  return action;
}

WriteLeaseRows
MakeOwnSessionEnd(const LeaseState& aState)
{
  WriteLeaseRows action;
  action.mPurpose = LeaseWritePurpose::EndOwnSession;
  RequireOwnSession(aState, action);
  action.mWrites.push_back({ SessionKey(aState.mSelf), RowDeletion{} });
  return action;
}

} // namespace paddle
