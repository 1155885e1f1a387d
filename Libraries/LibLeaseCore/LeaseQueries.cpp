#include <LibLeaseCore/LeaseCore.h>

#include <algorithm>

#include <LibLeaseCore/LeaseInternals.h>
#include <LibLeaseCore/LeaseMargins.h>
#include <LibLeaseCore/LeaseWrites.h>

namespace paddle {

namespace {

/// @return whether all possible successors have promised not to end the
///         session. A promise does not count after the time at which all other
///         processes may take over.
bool
PromisesHold(const LeaseState& aState, MonotonicTime aNow)
{
  if (aState.mConfirmedSentAt == kDistantPast ||
      aState.mPossibleSuccessors.empty() ||
      aNow >=
        aState.mConfirmedSentAt +
          HolderTakeoverWait(aState.mConfirmedRenewal.mForeignTakeoverWait)) {
    return false;
  }
  return std::ranges::all_of(
    aState.mPossibleSuccessors, [&](const auto& aSuccessor) {
      const auto promise = aState.mPromisedUntil.find(aSuccessor.first);
      return promise != aState.mPromisedUntil.end() && aNow < promise->second;
    });
}

} // namespace

bool
SessionHolds(const LeaseState& aState, MonotonicTime aNow)
{
  return aState.mSessionVersion != 0 &&
         (aNow < aState.mValidUntil || PromisesHold(aState, aNow));
}

const HeldShard*
FindOwned(const LeaseState& aState, std::string_view aShard, MonotonicTime aNow)
{
  const auto held = aState.mHeldShards.find(aShard);
  if (held == aState.mHeldShards.end() ||
      aState.mStoppingShards.contains(aShard) || !SessionHolds(aState, aNow)) {
    return nullptr;
  }
  return &held->second;
}

bool
IsSuspect(const LeaseState& aState, const SeenSession& aSession)
{
  // The time of the last read counts, not the present, so that an outage of the
  // table service does not make sessions suspect.
  return aState.mLastRead - aSession.mWatchedSince >=
         TakeoverTerm(aSession.mRecord.mTerm);
}

bool
IsSelf(const LeaseState& aState, const LeaseMember& aMember)
{
  return IsSameSession(aMember, aState.mSelf);
}

std::vector<const LeaseMember*>
LiveMembers(const LeaseState& aState, std::string_view aRole)
{
  std::vector<const LeaseMember*> members;
  for (const auto& [name, session] : aState.mSessions) {
    if (session.mRecord.mMember.mRole == aRole && !IsSuspect(aState, session)) {
      members.push_back(&session.mRecord.mMember);
    }
  }
  return members;
}

const LeaseMember*
NamedSuccessor(const LeaseState& aState)
{
  if (aState.mSessionVersion == 0 || aState.mConfirmedSentAt == kDistantPast) {
    return nullptr;
  }
  const auto found =
    aState.mPossibleSuccessors.find(aState.mConfirmedRenewal.mSuccessor);
  if (found == aState.mPossibleSuccessors.end() || found->first.empty()) {
    return nullptr;
  }
  return &found->second;
}

std::vector<const LeaseMember*>
StayingPeers(const LeaseState& aState)
{
  std::vector<const LeaseMember*> members =
    LiveMembers(aState, aState.mSelf.mRole);
  std::erase_if(members, [&](const LeaseMember* aMember) {
    return aMember->mName == aState.mSelf.mName ||
           aState.mSessions.at(aMember->mName).mRecord.mLeaving;
  });
  return members;
}

std::vector<const LeaseMember*>
OwnerCandidates(const LeaseState& aState)
{
  // This process is added here, because its own row may be absent or outdated
  // in the last read.
  std::vector<const LeaseMember*> members = StayingPeers(aState);
  if (aState.mSessionVersion != 0 && !aState.mLeaving) {
    members.push_back(&aState.mSelf);
  }
  return members;
}

bool
ReadyToLeave(const LeaseState& aState, MonotonicTime aNow)
{
  if (aState.mSessionVersion == 0) {
    return true;
  }
  if (aState.mHeldShards.empty()) {
    // New owners learn of a hand-over with their next read. While the session
    // exists, the read also gives them the address of this process, from which
    // they may fetch the data of the shard.
    return aState.mLastHandOver == kDistantPast ||
           aNow >= aState.mLastHandOver + RenewInterval(aState) * 3 / 2;
  }
  return OwnerCandidates(aState).empty() &&
         std::ranges::all_of(aState.mHeldShards, [&](const auto& aHeld) {
           const auto stopping = aState.mStoppingShards.find(aHeld.first);
           return stopping != aState.mStoppingShards.end() &&
                  stopping->second.mQuiescent;
         });
}

} // namespace paddle
