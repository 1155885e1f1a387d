#include <LibLeaseCore/LeaseCore.h>

#include <algorithm>
#include <utility>

#include <LibLeaseCore/LeaseInternals.h>
#include <LibLeaseCore/LeaseMargins.h>
#include <LibLeaseCore/LeaseWrites.h>
#include <LibLeaseCore/Rendezvous.h>

namespace paddle {

namespace {

/// Shards that stop at one time for a better owner; the others keep serving.
constexpr std::size_t kMaxStoppingShards = 4;

/// A shard that does not become quiescent in this time goes on with its owner,
/// because callers would wait too long.
constexpr Millis kMaxStopTimeMs{ 2000 };

/// Pause before the next attempt to hand over such a shard.
constexpr Millis kHandOverRetryPauseMs{ 30000 };

std::optional<LeaseAction>
NextPromise(LeaseState& aState, MonotonicTime aNow)
{
  // A slow table service can use up the term without a failure.
  const bool late =
    aState.mSessionVersion != 0 && aState.mConfirmedSentAt != kDistantPast &&
    aNow >= aState.mConfirmedSentAt + aState.mConfirmedRenewal.mTerm / 2;
  if (aState.mSessionVersion == 0 || (!aState.mRenewalFailing && !late)) {
    aState.mPromisesToAsk.clear();
    return std::nullopt;
  }
  if (aNow >= aState.mNextPromise && SessionHolds(aState, aNow)) {
    // Each second at the usual term; two requests may be lost.
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

/// @return the next part of the read under way, or the first of a new read if
///         one is due
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

bool
ShouldCreateSession(const LeaseState& aState)
{
  return aState.mSessionVersion == 0 && !aState.mLeaving &&
         !aState.mSessions.contains(aState.mSelf.mName);
}

/// @return whether the shard has a better owner that has proved to be stable
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

void
StopShard(LeaseState& aState, const std::string& aShard, MonotonicTime aNow)
{
  aState.mStoppingShards.try_emplace(
    aShard, StoppingShard{ aNow, false, std::nullopt });
}

/// Goes on with shards that were to be handed over, where the better owner is
/// gone or the work does not end.
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

/// Chooses the shards whose work stops now.
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

/// Marks a hand-over as unsettled before it is sent.
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
  // The row may be gone from here on, whatever the answer says.
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
