#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <LibDispatch/AccountUse.h>
#include <LibDispatch/JobSpec.h>
#include <LibTime/Time.h>

namespace paddle::dispatch {

// With several shards, the budgets of an account are grants in a stored row.
// The row has no owner; the owners of all shards replace it under its version.
// These rules keep what runs on all shards within the cap:
//
// - What runs on a shard's runners is never more than the shard's grant in the
//   row. Only the shard's owner changes that grant. It uses a higher grant once
//   it is stored, and keeps to a lower one from sending it on.
// - A grant is raised only while the sum of all is within the cap.
// - A new owner first writes its epoch into the row, and uses no grant before.
//   A late write of an earlier owner then fails on the row's version, and an
//   earlier owner that reads the row sees the higher epoch.
// - An owner whose cap was lowered uses its grant only once it has read the row
//   again.
// - While the sum of the grants exceeds the cap, because this was lowered,
//   nothing starts, and each owner lowers its grant to its use.
//
// So no start brings the sum of what runs above the highest cap that any owner
// has applied since the starting owner's last read of the row: let V be the
// newest version of the row on which a start of a present run rests. What runs
// on each shard is within its grant in V, because an owner that knows an older
// version only has no higher grant there. The sum of the grants in V was within
// the cap of the owner that started by it.

/// The row of an account.
struct GrantsRow
{
  /// By shard; only resources with a cap count.
  std::map<std::uint32_t, Resources> mGrants;
  /// By shard: what it would use if nothing were granted to others. Only of
  /// shards that lack budget.
  std::map<std::uint32_t, Resources> mWanted;
  /// By shard: epoch of the owner that wrote last for the shard.
  std::map<std::uint32_t, std::int64_t> mEpochs;

  bool operator==(const GrantsRow&) const = default;
};

/// The owner that decides, and the cap that its configuration states.
struct GrantContext
{
  std::uint32_t mShard = 0;
  std::int64_t mEpoch = 0;
  Resources mCap; ///< 0: no limit on this resource.
};

/// Waiting tasks, or gangs, that demand the same.
struct DemandUnit
{
  Resources mDemand; ///< Of each of them.
  std::uint64_t mCount = 0;
  /// Whether this shard lately had no room for them.
  bool mLacksRoom = false;
};

/// What an account uses and demands in a shard.
struct AccountDemand
{
  Resources mUse;     ///< See CappedUse().
  Resources mAssumed; ///< See AccountBudget::mAssumed.
  /// Demanded by tasks that were interrupted lately and are to run again.
  Resources mInterrupted;
  std::vector<DemandUnit> mUnits; ///< Without those.
};

/// A grant whose write has no known outcome.
struct SentGrant
{
  /// Version of the row that the write checks. The outcome is known once
  /// another version has been read.
  std::int64_t mCheckedVersion = 0;
  Resources mGrant;
};

/// What the owner of a shard knows of the budgets of an account.
struct AccountGrants
{
  bool mKnown = false;           ///< Whether the row has been read.
  bool mUnreadable = false;      ///< Whether its text can't be understood.
  GrantsRow mRow;                ///< As last seen.
  std::int64_t mVersion = 0;     ///< Of the row; 0: it does not exist.
  std::int64_t mSeenVersion = 0; ///< Of the store when the row was last seen.
  MonotonicTime mAsOf; ///< When the read or write was sent that showed it.
  Resources mCap;      ///< Of the owner's configuration at its last decision.
  MonotonicTime mCapLoweredAt; ///< When the owner last found it lowered.
  std::optional<SentGrant> mInFlight;
  std::vector<SentGrant> mUnresolved; ///< Writes without an answer.
  /// Since when the grant exceeds what is needed.
  std::optional<MonotonicTime> mExcessSince;
  /// The owner uses its grant until then although it exceeds the shard's part.
  MonotonicTime mAbovePartUntil;
  /// The owner takes no more than the shard's part until then, because it has
  /// just lowered its grant for others.
  MonotonicTime mYieldsUntil;
};

/// What an owner may use, and the row that it should write.
struct GrantDecision
{
  Resources mBudget;               ///< Of the resources with a cap.
  std::optional<GrantsRow> mWrite; ///< Under the check AccountGrants::mVersion.
  bool mRaisesAbovePart = false;   ///< See AccountGrants::mAbovePartUntil.
  bool mYields = false;            ///< See AccountGrants::mYieldsUntil.
};

/// Takes over a read of the row.
/// @param aRow          the row; nothing if it can't be understood
/// @param aVersion      its version; 0: it does not exist
/// @param aStoreVersion newest version in the store at the read
/// @param aSentAt       when the read was sent
void
HandleGrantsRead(AccountGrants& aGrants,
                 const std::optional<GrantsRow>& aRow,
                 std::int64_t aVersion,
                 std::int64_t aStoreVersion,
                 MonotonicTime aSentAt);

/// Decides what the owner may use now and what it should write. It must be
/// called again whenever anything has changed, and often while others want.
GrantDecision
DecideGrant(AccountGrants& aGrants,
            const GrantContext& aContext,
            const AccountDemand& aDemand,
            MonotonicTime aNow);

/// Notes that the decided row is sent. No other write may be in flight.
/// @return the budget from now on
Resources
NoteGrantSent(AccountGrants& aGrants,
              const GrantContext& aContext,
              const GrantDecision& aDecision,
              MonotonicTime aNow);

/// Outcome of a write.
enum class GrantWriteResult
{
  Stored,
  NotApplied, ///< It certainly is not applied, now or later.
  Unknown     ///< It was applied, or may be applied later.
};

/// Handles the outcome of the write in flight.
/// @param aRow     the row that was sent
/// @param aVersion version of the row, if it was stored
/// @param aSentAt  when it was sent
void
HandleGrantWritten(AccountGrants& aGrants,
                   const GrantsRow& aRow,
                   GrantWriteResult aResult,
                   std::int64_t aVersion,
                   MonotonicTime aSentAt);

/// @return the grant of a shard
Resources
GrantOf(const GrantsRow& aRow, std::uint32_t aShard);

} // namespace paddle::dispatch
