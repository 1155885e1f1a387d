#include <LibNode/BudgetRows.h>
#include <LibNode/Node.h>
#include <LibNode/ShardState.h>

#include <algorithm>
#include <array>
#include <utility>

#include <LibDispatch/AccountBudget.h>

namespace paddle {

namespace {

/// Interval at which the rows are read.
constexpr Millis kReadInterval{ 500 };
/// Shortest interval between two transactions of a shard.
constexpr Millis kWriteInterval{ 250 };
/// Largest number of rows in one transaction. A conflict of one of them fails
/// all.
constexpr std::size_t kMaxRows = 16;
/// Shortest interval between two log lines about an account.
constexpr Seconds kLogInterval{ 1 };
/// Largest number of accounts of a shard on the metrics page.
constexpr std::size_t kMaxAccountsOnPage = 200;

/// @return the name of an account for the metrics page, whose lines are split
///         at spaces
std::string
NameOnPage(std::string aName)
{
  std::replace_if(
    aName.begin(),
    aName.end(),
    [](unsigned char aChar) { return aChar <= ' ' || aChar == '/'; },
    '_');
  return aName;
}

} // namespace

dispatch::GrantContext
ShardOwner::State::GrantContextOf(const dispatch::AccountBudget& aBudget) const
{
  return { mClaim.mShard, mClaim.mEpoch, aBudget.mCap };
}

void
ShardOwner::State::ConsiderBudgets(MonotonicTime aNow)
{
  if (mView == nullptr || mStage != ShardStage::Serving ||
      !MayCommandRunners(aNow)) {
    return;
  }
  const bool shared = mView->mShardCount != 1;
  dispatch::SetBudgetSource(mDispatcher,
                            shared ? dispatch::BudgetSource::Grants
                                   : dispatch::BudgetSource::Caps);
  if (!shared || mDispatcher.mAccountBudgets.empty()) {
    return;
  }
  if (!mBudgets.mReadInFlight && aNow >= mBudgets.mNextReadAt) {
    ReadBudgets(aNow);
  }
  dispatch::UpdateAssumedUse(mDispatcher, aNow);
  std::map<std::string, dispatch::GrantDecision> writes;
  for (const auto& [account, demand] :
       dispatch::DemandByAccount(mDispatcher, aNow)) {
    dispatch::AccountGrants& grants =
      mBudgets.mByAccount[std::string(account)].mGrants;
    const dispatch::GrantContext context =
      GrantContextOf(*dispatch::FindBudget(mDispatcher, account));
    dispatch::GrantDecision decision =
      dispatch::DecideGrant(grants, context, demand, aNow);
    dispatch::SetBudget(mDispatcher, account, decision.mBudget, grants.mAsOf);
    if (decision.mWrite && !grants.mInFlight) {
      writes.emplace(account, std::move(decision));
    }
  }
  if (!mBudgets.mWriteInFlight && aNow >= mBudgets.mNextWriteAt &&
      !writes.empty()) {
    WriteBudgets(writes, aNow);
  }
}

void
ShardOwner::State::ReadBudgets(MonotonicTime aNow)
{
  mBudgets.mReadInFlight = true;
  auto self = shared_from_this();
  ReadAllPages(mContext.mStore,
               kBudgetTable,
               mContext.mPartitions.OfBudgets(),
               kBudgetPrefix,
               kBudgetPrefixEnd,
               [self, aNow](const ReadOutcome& aRead) {
                 if (!self->mOwnershipLost) {
                   self->HandleBudgetsRead(aRead, aNow);
                 }
               });
}

void
ShardOwner::State::HandleBudgetsRead(const ReadOutcome& aRead,
                                     MonotonicTime aSentAt)
{
  const MonotonicTime now = mContext.Now();
  mBudgets.mReadInFlight = false;
  mBudgets.mNextReadAt = now + kReadInterval;
  if (aRead.mResult != ReadResult::Read) {
    return;
  }
  std::map<std::string_view, const StoreRow*> rows;
  for (const StoreRow& row : aRead.mRows) {
    rows[std::string_view(row.mKey).substr(
      std::string_view(kBudgetPrefix).size())] = &row;
  }
  for (const auto& [account, budget] : mDispatcher.mAccountBudgets) {
    dispatch::AccountGrants& grants = mBudgets.mByAccount[account].mGrants;
    const auto found = rows.find(account);
    if (found == rows.end()) {
      dispatch::HandleGrantsRead(
        grants, dispatch::GrantsRow{}, 0, aRead.mVersion, aSentAt);
      continue;
    }
    const std::optional<dispatch::GrantsRow> row =
      ParseGrantsRow(found->second->mValue);
    dispatch::HandleGrantsRead(
      grants, row, found->second->mVersion, aRead.mVersion, aSentAt);
    if (!row && now - mBudgets.mUnreadableLoggedAt >= kLogInterval) {
      mBudgets.mUnreadableLoggedAt = now;
      Log(LogLevel::Error, "budget_unreadable", "account=" + account);
    }
  }
  ConsiderBudgets(now);
}

void
ShardOwner::State::WriteBudgets(
  const std::map<std::string, dispatch::GrantDecision>& aWrites,
  MonotonicTime aNow)
{
  const std::string partition = mContext.mPartitions.OfBudgets();
  StoreTransaction transaction;
  std::map<std::string, dispatch::GrantsRow> sent;
  // Each transaction begins after the last account of the one before.
  auto next = aWrites.upper_bound(mBudgets.mLastWritten);
  for (std::size_t i = 0; i < std::min(aWrites.size(), kMaxRows); ++i, ++next) {
    next = next == aWrites.end() ? aWrites.begin() : next;
    const auto& [account, decision] = *next;
    const std::string key = kBudgetPrefix + account;
    dispatch::AccountGrants& grants = mBudgets.mByAccount[account].mGrants;
    StoreTransaction part;
    part.mChecks.push_back({ kBudgetTable, partition, key, grants.mVersion });
    part.mPuts.push_back(
      { kBudgetTable, partition, key, FormatGrantsRow(*decision.mWrite) });
    mBudgets.mLastWritten = account;
    if (const auto violation =
          FindLimitViolation(part, mContext.mSettings.mStoreLimits)) {
      if (aNow - mBudgets.mUnreadableLoggedAt >= kLogInterval) {
        mBudgets.mUnreadableLoggedAt = aNow;
        Log(LogLevel::Error,
            "budget_rejected",
            "account=" + account + " " + FormatLimitViolation(*violation));
      }
      continue;
    }
    const dispatch::GrantContext context =
      GrantContextOf(*dispatch::FindBudget(mDispatcher, account));
    dispatch::SetBudget(
      mDispatcher,
      account,
      dispatch::NoteGrantSent(grants, context, decision, aNow),
      grants.mAsOf);
    transaction.mChecks.push_back(part.mChecks.front());
    transaction.mPuts.push_back(part.mPuts.front());
    sent.emplace(account, *decision.mWrite);
  }
  mBudgets.mNextWriteAt = aNow + kWriteInterval;
  if (sent.empty()) {
    return;
  }
  mBudgets.mWriteInFlight = true;
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, sent = std::move(sent), aNow](const TransactionOutcome& aOutcome) {
      if (!self->mOwnershipLost) {
        self->HandleBudgetsWritten(sent, aOutcome, aNow);
      }
    });
}

void
ShardOwner::State::HandleBudgetsWritten(
  const std::map<std::string, dispatch::GrantsRow>& aSent,
  const TransactionOutcome& aOutcome,
  MonotonicTime aSentAt)
{
  const MonotonicTime now = mContext.Now();
  mBudgets.mWriteInFlight = false;
  const dispatch::GrantWriteResult result =
    aOutcome.mResult == StoreResult::Stored ? dispatch::GrantWriteResult::Stored
    : aOutcome.mResult == StoreResult::Unknown
      ? dispatch::GrantWriteResult::Unknown
      : dispatch::GrantWriteResult::NotApplied;
  for (const auto& [account, row] : aSent) {
    dispatch::AccountGrants& grants = mBudgets.mByAccount[account].mGrants;
    if (result == dispatch::GrantWriteResult::Stored) {
      LogBudgetChange(account, row);
    }
    dispatch::HandleGrantWritten(
      grants, row, result, aOutcome.mVersion, aSentAt);
  }
  if (result != dispatch::GrantWriteResult::Stored) {
    mBudgets.mNextReadAt = now;
  }
  for (const StoreRow& current : aOutcome.mCurrent) {
    const std::string_view prefix = kBudgetPrefix;
    if (aOutcome.mResult != StoreResult::Conflict || current.mVersion == 0 ||
        !current.mKey.starts_with(prefix)) {
      continue;
    }
    const auto budget =
      mBudgets.mByAccount.find(current.mKey.substr(prefix.size()));
    if (budget != mBudgets.mByAccount.end()) {
      dispatch::HandleGrantsRead(budget->second.mGrants,
                                 ParseGrantsRow(current.mValue),
                                 current.mVersion,
                                 current.mVersion,
                                 aSentAt);
    }
  }
  ConsiderBudgets(now);
  if (mDispatcher.mPlacementDue && mStage == ShardStage::Serving &&
      MayCommandRunners(now)) {
    dispatch::Actions actions;
    Place(now, actions);
    PerformActions(actions);
  }
}

std::string
Node::AccountMetrics() const
{
  constexpr std::array<std::string_view, 3> kNames = { "milli_cores",
                                                       "memory_mb",
                                                       "accelerators" };
  std::string page;
  for (const auto& [number, shard] : mShards) {
    // In the order of their names, so that the page shows the same ones always.
    std::map<std::string_view, const dispatch::AccountBudget*> budgets;
    for (const auto& [name, budget] : shard->Dispatcher().mAccountBudgets) {
      budgets.emplace(name, &budget);
    }
    std::size_t listed = 0;
    for (const auto& [name, found] : budgets) {
      const dispatch::AccountBudget* budget = found;
      if (++listed > kMaxAccountsOnPage) {
        break;
      }
      const std::string suffix =
        "/" + NameOnPage(std::string(name)) + "/" + std::to_string(number);
      const auto add = [&](std::string_view aWhat,
                           const dispatch::Resources& aAmount) {
        for (std::size_t i = 0; i < kNames.size(); ++i) {
          const auto of = dispatch::kResourceMembers[i];
          if (budget->mCap.*of > 0) {
            page += "account_" + std::string(aWhat) + "_" +
                    std::string(kNames[i]) + suffix + " " +
                    std::to_string(aAmount.*of) + "\n";
          }
        }
      };
      add("use", dispatch::CappedUse(*budget->mUse));
      add("assumed", budget->mAssumed);
      add("budget", budget->mBudget);
      add("cap", budget->mCap);
    }
  }
  return page;
}

void
ShardOwner::State::LogBudgetChange(const std::string& aAccount,
                                   const dispatch::GrantsRow& aRow)
{
  const MonotonicTime now = mContext.Now();
  ShardBudget& budget = mBudgets.mByAccount[aAccount];
  const dispatch::Resources to = dispatch::GrantOf(aRow, mClaim.mShard);
  if (to == dispatch::GrantOf(budget.mGrants.mRow, mClaim.mShard)) {
    return;
  }
  if (now - budget.mLoggedAt < kLogInterval) {
    ++budget.mSuppressed;
    return;
  }
  budget.mLoggedAt = now;
  const auto wanted = aRow.mWanted.find(mClaim.mShard);
  Log(LogLevel::Info,
      "budget_changed",
      "account=" + aAccount +
        " from=" + dispatch::FormatResources(budget.mLogged) +
        " to=" + dispatch::FormatResources(to) + " use=" +
        dispatch::FormatResources(
          dispatch::CappedUse(dispatch::UseOf(mDispatcher, aAccount))) +
        " wanted=" +
        (wanted == aRow.mWanted.end()
           ? std::string("none")
           : dispatch::FormatResources(wanted->second)) +
        " suppressed=" + std::to_string(std::exchange(budget.mSuppressed, 0)));
  budget.mLogged = to;
}

} // namespace paddle
