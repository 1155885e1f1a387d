#include <LibLease/LeaseTable.h>

#include <LibBase/Log.h>
#include <LibLease/LeaseRowText.h>

namespace paddle {

namespace {

TableTransaction
ToTransaction(const WriteLeaseRows& aAction)
{
  TableTransaction transaction;
  for (const LeaseRowCondition& condition : aAction.mConditions) {
    transaction.mConditions.push_back({ condition.mKey, condition.mVersion });
  }
  for (const LeaseRowWrite& write : aAction.mWrites) {
    transaction.mWrites.push_back({ write.mKey, LeaseRowText(write.mValue) });
  }
  return transaction;
}

/// @return the row with its parsed value, or nothing if it is absent or
///         malformed
template<typename Record>
std::optional<LeaseRow<Record>>
ToLeaseRow(const TableRow& aRow,
           std::string_view aPrefix,
           Outcome<Record> (*aParse)(const std::string&))
{
  if (aRow.mVersion == 0) {
    return std::nullopt;
  }
  Outcome<Record> record = aParse(aRow.mValue);
  if (!Succeeded(record)) {
    LogEvent(LogLevel::Error,
             "lease_row_malformed",
             { { "key", aRow.mKey }, { "error", ErrorOf(record).mMessage } });
    return std::nullopt;
  }
  return LeaseRow<Record>{ aRow.mKey.substr(aPrefix.size()),
                           aRow.mVersion,
                           std::move(ValueOf(record)) };
}

template<typename Record>
std::vector<LeaseRow<Record>>
ToLeaseRows(std::span<const TableRow> aRows,
            std::string_view aPrefix,
            Outcome<Record> (*aParse)(const std::string&))
{
  std::vector<LeaseRow<Record>> rows;
  for (const TableRow& row : aRows) {
    if (auto parsed = ToLeaseRow(row, aPrefix, aParse)) {
      rows.push_back(std::move(*parsed));
    }
  }
  return rows;
}

/// @return the own session row from the conflict of a renewal, if it is there.
///         The key of that row is the first condition of a renewal.
std::optional<LeaseRow<SessionRecord>>
FindOwnSession(const WriteLeaseRows& aAction, const Conflict& aConflict)
{
  if (aAction.mPurpose != LeaseWritePurpose::Renew) {
    return std::nullopt;
  }
  for (const TableRow& row : aConflict.mRows) {
    if (row.mKey == aAction.mConditions.front().mKey) {
      return ToLeaseRow(row, kSessionPrefix, ParseSessionRecord);
    }
  }
  return std::nullopt;
}

Outcome<LeaseRows>
ReadRevision(const TablePort& aTable, std::span<const std::string> aReleases)
{
  std::vector<std::string> keys{ kShardRevisionKey };
  for (const std::string& member : aReleases) {
    keys.push_back(kReleasePrefix + member);
  }
  const auto read = aTable.mRead(keys);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  LeaseRows rows;
  rows.mRevision = ValueOf(read).front().mVersion;
  rows.mReleases = ToLeaseRows(
    std::span(ValueOf(read)).subspan(1), kReleasePrefix, ParseReleaseRecord);
  return rows;
}

Outcome<LeaseRows>
ScanShards(const TablePort& aTable)
{
  const auto read = aTable.mScan(kShardPrefix);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  LeaseRows rows;
  rows.mShards =
    ToLeaseRows(std::span(ValueOf(read)), kShardPrefix, ParseShardRecord);
  return rows;
}

Outcome<LeaseRows>
ScanSessions(const TablePort& aTable)
{
  const auto read = aTable.mScan(kSessionPrefix);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  LeaseRows rows;
  rows.mSessions =
    ToLeaseRows(std::span(ValueOf(read)), kSessionPrefix, ParseSessionRecord);
  return rows;
}

} // namespace

LeaseWriteResult
ExecuteWrite(const TablePort& aTable, const WriteLeaseRows& aAction)
{
  const TransactResult result = aTable.mTransact(ToTransaction(aAction));
  if (const auto* committed = std::get_if<Committed>(&result)) {
    return { LeaseWriteStatus::Committed, committed->mVersion, std::nullopt };
  }
  if (const auto* conflict = std::get_if<Conflict>(&result)) {
    return { LeaseWriteStatus::Conflict,
             0,
             FindOwnSession(aAction, *conflict) };
  }
  const Error& error = std::get<Error>(result);
  LogEvent(
    LogLevel::Warning,
    "lease_write_failed",
    { { "key", aAction.mWrites.front().mKey }, { "error", error.mMessage } });
  return { error.mKind == ErrorKind::Unavailable ? LeaseWriteStatus::Unavailable
                                                 : LeaseWriteStatus::Unknown,
           0,
           std::nullopt };
}

Outcome<LeaseRows>
ExecuteRead(const TablePort& aTable, const ReadLeaseRows& aAction)
{
  switch (aAction.mPart) {
    case LeaseReadPart::Revision:
      return ReadRevision(aTable, aAction.mReleases);
    case LeaseReadPart::Shards:
      return ScanShards(aTable);
    case LeaseReadPart::Sessions:
      return ScanSessions(aTable);
  }
  return Error{ ErrorKind::Internal, "no such part of a read" };
}

} // namespace paddle
