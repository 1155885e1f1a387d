#include <LibLease/LeaseKeeper.h>

#include <algorithm>
#include <condition_variable>
#include <json/json.h>
#include <mutex>
#include <thread>

#include <LibBase/Log.h>
#include <LibLease/LeaseTable.h>
#include <LibLeaseCore/LeaseCore.h>

namespace paddle {

namespace {

/// Interval at which the keeper checks for actions that are due. Takeovers and
/// hand-overs begin at most this much late.
constexpr Millis kTickMs{ 100 };

/// Time-out of a request for a promise. A promise is useful only if it arrives
/// well before the term ends.
constexpr Millis kPromiseTimeoutMs{ 500 };

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

LeaseMember
ToLeaseMember(Member aMember)
{
  return { std::move(aMember.mName),
           std::move(aMember.mIncarnation),
           std::move(aMember.mRole),
           std::move(aMember.mDataCentre),
           std::move(aMember.mRegion),
           ToText(aMember.mAddress),
           1 };
}

Member
ToMember(const LeaseMember& aMember)
{
  Member member{ aMember.mName,       aMember.mIncarnation, aMember.mRole,
                 aMember.mDataCentre, aMember.mRegion,      {} };
  const Outcome<Endpoint> address = ParseEndpoint(aMember.mAddress);
  if (Succeeded(address)) {
    member.mAddress = ValueOf(address);
  }
  return member;
}

Ownership
ToOwnership(const HeldShard& aShard)
{
  return { aShard.mEpoch,
           static_cast<Acquisition>(aShard.mAcquisition),
           aShard.mSince };
}

static_assert(static_cast<int>(Acquisition::Takeover) ==
                static_cast<int>(ShardAcquisition::Takeover) &&
              static_cast<int>(Acquisition::HandOver) ==
                static_cast<int>(ShardAcquisition::HandOver));

/// Result of an action.
enum class ActionOutcome
{
  Done,
  Failed ///< The table service failed; continue after a tick.
};

} // namespace

struct LeaseKeeper::State
{
  TablePort mTable;
  PromiseCaller mPromise;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  LeaseState mLease;
  std::function<bool(std::string_view)> mQuiescent;
  bool mHadSession = false;
  bool mStop = false;
  std::thread mThread;

  State(LeaseSettings aSettings,
        Member aSelf,
        TablePort aTable,
        PromiseCaller aPromise)
    : mTable(std::move(aTable))
    , mPromise(std::move(aPromise))
    , mLease(MakeLeaseState({ aSettings.mTerm,
                              aSettings.mRenewInterval,
                              aSettings.mForeignTakeoverWait },
                            ToLeaseMember(std::move(aSelf)),
                            Now()))
  {
  }

  void Run();
  void RunDueActions();
  void UpdateQuiescence();
  ActionOutcome Execute(const LeaseAction& aAction);
  ActionOutcome Execute(const WriteLeaseRows& aAction);
  ActionOutcome Execute(const ReadLeaseRows& aAction);
  ActionOutcome Execute(const AskPromise& aAction);
  void LogSessionChange();
};

void
LeaseKeeper::State::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStop) {
    lock.unlock();
    RunDueActions();
    lock.lock();
    mWake.wait_for(lock, kTickMs, [this] { return mStop; });
  }
}

/// Carries out all actions that are due now.
void
LeaseKeeper::State::RunDueActions()
{
  UpdateQuiescence();
  for (;;) {
    std::optional<LeaseAction> action;
    {
      std::lock_guard lock(mMutex);
      if (!mStop) {
        action = NextAction(mLease, Now());
      }
      if (mLease.mHasLeft) {
        mWake.notify_all();
      }
    }
    LogSessionChange();
    if (!action || Execute(*action) == ActionOutcome::Failed) {
      return;
    }
  }
}

/// Determines which of the stopping shards are quiescent. The function that was
/// set for this is called without the lock, because it may call the keeper.
void
LeaseKeeper::State::UpdateQuiescence()
{
  std::vector<std::string> shards;
  std::function<bool(std::string_view)> quiescent;
  {
    std::lock_guard lock(mMutex);
    for (const auto& [shard, stopping] : mLease.mStoppingShards) {
      if (!stopping.mQuiescent) {
        shards.push_back(shard);
      }
    }
    quiescent = mQuiescent;
  }
  for (const std::string& shard : shards) {
    if (quiescent && !quiescent(shard)) {
      continue;
    }
    std::lock_guard lock(mMutex);
    const auto stopping = mLease.mStoppingShards.find(shard);
    if (stopping != mLease.mStoppingShards.end()) {
      stopping->second.mQuiescent = true;
    }
  }
}

ActionOutcome
LeaseKeeper::State::Execute(const LeaseAction& aAction)
{
  return std::visit([this](const auto& aKind) { return Execute(aKind); },
                    aAction);
}

ActionOutcome
LeaseKeeper::State::Execute(const WriteLeaseRows& aAction)
{
  const MonotonicTime sent = Now();
  const LeaseWriteResult result = ExecuteWrite(mTable, aAction);
  std::lock_guard lock(mMutex);
  ReportWrite(mLease, aAction, result, sent, Now());
  mWake.notify_all();
  const bool reached = result.mStatus == LeaseWriteStatus::Committed ||
                       result.mStatus == LeaseWriteStatus::Conflict;
  return reached ? ActionOutcome::Done : ActionOutcome::Failed;
}

ActionOutcome
LeaseKeeper::State::Execute(const ReadLeaseRows& aAction)
{
  Outcome<LeaseRows> rows = ExecuteRead(mTable, aAction);
  std::lock_guard lock(mMutex);
  if (!Succeeded(rows)) {
    LogEvent(LogLevel::Warning,
             "lease_read_failed",
             { { "member", mLease.mSelf.mName },
               { "error", ErrorOf(rows).mMessage } });
    ReportReadFailure(mLease, Now());
    return ActionOutcome::Failed;
  }
  ReportRead(mLease, aAction, std::move(ValueOf(rows)), Now());
  return ActionOutcome::Done;
}

ActionOutcome
LeaseKeeper::State::Execute(const AskPromise& aAction)
{
  const Outcome<Endpoint> address = ParseEndpoint(aAction.mPeer.mAddress);
  Json::Value parameters(Json::objectValue);
  parameters["to"] = aAction.mPeer.mName;
  parameters["termMs"] = Json::Int64(aAction.mTerm.count());
  {
    std::lock_guard lock(mMutex);
    parameters["from"] = mLease.mSelf.mName;
  }
  const MonotonicTime sent = Now();
  bool granted = false;
  if (mPromise && Succeeded(address)) {
    const Outcome<Json::Value> answer =
      mPromise(ValueOf(address), parameters, kPromiseTimeoutMs);
    granted = Succeeded(answer) && ValueOf(answer).isObject() &&
              ValueOf(answer)["granted"] == Json::Value(true);
  }
  if (!granted) {
    LogEvent(LogLevel::Warning,
             "promise_refused",
             { { "peer", aAction.mPeer.mName } });
  }
  std::lock_guard lock(mMutex);
  ReportPromise(mLease, aAction, granted, sent, Now());
  return ActionOutcome::Done;
}

void
LeaseKeeper::State::LogSessionChange()
{
  std::lock_guard lock(mMutex);
  const bool has = mLease.mSessionVersion != 0;
  if (has != mHadSession) {
    mHadSession = has;
    LogEvent(LogLevel::Info,
             has ? "session_started" : "session_ended",
             { { "member", mLease.mSelf.mName },
               { "incarnation", mLease.mSelf.mIncarnation },
               { "generation", mLease.mSelf.mGeneration } });
  }
}

LeaseKeeper::LeaseKeeper(LeaseSettings aSettings,
                         Member aSelf,
                         TablePort aTable,
                         PromiseCaller aPromise)
  : mState(std::make_unique<State>(aSettings,
                                   std::move(aSelf),
                                   std::move(aTable),
                                   std::move(aPromise)))
{
  mState->mThread = std::thread([state = mState.get()] { state->Run(); });
}

LeaseKeeper::~LeaseKeeper()
{
  {
    std::lock_guard lock(mState->mMutex);
    mState->mStop = true;
  }
  mState->mWake.notify_all();
  mState->mThread.join();
}

void
LeaseKeeper::SetShards(std::vector<ShardSpec> aShards)
{
  std::vector<ShardPlace> places;
  places.reserve(aShards.size());
  for (ShardSpec& shard : aShards) {
    places.push_back({ std::move(shard.mId),
                       std::move(shard.mDataCentre),
                       std::move(shard.mRegion) });
  }
  std::lock_guard lock(mState->mMutex);
  mState->mLease.mShardPlaces = std::move(places);
}

std::optional<Ownership>
LeaseKeeper::Owns(std::string_view aShard) const
{
  std::lock_guard lock(mState->mMutex);
  const HeldShard* shard = FindOwned(mState->mLease, aShard, Now());
  if (!shard) {
    return std::nullopt;
  }
  return ToOwnership(*shard);
}

std::optional<Member>
LeaseKeeper::OwnerOf(std::string_view aShard) const
{
  std::lock_guard lock(mState->mMutex);
  const auto found = mState->mLease.mShards.find(std::string(aShard));
  if (found == mState->mLease.mShards.end()) {
    return std::nullopt;
  }
  return ToMember(found->second.mRecord.mOwner);
}

std::optional<Member>
LeaseKeeper::SuccessorOfSelf() const
{
  std::lock_guard lock(mState->mMutex);
  const LeaseMember* successor = NamedSuccessor(mState->mLease);
  if (!successor) {
    return std::nullopt;
  }
  return ToMember(*successor);
}

std::vector<Member>
LeaseKeeper::Members(std::string_view aRole) const
{
  std::lock_guard lock(mState->mMutex);
  const LeaseMember& self = mState->mLease.mSelf;
  std::vector<Member> members;
  for (const LeaseMember* member : LiveMembers(mState->mLease, aRole)) {
    if (member->mName != self.mName) {
      members.push_back(ToMember(*member));
    }
  }
  if (self.mRole == aRole && SessionHolds(mState->mLease, Now())) {
    members.push_back(ToMember(self));
  }
  std::ranges::sort(members, {}, &Member::mName);
  return members;
}

bool
LeaseKeeper::SessionValid() const
{
  std::lock_guard lock(mState->mMutex);
  return SessionHolds(mState->mLease, Now());
}

Outcome<Json::Value>
LeaseKeeper::HandlePromise(const Json::Value& aParameters)
{
  const std::string from = aParameters["from"].asString();
  const std::string to = aParameters["to"].asString();
  const Millis term(aParameters["termMs"].asInt64());
  std::lock_guard lock(mState->mMutex);
  LeaseState& lease = mState->mLease;
  if (to != lease.mSelf.mName) {
    return Error{ ErrorKind::NotFound,
                  "this is member \"" + lease.mSelf.mName + "\", not \"" + to +
                    "\"" };
  }
  if (from.empty() || term <= Millis(0) ||
      term > lease.mTimes.mForeignTakeoverWait) {
    return Error{ ErrorKind::InvalidInput,
                  "lease.promise needs \"from\", and \"termMs\" between 1 and "
                  "the takeover wait" };
  }
  GrantPromise(lease, from, term, Now());
  Json::Value result(Json::objectValue);
  result["granted"] = true;
  return result;
}

void
LeaseKeeper::SetQuiescent(std::function<bool(std::string_view)> aQuiescent)
{
  std::lock_guard lock(mState->mMutex);
  mState->mQuiescent = std::move(aQuiescent);
}

bool
LeaseKeeper::Leave(Millis aLimit)
{
  State& state = *mState;
  std::unique_lock lock(state.mMutex);
  BeginLeave(state.mLease, Now());
  const auto left = [&state] { return state.mLease.mHasLeft || state.mStop; };
  if (!state.mWake.wait_for(lock, aLimit, left)) {
    // Try once more to delete the session row, so that no other process waits
    // for the end of the term.
    state.mLease.mEndWithoutHandOver = true;
    state.mWake.wait_for(lock, kPromiseTimeoutMs, left);
  }
  return state.mLease.mHasLeft && state.mLease.mHandedOverAll;
}

} // namespace paddle
