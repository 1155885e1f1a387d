#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include <LibDispatch/JobSpec.h>
#include <LibTime/Time.h>

namespace paddle::dispatch {

struct Dispatcher;

/// The members of Resources, for comparisons one by one.
inline constexpr std::array<std::int64_t Resources::*, 3> kResourceMembers = {
  &Resources::mMilliCores,
  &Resources::mMemoryMb,
  &Resources::mAccelerators
};

/// What the tasks of a client account take that may be running on the shard's
/// runners: in the phases Starting, Running and Stopping.
struct AccountUse
{
  /// Without the processors of best-effort tasks, which reserve none.
  Resources mReserved{};
  std::int64_t mBestEffortMilliCores = 0; ///< Demanded by best-effort tasks.
  /// The part of both that long-running tasks demand, which don't end by
  /// themselves.
  Resources mLongRunning{};

  bool operator==(const AccountUse&) const = default;
};

/// Where the budgets of accounts come from.
enum class BudgetSource
{
  Caps,  ///< There is one shard, and the budgets are the caps.
  Grants ///< The shards share the caps, see AccountGrants.h.
};

/// What a shard may have running of a client account that has a cap.
struct AccountBudget
{
  Resources mCap;    ///< As configured; 0: no limit on this resource.
  Resources mBudget; ///< Of the resources with a cap.
  /// Use of the account in this shard, in Dispatcher::mAccountUse.
  const AccountUse* mUse = nullptr;
  /// What runs of earlier owners may take of which this owner doesn't know, as
  /// of the latest pass.
  Resources mAssumed;
  /// Kept in the present pass for tasks for which there is no room, see
  /// KeepBudget().
  Resources mKept;
  MonotonicTime mAsOf; ///< When the read was sent on which mBudget rests.
  /// Number of times that steps were passed over since mWaitsLoggedAt.
  std::uint64_t mPassedOver = 0;
  MonotonicTime mWaitsLoggedAt;
};

/// @return what counts towards the account's cap: reserved and best-effort
///         processors together, memory and accelerators
Resources
CappedUse(const AccountUse& aUse);

/// @return the use of an account; nothing if it has no job
AccountUse
UseOf(const Dispatcher& aDispatcher, std::string_view aAccount);

} // namespace paddle::dispatch
