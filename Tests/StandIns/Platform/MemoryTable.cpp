#include <StandIns/Platform/MemoryTable.h>

#include <utility>

namespace paddle {

TableRow
MemoryTable::RowOf(const std::string& aKey) const
{
  const auto found = mRows.find(aKey);
  return found == mRows.end() ? TableRow{ aKey, "", 0 } : found->second;
}

std::vector<TableRow>
MemoryTable::Read(std::span<const std::string> aKeys)
{
  std::lock_guard lock(mMutex);
  std::vector<TableRow> rows;
  rows.reserve(aKeys.size());
  for (const std::string& key : aKeys) {
    rows.push_back(RowOf(key));
  }
  ++mCounters.mReads;
  mCounters.mRowsRead += rows.size();
  return rows;
}

std::vector<TableRow>
MemoryTable::Scan(std::string_view aPrefix)
{
  std::lock_guard lock(mMutex);
  std::vector<TableRow> rows;
  for (auto it = mRows.lower_bound(aPrefix);
       it != mRows.end() && it->first.starts_with(aPrefix);
       ++it) {
    rows.push_back(it->second);
  }
  ++mCounters.mReads;
  mCounters.mRowsRead += rows.size();
  return rows;
}

TransactResult
MemoryTable::Transact(const TableTransaction& aTransaction)
{
  std::lock_guard lock(mMutex);
  Conflict conflict;
  for (const RowCondition& condition : aTransaction.mConditions) {
    TableRow row = RowOf(condition.mKey);
    if (row.mVersion != condition.mVersion) {
      conflict.mRows.push_back(std::move(row));
    }
  }
  if (!conflict.mRows.empty()) {
    ++mCounters.mConflicts;
    return conflict;
  }
  ++mVersion;
  ++mCounters.mWrites;
  for (const RowWrite& write : aTransaction.mWrites) {
    if (write.mValue) {
      mRows[write.mKey] = { write.mKey, *write.mValue, mVersion };
    } else {
      mRows.erase(write.mKey);
    }
  }
  return Committed{ mVersion };
}

TableCounters
MemoryTable::Counters() const
{
  std::lock_guard lock(mMutex);
  return mCounters;
}

} // namespace paddle
