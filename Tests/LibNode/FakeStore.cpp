#include "FakeStore.h"

#include <algorithm>

namespace paddle {

namespace {

/// @return whether the transaction has an entry in the partition
bool
Touches(const StoreTransaction& aTransaction, const std::string& aPartition)
{
  const auto touches = [&](const auto& aEntry) {
    return aEntry.mPartition == aPartition;
  };
  return std::any_of(
           aTransaction.mChecks.begin(), aTransaction.mChecks.end(), touches) ||
         std::any_of(
           aTransaction.mPuts.begin(), aTransaction.mPuts.end(), touches) ||
         std::any_of(aTransaction.mRemovals.begin(),
                     aTransaction.mRemovals.end(),
                     touches);
}

} // namespace

template<typename Outcome>
Outcome
FakeStore::WithClock(Outcome aOutcome) const
{
  if constexpr (requires { aOutcome.mClockMs; }) {
    aOutcome.mClockMs = mClock ? mClock() : 0;
  }
  return aOutcome;
}

StorePort
FakeStore::Port()
{
  StorePort port;
  port.mTransact = [this](const StoreTransaction& aTransaction,
                          Millis,
                          const TransactionHandler& aDone) {
    mCalls.push_back([this, aTransaction, aDone] {
      ++mTransactions;
      if (mRefuses ||
          (mRefusedPartition && Touches(aTransaction, *mRefusedPartition))) {
        aDone({ StoreResult::NotApplied, 0, {} });
        return;
      }
      const bool rejected =
        mRejectsKey && std::any_of(aTransaction.mPuts.begin(),
                                   aTransaction.mPuts.end(),
                                   [&](const StoreRow& aRow) {
                                     return mRejectsKey(aRow.mKey);
                                   });
      if (rejected || FindLimitViolation(aTransaction, mLimits)) {
        ++mRejected;
        aDone({ StoreResult::Rejected, 0, {} });
        return;
      }
      if (mDelayNext > 0) {
        --mDelayNext;
        mDelayed.push_back(aTransaction);
        aDone({ StoreResult::Unknown, 0, {} });
        return;
      }
      const TransactionOutcome outcome = WithClock(Apply(aTransaction));
      if (mLoseNextAnswers > 0) {
        --mLoseNextAnswers;
        aDone({ StoreResult::Unknown, 0, {} });
        return;
      }
      aDone(outcome);
    });
  };
  port.mRead = [this](const std::string& aTable,
                      const std::string& aPartition,
                      const std::string& aFrom,
                      const std::string& aTo,
                      const ReadHandler& aDone) {
    mCalls.push_back([this, aTable, aPartition, aFrom, aTo, aDone] {
      if (mRefuses) {
        aDone({});
        return;
      }
      const ReadOutcome outcome =
        WithClock(Read(aTable, aPartition, aFrom, aTo));
      if (mHoldReads) {
        mHeldReads.push_back([outcome, aDone] { aDone(outcome); });
        return;
      }
      aDone(outcome);
    });
  };
  port.mWaitForChanges = [this](const std::string& aTable,
                                std::int64_t aAfter,
                                Millis,
                                const ReadHandler& aDone) {
    mWaitingReaders.push_back({ aTable, aAfter, aDone });
  };
  return port;
}

TransactionOutcome
FakeStore::Apply(const StoreTransaction& aTransaction)
{
  bool fits = true;
  for (const StoreCheck& check : aTransaction.mChecks) {
    const auto row = mRows.find({ check.mTable, check.mPartition, check.mKey });
    const std::int64_t version = row == mRows.end() ? 0 : row->second.mVersion;
    fits = fits && version == check.mVersion;
  }
  if (!fits) {
    TransactionOutcome outcome{ StoreResult::Conflict, 0, {} };
    for (const StoreCheck& check : aTransaction.mChecks) {
      const auto row =
        mRows.find({ check.mTable, check.mPartition, check.mKey });
      if (row != mRows.end()) {
        outcome.mCurrent.push_back({ check.mTable,
                                     check.mPartition,
                                     check.mKey,
                                     row->second.mValue,
                                     row->second.mVersion,
                                     false });
      }
    }
    return outcome;
  }
  ++mVersion;
  for (const StoreRow& put : aTransaction.mPuts) {
    mRows[{ put.mTable, put.mPartition, put.mKey }] = { put.mValue, mVersion };
    mHistory[put.mTable].push_back(
      { put.mTable, put.mPartition, put.mKey, put.mValue, mVersion, false });
  }
  for (const StoreKey& key : aTransaction.mRemovals) {
    mRows.erase({ key.mTable, key.mPartition, key.mKey });
    mHistory[key.mTable].push_back(
      { key.mTable, key.mPartition, key.mKey, {}, mVersion, true });
  }
  return { StoreResult::Stored, mVersion, {} };
}

ReadOutcome
FakeStore::Read(const std::string& aTable,
                const std::string& aPartition,
                const std::string& aFrom,
                const std::string& aTo) const
{
  ReadOutcome outcome;
  outcome.mResult = ReadResult::Read;
  outcome.mVersion = mVersion;
  for (const auto& [name, row] : mRows) {
    const auto& [table, partition, key] = name;
    if (table == aTable && partition == aPartition && key >= aFrom &&
        (aTo.empty() || key < aTo)) {
      if (outcome.mRows.size() == mRowsPerRead) {
        outcome.mMore = true;
        break;
      }
      outcome.mRows.push_back(
        { table, partition, key, row.mValue, row.mVersion, false });
    }
  }
  return outcome;
}

void
FakeStore::ServeWaitingReaders()
{
  std::vector<WaitingReader> waiting = std::move(mWaitingReaders);
  mWaitingReaders.clear();
  for (WaitingReader& reader : waiting) {
    ReadOutcome outcome;
    outcome.mVersion = mVersion;
    if (mRefuses) {
      reader.mDone(outcome);
      continue;
    }
    if (mHistoryGone) {
      mHistoryGone = false;
      outcome.mResult = ReadResult::HistoryGone;
      reader.mDone(outcome);
      continue;
    }
    outcome.mResult = ReadResult::Read;
    const std::vector<StoreRow>& history = mHistory[reader.mTable];
    const auto changes = std::partition_point(
      history.begin(), history.end(), [&](const StoreRow& aRow) {
        return aRow.mVersion <= reader.mAfter;
      });
    outcome.mRows.assign(changes, history.end());
    if (outcome.mRows.empty()) {
      mWaitingReaders.push_back(std::move(reader));
    } else {
      reader.mDone(WithClock(std::move(outcome)));
    }
  }
}

void
FakeStore::Run()
{
  if (mPaused) {
    return;
  }
  for (int round = 0; round < mMaxRounds; ++round) {
    std::deque<std::function<void()>> calls = std::move(mCalls);
    mCalls.clear();
    for (const std::function<void()>& call : calls) {
      call();
    }
    ServeWaitingReaders();
    if (mCalls.empty()) {
      return;
    }
  }
}

void
FakeStore::ApplyDelayed()
{
  for (const StoreTransaction& transaction : mDelayed) {
    Apply(transaction);
  }
  mDelayed.clear();
}

void
FakeStore::ReleaseReads()
{
  mHoldReads = false;
  std::vector<std::function<void()>> reads = std::move(mHeldReads);
  mHeldReads.clear();
  for (const std::function<void()>& read : reads) {
    read();
  }
}

std::string
FakeStore::Value(const std::string& aTable, const std::string& aKey) const
{
  for (const auto& [name, row] : mRows) {
    if (std::get<0>(name) == aTable && std::get<2>(name) == aKey) {
      return row.mValue;
    }
  }
  return {};
}

std::size_t
FakeStore::Rows(const std::string& aTable) const
{
  return static_cast<std::size_t>(
    std::count_if(mRows.begin(), mRows.end(), [&](const auto& aEntry) {
      return std::get<0>(aEntry.first) == aTable;
    }));
}

std::size_t
FakeStore::RowsWithPrefix(const std::string& aTable,
                          const std::string& aPrefix) const
{
  return static_cast<std::size_t>(
    std::count_if(mRows.begin(), mRows.end(), [&](const auto& aEntry) {
      return std::get<0>(aEntry.first) == aTable &&
             std::get<2>(aEntry.first).starts_with(aPrefix);
    }));
}

} // namespace paddle
