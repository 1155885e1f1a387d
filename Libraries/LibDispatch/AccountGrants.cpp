#include <LibDispatch/AccountGrants.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace paddle::dispatch {

namespace {

/// An excess grant is returned after this time if no other shard wants it.
constexpr Millis kExcessTime{ 1000 };
/// While no other shard wants, a grant is this part larger than needed, so that
/// not each task that arrives costs a write.
constexpr std::int64_t kHeadroomDivisor = 4;
/// A statement of what a shard wants is replaced if it differs by more than the
/// same part.
constexpr std::int64_t kWantedDivisor = 4;
/// Time for which a grant above the shard's part may be used after it was
/// raised. A placement pass starts tasks within 150 ms.
constexpr Millis kAbovePartTime{ 1000 };
/// Time in which another shard may take what this one has returned to it. It
/// reads the row each 500 ms and writes each 250 ms.
constexpr Millis kYieldTime{ 2000 };

/// Stands for the absence of a limit.
constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max();

/// @return the sum of two amounts that are not negative, at most kUnlimited
std::int64_t
Sum(std::int64_t aFirst, std::int64_t aSecond)
{
  return aFirst > kUnlimited - aSecond ? kUnlimited : aFirst + aSecond;
}

Resources
Sum(const Resources& aFirst, const Resources& aSecond)
{
  Resources sum;
  for (const auto of : kResourceMembers) {
    sum.*of = Sum(aFirst.*of, aSecond.*of);
  }
  return sum;
}

Resources
Smaller(const Resources& aFirst, const Resources& aSecond)
{
  Resources smaller;
  for (const auto of : kResourceMembers) {
    smaller.*of = std::min(aFirst.*of, aSecond.*of);
  }
  return smaller;
}

/// @return whether any amount of the first exceeds that of the second
bool
ExceedsAny(const Resources& aFirst, const Resources& aSecond)
{
  return std::any_of(kResourceMembers.begin(),
                     kResourceMembers.end(),
                     [&](auto aOf) { return aFirst.*aOf > aSecond.*aOf; });
}

/// @return the amounts of the resources with a cap, and 0 for others
Resources
Capped(const Resources& aAmount, const Resources& aCap)
{
  Resources capped;
  for (const auto of : kResourceMembers) {
    capped.*of = aCap.*of > 0 ? aAmount.*of : 0;
  }
  return capped;
}

/// @return whether the second cap is lower for any resource
bool
IsLowered(const Resources& aFrom, const Resources& aTo)
{
  return std::any_of(
    kResourceMembers.begin(), kResourceMembers.end(), [&](auto aOf) {
      return aTo.*aOf > 0 && (aFrom.*aOf <= 0 || aTo.*aOf < aFrom.*aOf);
    });
}

template<typename Value>
Value
ValueOf(const std::map<std::uint32_t, Value>& aValues, std::uint32_t aShard)
{
  const auto found = aValues.find(aShard);
  return found != aValues.end() ? found->second : Value{};
}

/// Which waiting tasks count as demand.
enum class Units
{
  All,
  WithRoom ///< Only those for which this shard may have room.
};

/// @return what is used if as many of the waiting tasks start as the limit
///         allows; @p aBase if none may
Resources
Fill(const Resources& aBase,
     const std::vector<DemandUnit>& aUnits,
     Units aWhich,
     const Resources& aLimit)
{
  Resources total = aBase;
  for (const DemandUnit& unit : aUnits) {
    if (aWhich == Units::WithRoom && unit.mLacksRoom) {
      continue;
    }
    std::uint64_t count = unit.mCount;
    for (const auto of : kResourceMembers) {
      if (unit.mDemand.*of > 0) {
        const std::int64_t left =
          std::max<std::int64_t>(0, aLimit.*of - total.*of);
        count =
          std::min(count, static_cast<std::uint64_t>(left / unit.mDemand.*of));
      }
    }
    for (const auto of : kResourceMembers) {
      total.*of += static_cast<std::int64_t>(count) * unit.mDemand.*of;
    }
  }
  return total;
}

/// The view of one owner of an account's budgets, as of one decision. All
/// amounts are of resources with a cap only.
struct GrantView
{
  Resources mCap; ///< kUnlimited where there is none.
  Resources mGrant;
  Resources mOfOthers; ///< Sum of the other grants.
  Resources mUse;
  /// Use, assumed use, and the demand of interrupted tasks.
  Resources mBase;
  std::vector<DemandUnit> mUnits;
  bool mOthersWant = false;
  /// What the account would use here if it had the whole cap: with all waiting
  /// tasks, and with those for which there may be room.
  Resources mNeedOfAll;
  Resources mNeed;
  /// The shard's part of the cap while other shards want.
  Resources mPart;
};

GrantView
MakeView(const GrantsRow& aRow,
         const GrantContext& aContext,
         const AccountDemand& aDemand)
{
  const Resources& cap = aContext.mCap;
  GrantView view;
  for (const auto of : kResourceMembers) {
    view.mCap.*of = cap.*of > 0 ? cap.*of : kUnlimited;
  }
  view.mGrant = Capped(ValueOf(aRow.mGrants, aContext.mShard), cap);
  view.mUse = Capped(aDemand.mUse, cap);
  view.mBase =
    Capped(Sum(Sum(aDemand.mUse, aDemand.mAssumed), aDemand.mInterrupted), cap);
  for (DemandUnit unit : aDemand.mUnits) {
    unit.mDemand = Capped(unit.mDemand, cap);
    if (unit.mDemand != Resources{}) {
      view.mUnits.push_back(unit);
    }
  }
  view.mNeedOfAll = Fill(view.mBase, view.mUnits, Units::All, view.mCap);
  view.mNeed = Fill(view.mBase, view.mUnits, Units::WithRoom, view.mCap);
  Resources needs = view.mNeed;
  for (const auto& [shard, grant] : aRow.mGrants) {
    if (shard != aContext.mShard) {
      view.mOfOthers = Sum(view.mOfOthers, Capped(grant, cap));
      if (!aRow.mWanted.contains(shard)) {
        needs = Sum(needs, Capped(grant, cap));
      }
    }
  }
  for (const auto& [shard, wanted] : aRow.mWanted) {
    if (shard != aContext.mShard) {
      view.mOthersWant = true;
      needs = Sum(needs, Capped(wanted, cap));
    }
  }
  view.mPart = view.mCap;
  for (const auto of : kResourceMembers) {
    if (view.mOthersWant && needs.*of > view.mCap.*of) {
      view.mPart.*of = static_cast<std::int64_t>(
        static_cast<double>(view.mCap.*of) *
        (static_cast<double>(view.mNeed.*of) / static_cast<double>(needs.*of)));
    }
  }
  return view;
}

/// @return the grant to have while other shards want budget
Resources
GrantBesideWants(const GrantView& aView,
                 const AccountGrants& aGrants,
                 MonotonicTime aNow)
{
  Resources available;
  for (const auto of : kResourceMembers) {
    available.*of =
      std::max<std::int64_t>(0, aView.mCap.*of - aView.mOfOthers.*of);
  }
  const Resources keep =
    aNow < aGrants.mAbovePartUntil
      ? aView.mCap
      : Fill(aView.mBase, aView.mUnits, Units::WithRoom, aView.mPart);
  const Resources reach = Fill(
    aView.mBase,
    aView.mUnits,
    Units::WithRoom,
    aNow < aGrants.mYieldsUntil ? Smaller(available, aView.mPart) : available);
  const bool raise = reach != aView.mBase;
  Resources goal = aView.mGrant;
  for (const auto of : kResourceMembers) {
    if (goal.*of > keep.*of) {
      goal.*of = keep.*of;
    } else if (raise) {
      goal.*of = std::max(goal.*of, std::min(reach.*of, available.*of));
    }
  }
  return goal;
}

/// @return the grant to have while no other shard wants budget
Resources
GrantAlone(const GrantView& aView, AccountGrants& aGrants, MonotonicTime aNow)
{
  Resources available;
  Resources roomy;
  for (const auto of : kResourceMembers) {
    available.*of =
      std::max<std::int64_t>(0, aView.mCap.*of - aView.mOfOthers.*of);
    roomy.*of =
      Sum(aView.mNeedOfAll.*of, aView.mNeedOfAll.*of / kHeadroomDivisor);
  }
  const Resources reach =
    Fill(aView.mBase, aView.mUnits, Units::All, available);
  if (reach != aView.mBase && ExceedsAny(reach, aView.mGrant)) {
    aGrants.mExcessSince.reset();
    Resources goal;
    for (const auto of : kResourceMembers) {
      goal.*of = std::max(aView.mGrant.*of, std::min(roomy.*of, available.*of));
    }
    return goal;
  }
  if (!ExceedsAny(aView.mGrant, roomy)) {
    aGrants.mExcessSince.reset();
    return aView.mGrant;
  }
  if (!aGrants.mExcessSince) {
    aGrants.mExcessSince = aNow;
  }
  return aNow - *aGrants.mExcessSince < kExcessTime
           ? aView.mGrant
           : Smaller(aView.mGrant, roomy);
}

/// @return what the row should say that the shard wants
std::optional<Resources>
WantedOf(const GrantView& aView,
         const Resources& aGoal,
         const GrantsRow& aRow,
         std::uint32_t aShard)
{
  if (aView.mNeed == aView.mBase || !ExceedsAny(aView.mNeed, aGoal)) {
    return {};
  }
  const auto stated = aRow.mWanted.find(aShard);
  const bool similar =
    stated != aRow.mWanted.end() &&
    std::all_of(
      kResourceMembers.begin(), kResourceMembers.end(), [&](auto aOf) {
        const std::int64_t need = aView.mNeed.*aOf;
        const std::int64_t margin = need / kWantedDivisor;
        return stated->second.*aOf >= need - margin &&
               stated->second.*aOf <= need + margin;
      });
  return similar ? stated->second : aView.mNeed;
}

/// Forgets the writes whose outcome the known version of the row shows.
void
DropResolved(AccountGrants& aGrants)
{
  std::erase_if(aGrants.mUnresolved, [&](const SentGrant& aSent) {
    return aSent.mCheckedVersion != aGrants.mVersion;
  });
}

} // namespace

Resources
GrantOf(const GrantsRow& aRow, std::uint32_t aShard)
{
  return ValueOf(aRow.mGrants, aShard);
}

void
HandleGrantsRead(AccountGrants& aGrants,
                 const std::optional<GrantsRow>& aRow,
                 std::int64_t aVersion,
                 std::int64_t aStoreVersion,
                 MonotonicTime aSentAt)
{
  if (aStoreVersion < aGrants.mSeenVersion) {
    return; // The row has been seen or written since.
  }
  aGrants.mKnown = true;
  aGrants.mUnreadable = !aRow;
  aGrants.mRow = aRow.value_or(GrantsRow{});
  aGrants.mVersion = aVersion;
  aGrants.mSeenVersion = aStoreVersion;
  aGrants.mAsOf = std::max(aGrants.mAsOf, aSentAt);
  DropResolved(aGrants);
}

GrantDecision
DecideGrant(AccountGrants& aGrants,
            const GrantContext& aContext,
            const AccountDemand& aDemand,
            MonotonicTime aNow)
{
  const GrantsRow& row = aGrants.mRow;
  const std::int64_t epoch = ValueOf(row.mEpochs, aContext.mShard);
  if (IsLowered(std::exchange(aGrants.mCap, aContext.mCap), aContext.mCap)) {
    aGrants.mCapLoweredAt = aNow;
  }
  GrantDecision decision;
  if (!aGrants.mKnown || aGrants.mUnreadable || epoch > aContext.mEpoch) {
    return decision;
  }
  const bool fenced = epoch == aContext.mEpoch;
  const GrantView view = MakeView(row, aContext, aDemand);
  const bool exceeded = ExceedsAny(Sum(view.mGrant, view.mOfOthers), view.mCap);
  const bool afterRaise = aNow < aGrants.mAbovePartUntil;
  if (fenced && !exceeded && aGrants.mAsOf >= aGrants.mCapLoweredAt) {
    decision.mBudget = view.mGrant;
    if (aGrants.mInFlight) {
      decision.mBudget = Smaller(decision.mBudget, aGrants.mInFlight->mGrant);
    }
    for (const SentGrant& sent : aGrants.mUnresolved) {
      decision.mBudget = Smaller(decision.mBudget, sent.mGrant);
    }
    if (view.mOthersWant && !afterRaise) {
      // Interrupted tasks may start again above the shard's part.
      for (const auto of : kResourceMembers) {
        const std::int64_t part = aDemand.mInterrupted.*of > 0
                                    ? std::max(view.mPart.*of, view.mBase.*of)
                                    : view.mPart.*of;
        decision.mBudget.*of = std::min(decision.mBudget.*of, part);
      }
    }
  }
  Resources goal;
  if (exceeded) {
    goal = Smaller(view.mGrant, view.mBase);
  } else if (view.mOthersWant) {
    aGrants.mExcessSince.reset();
    goal = GrantBesideWants(view, aGrants, aNow);
  } else {
    goal = GrantAlone(view, aGrants, aNow);
  }
  for (const auto of : kResourceMembers) {
    // The account had no cap when these tasks were started.
    goal.*of = std::max(goal.*of, view.mUse.*of);
  }
  const std::optional<Resources> wanted =
    WantedOf(view, goal, row, aContext.mShard);
  const auto statedWant = row.mWanted.find(aContext.mShard);
  const bool sameWant = statedWant == row.mWanted.end()
                          ? !wanted
                          : wanted && *wanted == statedWant->second;
  const Resources storedGrant = ValueOf(row.mGrants, aContext.mShard);
  const bool hasEntry =
    storedGrant != Resources{} || statedWant != row.mWanted.end();
  // A further write excludes that one without an answer is applied late.
  if (goal == storedGrant && sameWant && (fenced || !hasEntry) &&
      aGrants.mUnresolved.empty()) {
    return decision;
  }
  GrantsRow& write = decision.mWrite.emplace(row);
  write.mEpochs[aContext.mShard] = aContext.mEpoch;
  write.mGrants[aContext.mShard] = goal;
  if (goal == Resources{}) {
    write.mGrants.erase(aContext.mShard);
  }
  write.mWanted.erase(aContext.mShard);
  if (wanted) {
    write.mWanted[aContext.mShard] = *wanted;
  }
  decision.mRaisesAbovePart =
    ExceedsAny(goal, view.mGrant) && ExceedsAny(goal, view.mPart);
  decision.mYields =
    view.mOthersWant && ExceedsAny(view.mGrant, goal) && wanted.has_value();
  return decision;
}

Resources
NoteGrantSent(AccountGrants& aGrants,
              const GrantContext& aContext,
              const GrantDecision& aDecision,
              MonotonicTime aNow)
{
  const Resources grant = ValueOf(aDecision.mWrite->mGrants, aContext.mShard);
  aGrants.mInFlight = SentGrant{ aGrants.mVersion, grant };
  if (aDecision.mRaisesAbovePart) {
    aGrants.mAbovePartUntil = aNow + kAbovePartTime;
  }
  if (aDecision.mYields) {
    aGrants.mYieldsUntil = aNow + kYieldTime;
  }
  return Smaller(aDecision.mBudget, grant);
}

void
HandleGrantWritten(AccountGrants& aGrants,
                   const GrantsRow& aRow,
                   GrantWriteResult aResult,
                   std::int64_t aVersion,
                   MonotonicTime aSentAt)
{
  const SentGrant sent = *std::exchange(aGrants.mInFlight, {});
  if (aResult == GrantWriteResult::Unknown) {
    aGrants.mUnresolved.push_back(sent);
    DropResolved(aGrants);
    // All that are left check the same version, so that one of them at most is
    // applied. The lowest grant counts until that is known.
    Resources lowest = sent.mGrant;
    for (const SentGrant& other : aGrants.mUnresolved) {
      lowest = Smaller(lowest, other.mGrant);
    }
    if (!aGrants.mUnresolved.empty()) {
      aGrants.mUnresolved = { { aGrants.mVersion, lowest } };
    }
    return;
  }
  if (aResult == GrantWriteResult::Stored && aVersion > aGrants.mSeenVersion) {
    aGrants.mUnreadable = false;
    aGrants.mRow = aRow;
    aGrants.mVersion = aVersion;
    aGrants.mSeenVersion = aVersion;
    aGrants.mAsOf = std::max(aGrants.mAsOf, aSentAt);
    DropResolved(aGrants);
  }
}

} // namespace paddle::dispatch
