#include <LibLeaseCore/LeaseCore.h>

#include <algorithm>
#include <utility>

#include <LibLeaseCore/LeaseInternals.h>
#include <LibLeaseCore/LeaseMargins.h>
#include <LibLeaseCore/LeaseWrites.h>
#include <LibLeaseCore/Rendezvous.h>

namespace paddle {

namespace {

/// Number of shards that may stop at the same time for a hand-over to a better
/// owner. The other shards continue to serve.
constexpr std::size_t kMaxStoppingShards = 4;

/// A shard that does not become quiescent within this time stays with its
/// owner, because callers would wait too long.
constexpr Millis kMaxStopTimeMs{ 2000 };

/// Time before the next attempt to hand over such a shard.
constexpr Millis kHandOverRetryPauseMs{ 30000 };

/// @return a request for a promise while renewals fail or are late, or nothing
///         if none is due
std::optional<LeaseAction>
NextPromise(LeaseState& aState, MonotonicTime aNow)
{
  // A slow table service can delay renewals past the term without a failure.
  const bool late =
    aState.mSessionVersion != 0 && aState.mConfirmedSentAt != kDistantPast &&
    aNow >= aState.mConfirmedSentAt + aState.mConfirmedRenewal.mTerm / 2;
  if (aState.mSessionVersion == 0 || (!aState.mRenewalFailing && !late)) {
    aState.mPromisesToAsk.clear();
    return std::nullopt;
  }
  if (aNow >= aState.mNextPromise && SessionHolds(aState, aNow)) {
    // This is once per second at the default term, so that two requests may be
    // lost before the term ends.
    aState.mNextPromise = aNow + aState.mConfirmedRenewal.mTerm / 3;
    aState.mPromisesToAsk.clear();
    for (const auto& [name, member] : aState.mPossibleSuccessors) {
      if (!name.empty()) {
        aState.mPromisesToAsk.push_back(member);
      }
    }
  }
  if (aState.mPromisesToAsk.empty()) {
    return std::nullopt;
  }
  AskPromise ask{ aState.mPromisesToAsk.back(),
                  aState.mConfirmedRenewal.mTerm };
  aState.mPromisesToAsk.pop_back();
  return ask;
}

/// @return the next part of the read in progress, or the first part of a new
///         read if one is due
std::optional<LeaseAction>
NextRead(LeaseState& aState, MonotonicTime aNow)
{
  if (aState.mNextReadPart) {
    return ReadLeaseRows{ *aState.mNextReadPart, {} };
  }
  if (aNow < aState.mNextRead) {
    return std::nullopt;
  }
  aState.mNextRead = aNow + RenewInterval(aState);
  ReadLeaseRows read;
  for (const auto& [name, session] : aState.mSessions) {
    if (name != aState.mSelf.mName && IsSuspect(aState, session)) {
      read.mReleases.push_back(name);
    }
  }
  return read;
}

/// @return whether this process may create a session: it has none, and no row
///         has its name
bool
ShouldCreateSession(const LeaseState& aState)
{
  return aState.mSessionVersion == 0 && !aState.mLeaving &&
         !aState.mSessions.contains(aState.mSelf.mName);
}

/// @return whether another process would be a better owner of the shard and has
///         had its session for at least a term
bool
HasBetterOwner(const LeaseState& aState,
               const ShardPlace& aPlace,
               std::span<const LeaseMember* const> aCandidates,
               MonotonicTime aNow)
{
  const LeaseMember* best = ChooseOwner(aPlace, aCandidates);
  if (!best || best == &aState.mSelf) {
    return false;
  }
  const SeenSession& session = aState.mSessions.at(best->mName);
  return aNow >= session.mFirstSeen + session.mRecord.mTerm;
}

/// Begins to stop the work of a shard.
void
StopShard(LeaseState& aState, const std::string& aShard, MonotonicTime aNow)
{
  aState.mStoppingShards.try_emplace(
    aShard, StoppingShard{ aNow, false, std::nullopt });
}

/// Resumes shards that were stopping for a hand-over if the better owner is
/// gone or the work does not stop in time.
void
ResumeShards(LeaseState& aState,
             std::span<const LeaseMember* const> aCandidates,
             MonotonicTime aNow)
{
  for (const ShardPlace& place : aState.mShardPlaces) {
    const auto stopping = aState.mStoppingShards.find(place.mId);
    if (stopping == aState.mStoppingShards.end() ||
        stopping->second.mHandOverSessionVersion) {
      continue;
    }
    const bool tooLong = !stopping->second.mQuiescent &&
                         aNow >= stopping->second.mSince + kMaxStopTimeMs;
    if (tooLong) {
      aState.mHandOverNotBefore[place.mId] = aNow + kHandOverRetryPauseMs;
    }
    if (tooLong || !HasBetterOwner(aState, place, aCandidates, aNow)) {
      aState.mStoppingShards.erase(stopping);
    }
  }
}

/// Chooses the shards whose work stops now: all of them in an orderly stop,
/// else some of those that have a better owner.
void
UpdateStoppingShards(LeaseState& aState, MonotonicTime aNow)
{
  if (aState.mLeaving) {
    for (const auto& [shard, held] : aState.mHeldShards) {
      StopShard(aState, shard, aNow);
    }
    return;
  }
  const std::vector<const LeaseMember*> candidates = OwnerCandidates(aState);
  ResumeShards(aState, candidates, aNow);
  for (const ShardPlace& place : aState.mShardPlaces) {
    if (aState.mStoppingShards.size() >= kMaxStoppingShards) {
      return;
    }
    if (!aState.mHeldShards.contains(place.mId) ||
        !HasBetterOwner(aState, place, candidates, aNow)) {
      continue;
    }
    const auto notBefore = aState.mHandOverNotBefore.find(place.mId);
    if (notBefore == aState.mHandOverNotBefore.end() ||
        aNow >= notBefore->second) {
      StopShard(aState, place.mId, aNow);
    }
  }
}

/// Records before a hand-over is sent that its result is not known.
void
MarkHandOverSent(LeaseState& aState, const WriteLeaseRows& aAction)
{
  for (const LeaseRowWrite& write : aAction.mWrites) {
    if (std::holds_alternative<ShardRecord>(write.mValue)) {
      const std::string shard =
        write.mKey.substr(std::string_view(kShardPrefix).size());
      aState.mStoppingShards.at(shard).mHandOverSessionVersion =
        aState.mSessionVersion;
    }
  }
}

/// @return a transaction that hands over or takes shards, or nothing if none is
///         due
std::optional<LeaseAction>
NextShardAction(LeaseState& aState, MonotonicTime aNow)
{
  if (!SessionHolds(aState, aNow)) {
    return std::nullopt;
  }
  UpdateStoppingShards(aState, aNow);
  if (auto handOver = MakeHandOver(aState)) {
    MarkHandOverSent(aState, *handOver);
    return *handOver;
  }
  if (aState.mLeaving) {
    return std::nullopt;
  }
  if (auto take = MakeAcquisition(aState, aNow)) {
    return *take;
  }
  return std::nullopt;
}

/// @return the transaction that ends the own session once an orderly stop has
///         come that far
std::optional<LeaseAction>
NextStepOfLeaving(LeaseState& aState, MonotonicTime aNow)
{
  if (!aState.mLeaving ||
      (!aState.mEndWithoutHandOver &&
       !(aState.mReadIsCurrent && ReadyToLeave(aState, aNow)))) {
    return std::nullopt;
  }
  if (aState.mSessionVersion == 0) {
    aState.mHasLeft = true;
    return std::nullopt;
  }
  aState.mHandedOverAll = aState.mHeldShards.empty();
  // From now on the row may be deleted, whatever result is reported.
  aState.mValidUntil = kDistantPast;
  aState.mPromisedUntil.clear();
  return MakeOwnSessionEnd(aState);
}

} // namespace

std::optional<LeaseAction>
NextAction(LeaseState& aState, MonotonicTime aNow)
{
  if (aState.mHasLeft) {
    return std::nullopt;
  }
  if (auto promise = NextPromise(aState, aNow)) {
    return promise;
  }
  if (auto leave = NextStepOfLeaving(aState, aNow)) {
    return leave;
  }
  if (aState.mSessionVersion != 0 && aNow >= aState.mNextRenewal) {
    return MakeRenewal(aState, aNow);
  }
  if (auto read = NextRead(aState, aNow)) {
    return read;
  }
  if (!aState.mReadIsCurrent || aState.mHasLeft) {
    return std::nullopt;
  }
  if (ShouldCreateSession(aState)) {
    return MakeRenewal(aState, aNow);
  }
  if (auto end = MakeSessionEnd(aState, aNow)) {
    return *end;
  }
  return NextShardAction(aState, aNow);
}

void
BeginLeave(LeaseState& aState, MonotonicTime aNow)
{
  if (aState.mLeaving) {
    return;
  }
  aState.mLeaving = true;
  aState.mNextRenewal = aNow;
  aState.mStoppingShards.clear();
}

} // namespace paddle
